// The queue of one stage service: pieces waiting for its endpoints and the calls (batches) that are
// composed of them.
//
// One instance owns the queue of a service; the others submit their pieces to it. The functions
// take the current time as a parameter, so tests drive the queue without a network. Two
// simultaneous owners waste work but are safe: a piece may be computed twice.
#pragma once

#include "Catalog/Catalog.h"
#include "Common/Address.h"
#include "Routing/Endpoint.h"
#include "Staging/ResultOrigins.h"
#include "Staging/ServedShares.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace Tanagerbay::Staging {

struct PieceRequest
{
    std::string requestId;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    // Input key of a stage that depends on no other stage.
    std::string key;
    // Result handles of the preceding stages; unset for a stage that depends on no other stage.
    std::optional<std::vector<std::string>> inputs;
    std::uint64_t resultBytes = 0;
    // The failure domain of the inputs or of the consumer, and the bytes that cross failure domains
    // if the piece runs elsewhere.
    Common::FailureDomain nearTo;
    std::uint64_t transferBytes = 0;
    // Zero is the most urgent.
    int priority = 0;
    // Latest start time with which the request can still meet its objective.
    Common::Time startBy;
    // The result is useless after this time.
    Common::Time expiresAt;
    // Latest start with which, by plan, the request can still be answered, if late. Unset where the
    // submitter does not say it; the queue then reckons with one call.
    std::optional<Common::Time> lastStartBy;
    // Number of times the piece was handed over from one owner's queue to another's.
    std::uint32_t handOverCount = 0;
};

// Identifies a submitted piece until it is settled.
using PieceTicket = std::uint64_t;
using CallNumber = std::uint64_t;

enum class PieceOutcome {
    Made,
    // The request can no longer finish in time.
    Expired,
    // An input is no longer available.
    InputGone,
    // Given up after repeated failures.
    Failed,
};

} // namespace Tanagerbay::Staging

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Staging::PieceOutcome>
{
    using Outcome = Staging::PieceOutcome;
    static constexpr NameTable<Outcome, 4> table = {{
        {Outcome::Made, "made"},
        {Outcome::Expired, "expired"},
        {Outcome::InputGone, "input-gone"},
        {Outcome::Failed, "failed"},
    }};
};

namespace Tanagerbay::Staging {

struct SettledPiece
{
    PieceTicket ticket = 0;
    PieceOutcome outcome = PieceOutcome::Failed;
    // Handle of the result and the endpoint that holds it, if the piece was made.
    std::string handle;
    Common::EndpointId producer;
    // When the stage will have room again, for a piece that expired because others went first.
    std::optional<Common::Duration> roomIn;
};

// Status that an endpoint reports for one piece of a call.
enum class PieceAnswer { Made, Late, InputGone, NoRoom, Error };

struct PieceResult
{
    PieceAnswer answer = PieceAnswer::Error;
    std::string handle;
};

struct QueuedPiece
{
    PieceTicket ticket = 0;
    PieceRequest request;
    Common::Time queuedAt;
};

// A call that is ready to be sent.
struct PlannedCall
{
    CallNumber number = 0;
    Routing::Endpoint endpoint;
    std::vector<QueuedPiece> pieces;
    Common::Time plannedAt;
    // The call is treated as lost after this time.
    Common::Time deadline;
    // Results that the endpoint has to free before the call, to make memory available for it.
    std::vector<std::string> freeFirst;
};

struct HeldResult
{
    std::uint64_t bytes = 0;
    Common::Time madeAt;
    // The consumer has most likely fetched the result, so it may be evicted when memory is needed.
    bool isEvictable = false;
};

// Results that one endpoint holds. Sums and orders are kept up to date, so that no decision has to
// look at all results.
struct HeldResults
{
    std::unordered_map<std::string, HeldResult> byHandle;
    // Handles in the order in which their lifetime ends; may contain results that are gone.
    std::deque<std::pair<Common::Time, std::string>> byExpiry;
    // Evictable results, oldest mark first; may contain results that are gone.
    std::deque<std::string> evictable;
    std::uint64_t bytes = 0;
    // Part of `bytes` that counts against the limit on unfetched results.
    std::uint64_t unfetchedBytes = 0;
};

struct StageEndpoint
{
    Routing::Endpoint endpoint;
    // False once the endpoint list marks the endpoint as leaving or no longer contains it.
    bool isListed = true;
    std::uint32_t callsInFlight = 0;
    // Memory that the results of its calls in flight will occupy.
    std::uint64_t reservedBytes = 0;
    // Expected end of its calls in flight.
    Common::Time expectedFreeAt;
    // A call takes far longer than expected.
    bool isOverdue = false;
    // No calls are sent before this time, since the endpoint refused a call or reported that its
    // result memory is full.
    Common::Time fullUntil;
    HeldResults held;
    ResultOrigins origins;
    // When the list came to name the endpoint's process.
    Common::Time processSince;
    // Handles of unneeded results whose release has not been sent to the endpoint yet.
    std::vector<std::string> pendingFrees;
};

// What is kept of an endpoint that is not listed any more and has nothing to do. Its connections
// are kept for a while too, and may still bring the copy of an earlier answer once it is listed
// again.
struct FormerEndpoint
{
    Common::Address address;
    std::uint64_t incarnation = 0;
    ResultOrigins origins;
    Common::Time keptUntil;
};

struct OpenPiece
{
    PieceRequest request;
    Common::Time queuedAt;
    std::uint32_t failureCount = 0;
    // Number of open calls that contain the piece.
    std::uint32_t activeCalls = 0;
    bool isQueued = false;
};

struct OpenCall
{
    Common::EndpointId endpoint;
    std::vector<PieceTicket> pieces;
    Common::Time sentAt;
    Common::Duration expectedDuration{0};
    // Memory that its results will occupy.
    std::uint64_t reservedBytes = 0;
};

// Scheduling order of waiting pieces.
enum class QueueOrder {
    // Pieces that can still meet their objective before late ones.
    OnTimeFirst,
    // The same, but late pieces that would be refused if they waited on go before less urgent ones.
    // See CostOrder.h.
    LeastCost,
    // In order of arrival; a baseline for comparison.
    FirstCome,
    // In a pseudo-random order derived from the tickets; a baseline for comparison.
    Random,
};

using GroupId = PieceTicket;

// Position of a group in the scheduling order; lower values go first.
struct GroupRank
{
    bool isLate = false;
    int priority = 0;
    // Late, and refused if it waits on. Goes behind what can be on time of the same priority.
    bool isLastChance = false;
    std::int64_t order = 0;
    GroupId group = 0;

