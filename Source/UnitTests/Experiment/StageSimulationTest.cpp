// Load patterns on the stage queues: the production queue code runs in simulated time.
#include "Experiment/Comparison.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Experiment;
using std::chrono::milliseconds;

namespace {

constexpr double kDurationSeconds = 12;

// Two stages, of which the second is the bottleneck: 4 endpoints with calls of 10 pieces in 300 ms
// process 133 pieces/s, that is 26 requests/s of 5 pieces.
struct StageSimulationFixture
{
    Scenario scenario;

    StageSimulationFixture()
    {
        this->scenario.seconds = kDurationSeconds;
        this->scenario.instances = 6;
        this->scenario.failureDomains = 1;
        this->scenario.messageDelay = milliseconds(1);
        this->scenario.services = {service("first", 8), service("second", 4)};
        RequestKindModel kind;
        kind.name = "request";
        kind.arrivalsPerSecond = 26;
        kind.objective = milliseconds(1500);
        kind.callerTimeout = milliseconds(6000);
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
        model.maxPieces = 5;
        return model;
    }

    Outcome run(double load, Policy policy = Policy::Shared) const
    {
        return StageSimulation(this->scenario, policy, load, 1).run();
    }

    double worth(double load, Policy policy = Policy::Shared) const
    {
        return worthOf(this->scenario, this->run(load, policy));
    }

