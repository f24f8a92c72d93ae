// Who goes first and who is turned away in a stage queue with too little room. Each case name
// starts with the load that it covers.
#include "Staging/CostOrder.h"

#include "Staging/StageChain.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Staging;
using std::chrono::milliseconds;

namespace {

// One endpoint that takes 8 pieces a call, in 360 ms: 22 pieces in a second.
struct CostOrderFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    StageQueue queue;
    std::vector<SettledPiece> settled;

    CostOrderFixture()
    {
        this->queue.service = "encode";
        this->queue.order = QueueOrder::LeastCost;
        this->queue.batching
            = {1, 8, milliseconds(200), milliseconds(20), 18'000'000, std::chrono::seconds(4)};
        this->list(1);
    }

    void list(int endpoints)
    {
        std::vector<Routing::Endpoint> listed;
        for (int i = 0; i < endpoints; ++i) {
            Routing::Endpoint endpoint;
            endpoint.id = Common::EndpointId("s" + std::to_string(i));
            listed.push_back(endpoint);
        }
        applyEndpoints(this->queue, listed, this->now);
    }

    // A whole call of pieces of one request.
    void submitCall(const std::string &name, int priority, milliseconds startBy,
                    milliseconds lastStartBy)
    {
        PieceRequest request;
        request.requestId = name;
        request.resultBytes = 8'000;
        request.priority = priority;
        request.startBy = this->now + startBy;
        request.lastStartBy = this->now + lastStartBy;
        request.expiresAt = this->now + lastStartBy + milliseconds(360);
        for (std::uint32_t i = 0; i < 8; ++i) {
            request.piece = i;
            submit(this->queue, request, this->now);
        }
    }

