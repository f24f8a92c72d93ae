#include "Entry/Settings.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

namespace {

namespace json = boost::json;

struct EntrySettingsFixture
{
    Entry::Settings parse()
    {
        return Entry::parseSettings(this->document, this->faults);
    }

    json::object document{
        {"dialect", "platform"},
        {"instance", "entry-1"},
        {"failureDomain", "d1"},
        {"listen",
         {{"callers", "127.0.0.1:1"}, {"readiness", "127.0.0.1:2"}, {"directory", "127.0.0.1:3"}}},
        {"peers", {{"port", 4}}},
        {"store", "127.0.0.1:5"},
        {"bounds", {{"graceSeconds", 8}}},
    };
    Common::JsonFaults faults;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntrySettings, EntrySettingsFixture)

// Guards against streams that are all rejected, since they are counted from another number than the
// platform's.
BOOST_AUTO_TEST_CASE(firstEvent_isNotSet_isOne)
{
    BOOST_TEST(this->parse().firstEvent == 1u);
    BOOST_TEST(this->faults.empty());
}

BOOST_AUTO_TEST_CASE(firstEvent_isSet_isTaken)
{
    this->document["firstEvent"] = 0;
    BOOST_TEST(this->parse().firstEvent == 0u);
    BOOST_TEST(this->faults.empty());
}

BOOST_AUTO_TEST_CASE(firstEvent_isNoNumberOfAnEvent_isAFault)
{
    for (const json::value &value : {json::value(-1), json::value("1"), json::value(2'000'000)}) {
        this->faults = {};
        this->document["firstEvent"] = value;
        this->parse();
        BOOST_TEST(!this->faults.empty());
    }
}

BOOST_AUTO_TEST_CASE(boundsOfColdEndpoints_areSetOrNot_areTakenOrNone)
{
    BOOST_TEST(!this->parse().bounds.coldEndpoints.has_value());
    this->document["bounds"].as_object()["coldSlack"] = 5;
    BOOST_TEST(!this->parse().bounds.coldEndpoints.has_value());
    this->document["bounds"].as_object()["coldOvershoot"] = 1.5;
    const auto bounds = this->parse().bounds.coldEndpoints;
    BOOST_REQUIRE(bounds.has_value());
    BOOST_TEST(bounds->overshoot == 1.5);
    BOOST_TEST(bounds->slack == 5);
    BOOST_TEST(this->faults.empty());
    this->document["bounds"].as_object()["coldOvershoot"] = -1;
    this->parse();
    BOOST_TEST(!this->faults.empty());
}

// Guards against ends that are believed without the operator's word.
BOOST_AUTO_TEST_CASE(closeDelimitedServices_areNotSet_areNone)
{
    BOOST_TEST(this->parse().closeDelimitedServices.empty());
}

BOOST_AUTO_TEST_CASE(closeDelimitedServices_areSet_areTaken)
{
    this->document["closeDelimitedServices"] = {"engines", "drafts"};
    BOOST_TEST(
        (this->parse().closeDelimitedServices == std::set<std::string>{"drafts", "engines"}));
    BOOST_TEST(this->faults.empty());
}

BOOST_AUTO_TEST_CASE(closeDelimitedServices_areNoNames_areAFault)
{
    for (const json::value &value : {json::value("engines"), json::value({1, 2})}) {
        this->faults = {};
        this->document["closeDelimitedServices"] = value;
        this->parse();
        BOOST_TEST(!this->faults.empty());
    }
}

BOOST_AUTO_TEST_CASE(stageOrder_isNotSet_isByCost)
{
    BOOST_TEST((this->parse().stageOrder == Entry::StageOrder::LeastCost));
}

BOOST_AUTO_TEST_CASE(stageOrder_isSet_isTakenOrAFault)
{
    this->document["stageOrder"] = "on-time-first";
    BOOST_TEST((this->parse().stageOrder == Entry::StageOrder::OnTimeFirst));
    BOOST_TEST(this->faults.empty());
    this->document["stageOrder"] = "random";
    this->parse();
    BOOST_TEST(!this->faults.empty());
}

// Guards against a deployment that says nothing of its machines and is refused, or bounded.
BOOST_AUTO_TEST_CASE(memoryAndDescriptors_areNotSet_areUnknown)
{
    const Entry::Settings settings = this->parse();
    BOOST_TEST(settings.memoryBytes == 0u);
    BOOST_TEST(settings.maxDescriptors == 0u);
    BOOST_TEST(this->faults.empty());
}

BOOST_AUTO_TEST_CASE(memoryAndDescriptors_areSet_areTaken)
{
    this->document["memoryMb"] = 120.5;
    this->document["mostDescriptors"] = 3075;
    const Entry::Settings settings = this->parse();
    BOOST_TEST(settings.memoryBytes == 126'353'408u);
    BOOST_TEST(settings.maxDescriptors == 3075u);
    BOOST_TEST(this->faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()