    static double onTimeShare(const Outcome &outcome)
    {
        return static_cast<double>(outcome.kinds[0].onTime)
            / static_cast<double>(outcome.kinds[0].arrivals);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StageSimulationSuite, StageSimulationFixture)

BOOST_AUTO_TEST_CASE(lowLoad_everyRequestIsOnTime)
{
    BOOST_TEST(onTimeShare(this->run(0.5)) == 1.0);
}

// Under sustained overload, requests amounting to at least four fifths of the bottleneck's capacity
// have to be on time.
BOOST_AUTO_TEST_CASE(sustainedOverload_servedRequestsAreOnTime)
{
    for (const double load : {1.3, 2.0, 3.0})
        BOOST_TEST(onTimeShare(this->run(load)) >= 0.8 / load);
}

// Requests that arrive after the burst are on time again: at most a tenth misses its objective.
BOOST_AUTO_TEST_CASE(burstEnds_laterRequestsAreOnTime)
{
    this->scenario.seconds = 4;
    this->scenario.bursts = {{std::nullopt, 0, 4, 3}};
    const Outcome burst = this->run(0.6);
    this->scenario.seconds = kDurationSeconds;
    const Outcome whole = this->run(0.6);
    const double arrivalsLater
        = static_cast<double>(whole.kinds[0].arrivals - burst.kinds[0].arrivals);
    const double missedLater = static_cast<double>(whole.kinds[0].arrivals - whole.kinds[0].onTime)
        - static_cast<double>(burst.kinds[0].arrivals - burst.kinds[0].onTime);
    BOOST_TEST(missedLater <= 0.1 * arrivalsLater);
}

BOOST_AUTO_TEST_CASE(burstOfLowerPriority_higherPriorityStaysOnTime)
{
    RequestKindModel urgent = this->scenario.kinds[0];
    urgent.arrivalsPerSecond = 8;
    this->scenario.kinds[0].priority = 1;
    this->scenario.kinds.push_back(urgent);
    const Outcome outcome = this->run(2);
    BOOST_TEST(static_cast<double>(outcome.kinds[1].onTime)
               >= 0.95 * static_cast<double>(outcome.kinds[1].arrivals));
}

BOOST_AUTO_TEST_CASE(endpointsDegradedUnderOverload_othersServeUpToTheirCapacity)
{
    this->scenario.degradations = {{"second", 2, 3, 100, 50}};
    // From second 3 on, half of the bottleneck's endpoints are 50 times slower.
    BOOST_TEST(onTimeShare(this->run(1.5)) >= 0.8 * 0.5 / 1.5);
}

BOOST_AUTO_TEST_CASE(sharedQueue_comparedWithQueuePerInstance_isNotWorseAtAnyLoad)
{
    for (const double load : {0.5, 1.0, 2.0})
        BOOST_TEST(this->worth(load) >= this->worth(load, Policy::PerInstance));
}

BOOST_AUTO_TEST_CASE(onTimeFirst_comparedWithRandomOrder_isBetterUnderOverload)
{
    BOOST_TEST(this->worth(1.5) > this->worth(1.5, Policy::Random));
}

BOOST_AUTO_TEST_CASE(onTimeFirst_comparedWithFirstCome_isBetterUnderOverload)
{
    BOOST_TEST(this->worth(1.5) > this->worth(1.5, Policy::FirstCome));
}

BOOST_AUTO_TEST_CASE(sameSeed_givesSameOutcome)
{
    const Outcome one = this->run(1.3);
    const Outcome other = this->run(1.3);
    BOOST_TEST(one.kinds[0].onTime == other.kinds[0].onTime);
    BOOST_TEST(one.calls == other.calls);
}

BOOST_AUTO_TEST_CASE(invalidScenario_faultsNameTheirPaths)
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
    const std::string report = Common::describeFaults(faults);
    BOOST_TEST(report.find("bursts[0].kind") != std::string::npos);
    BOOST_TEST(report.find("kinds[1].worth") != std::string::npos);
    BOOST_TEST(report.find("kinds[0].stages[0].service") != std::string::npos);
    BOOST_TEST(report.find("services[0].maxPieces") != std::string::npos);
    BOOST_TEST(report.find("services[0].endpoints") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(tableAndPlot_containEveryPolicyAndKind)
{
    const auto rows = compare(this->scenario, {{Policy::Shared, Policy::FirstCome}, {1}, {1, 2}});
    const std::string table = toTable(this->scenario, rows);
    for (const char *name : {"shared", "first-come", "request"})
        BOOST_TEST(table.find(name) != std::string::npos);
    BOOST_TEST(toPlot(rows).find("<polyline") != std::string::npos);
}

// The burst that once kept hundreds of instances overloaded: 2.5 times as many requests for six
// seconds on three stage services, the middle one with little memory for its results. Three seconds
// after its end, more than 95 of 100 requests have to be served again, and few results may be lost.
BOOST_AUTO_TEST_CASE(burstOfWorksheets_atHundredsOfInstances_endsWithItsCause)
{
    constexpr std::size_t kBurstBegin = 6;
    constexpr std::size_t kBurstEnd = 12;
    constexpr std::size_t kRecovered = kBurstEnd + 3;
    constexpr std::size_t kEnd = 20;
    this->scenario.seconds = kEnd;
    this->scenario.instances = 295;
    this->scenario.failureDomains = 5;
    this->scenario.services = {service("first", 45), service("second", 36), service("third", 43)};
    this->scenario.services[1].batching.maxPieces = 40;
    this->scenario.services[1].batching.pieceTime = std::chrono::microseconds(4300);
    this->scenario.services[1].batching.resultMemoryBytes = 5'200'000;
    this->scenario.services[2].batching.maxPieces = 56;
    this->scenario.services[2].batching.pieceTime = std::chrono::microseconds(3100);
    this->scenario.services[2].batching.resultMemoryBytes = 730'000;
    RequestKindModel &kind = this->scenario.kinds.front();
    kind.arrivalsPerSecond = 200;
    kind.objective = milliseconds(1900);
    kind.callerTimeout = milliseconds(6000);
    kind.stages = {stage("first", {}), stage("second", {0}), stage("third", {1})};
    kind.stages[0].meanPieces = 2;
    kind.stages[1].stage.resultBytes = 60'000;
    kind.stages[1].meanPieces = 8;
    kind.stages[1].maxPieces = 8;
    kind.stages[2].stage.resultBytes = 6'000;
    kind.stages[2].meanPieces = 16;
    kind.stages[2].maxPieces = 16;
    this->scenario.bursts = {{std::nullopt, kBurstBegin, kBurstEnd, 2.5}};
    const Outcome outcome = this->run(1);
    for (std::size_t second = 0; second < kEnd; ++second) {
        if (second >= kBurstBegin && second < kRecovered)
            continue;
        const KindOutcome &seen = outcome.seconds[second];
        const double served = static_cast<double>(seen.onTime + seen.late);
        BOOST_TEST(served > 0.95 * static_cast<double>(seen.arrivals),
                   "second " << second << ": " << served << " of " << seen.arrivals);
    }
    BOOST_TEST(outcome.inputsGone < outcome.pieces / 100);
    BOOST_TEST(outcome.noRoom < outcome.pieces / 100);
}

BOOST_AUTO_TEST_SUITE_END()
