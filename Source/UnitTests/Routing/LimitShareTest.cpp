// How many requests an endpoint with a limit gets from instances that divide it, in simulated time.
#include "Routing/LimitShare.h"
#include "Membership/Holders.h"
#include "Routing/SendGate.h"

#include <algorithm>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWindow{4000};
constexpr milliseconds kTick{10};
constexpr std::array<double, 9> kLimits = {0.1, 0.25, 0.5, 1, 2, 5, 10, 40, 200};
constexpr std::array<std::size_t, 3> kFleets = {7, 24, 295};

// Most requests in any window of 4 s: one and a half times what the limit allows, and five more.
double allowed(double limit)
{
    return 1.5 * Common::toSeconds(kWindow) * limit + 5;
}

// Instances that send to one endpoint whenever they may. Each has a view of its own of which
// instances there are.
struct LimitedFleet
{
    std::vector<Membership::Members> views;
    std::vector<SendGate> gates;
    std::vector<Common::Time> arrivals;
    Common::Time now = Common::Time(std::chrono::seconds(100));

    explicit LimitedFleet(std::size_t instances) : views(instances), gates(instances)
    {
        for (std::size_t own = 0; own < instances; ++own) {
            this->views[own].self = idOf(own);
            for (std::size_t other = 0; other < instances; ++other)
                this->add(own, other);
        }
    }

    static Common::InstanceId idOf(std::size_t index)
    {
        return Common::InstanceId("i" + std::to_string(index));
    }

