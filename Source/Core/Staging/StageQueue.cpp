#include "Staging/StageQueue.h"

#include "Routing/LimitShare.h"
#include "Staging/QueueInternals.h"
#include "Staging/ResultMemory.h"
#include "Staging/WaitingPieces.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// A call is overdue after this multiple of its expected duration plus the slack; its pieces then go
// to other endpoints. Endpoints of one service differ in speed by up to about a third.
constexpr double kOverdueFactor = 1.8;
constexpr Common::Milliseconds kOverdueSlack{80};
// Back-off after an endpoint reports that its result memory is full; results are freed within about
// 100 ms of their use.
constexpr Common::Milliseconds kNoRoomBackoff{120};
// A piece is given up after this many failures.
constexpr std::uint32_t kMaxPieceFailures = 4;
// Two instances that each consider the other the owner must not hand a piece over endlessly.
constexpr std::uint32_t kMaxHandOvers = 2;
// Longer than a connection is kept that is not used.
constexpr Common::Milliseconds kFormerEndpointPeriod{10'000};
// The results of an answer are recorded at most this long before its connection is idle.
constexpr Common::Milliseconds kMaxReplyHandling{1000};

void requeue(StageQueue &queue, PieceTicket ticket)
{
    const auto found = queue.pieces.find(ticket);
    if (found == queue.pieces.end() || found->second.isQueued)
        return;
    found->second.isQueued = true;
    addWaiting(queue, ticket, found->second.request);
}

void addFree(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle)
{
    endpoint.pendingFrees.push_back(handle);
    queue.endpointsWithFrees.insert(endpoint.endpoint.id);
}

// Removes the call and updates its endpoint and pieces. Returns nothing if the call is unknown.
std::optional<OpenCall> removeCall(StageQueue &queue, CallNumber number)
{
    const auto found = queue.calls.find(number);
    if (found == queue.calls.end())
        return std::nullopt;
    OpenCall call = std::move(found->second);
    queue.calls.erase(found);
    queue.callsByOverdueTime.erase({overdueTime(call), number});
    queue.unfetchedBytes -= std::min(queue.unfetchedBytes, call.reservedBytes);
    for (const PieceTicket ticket : call.pieces) {
        const auto piece = queue.pieces.find(ticket);
        if (piece != queue.pieces.end() && piece->second.activeCalls > 0)
            --piece->second.activeCalls;
    }
    const auto endpoint = queue.endpoints.find(call.endpoint);
    if (endpoint != queue.endpoints.end()) {
        StageEndpoint &state = endpoint->second;
        state.callsInFlight -= state.callsInFlight > 0 ? 1 : 0;
        state.reservedBytes -= std::min(state.reservedBytes, call.reservedBytes);
        state.endpoint.ownInFlight = state.callsInFlight;
        if (state.callsInFlight == 0)
            state.isOverdue = false;
    }
    return call;
}

StageEndpoint *findEndpoint(StageQueue &queue, const Common::EndpointId &id)
{
    const auto found = queue.endpoints.find(id);
    return found == queue.endpoints.end() ? nullptr : &found->second;
}

// Counts a failure of a piece. Returns whether the piece has to be given up.
bool countFailure(StageQueue &queue, PieceTicket ticket)
{
    OpenPiece &piece = queue.pieces.at(ticket);
    return ++piece.failureCount >= kMaxPieceFailures && piece.activeCalls == 0;
}

void applyResult(StageQueue &queue, StageEndpoint *endpoint, const OpenCall &call,
                 PieceTicket ticket, const PieceResult &result, Time now,
                 std::vector<SettledPiece> &settled)
{
    const auto found = queue.pieces.find(ticket);
    if (found == queue.pieces.end()) {
        if (result.answer == PieceAnswer::Made && endpoint)
            addFree(queue, *endpoint, result.handle);
        return;
    }
    switch (result.answer) {
    case PieceAnswer::Made:
        if (endpoint)
            holdResult(queue, *endpoint, result.handle, found->second.request.resultBytes, now);
        noteServed(queue.shares, found->second.request.priority, now);
        erasePiece(queue, ticket);
        settled.push_back({ticket, PieceOutcome::Made, result.handle, call.endpoint, {}});
        return;
    case PieceAnswer::Late:
        noteTurnedAway(queue.shares, found->second.request.priority, now);
        erasePiece(queue, ticket);
        settled.push_back({ticket, PieceOutcome::Expired, {}, {}, {}});
        return;
    case PieceAnswer::InputGone:
        erasePiece(queue, ticket);
        settled.push_back({ticket, PieceOutcome::InputGone, {}, {}, {}});
        return;
    case PieceAnswer::NoRoom:
        if (endpoint)
            endpoint->fullUntil = now + kNoRoomBackoff;
        requeue(queue, ticket);
        return;
    case PieceAnswer::Error:
        if (countFailure(queue, ticket)) {
            erasePiece(queue, ticket);
            settled.push_back({ticket, PieceOutcome::Failed, {}, {}, {}});
            return;
        }
        requeue(queue, ticket);
        return;
    }
}

// The owner of the queue is the only instance that sends calls.
void applyLimit(const StageQueue &queue, Routing::Endpoint &endpoint, std::optional<double> limit)
{
    endpoint.statedLimit = limit;
    endpoint.gate.interval = limit
        ? Routing::sendInterval(Routing::stageLimitParts(*limit, queue.isOnRoutes).calls, 1)
        : Duration(0);
}

bool wantsFrees(const Routing::Endpoint &endpoint, Time now)
{
    return !endpoint.isEvacuated && !Routing::isHeld(endpoint, now)
        && !Routing::isLimited(endpoint.gate);
}

} // namespace

