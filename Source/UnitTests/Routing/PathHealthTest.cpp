#include "Routing/PathHealth.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

constexpr Common::Milliseconds kStep{100};
constexpr std::size_t kProbes = 5;

const Common::EndpointId kFirst("i-1");
const Common::EndpointId kSecond("i-2");
const Common::InstanceId kOther("n2");

struct PathHealthFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    PathHealth health;

    // Connections to two endpoints fail, and then all probes.
    void failAll()
    {
        noteUnreachable(this->health, kFirst, this->now);
        noteUnreachable(this->health, kSecond, this->now);
        noteProbes(this->health, 0, kProbes, this->now);
    }

    // Time passes in which other instances are in contact with endpoints, or none is.
    void pass(Common::Milliseconds period, bool isOtherInContact)
    {
        for (Common::Milliseconds passed{0}; passed < period; passed += kStep) {
            this->now += kStep;
            if (isOtherInContact)
                noteOtherContact(this->health, kOther, this->now);
            decide(this->health, this->now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PathHealths, PathHealthFixture)

BOOST_AUTO_TEST_CASE(nothingIsReached_othersReachEndpoints_pathsAreLostSoon)
{
    this->failAll();
    this->pass(Common::Milliseconds(500), true);
    BOOST_TEST(this->health.isLost);
}

// Guards against an outage of all endpoints that every instance takes for the loss of its own
// paths, so that they send requests to each other.
BOOST_AUTO_TEST_CASE(nothingIsReached_byAnyInstance_isAnOutage)
{
    noteOtherContact(this->health, kOther, this->now + kStep);
    this->failAll();
    this->pass(Common::Milliseconds(10'000), false);
    BOOST_TEST(!this->health.isLost);
}

BOOST_AUTO_TEST_CASE(oneEndpointIsUnreachable_isNotProbed)
{
    noteUnreachable(this->health, kFirst, this->now);
    BOOST_TEST(!needsProbes(this->health, std::nullopt, this->now));
}

// Guards against the loss of one service that is taken for that of all paths.
BOOST_AUTO_TEST_CASE(twoEndpointsAreUnreachable_anotherServiceAnswersTheProbes_pathsAreKept)
{
    noteUnreachable(this->health, kFirst, this->now);
    noteUnreachable(this->health, kSecond, this->now);
    BOOST_TEST(needsProbes(this->health, std::nullopt, this->now));
    noteProbes(this->health, 1, kProbes - 1, this->now);
    this->pass(Common::Milliseconds(2000), true);
    BOOST_TEST(!this->health.isLost);
}

// Connections that were open hang, and nothing new is connected to.
BOOST_AUTO_TEST_CASE(callsWaitWithoutAnyAnswer_areAReasonToProbe)
{
    BOOST_TEST(!needsProbes(this->health, this->now - kStep, this->now));
    BOOST_TEST(needsProbes(this->health, this->now - Common::Milliseconds(600), this->now));
    BOOST_TEST(!needsProbes(this->health, std::nullopt, this->now));
}

// Guards against paths that count as kept because connections from before the fault live on.
BOOST_AUTO_TEST_CASE(openConnectionsAnswer_newOnesFail_pathsAreLost)
{
    this->failAll();
    for (int i = 0; i < 10; ++i) {
        noteAnswer(this->health, this->now);
        this->pass(kStep, true);
    }
    BOOST_TEST(this->health.isLost);
}

BOOST_AUTO_TEST_CASE(probeIsAnswered_pathsAreRegainedAtOnce)
{
    this->failAll();
    this->pass(Common::Milliseconds(1000), true);
    noteProbes(this->health, 1, kProbes - 1, this->now);
    BOOST_TEST(decide(this->health, this->now));
    BOOST_TEST(!this->health.isLost);
}

BOOST_AUTO_TEST_CASE(pathsAreLost_othersFallSilent_staysUntilAProbeIsAnswered)
{
    this->failAll();
    this->pass(Common::Milliseconds(1000), true);
    this->pass(Common::Milliseconds(10'000), false);
    BOOST_TEST(this->health.isLost);
}

// Guards against a loss that nobody can confirm, since the instances that have their paths have
// nothing to send.
BOOST_AUTO_TEST_CASE(anotherInstanceAsks_oneWithoutContact_probesOnce)
{
    noteAsked(this->health);
    BOOST_TEST(needsProbes(this->health, std::nullopt, this->now));
    noteProbes(this->health, kProbes, 0, this->now);
    BOOST_TEST(!needsProbes(this->health, std::nullopt, this->now));
    noteAsked(this->health);
    BOOST_TEST(!needsProbes(this->health, std::nullopt, this->now));
}

// Guards against a flood of probes while the paths are lost.
BOOST_AUTO_TEST_CASE(probes_areBoundedInRate)
{
    this->failAll();
    this->pass(Common::Milliseconds(1000), true);
    int rounds = 0;
    for (int i = 0; i < 100; ++i) {
        this->now += kStep;
        if (!needsProbes(this->health, this->now - std::chrono::seconds(5), this->now))
            continue;
        this->health.probedAt = this->now;
        ++rounds;
    }
    BOOST_TEST(rounds <= 20);
    BOOST_TEST(rounds >= 10);
}

BOOST_AUTO_TEST_CASE(probes_areDrawnOfAsManyServicesAsPossible)
{
    std::vector<ProbeCandidate> candidates;
    for (int i = 0; i < 50; ++i)
        candidates.push_back({"large", Common::EndpointId("l" + std::to_string(i))});
    candidates.push_back({"small", Common::EndpointId("s1")});
    candidates.push_back({"other", Common::EndpointId("o1")});
    std::mt19937_64 random(1);
    for (int draw = 0; draw < 20; ++draw) {
        std::set<std::string> services;
        for (const ProbeCandidate &probe : drawProbes(candidates, 3, random))
            services.insert(probe.service);
        BOOST_TEST(services.size() == 3u);
    }
}

// Fleets of several sizes, a part of which loses its paths. Each instance sees the contacts of the
// others late and not all of them.
BOOST_AUTO_TEST_CASE(fleets_partLosesItsPaths_exactlyThisPartNoticesWithinASecond)
{
    std::mt19937_64 random(1);
    for (const int instances : {7, 24, 295}) {
        const int lost = instances * 4 / 7;
        const Common::Time begin = this->now;
        std::vector<PathHealth> fleet(static_cast<std::size_t>(instances));
        for (Common::Milliseconds passed{0}; passed < Common::Milliseconds(1500); passed += kStep) {
            this->now = begin + passed;
            for (int i = 0; i < instances; ++i) {
                PathHealth &each = fleet[static_cast<std::size_t>(i)];
                if (i >= lost) {
                    noteConnected(each, this->now);
                } else {
                    noteUnreachable(each, kFirst, this->now);
                    noteUnreachable(each, kSecond, this->now);
                    if (needsProbes(each, std::nullopt, this->now)) {
                        each.probedAt = this->now;
                        noteProbes(each, 0, kProbes, this->now);
                    }
                }
                // Two datagrams of other instances in each step, up to 200 ms old.
                for (int message = 0; message < 2; ++message) {
                    const auto sender = random() % static_cast<std::uint64_t>(instances);
                    const auto &contactAt = fleet[sender].lastContactAt;
                    const Common::Milliseconds delay(random() % 200);
                    if (contactAt && static_cast<int>(sender) != i)
                        noteOtherContact(each, Common::InstanceId("n" + std::to_string(sender)),
                                         *contactAt - delay);
                }
                decide(each, this->now);
            }
        }
        for (int i = 0; i < instances; ++i)
            BOOST_TEST(fleet[static_cast<std::size_t>(i)].isLost == (i < lost));
        this->now += std::chrono::seconds(60);
    }
}

BOOST_AUTO_TEST_SUITE_END()