    void add(std::size_t view, std::size_t instance)
    {
        Membership::MemberReport report;
        report.id = idOf(instance);
        report.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(7000 + instance)};
        report.failureDomain = Common::FailureDomain(std::to_string(instance % 3));
        report.incarnation = 1;
        report.sequence = 1;
        Membership::noteReport(this->views[view], report, this->now);
    }

    // Makes the instance believe another one to have failed.
    void forget(std::size_t view, std::size_t instance)
    {
        this->views[view].byId.at(idOf(instance)).condition = Membership::Condition::Failed;
    }

    void applyLimit(double limit)
    {
        for (std::size_t i = 0; i < this->views.size(); ++i) {
            const Membership::DutyRank rank = Membership::rankFor(this->views[i], "endpoint");
            const std::size_t senders = senderCount(limit, rank.instances);
            const bool isSender = rank.own && *rank.own < senders;
            this->gates[i].interval = isSender ? sendInterval(limit, senders) : kNoSends;
        }
    }

    std::set<std::size_t> senders() const
    {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < this->gates.size(); ++i) {
            if (this->gates[i].interval != kNoSends)
                found.insert(i);
        }
        return found;
    }

    // All instances have more to send than they may.
    void saturateFor(Common::Duration duration)
    {
        const Common::Time end = this->now + duration;
        for (; this->now < end; this->now += kTick) {
            for (SendGate &gate : this->gates) {
                while (this->now >= opensAt(gate)) {
                    takePermit(gate, std::max(opensAt(gate), this->now - kTick));
                    this->arrivals.push_back(this->now);
                }
            }
        }
    }

    std::size_t maxInWindow() const
    {
        std::size_t most = 0;
        auto first = this->arrivals.begin();
        for (auto last = first; last != this->arrivals.end(); ++last) {
            while (*last - *first > kWindow)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharesOfLimits)

BOOST_AUTO_TEST_CASE(sameViews_demandAboveLimit_useMostOfItWithinTheAllowance)
{
    constexpr std::chrono::seconds kDuration{60};
    for (const std::size_t instances : kFleets) {
        for (const double limit : kLimits) {
            LimitedFleet fleet(instances);
            fleet.applyLimit(limit);
            fleet.saturateFor(kDuration);
            const double used = static_cast<double>(fleet.arrivals.size())
                / (limit * Common::toSeconds(kDuration));
            BOOST_TEST_MESSAGE(instances << " instances, limit " << limit << ": "
                                         << fleet.senders().size() << " senders, "
                                         << fleet.maxInWindow() << " of " << allowed(limit)
                                         << " in 4 s, share used " << used);
            BOOST_TEST(static_cast<double>(fleet.maxInWindow()) <= allowed(limit));
            BOOST_TEST(used >= 0.9);
        }
    }
}

// Guards against each instance keeping the limit by itself: the sum of all would exceed it.
BOOST_AUTO_TEST_CASE(viewsDifferByOneSender_demandAboveLimit_staysWithinTheAllowance)
{
    for (const std::size_t instances : kFleets) {
        for (const double limit : kLimits) {
            LimitedFleet fleet(instances);
            fleet.applyLimit(limit);
            const std::set<std::size_t> before = fleet.senders();
            // Half of the instances believe that one sender has failed, which goes on.
            for (std::size_t i = 0; i < instances; i += 2) {
                if (i != *before.begin())
                    fleet.forget(i, *before.begin());
            }
            fleet.applyLimit(limit);
            BOOST_TEST(fleet.senders().size() <= before.size() + 1);
            fleet.saturateFor(std::chrono::seconds(30));
            BOOST_TEST(static_cast<double>(fleet.maxInWindow()) <= allowed(limit));
        }
    }
}

// The instances' views change one after the other, as in a rolling restart.
BOOST_AUTO_TEST_CASE(senderFails_viewsChangeInTurn_staysWithinTheAllowance)
{
    for (const std::size_t instances : kFleets) {
        for (const double limit : kLimits) {
            LimitedFleet fleet(instances);
            fleet.applyLimit(limit);
            fleet.saturateFor(std::chrono::seconds(8));
            const std::size_t failed = *fleet.senders().begin();
            for (std::size_t i = 0; i < instances; ++i) {
                if (i == failed)
                    continue;
                fleet.forget(i, failed);
                fleet.applyLimit(limit);
                fleet.gates[failed].interval = kNoSends;
                fleet.saturateFor(milliseconds(2000) / instances);
            }
            fleet.saturateFor(std::chrono::seconds(8));
            BOOST_TEST(static_cast<double>(fleet.maxInWindow()) <= allowed(limit));
            BOOST_TEST(!fleet.senders().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(limitEndsAndReturns_sendsBeforeCount)
{
    SendGate gate;
    const Common::Time now = Common::Time(std::chrono::seconds(100));
    takePermit(gate, now);
    BOOST_TEST((opensAt(gate) < now));
    gate.interval = sendInterval(1, 4);
    BOOST_TEST((opensAt(gate) == now + std::chrono::seconds(4)));
}

BOOST_AUTO_TEST_CASE(severalSendsAtOnce_keepTheNextOneUpForEach)
{
    SendGate gate{sendInterval(1, 4), {}};
    const Common::Time now = Common::Time(std::chrono::seconds(100));
    takePermit(gate, now, 2);
    BOOST_TEST((opensAt(gate) == now + std::chrono::seconds(8)));
}

// Guards against sends beyond the limit that do not wait, such as questions, and delay no later
// one.
BOOST_AUTO_TEST_CASE(permit_isTakenWhileTheGateIsClosed_delaysTheNextSend)
{
    constexpr milliseconds kInterval{100};
    const Common::Time now(std::chrono::seconds(100));
    SendGate gate{kInterval, {}};
    takePermit(gate, now);
    takePermit(gate, now + milliseconds(10));
    BOOST_TEST((opensAt(gate) == now + 2 * kInterval));
    takePermit(gate, now + milliseconds(20), 2);
    BOOST_TEST((opensAt(gate) == now + 4 * kInterval));
    takePermit(gate, now + 5 * kInterval);
    BOOST_TEST((opensAt(gate) == now + 6 * kInterval));
}

BOOST_AUTO_TEST_CASE(zeroAndHugeLimits_permitNoneAndAll)
{
    BOOST_TEST((sendInterval(0, 1) == kNoSends));
    BOOST_TEST((opensAt({kNoSends, {}}) == Common::Time::max()));
    BOOST_TEST(senderCount(0, 7) == 1u);
    BOOST_TEST(senderCount(1e300, 7) == 7u);
    BOOST_TEST((sendInterval(1e300, 7) == Common::Duration(1)));
}

// Most sends in a window of 4 s of an instance that makes so many at once whenever it may.
double mostInWindow(Common::Duration interval, int together)
{
    if (interval == kNoSends)
        return 0;
    const auto rounds = 1 + kWindow / (interval * together);
    return static_cast<double>(rounds) * together;
}

// Two owners at once, each with an order to free results before every call.
BOOST_AUTO_TEST_CASE(stageEndpoint_twoOwnersAtOnceBesideRequests_stayWithinTheAllowance)
{
    for (const double limit : kLimits) {
        for (const bool isOnRoutes : {false, true}) {
            const StageLimitParts parts = stageLimitParts(limit, isOnRoutes);
            double sent = 2 * mostInWindow(sendInterval(parts.calls, 1), 2);
            if (isOnRoutes) {
                const std::size_t senders = senderCount(parts.requests, 7);
                sent += static_cast<double>(senders + 1)
                    * mostInWindow(sendInterval(parts.requests, senders), 1);
            }
            BOOST_TEST(sent <= allowed(limit));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
