#include "Routing/Pool.h"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

struct PoolFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Pool pool{1000};
    std::mt19937_64 random{7};
    ChoiceRequest request;

    PoolFixture()
    {
        std::vector<EndpointEntry> entries;
        for (int i = 0; i < 6; ++i)
            entries.push_back(entry(i));
        applyEntries(this->pool, entries);
        for (Endpoint &endpoint : this->pool.endpoints)
            endpoint.report.slots = 8;
        this->request.failureDomain = Common::FailureDomain("a");
    }

    static EndpointEntry entry(int number)
    {
        EndpointEntry made;
        made.id = Common::EndpointId("e" + std::to_string(number));
        made.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
        made.failureDomain = Common::FailureDomain(number < 3 ? "a" : "b");
        return made;
    }

    // Counts how often each endpoint is chosen where no call stays in flight.
    std::map<std::size_t, int> choices(int count)
    {
        std::map<std::size_t, int> counts;
        for (int i = 0; i < count; ++i)
            ++counts[choose(this->pool, this->request, this->now, this->random).value()];
        return counts;
    }

    void fail(std::size_t index, int times)
    {
        for (int i = 0; i < times; ++i)
            noteFailure(this->pool.endpoints[index], false, this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointChoice, PoolFixture)

BOOST_AUTO_TEST_CASE(choice_idlePool_staysInTheFailureDomain)
{
    for (const auto &[index, count] : this->choices(300))
        BOOST_TEST(index < 3u);
}

BOOST_AUTO_TEST_CASE(choice_leavingEndpoint_isNotChosen)
{
    this->pool.endpoints[1].report.leaving = true;
    this->pool.endpoints[2].state = EndpointState::Leaving;
    const auto counts = this->choices(300);
    BOOST_TEST(counts.count(1) == 0u);
    BOOST_TEST(counts.count(2) == 0u);
}

BOOST_AUTO_TEST_CASE(choice_busyDomain_movesToTheOther)
{
    for (std::size_t i = 0; i < 3; ++i)
        this->pool.endpoints[i].ownInFlight = 8;
    const auto counts = this->choices(300);
    int other = 0;
    for (const auto &[index, count] : counts)
        other += index >= 3 ? count : 0;
    // In rare cases a sample contains no endpoint of the other domain.
    BOOST_TEST(other > 280);
}

BOOST_AUTO_TEST_CASE(choice_consecutiveErrors_ejectTheEndpoint)
{
    this->fail(0, 3);
    BOOST_TEST(this->choices(300).count(0) == 0u);
}

BOOST_AUTO_TEST_CASE(choice_afterEjection_startsWithOneCallAtATime)
{
    this->fail(0, 3);
    this->now += std::chrono::seconds(1);
    BOOST_TEST(isEligible(this->pool.endpoints[0], this->now));
    beginCall(this->pool, 0);
    BOOST_TEST(!isEligible(this->pool.endpoints[0], this->now));
}

BOOST_AUTO_TEST_CASE(choice_fastErrors_attractNoLoad)
{
    // Guards against fast failures attracting load: endpoint 0 fails every call immediately, so it
    // never has calls in flight.
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 600; ++i) {
        this->now += std::chrono::milliseconds(10);
        const std::size_t index
            = choose(this->pool, this->request, this->now, this->random).value();
        beginCall(this->pool, index);
        CallReport report;
        report.endpoint = this->pool.endpoints[index].id;
        report.end = index == 0 ? CallEnd::Failed : CallEnd::Succeeded;
        report.duration = report.pace = std::chrono::milliseconds(5);
        endCall(this->pool, report, this->now);
        ++counts[index];
    }
    BOOST_TEST(counts[0] < 12);
}

BOOST_AUTO_TEST_CASE(choice_tenfoldSlowEndpoint_isProbedOnly)
{
    noteSuccess(this->pool.endpoints[0], 10, this->now);
    noteSuccess(this->pool.endpoints[0], 10, this->now);
    noteSuccess(this->pool.endpoints[0], 10, this->now);
    this->pool.endpoints[0].ownInFlight = 1;
    BOOST_TEST(this->choices(300).count(0) == 0u);
}

