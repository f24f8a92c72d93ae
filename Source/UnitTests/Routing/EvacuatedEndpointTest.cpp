// Endpoints whose failure domain the operator has evacuated get no new work, even if there is no
// other endpoint, and come back with their history.
#include "Routing/AffinityChoice.h"
#include "Routing/LimitShare.h"
#include "Staging/StageQueue.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct EvacuatedEndpointFixture
{
    Common::Time now = Common::Time(seconds(100));
    Pool pool{1};
    std::mt19937_64 random{1};
    std::vector<EndpointEntry> entries{2};

    EvacuatedEndpointFixture()
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            this->entries[i].id = Common::EndpointId("e" + std::to_string(i));
            this->entries[i].address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
            this->entries[i].failureDomain = Common::FailureDomain("d" + std::to_string(i));
            this->entries[i].incarnation = 7;
        }
        applyEntries(this->pool, this->entries);
    }

    void evacuate(std::size_t index, bool isEvacuated = true)
    {
        this->entries[index].isEvacuated = isEvacuated;
        applyEntries(this->pool, this->entries);
    }

    std::vector<std::optional<std::size_t>> choices()
    {
        std::vector<std::optional<std::size_t>> made;
        for (const ChoicePolicy policy : {ChoicePolicy::Sampled, ChoicePolicy::Random,
                                          ChoicePolicy::RoundRobin, ChoicePolicy::LeastInFlight}) {
            this->pool.policy = policy;
            made.push_back(choose(this->pool, {}, this->now, this->random));
        }
        for (const char *key : {"", "part", "other part"})
            made.push_back(chooseByAffinity(this->pool, {key, {}}, this->now));
        const auto next = nextSend(this->pool, {}, this->now);
        made.push_back(next ? std::optional(next->index) : std::nullopt);
        return made;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuatedEndpoints, EvacuatedEndpointFixture)

BOOST_AUTO_TEST_CASE(oneOfTwo_allChoicesFallOnTheOther)
{
    this->evacuate(0);
    for (int i = 0; i < 50; ++i) {
        for (const auto &choice : this->choices())
            BOOST_TEST(choice.value() == 1u);
    }
}

// An ejected endpoint is a last resort; an evacuated one is none.
BOOST_AUTO_TEST_CASE(theOtherIsEjected_itIsChosenAllTheSame)
{
    this->evacuate(0);
    for (int i = 0; i < 5; ++i)
        noteFailure(this->pool.endpoints[1], true, this->now);
    for (const auto &choice : this->choices())
        BOOST_TEST(choice.value() == 1u);
}

BOOST_AUTO_TEST_CASE(all_noneIsChosen)
{
    this->evacuate(0);
    this->evacuate(1);
    for (const auto &choice : this->choices())
        BOOST_TEST(!choice.has_value());
    BOOST_TEST(capacityOf(this->pool, this->now).slots == 0u);
}