Time overdueTime(const OpenCall &call)
{
    const auto limit = std::chrono::duration_cast<Duration>(call.expectedDuration * kOverdueFactor);
    return call.sentAt + limit + kOverdueSlack;
}

bool isLate(const PieceRequest &request, Time now)
{
    return now > request.startBy;
}

bool isUsable(const StageEndpoint &endpoint, Time now)
{
    return endpoint.isListed && !endpoint.isOverdue && Routing::isEligible(endpoint.endpoint, now);
}

void erasePiece(StageQueue &queue, PieceTicket ticket)
{
    const auto found = queue.pieces.find(ticket);
    if (found == queue.pieces.end())
        return;
    if (found->second.isQueued)
        removeWaiting(queue, ticket, found->second.request);
    queue.pieces.erase(found);
}

namespace {

// Returns no results, as nothing is known of the process. A late row may name the one before while
// the other goes on, so that connections to the address may bring copies of answers that were noted
// for another process.
ResultOrigins originsOfOtherProcess(Time now)
{
    ResultOrigins origins;
    origins.forgottenUntil = now;
    return origins;
}

// Returns the results of the process that were known before it was forgotten.
ResultOrigins takeFormerOrigins(StageQueue &queue, const Routing::Endpoint &entry, Time now)
{
    const auto former = queue.formerEndpoints.extract(entry.id);
    if (former.empty())
        return {};
    const bool isSameProcess = former.mapped().address == entry.address
        && former.mapped().incarnation == entry.incarnation;
    return isSameProcess ? std::move(former.mapped().origins) : originsOfOtherProcess(now);
}

} // namespace

void applyEndpoints(StageQueue &queue, const std::vector<Routing::Endpoint> &listed, Time now)
{
    for (auto &[id, endpoint] : queue.endpoints)
        endpoint.isListed = false;
    for (const Routing::Endpoint &entry : listed) {
        const auto [known, isNew] = queue.endpoints.try_emplace(entry.id);
        StageEndpoint &endpoint = known->second;
        const bool sameProcess = endpoint.endpoint.address == entry.address
            && endpoint.endpoint.incarnation == entry.incarnation;
        if (!sameProcess) {
            // Calls to the earlier process are still open and end as lost.
            dropAllResults(queue, endpoint);
            endpoint = StageEndpoint{};
            endpoint.processSince = now;
            endpoint.origins
                = isNew ? takeFormerOrigins(queue, entry, now) : originsOfOtherProcess(now);
        }
        endpoint.endpoint.id = entry.id;
        endpoint.endpoint.address = entry.address;
        endpoint.endpoint.failureDomain = entry.failureDomain;
        endpoint.endpoint.incarnation = entry.incarnation;
        endpoint.endpoint.state = entry.state;
        endpoint.endpoint.isEvacuated = entry.isEvacuated;
        endpoint.endpoint.heldUntil = std::max(endpoint.endpoint.heldUntil, entry.heldUntil);
        applyLimit(queue, endpoint.endpoint, entry.statedLimit);
        endpoint.isListed = entry.state == Routing::EndpointState::Live;
    }
    for (auto &[id, endpoint] : queue.endpoints)
        dropExpiredResults(queue, endpoint, now);
    std::erase_if(queue.formerEndpoints,
                  [now](const auto &entry) { return entry.second.keptUntil <= now; });
    for (auto at = queue.endpoints.begin(); at != queue.endpoints.end();) {
        const auto entry = at++;
        StageEndpoint &endpoint = entry->second;
        if (endpoint.isListed || endpoint.callsInFlight > 0 || !endpoint.held.byHandle.empty())
            continue;
        queue.endpointsWithFrees.erase(entry->first);
        queue.formerEndpoints[entry->first]
            = {endpoint.endpoint.address, endpoint.endpoint.incarnation,
               std::move(endpoint.origins), now + kFormerEndpointPeriod};
        queue.endpoints.erase(entry);
    }
}

