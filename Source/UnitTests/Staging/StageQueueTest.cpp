// Behaviour of the stage queue under load patterns and endpoint failures. Each case name starts
// with the condition that it covers.
#include "Staging/StageQueue.h"

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Staging;
using std::chrono::milliseconds;

namespace {

struct StageQueueFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    StageQueue queue;
    std::vector<SettledPiece> settled;
    std::vector<Routing::Endpoint> listed;
    int requests = 0;

    StageQueueFixture()
    {
        this->queue.service = "encode";
        this->queue.batching.maxPieces = 8;
        this->queue.batching.callTime = milliseconds(200);
        this->queue.batching.pieceTime = milliseconds(20);
        this->queue.batching.resultMemoryBytes = 18'000'000;
        this->queue.batching.resultLifetime = std::chrono::seconds(4);
        for (int i = 0; i < 3; ++i) {
            Routing::Endpoint endpoint;
            endpoint.id = Common::EndpointId("s" + std::to_string(i));
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(9100 + i)};
            endpoint.failureDomain
                = Common::FailureDomain(std::string(1, static_cast<char>('a' + i)));
            this->listed.push_back(endpoint);
        }
        applyEndpoints(this->queue, this->listed, this->now);
    }

    PieceRequest piece(const std::string &request, std::uint64_t bytes = 8'000)
    {
        PieceRequest made;
        made.requestId = request;
        made.resultBytes = bytes;
        made.startBy = this->now + milliseconds(400);
        made.expiresAt = this->now + std::chrono::seconds(5);
        return made;
    }

    std::vector<PieceTicket> submitGroup(PieceRequest request, int count)
    {
        std::vector<PieceTicket> tickets;
        for (int i = 0; i < count; ++i) {
            request.piece = static_cast<std::uint32_t>(i);
            tickets.push_back(submit(this->queue, request, this->now));
        }
        return tickets;
    }

    std::vector<PlannedCall> plan()
    {
        return planCalls(this->queue, this->now, this->settled);
    }

    std::vector<SettledPiece> answer(const PlannedCall &call)
    {
        std::vector<PieceResult> results;
        for (const QueuedPiece &piece : call.pieces)
            results.push_back({PieceAnswer::Made, "h" + std::to_string(piece.ticket)});
        return callAnswered(this->queue, call.number, results, this->now);
    }

    // Removes all endpoints but one.
    void keepOneEndpoint()
    {
        this->listed.resize(1);
        applyEndpoints(this->queue, this->listed, this->now);
    }

    static std::set<std::string> requestsIn(const PlannedCall &call)
    {
        std::set<std::string> requests;
        for (const QueuedPiece &piece : call.pieces)
            requests.insert(piece.request.requestId);
        return requests;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StageQueueSuite, StageQueueFixture)

BOOST_AUTO_TEST_CASE(lowLoad_onePieceWaits_isSentAtOnce)
{
    submit(this->queue, this->piece("r"), this->now);
    const auto calls = this->plan();
    BOOST_TEST(calls.size() == 1u);
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(burst_oneEndpointFree_callContainsWholeRequests)
{
    this->keepOneEndpoint();
    for (const char *request : {"r1", "r2", "r3"})
        this->submitGroup(this->piece(request, 1'500'000), 3);
    const auto calls = this->plan();
    BOOST_TEST(calls.size() == 1u);
    // Two requests of three pieces; part of the third would occupy memory without any benefit.
    BOOST_TEST(calls.front().pieces.size() == 6u);
}

BOOST_AUTO_TEST_CASE(burst_smallResults_callIsFilledWithPartOfARequest)
{
    this->keepOneEndpoint();
    for (const char *request : {"r1", "r2", "r3"})
        this->submitGroup(this->piece(request), 3);
    BOOST_TEST(this->plan().front().pieces.size() == 8u);
}

BOOST_AUTO_TEST_CASE(burst_higherPriorityWaits_goesFirst)
{
    this->keepOneEndpoint();
    PieceRequest patient = this->piece("patient");
    patient.priority = 2;
    this->submitGroup(patient, 8);
    PieceRequest urgent = this->piece("urgent");
    urgent.priority = 0;
    this->submitGroup(urgent, 8);
    BOOST_TEST(requestsIn(this->plan().front()) == std::set<std::string>{"urgent"});
}

BOOST_AUTO_TEST_CASE(overload_lateRequest_waitsBehindThoseInTime)
{
    this->keepOneEndpoint();
    PieceRequest late = this->piece("late");
    late.startBy = this->now - milliseconds(1);
    this->submitGroup(late, 8);
    this->submitGroup(this->piece("in-time"), 8);
    BOOST_TEST(requestsIn(this->plan().front()) == std::set<std::string>{"in-time"});
}

// A queue that serves late requests in turn makes the requests behind them late as well.
BOOST_AUTO_TEST_CASE(sustainedOverload_lateRequestWithInputs_waitsBehindThoseInTime)
{
    this->keepOneEndpoint();
    PieceRequest late = this->piece("late");
    late.inputs = std::vector<std::string>{"w/1"};
    late.startBy = this->now - milliseconds(1);
    this->submitGroup(late, 8);
    this->submitGroup(this->piece("in-time"), 8);
    BOOST_TEST(requestsIn(this->plan().front()) == std::set<std::string>{"in-time"});
}

BOOST_AUTO_TEST_CASE(sustainedOverload_onlyLateRequestsWait_newestGoesFirst)
{
    this->keepOneEndpoint();
    for (const int age : {300, 100, 200}) {
        PieceRequest late = this->piece("late-" + std::to_string(age));
        late.startBy = this->now - milliseconds(age);
        this->submitGroup(late, 8);
    }
    BOOST_TEST(requestsIn(this->plan().front()) == std::set<std::string>{"late-100"});
}

BOOST_AUTO_TEST_CASE(firstComeOrder_servesPiecesInOrderOfArrival)
{
    this->keepOneEndpoint();
    this->queue.order = QueueOrder::FirstCome;
    PieceRequest late = this->piece("first");
    late.startBy = this->now - milliseconds(1);
    this->submitGroup(late, 8);
    this->submitGroup(this->piece("second"), 8);
    BOOST_TEST(requestsIn(this->plan().front()) == std::set<std::string>{"first"});
}

BOOST_AUTO_TEST_CASE(overload_requestCannotEndInTime_isExpiredAndNotSent)
{
    PieceRequest expired = this->piece("expired");
    expired.expiresAt = this->now + milliseconds(100);
    submit(this->queue, expired, this->now);
    BOOST_TEST(this->plan().empty());
    BOOST_TEST(this->settled.size() == 1u);
    BOOST_TEST((this->settled.front().outcome == PieceOutcome::Expired));
}

BOOST_AUTO_TEST_CASE(memoryFull_resultsAreHeld_nextCallTakesOnlyWhatFits)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("r1", 1'500'000), 8);
    this->answer(this->plan().front());
    this->submitGroup(this->piece("r2", 1'500'000), 4);
    // 12 MB of 16.5 MB are in use; four more results would need 6 MB.
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(memoryFull_resultsWereFetched_areEvictedForNextCall)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("r1", 1'500'000), 8);
    const auto made = this->answer(this->plan().front());
    for (const SettledPiece &piece : made)
        markEvictable(this->queue, piece.producer, piece.handle, this->now);
    this->submitGroup(this->piece("r2", 1'500'000), 4);
    const auto calls = this->plan();
    BOOST_TEST(calls.size() == 1u);
    BOOST_TEST(calls.front().pieces.size() == 4u);
    BOOST_TEST(!calls.front().freeFirst.empty());
}

