// Endpoints that turn requests away and ask to be sent nothing for a while.
#include "Routing/AffinityChoice.h"
#include "Routing/Pool.h"
#include "Serving/RetryAfter.h"
#include "Staging/StageQueue.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct HoldFixture
{
    Common::Time now = Common::Time(seconds(100));
    Pool pool{1};
    std::mt19937_64 random{1};

    HoldFixture()
    {
        std::vector<EndpointEntry> entries(2);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].id = Common::EndpointId("e" + std::to_string(i));
            entries[i].address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
        }
        applyEntries(this->pool, entries);
    }

    void hold(std::size_t index, Common::Duration period)
    {
        holdBack(this->pool, this->pool.endpoints[index].id, period, this->now);
    }

    bool isAnyChosen()
    {
        return choose(this->pool, {}, this->now, this->random).has_value()
            || chooseByAffinity(this->pool, {"part", {}}, this->now).has_value()
            || chooseByAffinity(this->pool, {"", {}}, this->now).has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Holds, HoldFixture)

BOOST_AUTO_TEST_CASE(oneHeld_manyChoices_fallOnTheOther)
{
    this->hold(0, seconds(2));
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(choose(this->pool, {}, this->now, this->random).value() == 1u);
        const std::string key = "part" + std::to_string(i);
        BOOST_TEST(chooseByAffinity(this->pool, {key, {}}, this->now).value() == 1u);
    }
}

// An ejected endpoint is a last resort; one that asked to be left alone is none.
BOOST_AUTO_TEST_CASE(allHeld_noneIsChosenUntilTheFirstHoldEnds)
{
    this->hold(0, seconds(2));
    this->hold(1, seconds(3));
    BOOST_TEST(!this->isAnyChosen());
    BOOST_TEST((allHeldUntil(this->pool, this->now) == this->now + seconds(2)));
    this->now += seconds(2);
    BOOST_TEST(this->isAnyChosen());
    BOOST_TEST(!allHeldUntil(this->pool, this->now).has_value());
}

BOOST_AUTO_TEST_CASE(shorterHold_afterALongerOne_doesNotEndIt)
{
    this->hold(0, seconds(3));
    this->hold(0, seconds(1));
    BOOST_TEST((this->pool.endpoints[0].heldUntil == this->now + seconds(3)));
}

BOOST_AUTO_TEST_CASE(heldEndpoint_restarts_isNotHeld)
{
    this->hold(0, seconds(3));
    EndpointEntry entry;
    entry.id = this->pool.endpoints[0].id;
    entry.address = this->pool.endpoints[0].address;
    entry.incarnation = 9;
    applyEntries(this->pool, {entry});
    BOOST_TEST(!isHeld(this->pool.endpoints[0], this->now));
}

