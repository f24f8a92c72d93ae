#include "Entry/ColdMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

BOOST_AUTO_TEST_SUITE(ColdMessages)

BOOST_AUTO_TEST_CASE(news_writtenAndRead_areTheSame)
{
    boost::json::object message;
    attachColdNews(message, {});
    BOOST_TEST(message.empty());
    attachColdNews(message,
                   {{Common::EndpointId("e1"), Common::Milliseconds(2999)},
                    {Common::EndpointId("e2"), Common::Milliseconds(1)}});
    const auto read = readColdNews(message);
    BOOST_REQUIRE(read.size() == 2u);
    BOOST_TEST(read[0].endpoint.value == "e1");
    BOOST_TEST((read[0].left == Common::Milliseconds(2999)));
    BOOST_TEST(read[1].endpoint.value == "e2");
}

BOOST_AUTO_TEST_CASE(news_cannotBeRead_areLeftOut)
{
    for (const char *text :
         {R"({})", R"({"coldEndpoints":3})", R"({"coldEndpoints":[3,["e"],[1,2]]})",
          R"({"coldEndpoints":[["e",-1],["e",0],["e","9"],["e",1e12],["e",null]]})"})
        BOOST_TEST(readColdNews(boost::json::parse(text).as_object()).empty(), text);
}

BOOST_AUTO_TEST_SUITE_END()