BOOST_AUTO_TEST_CASE(memoryFull_resultsAreReleased_areFreedAtTheirEndpoint)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("r1", 1'500'000), 8);
    const auto made = this->answer(this->plan().front());
    for (const SettledPiece &piece : made)
        release(this->queue, piece.producer, piece.handle);
    const auto orders = takeFreeOrders(this->queue, this->now);
    BOOST_TEST(orders.size() == 1u);
    BOOST_TEST(orders.front().handles.size() == 8u);
    this->submitGroup(this->piece("r2", 1'500'000), 8);
    BOOST_TEST(this->plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(memoryFull_resultsExpire_memoryIsAvailableAgain)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("r1", 1'500'000), 8);
    this->answer(this->plan().front());
    this->now += std::chrono::seconds(4);
    this->submitGroup(this->piece("r2", 1'500'000), 8);
    BOOST_TEST(this->plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(largeRequest_smallOnesKeepArriving_memoryIsReservedForIt)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("held", 1'500'000), 4);
    this->answer(this->plan().front());
    PieceRequest large = this->piece("large", 1'500'000);
    large.startBy = this->now + milliseconds(100);
    this->submitGroup(large, 8);
    this->submitGroup(this->piece("small", 1'500'000), 2);
    BOOST_TEST(this->plan().empty());
}

