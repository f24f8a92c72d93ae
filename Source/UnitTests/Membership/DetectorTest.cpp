// Failure detection at several sizes of the fleet. The bounds are those of the deployments with
// hundreds of instances.
#include "UnitTests/Membership/DetectorSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::MembershipTests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t kSizes[] = {30, 100, 300};
// Until a killed instance is in no directory, in 99 of 100 cases.
constexpr seconds kDetectionBound{3};
// Until an instance that is back is in all directories again.
constexpr seconds kReturnBound{2};
constexpr double kMaxBytesPerSecond = 5000;
constexpr milliseconds kStep{50};

// Runs until the condition holds. Returns how long that took, at most `limit`.
Common::Duration timeUntil(DetectorSimulation &simulation, Common::Duration limit,
                           const std::function<bool()> &condition)
{
    const Common::Time begin = simulation.now;
    while (simulation.now - begin < limit && !condition())
        simulation.runFor(kStep);
    return simulation.now - begin;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Detectors)

BOOST_DATA_TEST_CASE(instanceIsKilled_isOutOfEveryDirectoryInTime, data::make(kSizes), size)
{
    // A hundred kills, of which one may take longer.
    std::vector<Common::Duration> times;
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    for (std::size_t i = 0; i < 100; ++i) {
        const std::size_t victim = i % size;
        simulation.kill(victim);
        times.push_back(
            timeUntil(simulation, seconds(10), [&] { return simulation.believers(victim) == 0; }));
        simulation.restart(victim);
        simulation.introduce(victim, (victim + 1) % size);
        simulation.runFor(seconds(1));
    }
    std::sort(times.begin(), times.end());
    BOOST_TEST_MESSAGE(size << " instances: detected by all after "
                            << Common::toMilliseconds(times[49]) << " ms (median), "
                            << Common::toMilliseconds(times[98]) << " ms (99 of 100)");
    BOOST_TEST((times[98] <= kDetectionBound));
}

BOOST_DATA_TEST_CASE(quietHour_nobodyIsSuspected_andFewBytesAreSent,
                     data::make({std::size_t(30), std::size_t(100)}), size)
{
    DetectorSimulation simulation(size, size);
    simulation.network.lossRate = 0;
    simulation.introduceAll();
    std::size_t suspicions = 0;
    for (int minute = 0; minute < 60; ++minute) {
        simulation.runFor(seconds(60));
        suspicions += simulation.falseSuspicions();
    }
    BOOST_TEST(suspicions == 0u);
    BOOST_TEST(simulation.bytesPerSecond() < kMaxBytesPerSecond);
}

BOOST_DATA_TEST_CASE(load_perInstance_doesNotGrowWithTheFleet,
                     data::make({std::size_t(30), std::size_t(300), std::size_t(1000)}), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.runFor(seconds(10));
    BOOST_TEST_MESSAGE(size << " instances: " << simulation.bytesPerSecond()
                            << " bytes a second each");
    BOOST_TEST(simulation.bytesPerSecond() < kMaxBytesPerSecond);
}

BOOST_DATA_TEST_CASE(lossyLinks_falseSuspicionsAreRefuted, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.network.lossRate = 0.03;
    simulation.introduceAll();
    std::size_t most = 0;
    for (int i = 0; i < 60; ++i) {
        simulation.runFor(milliseconds(500));
        most = std::max(most, simulation.falseSuspicions());
    }
    // At no time is more than one pair in a hundred wrong.
    BOOST_TEST(most <= size * size / 100);
    simulation.network.lossRate = 0;
    simulation.runFor(kReturnBound);
    BOOST_TEST(simulation.falseSuspicions() == 0u);
}

BOOST_DATA_TEST_CASE(frozenInstance_wakes_isBackInAllDirectoriesInTime, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.freeze(3);
    simulation.runFor(seconds(5));
    BOOST_TEST(simulation.believers(3) == 0u);
    simulation.wake(3);
    const auto took = timeUntil(simulation, seconds(10), [&] {
        return simulation.believers(3) == size - 1 && simulation.falseSuspicions() == 0;
    });
    BOOST_TEST((took <= kReturnBound));
}

BOOST_DATA_TEST_CASE(cutInstance_returns_isBackInAllDirectoriesInTime, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.network.mayPass
        = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    simulation.runFor(seconds(8));
    BOOST_TEST(simulation.believers(3) == 0u);
    simulation.network.mayPass = nullptr;
    const auto took
        = timeUntil(simulation, seconds(20), [&] { return simulation.believers(3) == size - 1; });
    BOOST_TEST((took <= kReturnBound));
}

// Each side takes the other for failed, and has more to tell than its probes carry.
BOOST_DATA_TEST_CASE(thirdOfTheFleetIsCut_returns_nearlyAllKnowAllInTime, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    const std::size_t cut = size / 3;
    simulation.network.mayPass
        = [cut](std::size_t from, std::size_t to) { return (from < cut) == (to < cut); };
    simulation.runFor(seconds(8));
    simulation.network.mayPass = nullptr;
    simulation.runFor(kReturnBound);
    const double wrongPairs = static_cast<double>(simulation.falseSuspicions());
    BOOST_TEST(wrongPairs <= 0.03 * static_cast<double>(size * size));
    const auto took
        = timeUntil(simulation, seconds(20), [&] { return simulation.falseSuspicions() == 0; });
    BOOST_TEST_MESSAGE(size << " instances: whole again after "
                            << Common::toMilliseconds(kReturnBound + took) << " ms");
    BOOST_TEST((took < seconds(20)));
}

