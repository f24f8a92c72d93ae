// Batch composition: selects the waiting pieces that go into the next call to each endpoint.
#include "Staging/CostOrder.h"
#include "Staging/QueueInternals.h"
#include "Staging/ResultMemory.h"
#include "Staging/WaitingPieces.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// Pieces do not outlive a hold or limit that lasts as long as this.
constexpr std::chrono::hours kLongestHold{1};
// A call counts as lost after this multiple of its expected duration.
constexpr int kCallTimeoutFactor = 8;
// Endpoints with a higher slowness factor are used only under a large backlog.
constexpr double kSlowEndpointThreshold = 1.6;
// Full batches per fast endpoint that have to be waiting before slow endpoints are used too.
constexpr std::size_t kBacklogBatchesForSlowEndpoints = 2;
// Groups examined for one call, so that the work for a call does not grow with the backlog.
constexpr std::size_t kMaxExaminedGroups = 96;
// Pieces that transfer at least this much run in the failure domain of their data if the start
// deadline allows.
constexpr std::uint64_t kLargeTransferBytes = 256 << 10;
// Result memory is reserved for a group that does not fit if each of its results is at least this
// large.
constexpr std::uint64_t kLargeResultBytes = 256 << 10;
// Least time between two looks at all late groups, so that arrivals in a backlog stay cheap.
constexpr Common::Milliseconds kVerdictInterval{50};

bool canTakeCall(const StageQueue &queue, const StageEndpoint &endpoint, Time now)
{
    return isUsable(endpoint, now) && endpoint.fullUntil <= now
        && endpoint.callsInFlight < queue.batching.concurrentCalls;
}

bool isSlow(const StageEndpoint &endpoint, Time now)
{
    return Routing::currentSlowness(endpoint.endpoint.health, now) > kSlowEndpointThreshold;
}

// Earliest time at which any endpoint may get a call: later than `now` where all are held back.
Time firstCallAt(const StageQueue &queue, Time now)
{
    std::optional<Time> first;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (!endpoint.isListed || endpoint.endpoint.isEvacuated)
            continue;
        const Time free
            = std::max(now, std::min(Routing::sendableFrom(endpoint.endpoint), now + kLongestHold));
        first = first ? std::min(*first, free) : free;
    }
    return first.value_or(now);
}

// Gives up the pieces of a group that are in no call.
void expireGroup(StageQueue &queue, GroupId group, Time now, std::vector<SettledPiece> &settled)
{
    const std::vector<PieceTicket> tickets = queue.waiting.groups.at(group).tickets;
    const int priority = queue.waiting.groups.at(group).request.priority;
    std::optional<Duration> room;
    if (queue.order == QueueOrder::LeastCost)
        room = roomIn(queue, priority, now);
    for (const PieceTicket ticket : tickets) {
        OpenPiece &piece = queue.pieces.at(ticket);
        if (piece.activeCalls == 0) {
            noteTurnedAway(queue.shares, priority, now);
            erasePiece(queue, ticket);
            settled.push_back({ticket, PieceOutcome::Expired, {}, {}, room});
            continue;
        }
        // An open call may still settle the piece in time.
        removeWaiting(queue, ticket, piece.request);
        piece.isQueued = false;
    }
}

void expirePieces(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    if (!queue.dropsExpiredPieces)
        return;
    const Time firstEnd = firstCallAt(queue, now) + queue.batching.callTime;
    for (const GroupId group : groupsExpiringBy(queue.waiting, firstEnd))
        expireGroup(queue, group, now, settled);
}

// Tells callers at once that there will be no room for them, rather than when their time is over.
void turnAway(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    if (queue.order != QueueOrder::LeastCost || now - queue.lastVerdictAt < kVerdictInterval)
        return;
    queue.lastVerdictAt = now;
    // Otherwise pieces that have just turned late count as on time, too.
    moveLateGroups(queue, now);
    for (const TurnedAway &away : groupsWithoutRoom(queue, now)) {
        ++queue.costs.turnedAway;
        queue.costs.last = {queue.waiting.groups.at(away.group).request.priority, away.ahead,
                            away.wait, away.timeLeft};
        expireGroup(queue, away.group, now, settled);
    }
}

// Earliest time at which a fast endpoint of each failure domain is free.
using DomainTimes = std::map<Common::FailureDomain, Time>;

DomainTimes freeTimesByDomain(const StageQueue &queue, Time now)
{
    DomainTimes times;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (!isUsable(endpoint, now) || isSlow(endpoint, now))
            continue;
        const Time free = std::max(now, endpoint.callsInFlight > 0 ? endpoint.expectedFreeAt : now);
        const auto [entry, added] = times.emplace(endpoint.endpoint.failureDomain, free);
        if (!added)
            entry->second = std::min(entry->second, free);
    }
    return times;
}