// Otherwise a request would wait for an endpoint that takes nothing.
BOOST_AUTO_TEST_CASE(theOtherIsHeld_theEvacuatedDoesNotCountAsFree)
{
    this->evacuate(0);
    holdBack(this->pool, this->entries[1].id, seconds(2), this->now);
    BOOST_TEST((allHeldUntil(this->pool, this->now) == this->now + seconds(2)));
    this->pool.endpoints[1].statedLimit = 4;
    BOOST_TEST((meanInterval(this->pool) == milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(takenBack_comesBackWithItsHistory)
{
    beginCall(this->pool, 0);
    noteFailure(this->pool.endpoints[0], false, this->now);
    const double errorRate = this->pool.endpoints[0].health.errorRate;
    this->evacuate(0);
    BOOST_TEST(!isEligible(this->pool.endpoints[0], this->now));
    BOOST_TEST(!isLeaving(this->pool.endpoints[0]));
    BOOST_TEST(this->pool.endpoints[0].ownInFlight == 1u);
    this->evacuate(0, false);
    BOOST_TEST(isEligible(this->pool.endpoints[0], this->now));
    BOOST_TEST(this->pool.endpoints[0].health.errorRate == errorRate);
    BOOST_TEST(this->pool.endpoints[0].ownInFlight == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct EvacuatedStageFixture
{
    Common::Time now = Common::Time(seconds(100));
    Staging::StageQueue queue;
    std::vector<Staging::SettledPiece> settled;
    std::vector<Endpoint> listed{2};

    EvacuatedStageFixture()
    {
        this->queue.batching.maxPieces = 4;
        this->queue.batching.callTime = milliseconds(200);
        this->queue.batching.resultMemoryBytes = 1'000'000;
        this->queue.batching.resultLifetime = seconds(4);
        for (std::size_t i = 0; i < this->listed.size(); ++i) {
            this->listed[i].id = Common::EndpointId("s" + std::to_string(i));
            this->listed[i].address = {"127.0.0.1", static_cast<std::uint16_t>(9100 + i)};
            this->listed[i].failureDomain = Common::FailureDomain("d" + std::to_string(i));
        }
        Staging::applyEndpoints(this->queue, this->listed, this->now);
    }

    void evacuate(std::size_t index, bool isEvacuated = true)
    {
        this->listed[index].isEvacuated = isEvacuated;
        Staging::applyEndpoints(this->queue, this->listed, this->now);
    }

    void submit(const std::string &request, int count, const std::string &nearTo = "")
    {
        Staging::PieceRequest piece;
        piece.requestId = request;
        piece.resultBytes = 1000;
        piece.nearTo = Common::FailureDomain(nearTo);
        piece.transferBytes = nearTo.empty() ? 0 : 10'000'000;
        piece.startBy = this->now + seconds(2);
        piece.expiresAt = this->now + seconds(9);
        for (int i = 0; i < count; ++i) {
            piece.piece = static_cast<std::uint32_t>(i);
            Staging::submit(this->queue, piece, this->now);
        }
    }

    std::vector<Staging::PlannedCall> plan()
    {
        return Staging::planCalls(this->queue, this->now, this->settled);
    }

    void answer(const Staging::PlannedCall &call)
    {
        std::vector<Staging::PieceResult> results;
        for (const Staging::QueuedPiece &piece : call.pieces)
            results.push_back({Staging::PieceAnswer::Made, "h" + std::to_string(piece.ticket)});
        for (const auto &piece :
             Staging::callAnswered(this->queue, call.number, results, this->now))
            this->settled.push_back(piece);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuatedStageEndpoints, EvacuatedStageFixture)

// Pieces whose data lie in the evacuated domain do not wait for its endpoints.
BOOST_AUTO_TEST_CASE(domainIsEvacuated_waitingPiecesGoElsewhere)
{
    this->submit("r", 8, "d0");
    this->evacuate(0);
    const auto calls = this->plan();
    BOOST_REQUIRE(calls.size() == 1u);
    BOOST_TEST(calls[0].endpoint.id.value == "s1");
}

// A planned call that is about to be sent is turned back, and its pieces go elsewhere. One that has
// begun is let end, and its results are used.
BOOST_AUTO_TEST_CASE(domainIsEvacuated_plannedCallIsTurnedBack_andOneInProgressIsUsed)
{
    this->submit("r", 8);
    const auto calls = this->plan();
    BOOST_REQUIRE(calls.size() == 2u);
    const auto &inEvacuated = calls[0].endpoint.id.value == "s0" ? calls[0] : calls[1];
    const auto &other = calls[0].endpoint.id.value == "s0" ? calls[1] : calls[0];
    this->evacuate(0);
    BOOST_TEST(!Staging::mayBegin(this->queue, inEvacuated));
    BOOST_TEST(Staging::mayBegin(this->queue, other));
    this->answer(inEvacuated);
    this->answer(other);
    BOOST_TEST(this->settled.size() == 8u);
}

BOOST_AUTO_TEST_CASE(turnedBackCall_itsPiecesGoElsewhere)
{
    this->submit("r", 4);
    const auto calls = this->plan();
    BOOST_REQUIRE(calls.size() == 1u);
    const std::size_t index = calls[0].endpoint.id.value == "s0" ? 0 : 1;
    this->evacuate(index);
    Staging::callFailed(this->queue, calls[0].number, Staging::CallFault::Refused, this->now);
    const auto again = this->plan();
    BOOST_REQUIRE(again.size() == 1u);
    BOOST_TEST(again[0].endpoint.id.value != calls[0].endpoint.id.value);
    BOOST_TEST(again[0].pieces.size() == 4u);
}

// Results that lie there end with their lifetime.
BOOST_AUTO_TEST_CASE(resultsLieInTheEvacuatedDomain_noOrderToFreeThemIsSent)
{
    this->submit("r", 4);
    const auto calls = this->plan();
    this->answer(calls[0]);
    this->evacuate(calls[0].endpoint.id.value == "s0" ? 0 : 1);
    for (const auto &piece : this->settled)
        Staging::release(this->queue, piece.producer, piece.handle);
    BOOST_TEST(!Staging::hasFreeOrders(this->queue, this->now));
    BOOST_TEST(Staging::takeFreeOrders(this->queue, this->now).empty());
}

BOOST_AUTO_TEST_CASE(takenBack_isUsedAgain_withItsHistory)
{
    Staging::StageEndpoint &endpoint = this->queue.endpoints.at(Common::EndpointId("s0"));
    endpoint.endpoint.health.slowness = 1.3;
    this->evacuate(0);
    this->now += seconds(1);
    this->evacuate(0, false);
    BOOST_TEST(this->queue.endpoints.at(Common::EndpointId("s0")).endpoint.health.slowness == 1.3);
    this->submit("r", 8);
    BOOST_TEST(this->plan().size() == 2u);
}

// With nothing else to wait for, an evacuated endpoint must not wake the queue again and again.
BOOST_AUTO_TEST_CASE(allAreEvacuated_theQueueSleepsUntilPiecesExpire)
{
    this->evacuate(0);
    this->evacuate(1);
    this->submit("r", 4);
    BOOST_TEST(this->plan().empty());
    const auto wake = Staging::nextWakeAt(this->queue, this->now);
    BOOST_TEST((wake && *wake > this->now + seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
