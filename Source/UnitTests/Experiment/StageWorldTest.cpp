// Loads on the stage queues, played with the real queues in simulated time.
#include "Experiment/Comparison.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Experiment;
using std::chrono::milliseconds;

namespace {

constexpr double kSeconds = 12;

// Two stages of which the second is the bottleneck: 4 endpoints with calls of 10 pieces in 300 ms
// make 133 pieces a second, that is 26 requests of 5 pieces.
struct StageWorldFixture
{
    Scenario scenario;

    StageWorldFixture()
    {
        this->scenario.seconds = kSeconds;
        this->scenario.instances = 6;
        this->scenario.domains = 1;
        this->scenario.messageDelay = milliseconds(1);
        this->scenario.services = {service("first", 8), service("second", 4)};
        KindModel kind;
        kind.name = "request";
        kind.perSecond = 26;
        kind.objective = milliseconds(1500);
        kind.patience = milliseconds(6000);
        kind.worth = 1;
        kind.lateWorth = 0.15;
        kind.endpointTime = milliseconds(100);
        kind.stages = {stage("first", {}), stage("second", {0})};
        this->scenario.kinds = {kind};
    }

    static StageServiceModel service(const std::string &name, std::uint32_t endpoints)
    {
        StageServiceModel model;
        model.name = name;
        model.batching = Catalog::Batching{
            1, 10, milliseconds(200), milliseconds(10), 4'000'000, std::chrono::seconds(4)};
        model.endpoints = {endpoints};
        model.linkBytesPerSecond = 1e9;
        return model;
    }

    static StageModel stage(const std::string &service, std::vector<std::size_t> after)
    {
        StageModel model;
        model.stage = {service, std::move(after), 40'000};
        model.meanPieces = 5;
        model.mostPieces = 5;
        return model;
    }

    Outcome play(double load, Policy policy = Policy::Shared) const
    {
        return StageWorld(this->scenario, policy, load, 1).run();
    }

    double worth(double load, Policy policy = Policy::Shared) const
    {
        return worthOf(this->scenario, this->play(load, policy));
    }

    static double onTime(const Outcome &outcome)
    {
        return static_cast<double>(outcome.kinds[0].onTime)
            / static_cast<double>(outcome.kinds[0].asked);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StageWorldSuite, StageWorldFixture)

BOOST_AUTO_TEST_CASE(calmDay_everyRequestIsOnTime)
{
    BOOST_TEST(onTime(this->play(0.5)) == 1.0);
}

// Of a lasting overload, four fifths of what the bottleneck can do have to be on time.
BOOST_AUTO_TEST_CASE(lastingOverload_whatIsServedIsOnTime)
{
    for (const double load : {1.3, 2.0, 3.0})
        BOOST_TEST(onTime(this->play(load)) >= 0.8 / load);
}

// As soon as the burst is over, requests are on time again.
BOOST_AUTO_TEST_CASE(burst_isOver_laterRequestsAreOnTime)
{
    this->scenario.seconds = 4;
    this->scenario.bursts = {{std::nullopt, 0, 4, 3}};
    const Outcome burst = this->play(0.6);
    this->scenario.seconds = kSeconds;
    const Outcome whole = this->play(0.6);
    const double askedLater = static_cast<double>(whole.kinds[0].asked - burst.kinds[0].asked);
    const double missedLater = static_cast<double>(whole.kinds[0].asked - whole.kinds[0].onTime)
        - static_cast<double>(burst.kinds[0].asked - burst.kinds[0].onTime);
    BOOST_TEST(missedLater <= 0.1 * askedLater);
}

BOOST_AUTO_TEST_CASE(burst_ofALessUrgentKind_doesNotTakeFromTheUrgentOne)
{
    KindModel urgent = this->scenario.kinds[0];
    urgent.perSecond = 8;
    this->scenario.kinds[0].priority = 1;
    this->scenario.kinds.push_back(urgent);
    const Outcome outcome = this->play(2);
    BOOST_TEST(static_cast<double>(outcome.kinds[1].onTime)
               >= 0.95 * static_cast<double>(outcome.kinds[1].asked));
}

BOOST_AUTO_TEST_CASE(endpointsLostInABurst_theOthersServeWhatTheyCan)
{
    this->scenario.troubles = {{"second", 2, 3, 100, 50}};
    // Half of the bottleneck's endpoints hang from the third second on.
    BOOST_TEST(onTime(this->play(1.5)) >= 0.8 * 0.5 / 1.5);
}

BOOST_AUTO_TEST_CASE(oneQueueAService_comparedWithOneAnInstance_isBetterAtEveryLoad)
{
    for (const double load : {0.5, 1.0, 2.0})
        BOOST_TEST(this->worth(load) >= this->worth(load, Policy::PerInstance));
}

BOOST_AUTO_TEST_CASE(onTimeFirst_comparedWithARandomOrder_isBetterUnderOverload)
{
    BOOST_TEST(this->worth(1.5) > this->worth(1.5, Policy::Random));
}

BOOST_AUTO_TEST_CASE(onTimeFirst_comparedWithFirstCome_isBetterUnderOverload)
{
    BOOST_TEST(this->worth(1.5) > this->worth(1.5, Policy::FirstCome));
}

BOOST_AUTO_TEST_CASE(sameSeed_givesTheSameFigures)
{
    const Outcome one = this->play(1.3);
    const Outcome other = this->play(1.3);
    BOOST_TEST(one.kinds[0].onTime == other.kinds[0].onTime);
    BOOST_TEST(one.calls == other.calls);
}

BOOST_AUTO_TEST_CASE(scenarioFile_namesWhatIsWrong)
{
    std::ifstream file(std::string(TANAGERBAY_SOURCE_DIR) + "/Examples/experiments/lessons.json");
    std::ostringstream text;
    text << file.rdbuf();
    Common::JsonFaults faults;
    auto document = Common::parseJson(text.str(), faults);
    BOOST_REQUIRE(document);
    const Scenario read = readScenario(*document, faults);
    BOOST_TEST(faults.empty());
    BOOST_TEST(read.kinds.size() == 3u);
    document->as_object()["bursts"].as_array()[0].as_object()["kind"] = "nothing";
    document->as_object()["kinds"].as_array()[1].as_object().erase("worth");
    auto &service = document->as_object()["services"].as_array()[0].as_object();
    service["name"] = "other";
    service["maxPieces"] = 0;
    service["endpoints"].as_array()[0] = -1;
    readScenario(*document, faults);
    const std::string told = Common::describeFaults(faults);
    BOOST_TEST(told.find("bursts[0].kind") != std::string::npos);
    BOOST_TEST(told.find("kinds[1].worth") != std::string::npos);
    BOOST_TEST(told.find("kinds[0].stages[0].service") != std::string::npos);
    BOOST_TEST(told.find("services[0].maxPieces") != std::string::npos);
    BOOST_TEST(told.find("services[0].endpoints") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(table_namesEveryPolicyAndKind)
{
    const auto rows = compare(this->scenario, {{Policy::Shared, Policy::FirstCome}, {1}, {1, 2}});
    const std::string table = toTable(this->scenario, rows);
    for (const char *name : {"shared", "first-come", "request"})
        BOOST_TEST(table.find(name) != std::string::npos);
    BOOST_TEST(toPlot(rows).find("<polyline") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