BOOST_AUTO_TEST_CASE(retryAfter_manyRefusedCallers_returnSpreadAfterTheHold)
{
    Common::Duration least = seconds(99);
    Common::Duration most{0};
    for (int i = 0; i < 100; ++i) {
        const auto delay = Serving::retryAfterHold(seconds(2), i / 100.0);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    BOOST_TEST((least >= seconds(2)));
    BOOST_TEST((most - least > milliseconds(800)));
    BOOST_TEST((most <= seconds(3)));
}

BOOST_AUTO_TEST_CASE(stageEndpoint_held_getsNeitherCallsNorFrees)
{
    Staging::StageQueue queue;
    queue.batching.maxPieces = 4;
    queue.batching.callTime = milliseconds(200);
    queue.batching.resultMemoryBytes = 1'000'000;
    queue.batching.resultLifetime = seconds(4);
    Staging::applyEndpoints(queue, {this->pool.endpoints[0]}, this->now);
    Staging::holdBack(queue, this->pool.endpoints[0].id, seconds(1), this->now);
    Staging::release(queue, this->pool.endpoints[0].id, "h1");
    Staging::PieceRequest piece;
    piece.requestId = "r";
    piece.startBy = this->now + seconds(2);
    piece.expiresAt = this->now + seconds(5);
    Staging::submit(queue, piece, this->now);
    std::vector<Staging::SettledPiece> settled;
    BOOST_TEST(Staging::planCalls(queue, this->now, settled).empty());
    BOOST_TEST(!Staging::hasFreeOrders(queue, this->now));
    BOOST_TEST((Staging::nextWakeAt(queue, this->now) == this->now + seconds(1)));
    this->now += seconds(1);
    BOOST_TEST(Staging::planCalls(queue, this->now, settled).size() == 1u);
    BOOST_TEST(Staging::takeFreeOrders(queue, this->now).size() == 1u);
    BOOST_TEST(settled.empty());
}

BOOST_AUTO_TEST_CASE(allStageEndpointsHeld_beyondThePiecesTime_expiresItAtOnce)
{
    Staging::StageQueue queue;
    queue.batching.maxPieces = 4;
    queue.batching.callTime = milliseconds(200);
    queue.batching.resultMemoryBytes = 1'000'000;
    Staging::applyEndpoints(queue, {this->pool.endpoints[0]}, this->now);
    Staging::holdBack(queue, this->pool.endpoints[0].id, seconds(4), this->now);
    Staging::PieceRequest piece;
    piece.requestId = "r";
    piece.expiresAt = this->now + seconds(3);
    Staging::submit(queue, piece, this->now);
    std::vector<Staging::SettledPiece> settled;
    Staging::planCalls(queue, this->now, settled);
    BOOST_REQUIRE(settled.size() == 1u);
    BOOST_TEST((settled.front().outcome == Staging::PieceOutcome::Expired));
}

BOOST_AUTO_TEST_CASE(limitedEndpoint_withoutPermit_isNotChosenEvenIfThereIsNoOther)
{
    Endpoint &limited = this->pool.endpoints[0];
    limited.gate.interval = seconds(4);
    takePermit(limited.gate, this->now);
    this->hold(1, seconds(60));
    BOOST_TEST(!this->isAnyChosen());
    this->now += seconds(4);
    BOOST_TEST(choose(this->pool, {}, this->now, this->random).value() == 0u);
}

BOOST_AUTO_TEST_CASE(allLimited_nextSend_isTheFirstPermitAtTheSumOfTheRates)
{
    this->pool.endpoints[0].gate.interval = seconds(4);
    this->pool.endpoints[1].gate.interval = seconds(2);
    takePermit(this->pool.endpoints[0].gate, this->now);
    takePermit(this->pool.endpoints[1].gate, this->now);
    const auto next = nextSend(this->pool, {}, this->now);
    BOOST_TEST(next.value().index == 1u);
    BOOST_TEST((next->at == this->now + seconds(2)));
    BOOST_TEST(next->perSecond == 0.75);
    this->pool.endpoints[1].gate.interval = kNoSends;
    BOOST_TEST(nextSend(this->pool, {}, this->now).value().index == 0u);
    this->pool.endpoints[0].gate.interval = kNoSends;
    BOOST_TEST(!nextSend(this->pool, {}, this->now));
}

BOOST_AUTO_TEST_CASE(allStateLimits_meanInterval_isThatOfTheirSum)
{
    BOOST_TEST(!meanInterval(this->pool));
    this->pool.endpoints[0].statedLimit = 1;
    BOOST_TEST(!meanInterval(this->pool));
    this->pool.endpoints[1].statedLimit = 3;
    BOOST_TEST((meanInterval(this->pool).value() == milliseconds(250)));
}

// A process that starts again has no limit.
BOOST_AUTO_TEST_CASE(limitedEndpoint_startsAgain_hasNoLimit)
{
    std::vector<EndpointEntry> entries;
    for (Endpoint &endpoint : this->pool.endpoints) {
        endpoint.statedLimit = 1;
        endpoint.gate.interval = seconds(4);
        entries.push_back({endpoint.id, endpoint.address, {}});
    }
    applyEntries(this->pool, entries);
    BOOST_TEST(isLimited(this->pool.endpoints[0].gate));
    entries[0].incarnation = 9;
    applyEntries(this->pool, entries);
    BOOST_TEST(!isLimited(this->pool.endpoints[0].gate));
    BOOST_TEST(!this->pool.endpoints[0].statedLimit);
}

BOOST_AUTO_TEST_SUITE_END()