BOOST_AUTO_TEST_CASE(largeResults_nearDomainIsBusyButInTime_waitForIt)
{
    PieceRequest request = this->piece("r", 1'500'000);
    request.nearTo = Common::FailureDomain("a");
    request.transferBytes = request.resultBytes;
    this->submitGroup(request, 2);
    auto calls = this->plan();
    BOOST_TEST(calls.size() == 1u);
    BOOST_TEST(calls.front().endpoint.failureDomain.value == "a");
    request.requestId = "r2";
    this->submitGroup(request, 2);
    BOOST_TEST(this->plan().empty());
    // Waiting for the near domain would miss the start deadline.
    this->now += milliseconds(410);
    calls = this->plan();
    BOOST_REQUIRE(calls.size() == 1u);
    BOOST_TEST(calls.front().endpoint.failureDomain.value != "a");
}

BOOST_AUTO_TEST_CASE(overdueCall_piecesGoToAnotherEndpoint_firstResultWins)
{
    const auto tickets = this->submitGroup(this->piece("r"), 2);
    const auto first = this->plan();
    this->now += milliseconds(800);
    requeueOverdue(this->queue, this->now);
    const auto second = this->plan();
    BOOST_TEST(second.size() == 1u);
    BOOST_TEST((second.front().endpoint.id != first.front().endpoint.id));
    BOOST_TEST(this->answer(second.front()).size() == 2u);
    BOOST_TEST(this->answer(first.front()).empty());
    // The duplicate results are freed.
    BOOST_TEST(hasFreeOrders(this->queue, this->now));
}

BOOST_AUTO_TEST_CASE(slowEndpoint_smallBacklog_isNotUsed)
{
    this->submitGroup(this->piece("r"), 1);
    const auto first = this->plan();
    this->now += milliseconds(1500);
    this->answer(first.front());
    this->submitGroup(this->piece("r2"), 1);
    const auto second = this->plan();
    BOOST_TEST(second.size() == 1u);
    BOOST_TEST((second.front().endpoint.id != first.front().endpoint.id));
}

BOOST_AUTO_TEST_CASE(ownerChanges_onlyWaitingPiecesAreHandedOver)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("sent"), 8);
    const auto calls = this->plan();
    BOOST_REQUIRE(calls.size() == 1u);
    const auto waiting = this->submitGroup(this->piece("waits"), 3);
    BOOST_TEST(takeWaiting(this->queue, 99) == waiting);
    BOOST_TEST(this->answer(calls.front()).size() == 8u);
    BOOST_TEST(this->queue.pieces.empty());
}

// Two instances that each consider the other the owner would hand the piece over endlessly.
BOOST_AUTO_TEST_CASE(ownersDisagree_pieceAtHandOverLimit_stays)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("sent"), 8);
    this->plan();
    PieceRequest moved = this->piece("moved");
    moved.handOverCount = 2;
    this->submitGroup(moved, 1);
    BOOST_TEST(takeWaiting(this->queue, 99).empty());
}

BOOST_AUTO_TEST_CASE(endpointUnreachable_callFails_piecesAreSentElsewhere)
{
    this->submitGroup(this->piece("r"), 3);
    const auto first = this->plan();
    BOOST_TEST(
        callFailed(this->queue, first.front().number, CallFault::Unreachable, this->now).empty());
    const auto second = this->plan();
    BOOST_TEST(second.size() == 1u);
    BOOST_TEST(second.front().pieces.size() == 3u);
    BOOST_TEST((second.front().endpoint.id != first.front().endpoint.id));
}