BOOST_AUTO_TEST_CASE(slowness_withoutSamples_decays)
{
    noteSuccess(this->pool.endpoints[0], 10, this->now);
    const double before = currentSlowness(this->pool.endpoints[0].health, this->now);
    const double after
        = currentSlowness(this->pool.endpoints[0].health, this->now + std::chrono::seconds(30));
    BOOST_TEST(before > 3);
    BOOST_TEST(after < 1.2);
}

BOOST_AUTO_TEST_CASE(choice_allEjected_fallsBackToOne)
{
    for (std::size_t i = 0; i < this->pool.endpoints.size(); ++i)
        this->fail(i, 3);
    BOOST_TEST(choose(this->pool, this->request, this->now, this->random).has_value());
}

BOOST_AUTO_TEST_CASE(choice_allLeaving_choosesNone)
{
    for (Endpoint &endpoint : this->pool.endpoints)
        endpoint.report.leaving = true;
    BOOST_TEST(!choose(this->pool, this->request, this->now, this->random).has_value());
}

BOOST_AUTO_TEST_CASE(choice_cachedPrefix_isPreferredUnlessBusy)
{
    const PrefixBlocks blocks = prefixBlocks(std::string(256, 'x'), 64);
    for (const std::uint64_t block : blocks)
        this->pool.prefixes.noteCached(block, Common::EndpointId("e4"));
    this->request.prefix = &blocks;
    BOOST_TEST(this->choices(100)[4] == 100);
    this->pool.endpoints[4].ownInFlight = 8;
    BOOST_TEST(this->choices(100)[4] < 5);
}

BOOST_AUTO_TEST_CASE(load_reportWithOwnWork_countsOwnWorkOnce)
{
    Endpoint &endpoint = this->pool.endpoints[0];
    endpoint.ownInFlight = 3;
    LoadReport report;
    report.running = 5;
    report.slots = 8;
    noteReport(endpoint, report);
    BOOST_TEST(estimatedOutstanding(endpoint) == 5.0);
    endpoint.ownInFlight = 4;
    BOOST_TEST(estimatedOutstanding(endpoint) == 6.0);
}

BOOST_AUTO_TEST_CASE(choose_contentionOnAMachine_isAvoidedWhileTheReportIsRecent)
{
    LoadReport report;
    report.slots = 8;
    report.contention = 4;
    for (std::size_t i = 0; i < 6; ++i) {
        if (i != 4)
            noteReport(this->pool, this->pool.endpoints[i].id, report, this->now);
    }
    BOOST_TEST(this->choices(300)[4] > 120);
    this->now += std::chrono::seconds(10);
    BOOST_TEST(this->choices(300)[4] == 0);
}

BOOST_AUTO_TEST_CASE(entries_endpointAtNewAddress_losesItsHealth)
{
    this->fail(0, 3);
    EndpointEntry moved = entry(0);
    moved.address.port = 9999;
    applyEntries(this->pool, {moved, entry(1)});
    BOOST_TEST(this->pool.endpoints.size() == 2u);
    BOOST_TEST(isEligible(this->pool.endpoints[0], this->now));
}

BOOST_AUTO_TEST_CASE(retryBudget_fullOutage_staysUnderATenth)
{
    RetryBudget budget;
    for (int i = 0; i < 1000; ++i) {
        noteFirstAttempt(budget);
        while (takeExtraAttempt(budget)) { }
    }
    BOOST_TEST(budget.extraAttempts < 100u);
}

// Guards against work that goes on at a version that cannot continue what another one wrote.
BOOST_AUTO_TEST_CASE(choice_requiredVersion_choosesNoOtherByAnyPolicy)
{
    this->pool.endpoints[4].version = "v1";
    this->request.version = "v1";
    for (const ChoicePolicy policy : {ChoicePolicy::Sampled, ChoicePolicy::Random,
                                      ChoicePolicy::RoundRobin, ChoicePolicy::LeastInFlight}) {
        this->pool.policy = policy;
        for (const auto &[index, count] : this->choices(50))
            BOOST_TEST(index == 4u);
    }
    // The fallback, which may choose an ejected endpoint, stays within the version too.
    this->fail(4, 10);
    BOOST_TEST(choose(this->pool, this->request, this->now, this->random).value() == 4u);
    this->pool.endpoints[4].state = EndpointState::Leaving;
    BOOST_TEST(!choose(this->pool, this->request, this->now, this->random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
