#include "Http/BodyBlocks.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

BOOST_AUTO_TEST_SUITE(BodiesInBlocks)

BOOST_AUTO_TEST_CASE(join_piecesOfAllSizes_isWhatCame)
{
    Http::BodyBlocks blocks;
    std::string expected;
    for (std::size_t length = 0; length < 1500; ++length) {
        const std::string piece(length, static_cast<char>('a' + length % 26));
        blocks.append(piece);
        expected += piece;
    }
    BOOST_TEST(blocks.size() == expected.size());
    BOOST_TEST(blocks.join() == expected);
    BOOST_TEST(blocks.size() == 0u);
    BOOST_TEST(blocks.heldBytes() == 0u);
}

// Guards against memory for bytes that have not come.
BOOST_AUTO_TEST_CASE(append_smallPieces_holdsLittleMoreThanCame)
{
    constexpr std::size_t kBlockBytes = 128 << 10;
    Http::BodyBlocks blocks;
    const std::string piece(1000, 'a');
    for (int i = 0; i < 4000; ++i) {
        blocks.append(piece);
        BOOST_REQUIRE(blocks.heldBytes() <= 2 * blocks.size() + 1024);
        BOOST_REQUIRE(blocks.heldBytes() <= blocks.size() + kBlockBytes + 1024);
    }
}

BOOST_AUTO_TEST_SUITE_END()