// Two simultaneous owners fill the endpoints' queues; the refusals say nothing about the endpoints'
// health.
BOOST_AUTO_TEST_CASE(otherOwnerFillsTheEndpoint_callsAreRefused_endpointIsRetriedSoon)
{
    this->keepOneEndpoint();
    this->submitGroup(this->piece("r"), 1);
    for (int i = 0; i < 8; ++i) {
        const auto calls = this->plan();
        BOOST_REQUIRE(calls.size() == 1u);
        BOOST_TEST(
            callFailed(this->queue, calls.front().number, CallFault::Refused, this->now).empty());
        BOOST_TEST(this->plan().empty());
        this->now += this->queue.batching.callTime / 2;
    }
    BOOST_TEST(this->plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(repeatedCallFailures_piecesAreGivenUp)
{
    this->submitGroup(this->piece("r"), 1);
    std::vector<SettledPiece> ended;
    for (int i = 0; i < 20 && ended.empty(); ++i) {
        for (const PlannedCall &call : this->plan())
            ended = callFailed(this->queue, call.number, CallFault::Lost, this->now);
        this->now += milliseconds(100);
    }
    BOOST_TEST(ended.size() == 1u);
    BOOST_TEST((ended.front().outcome == PieceOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(endpointLeaves_getsNoNewCalls)
{
    for (Routing::Endpoint &endpoint : this->listed)
        endpoint.state = Routing::EndpointState::Leaving;
    this->listed.back().state = Routing::EndpointState::Live;
    applyEndpoints(this->queue, this->listed, this->now);
    this->submitGroup(this->piece("r1"), 8);
    this->submitGroup(this->piece("r2"), 8);
    const auto calls = this->plan();
    BOOST_TEST(calls.size() == 1u);
    BOOST_TEST((calls.front().endpoint.id == this->listed.back().id));
}

BOOST_AUTO_TEST_CASE(callerLeaves_piecesAreWithdrawn_resultsOfOpenCallsAreFreed)
{
    const auto tickets = this->submitGroup(this->piece("r"), 2);
    const auto calls = this->plan();
    for (const PieceTicket ticket : tickets)
        withdraw(this->queue, ticket);
    BOOST_TEST(this->answer(calls.front()).empty());
    BOOST_TEST(takeFreeOrders(this->queue, this->now).front().handles.size() == 2u);
}

BOOST_AUTO_TEST_CASE(nextStageLags_resultsWaitLong_unfetchedLimitShrinks)
{
    this->keepOneEndpoint();
    for (int round = 0; round < 40; ++round) {
        this->submitGroup(this->piece("r" + std::to_string(round), 1'500'000), 4);
        const auto calls = this->plan();
        BOOST_REQUIRE(calls.size() == 1u);
        const auto made = this->answer(calls.front());
        this->now += milliseconds(900);
        for (const SettledPiece &piece : made) {
            markEvictable(this->queue, piece.producer, piece.handle, this->now);
            release(this->queue, piece.producer, piece.handle);
        }
        takeFreeOrders(this->queue, this->now);
    }
    BOOST_TEST(this->queue.maxUnfetchedFraction < 0.5);
    this->submitGroup(this->piece("a", 1'500'000), 4);
    BOOST_TEST(this->plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(wrongNumberOfResults_callCountsAsLost)
{
    this->submitGroup(this->piece("r"), 2);
    const auto calls = this->plan();
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h"}};
    BOOST_TEST(callAnswered(this->queue, calls.front().number, results, this->now).empty());
    BOOST_TEST(this->queue.waiting.pieceCount == 2u);
}

BOOST_AUTO_TEST_CASE(onlyTheFirstAnswerToItsOwnCallSettlesAPiece)
{
    this->submitGroup(this->piece("r"), 1);
    const auto calls = this->plan();
    BOOST_TEST(callAnswered(this->queue, calls.front().number + 1, {}, this->now).empty());
    BOOST_TEST(this->answer(calls.front()).size() == 1u);
    BOOST_TEST(this->answer(calls.front()).empty());
}

// Guards against the copy of an earlier answer being taken for the answer to this call.
BOOST_AUTO_TEST_CASE(answer_repeatsResultsOfAnotherPiece_belongsToAnotherCall)
{
    this->keepOneEndpoint();
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall first = this->plan().front();
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h1"}};
    BOOST_TEST((matchAnswer(this->queue, first, results, this->now) == AnswerMatch::ThisCall));
    callAnswered(this->queue, first.number, results, this->now);
    submit(this->queue, this->piece("r2"), this->now);
    const PlannedCall second = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, second, results, this->now) == AnswerMatch::EarlierCall));
    BOOST_TEST((matchAnswer(this->queue, second, {{PieceAnswer::Made, "h2"}}, this->now)
                == AnswerMatch::ThisCall));
    BOOST_TEST((matchAnswer(this->queue, first, {}, this->now) == AnswerMatch::EarlierCall));
}

// Guards against results that are given to another request (MIXED): a piece is made again, and the
// copy of its first answer comes in place of the second, which would be the next call's. Whether it
// is the copy cannot be told.
BOOST_AUTO_TEST_CASE(answer_repeatsResultsOfTheSamePiece_mayBeTheCopyOfAnEarlierOne)
{
    this->keepOneEndpoint();
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall first = this->plan().front();
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h1"}};
    BOOST_TEST((matchAnswer(this->queue, first, results, this->now) == AnswerMatch::ThisCall));
    callAnswered(this->queue, first.number, results, this->now);
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall again = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, again, results, this->now) == AnswerMatch::MayBeEarlier));
    BOOST_TEST((matchAnswer(this->queue, again, {{PieceAnswer::Made, "h2"}}, this->now)
                == AnswerMatch::ThisCall));
}

// Guards against results that are given to another request: the endpoint was not listed for a
// moment, and the copy of an earlier answer comes over a connection from before.
BOOST_AUTO_TEST_CASE(answer_isRepeatedAfterItsEndpointWasUnlisted_isNoAnswerToAnotherCall)
{
    this->keepOneEndpoint();
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall first = this->plan().front();
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h1"}};
    BOOST_TEST((matchAnswer(this->queue, first, results, this->now) == AnswerMatch::ThisCall));
    callAnswered(this->queue, first.number, results, this->now);
    this->now += this->queue.batching.resultLifetime;
    applyEndpoints(this->queue, {}, this->now);
    BOOST_REQUIRE(this->queue.endpoints.empty());
    this->now += milliseconds(8000);
    applyEndpoints(this->queue, this->listed, this->now);
    submit(this->queue, this->piece("r2"), this->now);
    const PlannedCall second = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, second, results, this->now) == AnswerMatch::EarlierCall));
    BOOST_TEST((matchAnswer(this->queue, second, {{PieceAnswer::Made, "h2"}}, this->now)
                == AnswerMatch::ThisCall));
}

