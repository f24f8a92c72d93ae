// Load patterns with too little room on stages that three kinds of requests share: who is served,
// who is delayed and who is turned away under today's order, first come, and the order by cost. The
// queues are the production code; see docs/design/too-little-room.md for the figures.
#include "Experiment/Comparison.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Experiment;

namespace {

constexpr double kSeconds = 16;
// A third of the endpoints of the example, at a third of its load.
constexpr double kThird = 1.0 / 3;

// Kinds of the example, by index. The first, rules, has one stage of heavy pieces; `kDigest` is the
// most urgent and has three stages; `kChat` is the least urgent and the most patient.
constexpr std::size_t kDigest = 1;
constexpr std::size_t kChat = 2;

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct TooLittleRoomFixture
{
    Scenario scenario;
    std::vector<std::string> names;

    TooLittleRoomFixture()
    {
        std::ifstream file(std::string(TANAGERBAY_SOURCE_DIR)
                           + "/Examples/experiments/shared-stages.json");
        std::ostringstream text;
        text << file.rdbuf();
        Common::JsonFaults faults;
        const auto document = Common::parseJson(text.str(), faults);
        BOOST_REQUIRE(document);
        this->scenario = readScenario(*document, faults);
        BOOST_REQUIRE_MESSAGE(faults.empty(), Common::describeFaults(faults));
        this->scenario.seconds = kSeconds;
        this->scenario.instances = 8;
        this->scenario.bursts.clear();
        this->scenario.services[0].endpoints = {2, 2, 2};
        this->scenario.services[1].endpoints = {2, 2, 1};
        this->scenario.services[2].endpoints = {2, 2, 1};
    }

    Outcome run(Policy policy, double load = 1) const
    {
        Outcome total;
        for (const std::uint64_t seed : {1, 2})
            add(total, StageSimulation(this->scenario, policy, load * kThird, seed).run());
        std::ostringstream row;
        row << std::fixed << std::setprecision(3) << std::setw(10) << Common::nameOf(policy);
        for (std::size_t i = 0; i < total.kinds.size(); ++i) {
            const KindOutcome &kind = total.kinds[i];
            row << " | " << this->scenario.kinds[i].name << " "
                << shareOf(kind.onTime, kind.arrivals) << " " << shareOf(kind.late, kind.arrivals)
                << " " << shareOf(kind.unserved, kind.arrivals) << " behind "
                << kind.refusedBehindLessUrgent << " again " << kind.refusedAgain;
        }
        row << " | worst " << worstTwoSeconds(total);
        BOOST_TEST_MESSAGE(row.str());
        return total;
    }

    static void add(Outcome &total, const Outcome &one)
    {
        const auto addAll
            = [](std::vector<KindOutcome> &sums, const std::vector<KindOutcome> &part) {
                  sums.resize(std::max(sums.size(), part.size()));
                  for (std::size_t i = 0; i < part.size(); ++i) {
                      sums[i].arrivals += part[i].arrivals;
                      sums[i].onTime += part[i].onTime;
                      sums[i].late += part[i].late;
                      sums[i].unserved += part[i].unserved;
                      sums[i].refusals += part[i].refusals;
                      sums[i].refusedAgain += part[i].refusedAgain;
                      sums[i].refusedBehindLessUrgent += part[i].refusedBehindLessUrgent;
                  }
              };
        addAll(total.kinds, one.kinds);
        addAll(total.seconds, one.seconds);
    }

    // Share of the requests that arrived in the two worst seconds and were on time.
    static double worstTwoSeconds(const Outcome &outcome)
    {
        double worst = 1;
        for (std::size_t i = 0; i + 1 < outcome.seconds.size(); ++i) {
            const KindOutcome &one = outcome.seconds[i];
            const KindOutcome &other = outcome.seconds[i + 1];
            worst = std::min(worst,
                             shareOf(one.onTime + other.onTime, one.arrivals + other.arrivals));
        }
        return worst;
    }

    static double unserved(const Outcome &outcome, std::size_t kind)
    {
        return shareOf(outcome.kinds[kind].unserved, outcome.kinds[kind].arrivals);
    }

    // What holds under each pattern: the most urgent kind is turned away no more often than with
    // today's order, nor more often by a queue that has room for less urgent pieces; callers are
    // served no worse over all; no kind is served less than a quarter as often as all. Returns the
    // outcomes of today's order and the order by cost.
    std::pair<Outcome, Outcome> checkOrder(double load = 1) const
    {
        const Outcome today = this->run(Policy::Shared, load);
        const Outcome firstCome = this->run(Policy::FirstCome, load);
        const Outcome outcome = this->run(Policy::LeastCost, load);
        BOOST_TEST(unserved(outcome, kDigest) <= unserved(today, kDigest));
        const KindOutcome &digest = outcome.kinds[kDigest];
        const KindOutcome &todaysDigest = today.kinds[kDigest];
        BOOST_TEST(digest.refusedBehindLessUrgent <= todaysDigest.refusedBehindLessUrgent);
        BOOST_TEST(worthOf(this->scenario, outcome) >= worthOf(this->scenario, today) - 0.02);
        BOOST_TEST(worthOf(this->scenario, outcome) >= worthOf(this->scenario, firstCome));
        checkFloor(outcome);
        return {today, outcome};
    }

    static void checkFloor(const Outcome &outcome)
    {
        KindOutcome all;
        for (const KindOutcome &kind : outcome.kinds) {
            all.arrivals += kind.arrivals;
            all.unserved += kind.unserved;
        }
        const double served = 1 - shareOf(all.unserved, all.arrivals);
        for (std::size_t i = 0; i < outcome.kinds.size(); ++i)
            BOOST_TEST(1 - unserved(outcome, i) >= served / 4);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TooLittleRoom, TooLittleRoomFixture)

// With room for everything, both policies serve the same requests.
BOOST_AUTO_TEST_CASE(calm_everythingOnTime_orderIsTodays)
{
    const Outcome today = this->run(Policy::Shared, 0.6);
    const Outcome outcome = this->run(Policy::LeastCost, 0.6);
    for (std::size_t i = 0; i < outcome.kinds.size(); ++i) {
        BOOST_TEST(outcome.kinds[i].onTime == today.kinds[i].onTime);
        BOOST_TEST(outcome.kinds[i].onTime == outcome.kinds[i].arrivals);
    }
}

BOOST_AUTO_TEST_CASE(burstOfUrgentKind_sharesStagesWithPatientKind)
{
    this->scenario.bursts = {{kDigest, 3, 9, 4}};
    const auto [today, outcome] = this->checkOrder();
    BOOST_TEST(outcome.kinds[kDigest].refusedBehindLessUrgent * 2
               < today.kinds[kDigest].refusedBehindLessUrgent);
    BOOST_TEST(unserved(outcome, kDigest) < 0.85 * unserved(today, kDigest));
}

BOOST_AUTO_TEST_CASE(burstOfLeastUrgentKind_takesNoRoomOfTheUrgent)
{
    this->scenario.bursts = {{kChat, 3, 9, 6}};
    this->checkOrder();
}

BOOST_AUTO_TEST_CASE(burstOfAllKindsAtOnce)
{
    this->scenario.bursts = {{std::nullopt, 3, 9, 2.5}};
    this->checkOrder();
}

BOOST_AUTO_TEST_CASE(burst_aThirdOfAStagesWorkersIsLost)
{
    this->scenario.bursts = {{kDigest, 3, 9, 2.5}};
    this->scenario.withdrawals = {{"dashboard", std::nullopt, 2, 4, 12, true}};
    this->checkOrder();
}

BOOST_AUTO_TEST_CASE(burst_aThirdOfTheCallersRetriesThreeTimesOver)
{
    this->scenario.bursts = {{kDigest, 3, 9, 4}};
    for (RequestKindModel &kind : this->scenario.kinds)
        kind.impatientShare = kThird;
    this->checkOrder();
}

// 28 of 100 requests of the most urgent kind belong to a workspace that is ranked last.
BOOST_AUTO_TEST_CASE(burst_largeWorkspaceOfAKindIsRankedLast)
{
    RequestKindModel large = this->scenario.kinds[kDigest];
    large.name = "large";
    large.priority = 3;
    large.arrivalsPerSecond *= 0.28;
    this->scenario.kinds[kDigest].arrivalsPerSecond *= 0.72;
    this->scenario.kinds.push_back(large);
    this->scenario.bursts = {{kDigest, 3, 9, 4}, {3, 3, 9, 4}};
    this->checkOrder();
}

BOOST_AUTO_TEST_CASE(peak_oneFailureDomainIsEvacuated)
{
    this->scenario.bursts = {{std::nullopt, 3, 9, 1.5}};
    this->scenario.withdrawals = {{"", Common::FailureDomain("d0"), 0, 4, 12, false}};
    this->checkOrder();
}

// The urgent kind alone takes more than all room for as long as the scenario lasts.
BOOST_AUTO_TEST_CASE(urgentOverloadThatLasts_patientKindKeepsItsFloor)
{
    this->scenario.seconds = 40;
    this->scenario.bursts = {{kDigest, 2, 40, 6}};
    this->scenario.kinds[kChat].retries = 0;
    this->run(Policy::Shared);
    const Outcome outcome = this->run(Policy::LeastCost);
    checkFloor(outcome);
}

BOOST_AUTO_TEST_SUITE_END()