// Whether the piece should wait for an endpoint in the failure domain of its inputs or of the
// consumer of its result. `ahead` pieces for that domain are before it in the queue.
bool shouldWaitForNearDomain(const StageQueue &queue, const DomainTimes &freeTimes,
                             const PieceRequest &request, const StageEndpoint &endpoint,
                             std::size_t ahead)
{
    if (request.transferBytes < kLargeTransferBytes || request.nearTo.empty()
        || request.nearTo == endpoint.endpoint.failureDomain)
        return false;
    const auto free = freeTimes.find(request.nearTo);
    if (free == freeTimes.end())
        return false;
    const auto calls = static_cast<std::int64_t>(ahead / queue.batching.maxPieces);
    const Duration wait = expectedCallTime(queue.batching, queue.batching.maxPieces) * calls;
    return free->second + wait <= request.startBy;
}

// Remaining capacity of a call.
struct BatchCapacity
{
    std::size_t pieces = 0;
    std::uint64_t memoryBytes = 0;
};

void takePieces(const WaitingGroup &group, BatchCapacity &remaining,
                std::vector<PieceTicket> &batch)
{
    for (const PieceTicket ticket : group.tickets) {
        if (remaining.pieces == 0 || remaining.memoryBytes < group.request.resultBytes)
            return;
        --remaining.pieces;
        remaining.memoryBytes -= group.request.resultBytes;
        batch.push_back(ticket);
    }
}

// Adds whole groups, since a request cannot continue with only some of its pieces while their
// results occupy memory. The remaining capacity goes to part of the first group with small results
// that did not fit.
std::vector<PieceTicket> composeBatch(const StageQueue &queue, const StageEndpoint &endpoint,
                                      Time now)
{
    const Catalog::Batching &batching = queue.batching;
    const std::uint64_t usedBytes = usedResultMemory(endpoint);
    const std::uint64_t usableBytes = usableResultMemory(batching);
    BatchCapacity remaining{batching.maxPieces,
                            usableBytes > usedBytes ? usableBytes - usedBytes : 0};
    std::map<Common::FailureDomain, std::size_t> aheadByDomain;
    std::vector<PieceTicket> batch;
    const DomainTimes freeTimes = freeTimesByDomain(queue, now);
    const WaitingGroup *partialGroup = nullptr;
    bool reservesMemory = false;
    const std::uint64_t maxUnfetched = maxUnfetchedBytes(queue);
    std::uint64_t unfetchedBudget
        = maxUnfetched > queue.unfetchedBytes ? maxUnfetched - queue.unfetchedBytes : 0;
    std::size_t examined = 0;
    for (const GroupRank &rank : queue.waiting.order) {
        if (remaining.pieces == 0 || ++examined > kMaxExaminedGroups)
            break;
        const WaitingGroup &group = queue.waiting.groups.at(rank.group);
        const PieceRequest &request = group.request;
        std::size_t &ahead = aheadByDomain[request.nearTo];
        const std::size_t piecesAhead = std::exchange(ahead, ahead + group.tickets.size());
        if (shouldWaitForNearDomain(queue, freeTimes, request, endpoint, piecesAhead))
            continue;
        const bool large = request.resultBytes >= kLargeResultBytes;
        if (large && reservesMemory)
            continue;
        const bool exceedsAnyCall
            = group.tickets.size() > batching.maxPieces || group.resultBytes() > usableBytes;
        const bool countsTowardLimit = countsTowardUnfetchedLimit(batching, request.resultBytes);
        if (countsTowardLimit && unfetchedBudget == 0)
            continue;
        const bool fits = group.tickets.size() <= remaining.pieces
            && group.resultBytes() <= remaining.memoryBytes;
        if (fits || exceedsAnyCall) {
            if (countsTowardLimit)
                unfetchedBudget -= std::min(unfetchedBudget, group.resultBytes());
            takePieces(group, remaining, batch);
            continue;
        }
        // Later groups must not take the memory that a large group is waiting for.
        if (large && group.resultBytes() > remaining.memoryBytes && !isLate(request, now))
            reservesMemory = true;
        if (!large && !partialGroup)
            partialGroup = &group;
    }
    if (partialGroup)
        takePieces(*partialGroup, remaining, batch);
    return batch;
}

// Takes the results that an endpoint with a limit has to free if their memory is needed. Orders of
// their own would use its permits while there is nothing to do.
std::vector<std::string> takePendingFrees(StageQueue &queue, StageEndpoint &endpoint,
                                          std::uint64_t neededBytes)
{
    const std::uint64_t usable = usableResultMemory(queue.batching);
    if (!Routing::isLimited(endpoint.endpoint.gate)
        || usedResultMemory(endpoint) + neededBytes <= usable)
        return {};
    for (const std::string &handle : endpoint.pendingFrees)
        dropResult(queue, endpoint, handle);
    queue.endpointsWithFrees.erase(endpoint.endpoint.id);
    return std::exchange(endpoint.pendingFrees, {});
}