// Guards against results that are given to another request (MIXED): the copy of an answer comes
// over a connection that was idle while the endpoint returned more results than are remembered.
BOOST_AUTO_TEST_CASE(answer_moreResultsThanAreRemembered_olderConnectionsAreNotReused)
{
    constexpr int kManyResults = 600;
    this->keepOneEndpoint();
    const Common::EndpointId endpoint = this->listed.front().id;
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall first = this->plan().front();
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h1"}};
    matchAnswer(this->queue, first, results, this->now);
    callAnswered(this->queue, first.number, results, this->now);
    const Common::Time idleSince = this->now;
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) <= idleSince));
    for (int i = 0; i < kManyResults; ++i) {
        this->now += milliseconds(10);
        submit(this->queue, this->piece("other" + std::to_string(i)), this->now);
        const PlannedCall call = this->plan().front();
        const std::vector<PieceResult> made{{PieceAnswer::Made, "o" + std::to_string(i)}};
        matchAnswer(this->queue, call, made, this->now);
        callAnswered(this->queue, call.number, made, this->now);
    }
    // Its copy would be taken for the answer to this call.
    submit(this->queue, this->piece("r2"), this->now);
    const PlannedCall next = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, next, results, this->now) == AnswerMatch::ThisCall));
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) > idleSince));
    // Connections that were used lately are kept.
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) < this->now));
}