PieceTicket submit(StageQueue &queue, PieceRequest request, Time now)
{
    const PieceTicket ticket = ++queue.lastTicket;
    const auto [piece, added]
        = queue.pieces.emplace(ticket, OpenPiece{std::move(request), now, 0, 0, true});
    addWaiting(queue, ticket, piece->second.request);
    return ticket;
}

void withdraw(StageQueue &queue, PieceTicket ticket)
{
    erasePiece(queue, ticket);
}

std::vector<PieceTicket> takeWaiting(StageQueue &queue, std::size_t maxPieces)
{
    std::vector<PieceTicket> taken;
    const auto &order = queue.waiting.order;
    for (auto rank = order.rbegin(); rank != order.rend() && taken.size() < maxPieces; ++rank) {
        for (const PieceTicket ticket : queue.waiting.groups.at(rank->group).tickets) {
            const OpenPiece &piece = queue.pieces.at(ticket);
            if (piece.activeCalls == 0 && piece.request.handOverCount < kMaxHandOvers)
                taken.push_back(ticket);
        }
    }
    for (const PieceTicket ticket : taken)
        erasePiece(queue, ticket);
    return taken;
}

Time reusableIdleSince(const StageQueue &queue, const Common::EndpointId &endpoint)
{
    const auto found = queue.endpoints.find(endpoint);
    if (found == queue.endpoints.end() || found->second.origins.forgottenUntil == Time::min())
        return Time::min();
    return found->second.origins.forgottenUntil + kMaxReplyHandling;
}

AnswerMatch matchAnswer(StageQueue &queue, const PlannedCall &call,
                        const std::vector<PieceResult> &results, Time now)
{
    const auto endpoint = queue.endpoints.find(call.endpoint.id);
    if (endpoint == queue.endpoints.end() || results.size() != call.pieces.size())
        return AnswerMatch::EarlierCall;
    // What the process had answered before the call is not known any more. It may go on although
    // the list has named another one.
    const Routing::Endpoint &listed = endpoint->second.endpoint;
    const bool isOtherProcess = listed.address != call.endpoint.address
        || listed.incarnation != call.endpoint.incarnation;
    if (isOtherProcess || endpoint->second.processSince > call.plannedAt)
        return AnswerMatch::EarlierCall;
    AnswerMatch match = AnswerMatch::ThisCall;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].answer != PieceAnswer::Made)
            continue;
        const HandleUse use
            = noteResult(endpoint->second.origins, results[i].handle, call.pieces[i].request, now);
        if (use == HandleUse::OtherPiece)
            match = AnswerMatch::EarlierCall;
        else if (use == HandleUse::SamePiece && match == AnswerMatch::ThisCall)
            match = AnswerMatch::MayBeEarlier;
    }
    return match;
}

std::vector<SettledPiece> callAnswered(StageQueue &queue, CallNumber number,
                                       const std::vector<PieceResult> &results, Time now)
{
    const auto found = queue.calls.find(number);
    if (found == queue.calls.end())
        return {};
    if (found->second.pieces.size() != results.size())
        return callFailed(queue, number, CallFault::Lost, now);
    const auto call = removeCall(queue, number);
    StageEndpoint *endpoint = findEndpoint(queue, call->endpoint);
    if (endpoint) {
        const double relative = Common::toSeconds(now - call->sentAt)
            / std::max(Common::toSeconds(call->expectedDuration), 1e-3);
        Routing::noteSuccess(endpoint->endpoint, relative, now);
        endpoint->expectedFreeAt = now;
    }
    std::vector<SettledPiece> settled;
    for (std::size_t i = 0; i < results.size(); ++i)
        applyResult(queue, endpoint, *call, call->pieces[i], results[i], now, settled);
    return settled;
}

