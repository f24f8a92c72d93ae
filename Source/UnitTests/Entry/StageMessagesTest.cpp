// Pieces of stages in messages between instances of the same and of earlier builds.
#include "Entry/StageMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

BOOST_AUTO_TEST_SUITE(StageMessages)

BOOST_AUTO_TEST_CASE(piece_hasALastChance_arrivesAsTimeLeft)
{
    const Common::Time sentAt(std::chrono::seconds(100));
    const Common::Time receivedAt(std::chrono::seconds(7));
    Staging::PieceRequest piece;
    piece.lastStartBy = sentAt + std::chrono::milliseconds(1500);
    const auto read = Entry::stageFromJson(Entry::stageToJson(piece, sentAt), receivedAt);
    BOOST_REQUIRE(read.lastStartBy);
    BOOST_TEST(Common::toMilliseconds(*read.lastStartBy - receivedAt) == 1500);
}

BOOST_AUTO_TEST_CASE(piece_isFromAnEarlierBuild_hasNoLastChance)
{
    const Common::Time now(std::chrono::seconds(100));
    const auto message = Entry::stageToJson(Staging::PieceRequest(), now);
    BOOST_TEST(!message.contains("lastStartMs"));
    BOOST_TEST(!Entry::stageFromJson(message, now).lastStartBy);
}

BOOST_AUTO_TEST_SUITE_END()