// Evicts results marked evictable until the endpoint has memory for a full call. Without waiting
// work that needs the memory they are kept, in case they were not fetched after all.
std::vector<std::string> evictFetchedResults(StageQueue &queue, StageEndpoint &endpoint)
{
    const WaitingPieces &waiting = queue.waiting;
    const std::uint64_t largest
        = waiting.groupsBySize.empty() ? 0 : waiting.groupsBySize.rbegin()->first;
    const std::size_t pieces = std::min<std::size_t>(waiting.pieceCount, queue.batching.maxPieces);
    const std::uint64_t neededBytes
        = std::min(largest * pieces, usableResultMemory(queue.batching));
    std::vector<std::string> handles = takePendingFrees(queue, endpoint, neededBytes);
    const std::vector<std::string> evicted = evictResults(queue, endpoint, neededBytes);
    handles.insert(handles.end(), evicted.begin(), evicted.end());
    return handles;
}

PlannedCall beginCall(StageQueue &queue, StageEndpoint &endpoint,
                      const std::vector<PieceTicket> &batch, std::vector<std::string> freeFirst,
                      Time now)
{
    PlannedCall planned;
    planned.number = ++queue.lastCall;
    planned.endpoint = endpoint.endpoint;
    OpenCall call;
    call.endpoint = endpoint.endpoint.id;
    call.sentAt = now;
    call.expectedDuration = expectedCallTime(queue.batching, batch.size());
    for (const PieceTicket ticket : batch) {
        OpenPiece &piece = queue.pieces.at(ticket);
        piece.isQueued = false;
        ++piece.activeCalls;
        call.reservedBytes += piece.request.resultBytes;
        planned.pieces.push_back({ticket, piece.request, piece.queuedAt});
        removeWaiting(queue, ticket, piece.request);
    }
    endpoint.reservedBytes += call.reservedBytes;
    queue.unfetchedBytes += call.reservedBytes;
    call.pieces = batch;
    planned.plannedAt = now;
    planned.deadline = now + call.expectedDuration * kCallTimeoutFactor;
    // The order to free results is a request of its own.
    Routing::takePermit(endpoint.endpoint.gate, now, freeFirst.empty() ? 1 : 2);
    planned.freeFirst = std::move(freeFirst);
    ++endpoint.callsInFlight;
    endpoint.endpoint.ownInFlight = endpoint.callsInFlight;
    endpoint.expectedFreeAt = std::max(endpoint.expectedFreeAt, now) + call.expectedDuration;
    queue.callsByOverdueTime.emplace(overdueTime(call), planned.number);
    queue.calls.emplace(planned.number, std::move(call));
    return planned;
}

} // namespace

std::vector<PlannedCall> planCalls(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    std::vector<PlannedCall> plans;
    if (queue.waiting.order.empty())
        return plans;
    std::vector<StageEndpoint *> free;
    std::size_t fastEndpoints = 0;
    for (auto &[id, endpoint] : queue.endpoints) {
        dropExpiredResults(queue, endpoint, now);
        fastEndpoints += isUsable(endpoint, now) && !isSlow(endpoint, now) ? 1 : 0;
        if (canTakeCall(queue, endpoint, now))
            free.push_back(&endpoint);
    }
    expirePieces(queue, now, settled);
    turnAway(queue, now, settled);
    if (free.empty())
        return plans;
    moveLateGroups(queue, now);
    std::stable_sort(free.begin(), free.end(),
                     [now](const StageEndpoint *a, const StageEndpoint *b) {
                         return Routing::currentSlowness(a->endpoint.health, now)
                             < Routing::currentSlowness(b->endpoint.health, now);
                     });
    const std::size_t maxBacklogForFast
        = fastEndpoints * queue.batching.maxPieces * kBacklogBatchesForSlowEndpoints;
    for (StageEndpoint *endpoint : free) {
        if (isSlow(*endpoint, now) && fastEndpoints > 0
            && queue.waiting.pieceCount <= maxBacklogForFast)
            continue;
        std::vector<std::string> evicted = evictFetchedResults(queue, *endpoint);
        const std::vector<PieceTicket> batch = composeBatch(queue, *endpoint, now);
        if (batch.empty()) {
            for (const std::string &handle : evicted)
                release(queue, endpoint->endpoint.id, handle);
            continue;
        }
        plans.push_back(beginCall(queue, *endpoint, batch, std::move(evicted), now));
    }
    return plans;
}

} // namespace Tanagerbay::Staging
