// The pieces of one stage service that wait for its endpoints, and the calls composed of them.
//
// One instance owns the queue of a service; the others hand their pieces in. Plain functions take
// the present time, so tests drive the queue without a network. Two owners at once cost work, but
// break nothing: a piece may be made twice.
#pragma once

#include "Catalog/Catalog.h"
#include "Common/Address.h"
#include "Routing/Endpoint.h"

#include <map>
#include <unordered_map>

namespace Tanagerbay::Staging {

struct PieceRequest
{
    std::string requestId;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    // Names the input of a stage that follows no other.
    std::string key;
    // Results of the stages before; unset for a stage that follows no other.
    std::optional<std::vector<std::string>> inputs;
    std::uint64_t resultBytes = 0;
    // Where the inputs are or the result will be used, and what crosses failure domains if the
    // piece is made elsewhere.
    Common::FailureDomain nearTo;
    std::uint64_t transferBytes = 0;
    // Zero is most urgent.
    int priority = 0;
    // The latest start with which the request can still meet its objective.
    Common::Time startBy;
    // After this the result is of no use.
    Common::Time expiresAt;
    // How often it went from one owner's queue to another's.
    std::uint32_t moves = 0;
};

// A handed-in piece, until it is settled.
using PieceTicket = std::uint64_t;
using CallNumber = std::uint64_t;

enum class PieceEnd {
    Made,
    // Its request cannot be finished in time any more.
    Expired,
    // One of its inputs is gone.
    InputGone,
    // Given up after several tries.
    Failed,
};

} // namespace Tanagerbay::Staging

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Staging::PieceEnd>
{
    using End = Staging::PieceEnd;
    static constexpr NameTable<End, 4> table = {{
        {End::Made, "made"},
        {End::Expired, "expired"},
        {End::InputGone, "input-gone"},
        {End::Failed, "failed"},
    }};
};

namespace Tanagerbay::Staging {

struct SettledPiece
{
    PieceTicket ticket = 0;
    PieceEnd end = PieceEnd::Failed;
    // Where the result is, if it was made.
    std::string handle;
    Common::EndpointId maker;
};

// What an endpoint says of one piece of a call.
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

// A call to be sent now.
struct PlannedCall
{
    CallNumber number = 0;
    Routing::Endpoint endpoint;
    std::vector<QueuedPiece> pieces;
    // When the call counts as lost.
    Common::Time deadline;
    // Results that the endpoint must be told to free before the call, to make room for it.
    std::vector<std::string> freeFirst;
};

struct HeldResult
{
    std::string handle;
    std::uint64_t bytes = 0;
    Common::Time madeAt;
    Common::Time until;
    // Whoever uses the result has most likely fetched it: it may go where its room is needed.
    bool isSpare = false;
};

struct StageEndpoint
{
    Routing::Endpoint endpoint;
    // False once the list says that it leaves or is gone.
    bool listed = true;
    std::uint32_t callsInFlight = 0;
    // When its calls should have ended.
    Common::Time expectedFree;
    // A call is taking far longer than it should.
    bool overdue = false;
    // No new results before this time, since it said that it has no room.
    Common::Time fullUntil;
    std::vector<HeldResult> held;
    // Results that nobody needs and that the endpoint was not told of yet.
    std::vector<std::string> toFree;
};

struct OpenPiece
{
    PieceRequest request;
    Common::Time queuedAt;
    std::uint32_t tries = 0;
    // Calls that hold the piece now.
    std::uint32_t inCalls = 0;
    bool queued = false;
};

struct OpenCall
{
    Common::EndpointId endpoint;
    std::vector<PieceTicket> pieces;
    Common::Time sentAt;
    Common::Duration expected{0};
    // Room that its results will take.
    std::uint64_t reservedBytes = 0;
    bool overdue = false;
};

// In which order waiting pieces go.
enum class QueueOrder {
    // What can still be on time before what cannot.
    OnTimeFirst,
    // As the pieces came; kept to compare with.
    FirstCome,
    // In an order drawn from the tickets; kept to compare with.
    Random,
};

struct StageQueue
{
    std::string service;
    QueueOrder order = QueueOrder::OnTimeFirst;
    // Whether pieces that cannot end before their caller leaves are given up; off to compare with.
    bool givesUpExpired = true;
    Catalog::Batching batching;
    std::unordered_map<PieceTicket, OpenPiece> pieces;
    std::vector<PieceTicket> waiting;
    std::map<Common::EndpointId, StageEndpoint> endpoints;
    std::map<CallNumber, OpenCall> calls;
    PieceTicket lastTicket = 0;
    CallNumber lastCall = 0;
    // Part of the room that results may take while nobody has fetched them. It shrinks while the
    // stage that uses them lags, so that requests wait here, where the best ones are chosen.
    double unfetchedShare = 1;
    // When pieces that cannot be done in time were last looked for.
    Common::Time settledExpiredAt;
};

// Takes the endpoints that the list names now.
void applyEndpoints(StageQueue &queue, const std::vector<Routing::Endpoint> &listed,
                    Common::Time now);

PieceTicket submit(StageQueue &queue, PieceRequest request, Common::Time now);

// Drops a piece that nobody waits for. A call that holds it goes on.
void withdraw(StageQueue &queue, PieceTicket ticket);

// Takes out the pieces that only wait, so that another owner's queue takes them. Pieces that were
// moved often stay.
std::vector<PieceTicket> takeWaiting(StageQueue &queue);

// Composes calls for endpoints that are free. Pieces that cannot be done in time go to `settled`.
std::vector<PlannedCall> planCalls(StageQueue &queue, Common::Time now,
                                   std::vector<SettledPiece> &settled);

// Takes the answer of a call, one result a piece in the call's order.
std::vector<SettledPiece> callAnswered(StageQueue &queue, CallNumber call,
                                       const std::vector<PieceResult> &results, Common::Time now);

enum class CallFault {
    // The endpoint said that it did not take the call.
    Refused,
    // No connection could be made.
    Unreachable,
    // The connection ended or the answer was not valid.
    Lost,
};

// Takes a call that ended without an answer; its pieces wait again.
std::vector<SettledPiece> callFailed(StageQueue &queue, CallNumber call, CallFault fault,
                                     Common::Time now);

// Puts the pieces of calls that take far too long back into the queue, for other endpoints.
void requeueOverdue(StageQueue &queue, Common::Time now);

// Notes that a result is not needed any more.
void release(StageQueue &queue, const Common::EndpointId &maker, const std::string &handle);

// Notes that a result has most likely been fetched. It stays for as long as nobody needs its room.
void markSpare(StageQueue &queue, const Common::EndpointId &maker, const std::string &handle,
               Common::Time now);

// Whether a call is still on its way.
bool isOpen(const StageQueue &queue, CallNumber call);

// Results to be freed at one endpoint.
struct FreeOrder
{
    Common::EndpointId endpoint;
    Common::Address address;
    std::vector<std::string> handles;
};
bool hasFreeOrders(const StageQueue &queue);
std::vector<FreeOrder> takeFreeOrders(StageQueue &queue);

// When something is to be done without an event from outside, if ever.
std::optional<Common::Time> nextWake(const StageQueue &queue, Common::Time now);

} // namespace Tanagerbay::Staging