std::vector<SettledPiece> callFailed(StageQueue &queue, CallNumber number, CallFault fault,
                                     Time now)
{
    std::vector<SettledPiece> settled;
    const auto call = removeCall(queue, number);
    if (!call)
        return settled;
    if (StageEndpoint *endpoint = findEndpoint(queue, call->endpoint)) {
        endpoint->expectedFreeAt = now;
        // A refusal means that another caller fills the queue of a healthy endpoint, which will be
        // free after about one call, so it does not count as a failure.
        if (fault == CallFault::Refused)
            endpoint->fullUntil = now + queue.batching.callTime / 2;
        else
            Routing::noteFailure(endpoint->endpoint, fault == CallFault::Unreachable, now);
    }
    for (const PieceTicket ticket : call->pieces) {
        if (!queue.pieces.contains(ticket))
            continue;
        if (fault == CallFault::Lost && countFailure(queue, ticket)) {
            erasePiece(queue, ticket);
            settled.push_back({ticket, PieceOutcome::Failed, {}, {}, {}});
            continue;
        }
        requeue(queue, ticket);
    }
    return settled;
}

void requeueOverdue(StageQueue &queue, Time now)
{
    auto &byTime = queue.callsByOverdueTime;
    while (!byTime.empty() && byTime.begin()->first <= now) {
        OpenCall &call = queue.calls.at(byTime.begin()->second);
        byTime.erase(byTime.begin());
        if (StageEndpoint *endpoint = findEndpoint(queue, call.endpoint))
            endpoint->isOverdue = true;
        for (const PieceTicket ticket : call.pieces)
            requeue(queue, ticket);
    }
}

void release(StageQueue &queue, const Common::EndpointId &producer, const std::string &handle)
{
    if (StageEndpoint *endpoint = findEndpoint(queue, producer))
        addFree(queue, *endpoint, handle);
}

void markEvictable(StageQueue &queue, const Common::EndpointId &producer, const std::string &handle,
                   Time now)
{
    if (StageEndpoint *endpoint = findEndpoint(queue, producer))
        markResultEvictable(queue, *endpoint, handle, now);
}

bool isOpen(const StageQueue &queue, CallNumber call)
{
    return queue.calls.contains(call);
}

bool hasFreeOrders(const StageQueue &queue, Time now)
{
    return std::any_of(queue.endpointsWithFrees.begin(), queue.endpointsWithFrees.end(),
                       [&queue, now](const Common::EndpointId &id) {
                           return wantsFrees(queue.endpoints.at(id).endpoint, now);
                       });
}

void holdBack(StageQueue &queue, const Common::EndpointId &id, Duration period, Time now)
{
    if (StageEndpoint *endpoint = findEndpoint(queue, id))
        Routing::holdBack(endpoint->endpoint, period, now);
}

bool mayBegin(const StageQueue &queue, const PlannedCall &call)
{
    const auto found = queue.endpoints.find(call.endpoint.id);
    if (found == queue.endpoints.end())
        return true;
    const Routing::Endpoint &endpoint = found->second.endpoint;
    return !endpoint.isEvacuated
        && (Routing::isLimited(call.endpoint.gate) || !Routing::isLimited(endpoint.gate));
}

std::vector<FreeOrder> takeFreeOrders(StageQueue &queue, Time now)
{
    std::vector<FreeOrder> orders;
    std::erase_if(queue.endpointsWithFrees, [&](const Common::EndpointId &id) {
        StageEndpoint &endpoint = queue.endpoints.at(id);
        if (!wantsFrees(endpoint.endpoint, now))
            return false;
        for (const std::string &handle : endpoint.pendingFrees)
            dropResult(queue, endpoint, handle);
        orders.push_back({id, endpoint.endpoint.address, std::exchange(endpoint.pendingFrees, {})});
        return true;
    });
    return orders;
}

std::optional<Time> nextWakeAt(const StageQueue &queue, Time now)
{
    std::optional<Time> wake;
    const auto consider = [&wake, now](Time at) {
        if (at > now && at != Time::max() && (!wake || at < *wake))
            wake = at;
    };
    if (!queue.callsByOverdueTime.empty())
        consider(queue.callsByOverdueTime.begin()->first);
    if (queue.waiting.order.empty())
        return wake;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (!endpoint.isListed || endpoint.endpoint.isEvacuated
            || endpoint.callsInFlight >= queue.batching.concurrentCalls)
            continue;
        consider(std::max({endpoint.fullUntil, endpoint.endpoint.health.ejectedUntil,
                           Routing::sendableFrom(endpoint.endpoint)}));
        if (!endpoint.held.byExpiry.empty())
            consider(endpoint.held.byExpiry.front().first);
    }
    consider(queue.waiting.byExpiry.begin()->first - queue.batching.callTime);
    return wake;
}

} // namespace Tanagerbay::Staging