// Guards against results that are given to another request (MIXED): a late row names the process
// before for a while, and the copy of an answer comes over a connection from before the last
// change.
BOOST_AUTO_TEST_CASE(answer_rowNamesAnotherProcessForAWhile_olderConnectionsAreNotReused)
{
    this->keepOneEndpoint();
    const Common::EndpointId endpoint = this->listed.front().id;
    const std::uint64_t running = this->listed.front().incarnation;
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) == Common::Time::min()));
    for (const std::uint64_t incarnation : {running + 1, running}) {
        const Common::Time idleSince = this->now;
        this->now += milliseconds(1200);
        this->listed.front().incarnation = incarnation;
        applyEndpoints(this->queue, this->listed, this->now);
        BOOST_TEST((reusableIdleSince(this->queue, endpoint) > idleSince));
        BOOST_TEST((reusableIdleSince(this->queue, endpoint) >= this->now));
    }
    // The same after a time in which it was not listed.
    applyEndpoints(this->queue, {}, this->now);
    this->now += milliseconds(1200);
    this->listed.front().incarnation = running + 1;
    applyEndpoints(this->queue, this->listed, this->now);
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) >= this->now));
    // Connections that were made since are kept.
    this->now += milliseconds(5000);
    applyEndpoints(this->queue, this->listed, this->now);
    BOOST_TEST((reusableIdleSince(this->queue, endpoint) < this->now));
}

// Guards against results that are given to another request (MIXED): a call is open while a late row
// names another process, and the copy of an earlier answer comes before its own.
BOOST_AUTO_TEST_CASE(answer_rowNamedAnotherProcessMeanwhile_isNoAnswerToTheCall)
{
    this->keepOneEndpoint();
    const std::uint64_t running = this->listed.front().incarnation;
    const std::vector<PieceResult> results{{PieceAnswer::Made, "h1"}};
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall call = this->plan().front();
    for (const std::uint64_t incarnation : {running + 1, running}) {
        this->now += milliseconds(100);
        this->listed.front().incarnation = incarnation;
        applyEndpoints(this->queue, this->listed, this->now);
        BOOST_TEST(
            (matchAnswer(this->queue, call, results, this->now) == AnswerMatch::EarlierCall));
    }
    callFailed(this->queue, call.number, CallFault::Lost, this->now);
    const PlannedCall again = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, again, {{PieceAnswer::Made, "h2"}}, this->now)
                == AnswerMatch::ThisCall));
}

// Guards against a memory of all endpoints that were ever listed.
BOOST_AUTO_TEST_CASE(endpoints_comeAndGo_areForgottenAfterAWhile)
{
    for (int i = 0; i < 100; ++i) {
        for (Routing::Endpoint &endpoint : this->listed)
            endpoint.id = Common::EndpointId("e" + std::to_string(i) + endpoint.id.value);
        applyEndpoints(this->queue, this->listed, this->now);
        this->now += std::chrono::seconds(1);
        applyEndpoints(this->queue, {}, this->now);
    }
    BOOST_TEST(this->queue.endpoints.empty());
    BOOST_TEST(this->queue.formerEndpoints.size() <= 11 * this->listed.size());
}

// An endpoint that has restarted may number its results anew.
BOOST_AUTO_TEST_CASE(answer_ofARestartedEndpoint_mayUseHandlesOfTheEarlierProcess)
{
    this->keepOneEndpoint();
    submit(this->queue, this->piece("r1"), this->now);
    const PlannedCall first = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, first, {{PieceAnswer::Made, "h1"}}, this->now)
                == AnswerMatch::ThisCall));
    this->listed.front().incarnation = 2;
    applyEndpoints(this->queue, this->listed, this->now);
    submit(this->queue, this->piece("r2"), this->now);
    const PlannedCall second = this->plan().front();
    BOOST_TEST((matchAnswer(this->queue, second, {{PieceAnswer::Made, "h1"}}, this->now)
                == AnswerMatch::ThisCall));
}

// Guards against stage calls beyond the limit that an endpoint states for all instances.
BOOST_AUTO_TEST_CASE(endpointStatesLimit_getsCallsAtThreeQuartersOfIt)
{
    this->listed.resize(1);
    this->listed[0].statedLimit = 1;
    applyEndpoints(this->queue, this->listed, this->now);
    int calls = 0;
    const Common::Time end = this->now + std::chrono::seconds(40);
    for (; this->now < end; this->now += milliseconds(20)) {
        PieceRequest request = this->piece("r");
        request.expiresAt = this->now + milliseconds(500);
        submit(this->queue, request, this->now);
        for (const PlannedCall &call : planCalls(this->queue, this->now, this->settled)) {
            ++calls;
            callFailed(this->queue, call.number, CallFault::Refused, this->now);
        }
    }
    BOOST_TEST(calls >= 27);
    BOOST_TEST(calls <= 31);
}