    auto operator<=>(const GroupRank &) const = default;
};

// The waiting pieces of one stage of one request. They differ only in their number.
struct WaitingGroup
{
    PieceRequest request;
    GroupRank rank;
    // Under `QueueOrder::LeastCost`, once the group is late.
    Common::Time lastChanceFrom;
    std::vector<PieceTicket> tickets;

    std::uint64_t resultBytes() const
    {
        return this->request.resultBytes * this->tickets.size();
    }
};

// Waiting pieces in scheduling order. Each operation takes time that grows at most with the
// logarithm of their number.
struct WaitingPieces
{
    std::unordered_map<GroupId, WaitingGroup> groups;
    // Groups by request and stage.
    std::unordered_map<std::string, GroupId> byStage;
    std::set<GroupRank> order;
    // Groups that can still be on time, by their latest start.
    std::set<std::pair<Common::Time, GroupId>> byStart;
    // Late groups under `QueueOrder::LeastCost`, by the time from which they would be refused if
    // they waited on.
    std::set<std::pair<Common::Time, GroupId>> byLastChance;
    std::set<std::pair<Common::Time, GroupId>> byExpiry;
    // Number of groups by the size of their results.
    std::map<std::uint64_t, std::size_t> groupsBySize;
    std::map<int, std::size_t> piecesByPriority;
    std::size_t pieceCount = 0;
};

// What was decided under `QueueOrder::LeastCost`, as counts since the start.
struct CostFigures
{
    // Late groups that went before less urgent ones, and those of them whose priority was served
    // too rarely.
    std::uint64_t lastChances = 0;
    std::uint64_t starved = 0;
    // Groups turned away before their time was over, as what went before them took too long.
    std::uint64_t turnedAway = 0;
    // The last one of these.
    struct Last
    {
        int priority = 0;
        std::size_t ahead = 0;
        Common::Duration wait{0};
        Common::Duration timeLeft{0};
    };
    Last last;
};

struct StageQueue
{
    std::string service;
    QueueOrder order = QueueOrder::OnTimeFirst;
    // Whether pieces that cannot finish before their caller leaves are dropped. Off only for
    // comparison.
    bool dropsExpiredPieces = true;
    Catalog::Batching batching;
    // Whether the endpoints are also sent requests, which have a part of their limits.
    bool isOnRoutes = false;
    std::unordered_map<PieceTicket, OpenPiece> pieces;
    WaitingPieces waiting;
    std::map<Common::EndpointId, StageEndpoint> endpoints;
    std::map<Common::EndpointId, FormerEndpoint> formerEndpoints;
    std::map<CallNumber, OpenCall> calls;
    // Calls that are not overdue yet, by the time from which they are.
    std::set<std::pair<Common::Time, CallNumber>> callsByOverdueTime;
    // Endpoints with results to free.
    std::set<Common::EndpointId> endpointsWithFrees;
    // Memory of unfetched results that count against their limit, and of the results that open
    // calls will produce.
    std::uint64_t unfetchedBytes = 0;
    PieceTicket lastTicket = 0;
    CallNumber lastCall = 0;
    // Fraction of the result memory that unfetched results may occupy. It shrinks while the
    // consuming stage lags, so that requests wait in this queue, where they are prioritized.
    double maxUnfetchedFraction = 1;
    // Served and expired pieces by priority.
    ServedShares shares;
    // When it was last reckoned which late groups cannot be served any more.
    Common::Time lastVerdictAt;
    CostFigures costs;
};

// Updates the endpoints from the current endpoint list.
void applyEndpoints(StageQueue &queue, const std::vector<Routing::Endpoint> &listed,
                    Common::Time now);

PieceTicket submit(StageQueue &queue, PieceRequest request, Common::Time now);

// Drops a piece whose caller no longer waits for it. A call that contains it continues.
void withdraw(StageQueue &queue, PieceTicket ticket);

// Removes and returns up to `maxPieces` pieces that are waiting and in no call, for submission to
// another owner's queue: those first that would be served last. Pieces that have reached the
// maximum number of hand-overs stay.
std::vector<PieceTicket> takeWaiting(StageQueue &queue, std::size_t maxPieces);

// Composes calls for the free endpoints. Appends expired pieces to `settled`.
std::vector<PlannedCall> planCalls(StageQueue &queue, Common::Time now,
                                   std::vector<SettledPiece> &settled);

// Processes the answer to a call, with one result per piece in the order of the call. Returns the
// settled pieces.
std::vector<SettledPiece> callAnswered(StageQueue &queue, CallNumber call,
                                       const std::vector<PieceResult> &results, Common::Time now);

// Which call an answer belongs to, as far as its results tell.
enum class AnswerMatch {
    ThisCall,
    // Some results were returned before for the same pieces, which may be made again: the answer to
    // this call, or the copy of an earlier one. Its results can be used.
    MayBeEarlier,
    // The copy of an earlier answer. That to this call is still to come.
    EarlierCall,
};

AnswerMatch matchAnswer(StageQueue &queue, const PlannedCall &call,
                        const std::vector<PieceResult> &results, Common::Time now);

// Returns the time since which a connection to the endpoint must have been idle, at the most, to be
// used again. The copy of an answer that came over it before then would not be recognized.
Common::Time reusableIdleSince(const StageQueue &queue, const Common::EndpointId &endpoint);

// Whether a call may still be sent, immediately before its first byte is written: since it was
// planned, its endpoint may have stated a limit, or its failure domain may have been evacuated.
bool mayBegin(const StageQueue &queue, const PlannedCall &call);

enum class CallFault {
    // The endpoint answered that it did not accept the call, or the call was not sent, since
    // `mayBegin` did not permit it.
    Refused,
    // The connection could not be established.
    Unreachable,
    // The connection was closed, or the answer was invalid.
    Lost,
};

// Processes a call that ended without a valid answer. Its pieces are queued again, or settled as
// failed after repeated failures.
std::vector<SettledPiece> callFailed(StageQueue &queue, CallNumber call, CallFault fault,
                                     Common::Time now);

// Queues the pieces of overdue calls again, so that other endpoints compute them.
void requeueOverdue(StageQueue &queue, Common::Time now);

// Schedules a result that is no longer needed to be freed at its endpoint.
void release(StageQueue &queue, const Common::EndpointId &producer, const std::string &handle);

// Marks a result as most likely fetched. It is kept until its memory is needed.
void markEvictable(StageQueue &queue, const Common::EndpointId &producer, const std::string &handle,
                   Common::Time now);

// Whether a call has been neither answered nor failed yet.
bool isOpen(const StageQueue &queue, CallNumber call);

// Results to free at one endpoint.
struct FreeOrder
{
    Common::EndpointId endpoint;
    Common::Address address;
    std::vector<std::string> handles;
};
// Both leave out endpoints that are held back, have a limit or are evacuated: they want nothing at
// present or little. Results end with their lifetime in any case; endpoints with a limit free them
// before a call that needs their memory.
bool hasFreeOrders(const StageQueue &queue, Common::Time now);
std::vector<FreeOrder> takeFreeOrders(StageQueue &queue, Common::Time now);

// Records that an endpoint wants nothing from this instance for the period.
void holdBack(StageQueue &queue, const Common::EndpointId &id, Common::Duration period,
              Common::Time now);

// Next time at which the queue needs processing without an external event, if any.
std::optional<Common::Time> nextWakeAt(const StageQueue &queue, Common::Time now);

} // namespace Tanagerbay::Staging