// Guards against directories that name an instance which has ended (DRAIN): its row stays listed if
// it ends while the store is away.
BOOST_AUTO_TEST_CASE(instanceEnds_itsRowStaysListed_isInNoDirectoryAgain)
{
    constexpr std::size_t kSize = 7;
    DetectorSimulation simulation(kSize, 1);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.kill(0);
    simulation.runFor(seconds(10));
    std::size_t believers = 0;
    for (int i = 0; i < 200; ++i) {
        simulation.list({0, 1, 2, 3, 4, 5, 6});
        simulation.runFor(seconds(1));
        believers += simulation.believers(0);
    }
    BOOST_TEST(believers == 0u);
}

// Guards against instances that stay out of all directories after a cut that outlasted the memory
// of failures (LOST).
BOOST_AUTO_TEST_CASE(cutOutlastsTheMemory_rowStaysListed_isBackInAllDirectoriesInTime)
{
    constexpr std::size_t kSize = 7;
    DetectorSimulation simulation(kSize, 1);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.network.mayPass
        = [](std::size_t from, std::size_t to) { return (from == 0) == (to == 0); };
    for (int i = 0; i < 200; ++i) {
        simulation.list({0, 1, 2, 3, 4, 5, 6});
        simulation.runFor(seconds(1));
    }
    BOOST_TEST(simulation.believers(0) == 0u);
    simulation.network.mayPass = nullptr;
    const auto isBack = [&] { return simulation.falseSuspicions() == 0; };
    BOOST_TEST((timeUntil(simulation, seconds(20), isBack) <= kReturnBound));
}

// Guards against an instance that stays out of all directories since it was started anew under the
// name of one that had ended (LOST).
BOOST_AUTO_TEST_CASE(instanceEnded_startsAgainLater_isBackInAllDirectoriesInTime)
{
    constexpr std::size_t kSize = 7;
    DetectorSimulation simulation(kSize, 1);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.kill(0);
    for (int i = 0; i < 100; ++i) {
        simulation.list({0, 1, 2, 3, 4, 5, 6});
        simulation.runFor(seconds(1));
    }
    simulation.restart(0);
    simulation.list({0, 1, 2, 3, 4, 5, 6});
    const auto isBack = [&] { return simulation.believers(0) == kSize - 1; };
    BOOST_TEST((timeUntil(simulation, seconds(20), isBack) <= kReturnBound));
}

BOOST_AUTO_TEST_CASE(oneWayCut_instanceHearsNothing_isSuspectedByTheOthers)
{
    DetectorSimulation simulation(30, 1);
    simulation.introduceAll();
    simulation.runFor(seconds(2));
    simulation.network.mayPass = [](std::size_t, std::size_t to) { return to != 4; };
    const auto took
        = timeUntil(simulation, seconds(10), [&] { return simulation.believers(4) == 0; });
    BOOST_TEST((took <= kDetectionBound));
}

// One pair of instances cannot reach each other; all others can reach both.
BOOST_AUTO_TEST_CASE(singleLinkIsCut_nobodyStaysSuspected)
{
    DetectorSimulation simulation(30, 1);
    simulation.introduceAll();
    simulation.network.mayPass = [](std::size_t from, std::size_t to) {
        return !(from == 1 && to == 2) && !(from == 2 && to == 1);
    };
    simulation.runFor(seconds(20));
    BOOST_TEST(simulation.believers(1) + simulation.believers(2) >= 2 * 28u);
}

BOOST_DATA_TEST_CASE(slowInstance_answersLate_makesNoOtherSuspected, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.setSlowness(5, milliseconds(250));
    simulation.runFor(seconds(10));
    std::size_t doubted = 0;
    for (std::size_t i = 0; i < size; ++i)
        doubted += i != 5 && simulation.believers(i) < size - 2 ? 1 : 0;
    BOOST_TEST(doubted <= 1u);
}

BOOST_DATA_TEST_CASE(instanceJoins_knowingOneOther_isKnownToAllInTime, data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    simulation.kill(7);
    simulation.runFor(seconds(10));
    simulation.restart(7);
    simulation.introduce(7, 8);
    const auto took
        = timeUntil(simulation, seconds(10), [&] { return simulation.believers(7) == size - 1; });
    BOOST_TEST((took <= kReturnBound));
}

// Guards against an instance whose reports the others drop for good, since it seems to be older
// than itself: it starts again before anybody has missed it, and its clock has stepped back.
BOOST_DATA_TEST_CASE(instanceStartsAgain_itsClockHasSteppedBack_isHeardByAllInTime,
                     data::make(kSizes), size)
{
    DetectorSimulation simulation(size, size);
    simulation.introduceAll();
    // Until all news has been repeated often enough.
    simulation.runFor(seconds(30));
    simulation.kill(7);
    simulation.restart(7, -500);
    simulation.introduce(7, 8);
    const auto took
        = timeUntil(simulation, seconds(10), [&] { return simulation.hearers(7) == size - 1; });
    BOOST_TEST((took <= kReturnBound));
}

BOOST_AUTO_TEST_SUITE_END()