    std::string next()
    {
        const auto calls = planCalls(this->queue, this->now, this->settled);
        if (calls.empty())
            return "";
        this->now += milliseconds(360);
        std::vector<PieceResult> results;
        for (const QueuedPiece &piece : calls.front().pieces)
            results.push_back({PieceAnswer::Made, "h" + std::to_string(piece.ticket)});
        for (const SettledPiece &made :
             callAnswered(this->queue, calls.front().number, results, this->now))
            release(this->queue, made.producer, made.handle);
        takeFreeOrders(this->queue, this->now);
        return calls.front().pieces.front().request.requestId;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CostOrders, CostOrderFixture)

BOOST_AUTO_TEST_CASE(everythingCanBeOnTime_orderIsByPriorityThenLatestStart)
{
    this->submitCall("patient", 2, milliseconds(2000), milliseconds(9000));
    this->submitCall("later", 0, milliseconds(3000), milliseconds(9000));
    this->submitCall("sooner", 0, milliseconds(2500), milliseconds(9000));
    for (const char *name : {"sooner", "later", "patient"})
        BOOST_TEST(this->next() == name);
}

// A late request loses nothing more by waiting, as long as it can still be answered.
BOOST_AUTO_TEST_CASE(burst_lateUrgentWithTimeLeft_waitsBehindPatientInTime)
{
    this->submitCall("urgent", 0, milliseconds(-10), milliseconds(3000));
    this->submitCall("patient", 2, milliseconds(500), milliseconds(9000));
    BOOST_TEST(this->next() == "patient");
    BOOST_TEST(this->next() == "urgent");
}

BOOST_AUTO_TEST_CASE(burst_lateUrgentAtItsLastChance_goesBeforePatientInTime)
{
    this->submitCall("urgent", 0, milliseconds(-10), milliseconds(-5));
    this->submitCall("patient", 2, milliseconds(500), milliseconds(9000));
    BOOST_TEST(this->next() == "urgent");
    BOOST_TEST(this->next() == "patient");
    BOOST_TEST(this->queue.costs.lastChances == 1u);
}

// Of equals, one served on time costs callers less than two served late.
BOOST_AUTO_TEST_CASE(burst_lateAtItsLastChance_goesBehindInTimeOfSamePriority)
{
    this->submitCall("late", 0, milliseconds(-10), milliseconds(340));
    this->submitCall("in-time", 0, milliseconds(500), milliseconds(9000));
    this->now += milliseconds(350);
    BOOST_TEST(this->next() == "in-time");
}

BOOST_AUTO_TEST_CASE(burst_patientAtItsLastChance_doesNotGoBeforeUrgentInTime)
{
    this->submitCall("patient", 2, milliseconds(-10), milliseconds(-5));
    this->submitCall("urgent", 0, milliseconds(500), milliseconds(9000));
    BOOST_TEST(this->next() == "urgent");
}

BOOST_AUTO_TEST_CASE(todaysOrder_lateUrgentAtItsLastChance_waitsBehindPatientInTime)
{
    this->queue.order = QueueOrder::OnTimeFirst;
    this->submitCall("urgent", 0, milliseconds(-10), milliseconds(-5));
    this->submitCall("patient", 2, milliseconds(500), milliseconds(9000));
    BOOST_TEST(this->next() == "patient");
}

// Six calls of urgent pieces are ahead, which take 2.2 s; the last late one has 1.4 s.
BOOST_AUTO_TEST_CASE(overload_moreGoesBeforeThanThereIsTimeFor_isTurnedAwayAtOnce)
{
    for (const char *name : {"u1", "u2", "u3", "u4", "u5", "u6"})
        this->submitCall(name, 0, milliseconds(4000), milliseconds(9000));
    this->submitCall("hopeless", 1, milliseconds(-10), milliseconds(1240));
    this->submitCall("possible", 1, milliseconds(-10), milliseconds(6000));
    this->next();
    BOOST_TEST(this->queue.costs.turnedAway == 1u);
    BOOST_REQUIRE(this->settled.size() == 8u);
    BOOST_TEST((this->settled.front().outcome == PieceOutcome::Expired));
    // Room for it is behind the six calls and the other late one.
    BOOST_REQUIRE(this->settled.front().roomIn);
    BOOST_TEST(Common::toMilliseconds(*this->settled.front().roomIn) >= 6 * 360);
    BOOST_TEST(this->queue.costs.last.priority == 1);
    BOOST_TEST(this->queue.costs.last.ahead == 48u);
}

BOOST_AUTO_TEST_CASE(overload_lessUrgentWaits_urgentIsNotTurnedAwayForIt)
{
    for (const char *name : {"p1", "p2", "p3", "p4", "p5", "p6"})
        this->submitCall(name, 2, milliseconds(4000), milliseconds(9000));
    this->submitCall("urgent", 0, milliseconds(-10), milliseconds(-5));
    BOOST_TEST(this->next() == "urgent");
    BOOST_TEST(this->queue.costs.turnedAway == 0u);
}

// Nobody knows for how long, so that those waiting are not turned away before their time.
BOOST_AUTO_TEST_CASE(allWorkersLost_nobodyIsTurnedAwayEarly)
{
    this->list(0);
    for (const char *name : {"u1", "u2", "u3", "u4", "u5", "u6"})
        this->submitCall(name, 0, milliseconds(4000), milliseconds(9000));
    this->submitCall("late", 1, milliseconds(-10), milliseconds(1240));
    this->next();
    BOOST_TEST(this->settled.empty());
    BOOST_TEST(!roomIn(this->queue, 0, this->now));
}

BOOST_AUTO_TEST_CASE(roomForTheUrgent_isSoonerThanForThePatient)
{
    this->submitCall("u", 0, milliseconds(4000), milliseconds(9000));
    this->submitCall("p", 2, milliseconds(4000), milliseconds(9000));
    BOOST_TEST(Common::toMilliseconds(*roomIn(this->queue, 0, this->now)) == 360);
    BOOST_TEST(Common::toMilliseconds(*roomIn(this->queue, 2, this->now)) == 720);
}

// Urgent requests alone take all room. A patient one of which nearly all were turned away goes
// first, until its priority is served a third as often as all.
BOOST_AUTO_TEST_CASE(overloadThatLasts_patientKindIsStarved_goesFirst)
{
    for (int i = 0; i < 30; ++i) {
        noteServed(this->queue.shares, 0, this->now);
        noteTurnedAway(this->queue.shares, 2, this->now);
    }
    this->submitCall("patient", 2, milliseconds(-10), milliseconds(-5));
    this->submitCall("urgent", 0, milliseconds(500), milliseconds(9000));
    BOOST_TEST(this->next() == "patient");
    BOOST_TEST(this->queue.costs.starved == 1u);
    for (int i = 0; i < 30; ++i)
        noteServed(this->queue.shares, 2, this->now);
    BOOST_TEST(!isStarved(this->queue.shares, 2));
}

BOOST_AUTO_TEST_CASE(overloadIsOver_sharesAreForgotten)
{
    for (int i = 0; i < 30; ++i) {
        noteServed(this->queue.shares, 0, this->now);
        noteTurnedAway(this->queue.shares, 2, this->now);
    }
    BOOST_TEST(isStarved(this->queue.shares, 2));
    noteServed(this->queue.shares, 0, this->now + std::chrono::seconds(60));
    BOOST_TEST(!isStarved(this->queue.shares, 2));
}

BOOST_AUTO_TEST_CASE(piecesWait_scarceResourceIsNamed)
{
    BOOST_TEST((scarceResource(this->queue, this->now) == ScarceResource::None));
    this->submitCall("r1", 0, milliseconds(500), milliseconds(9000));
    this->submitCall("r2", 0, milliseconds(500), milliseconds(9000));
    planCalls(this->queue, this->now, this->settled);
    BOOST_TEST((scarceResource(this->queue, this->now) == ScarceResource::StageCalls));
    this->list(2);
    BOOST_TEST((scarceResource(this->queue, this->now) == ScarceResource::ResultMemory));
}

// Results of the stage before live for 4 s, so that a piece with inputs has its last chance before
// they are gone, however patient its caller is.
BOOST_AUTO_TEST_CASE(inputsLiveShorterThanTheCallerWaits_lastChanceIsBeforeTheirEnd)
{
    Catalog::Catalog catalog;
    catalog.services["encode"].name = "encode";
    catalog.services["encode"].batching = this->queue.batching;
    const std::vector<Catalog::Stage> stages{{"encode", {}, 8'000}, {"encode", {0}, 8'000}};
    BOOST_TEST(!inputLifetime(catalog, stages, 0));
    BOOST_TEST(Common::toMilliseconds(*inputLifetime(catalog, stages, 1)) == 4000 - 360);
}

BOOST_AUTO_TEST_CASE(prioritiesOfRoutesAndWorkspaces_areSeveralOrNot)
{
    Catalog::Catalog catalog;
    catalog.routes.resize(2);
    for (Catalog::Route &route : catalog.routes)
        route.stages = {{"encode", {}, 8'000}};
    BOOST_TEST(!hasSeveralPriorities(catalog, "encode"));
    catalog.routes[1].priority = 2;
    BOOST_TEST(hasSeveralPriorities(catalog, "encode"));
    catalog.routes[1].stages.clear();
    BOOST_TEST(!hasSeveralPriorities(catalog, "encode"));
    catalog.workspaces.resize(1);
    catalog.workspaces[0].priority = 1;
    BOOST_TEST(hasSeveralPriorities(catalog, "encode"));
}

BOOST_AUTO_TEST_SUITE_END()