// Guards against calls that wait for the lifetime of results because limited endpoints are sent no
// orders to free them.
BOOST_AUTO_TEST_CASE(endpointStatesLimit_memoryIsNeeded_resultsAreFreedBeforeTheCall)
{
    this->listed.resize(1);
    this->listed[0].statedLimit = 8;
    applyEndpoints(this->queue, this->listed, this->now);
    constexpr std::uint64_t kLargeResult = 10'000'000;
    int calls = 0;
    int sends = 0;
    const Common::Time end = this->now + std::chrono::seconds(8);
    for (; this->now < end; this->now += milliseconds(10)) {
        PieceRequest request = this->piece("r" + std::to_string(++this->requests), kLargeResult);
        request.expiresAt = this->now + milliseconds(300);
        submit(this->queue, request, this->now);
        for (const PlannedCall &call : planCalls(this->queue, this->now, this->settled)) {
            ++calls;
            sends += call.freeFirst.empty() ? 1 : 2;
            const std::string handle = "h" + std::to_string(calls);
            callAnswered(this->queue, call.number, {{PieceAnswer::Made, handle}}, this->now);
            release(this->queue, call.endpoint.id, handle);
        }
    }
    // Six sends a second, of which each call but the first needs two; the lifetime of 4 s alone
    // would permit two calls.
    BOOST_TEST(calls >= 23);
    BOOST_TEST(sends <= 50);
}

BOOST_AUTO_TEST_CASE(endpointStatesLimit_nextWake_isItsPermit)
{
    this->listed.resize(1);
    this->listed[0].statedLimit = 3;
    applyEndpoints(this->queue, this->listed, this->now);
    this->submitGroup(this->piece("a"), 1);
    BOOST_REQUIRE(planCalls(this->queue, this->now, this->settled).size() == 1u);
    callFailed(this->queue, 1, CallFault::Refused, this->now);
    BOOST_TEST(planCalls(this->queue, this->now + milliseconds(200), this->settled).empty());
    const auto wake = nextWakeAt(this->queue, this->now + milliseconds(200));
    BOOST_TEST((wake.value() - this->now > milliseconds(440)));
    BOOST_TEST((wake.value() - this->now < milliseconds(450)));
}

BOOST_AUTO_TEST_CASE(endpointPermitsNoCalls_piecesWaitUntilTheyExpire)
{
    this->listed.resize(1);
    this->listed[0].statedLimit = 0;
    applyEndpoints(this->queue, this->listed, this->now);
    this->submitGroup(this->piece("a"), 2);
    BOOST_TEST(planCalls(this->queue, this->now, this->settled).empty());
    BOOST_TEST(this->settled.size() == 2u);
    this->submitGroup(this->piece("b"), 1);
    BOOST_TEST((nextWakeAt(this->queue, this->now).value() < Common::Time::max()));
}

BOOST_AUTO_TEST_CASE(endpointStatesLimitAfterCallWasPlanned_callIsNotBegun)
{
    this->submitGroup(this->piece("a"), 1);
    const auto plans = planCalls(this->queue, this->now, this->settled);
    BOOST_REQUIRE(plans.size() == 1u);
    BOOST_TEST(mayBegin(this->queue, plans[0]));
    for (Routing::Endpoint &endpoint : this->listed)
        endpoint.statedLimit = 2;
    applyEndpoints(this->queue, this->listed, this->now);
    BOOST_TEST(!mayBegin(this->queue, plans[0]));
}

BOOST_AUTO_TEST_CASE(endpointStatesLimit_resultsAreNotFreedByOrders)
{
    this->submitGroup(this->piece("a"), 1);
    const auto plans = planCalls(this->queue, this->now, this->settled);
    const auto made
        = callAnswered(this->queue, plans.at(0).number, {{PieceAnswer::Made, "h"}}, this->now);
    release(this->queue, made.at(0).producer, "h");
    BOOST_TEST(hasFreeOrders(this->queue, this->now));
    for (Routing::Endpoint &endpoint : this->listed)
        endpoint.statedLimit = 2;
    applyEndpoints(this->queue, this->listed, this->now);
    BOOST_TEST(!hasFreeOrders(this->queue, this->now));
    BOOST_TEST(takeFreeOrders(this->queue, this->now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
