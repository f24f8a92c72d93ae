#include "Entry/LimitMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

BOOST_AUTO_TEST_SUITE(MessagesOfLimits)

BOOST_AUTO_TEST_CASE(limits_writtenAndRead_areTheSame)
{
    boost::json::object message;
    attachLimits(message,
                 {{{Common::EndpointId("e1"), 17}, {0.5, 3, {}}},
                  {{Common::EndpointId("e2"), 18}, {std::nullopt, 4, {}}}});
    const auto parsed = boost::json::parse(boost::json::serialize(message)).as_object();
    const std::vector<LimitNews> read = readLimits(parsed);
    BOOST_REQUIRE(read.size() == 2u);
    BOOST_TEST(read[0].first.endpoint.value == "e1");
    BOOST_TEST(read[0].first.incarnation == 17u);
    BOOST_TEST(read[0].second.perSecond.value() == 0.5);
    BOOST_TEST(read[0].second.version == 3u);
    BOOST_TEST(!read[1].second.perSecond);
    BOOST_TEST(read[1].second.version == 4u);
}

BOOST_AUTO_TEST_CASE(noLimits_addNothing)
{
    boost::json::object message;
    attachLimits(message, {});
    BOOST_TEST(message.empty());
    BOOST_TEST(readLimits(message).empty());
}

BOOST_AUTO_TEST_CASE(entriesThatCannotBeRead_areLeftOut)
{
    const auto message = boost::json::parse(
        R"({"endpointLimits":[7,["e"],["e",1,0,2],["e",1,1,-2],["e",-1,1,2],[5,1,1,2],)"
        R"(["e",1,1,"x"],["e",1,1,2,"later field"]]})");
    BOOST_TEST(readLimits(message.as_object()).size() == 1u);
    BOOST_TEST(readLimits(boost::json::parse(R"({"endpointLimits":3})").as_object()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
