// Batch composition: selects the waiting pieces that go into the next call to each endpoint.
#include "Staging/QueueInternals.h"
#include "Staging/ResultMemory.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// A call counts as lost after this multiple of its expected duration.
constexpr int kCallTimeoutFactor = 8;
// Endpoints with a higher slowness factor are used only under a large backlog.
constexpr double kSlowEndpointThreshold = 1.6;
// Full batches per fast endpoint that have to be waiting before slow endpoints are used too.
constexpr std::size_t kBacklogBatchesForSlowEndpoints = 2;
// While all endpoints are busy, the queue is scanned for expired pieces at this interval.
constexpr Common::Milliseconds kExpiryScanInterval{50};
// Pieces that transfer at least this much run in the failure domain of their data if the start
// deadline allows.
constexpr std::uint64_t kLargeTransferBytes = 256 << 10;
// Result memory is reserved for a group that does not fit if each of its results is at least this
// large.
constexpr std::uint64_t kLargeResultBytes = 256 << 10;

bool canTakeCall(const StageQueue &queue, const StageEndpoint &endpoint, Time now)
{
    return isUsable(endpoint, now) && endpoint.fullUntil <= now
        && endpoint.callsInFlight < queue.batching.concurrentCalls;
}

bool isSlow(const StageEndpoint &endpoint, Time now)
{
    return Routing::currentSlowness(endpoint.endpoint.health, now) > kSlowEndpointThreshold;
}

void expirePieces(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    if (!queue.dropsExpiredPieces)
        return;
    std::vector<PieceTicket> expired;
    for (const PieceTicket ticket : queue.waiting) {
        const OpenPiece &piece = queue.pieces.at(ticket);
        if (piece.request.expiresAt <= now + queue.batching.callTime && piece.activeCalls == 0)
            expired.push_back(ticket);
    }
    for (const PieceTicket ticket : expired) {
        erasePiece(queue, ticket);
        settled.push_back({ticket, PieceOutcome::Expired, {}, {}});
    }
}

// Orders pieces that can still meet their objective first, among them by priority, then by earliest
// start deadline. Late pieces get only the remaining capacity: serving them in turn under overload
// would make every request late.
void sortWaiting(StageQueue &queue, Time now)
{
    if (queue.order == QueueOrder::FirstCome) {
        std::sort(queue.waiting.begin(), queue.waiting.end());
        return;
    }
    if (queue.order == QueueOrder::Random) {
        std::sort(queue.waiting.begin(), queue.waiting.end(), [](PieceTicket a, PieceTicket b) {
            return std::minstd_rand(static_cast<std::uint32_t>(a))()
                < std::minstd_rand(static_cast<std::uint32_t>(b))();
        });
        return;
    }
    std::vector<std::tuple<bool, int, Duration, PieceTicket>> ranks;
    ranks.reserve(queue.waiting.size());
    for (const PieceTicket ticket : queue.waiting) {
        const PieceRequest &request = queue.pieces.at(ticket).request;
        const bool late = isLate(request, now);
        // Of the late pieces, the newest are the most likely to still have a connected caller.
        const Duration sinceEpoch = request.startBy.time_since_epoch();
        ranks.emplace_back(late, request.priority, late ? -sinceEpoch : sinceEpoch, ticket);
    }
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t i = 0; i < ranks.size(); ++i)
        queue.waiting[i] = std::get<PieceTicket>(ranks[i]);
}

// Returns the earliest time at which a fast endpoint of the failure domain can start a piece that
// has `ahead` pieces before it in the queue; nothing if the domain has no usable fast endpoint.
std::optional<Time> domainAvailableAt(const StageQueue &queue, const Common::FailureDomain &domain,
                                      std::size_t ahead, Time now)
{
    std::optional<Time> first;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (endpoint.endpoint.failureDomain != domain || !isUsable(endpoint, now)
            || isSlow(endpoint, now))
            continue;
        const Time free = std::max(now, endpoint.callsInFlight > 0 ? endpoint.expectedFreeAt : now);
        if (!first || free < *first)
            first = free;
    }
    if (!first)
        return std::nullopt;
    const auto calls = static_cast<std::int64_t>(ahead / queue.batching.maxPieces);
    return *first + expectedCallTime(queue.batching, queue.batching.maxPieces) * calls;
}

// Whether the piece should wait for an endpoint in the failure domain of its inputs or of the
// consumer of its result.
bool shouldWaitForNearDomain(const StageQueue &queue, const PieceRequest &request,
                             const StageEndpoint &endpoint, std::size_t ahead, Time now)
{
    if (request.transferBytes < kLargeTransferBytes || request.nearTo.empty()
        || request.nearTo == endpoint.endpoint.failureDomain)
        return false;
    const auto free = domainAvailableAt(queue, request.nearTo, ahead, now);
    return free && *free <= request.startBy;
}

// Consecutive waiting pieces of the same stage and request, in queue order.
struct WaitingGroup
{
    const PieceRequest *request = nullptr;
    std::vector<PieceTicket> tickets;

    std::uint64_t resultBytes() const
    {
        return this->request->resultBytes * this->tickets.size();
    }
};

std::vector<WaitingGroup> groupWaiting(const StageQueue &queue)
{
    std::vector<WaitingGroup> groups;
    for (const PieceTicket ticket : queue.waiting) {
        const PieceRequest &request = queue.pieces.at(ticket).request;
        const bool same = !groups.empty() && groups.back().request->requestId == request.requestId
            && groups.back().request->stage == request.stage;
        if (!same)
            groups.push_back({&request, {}});
        groups.back().tickets.push_back(ticket);
    }
    return groups;
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
        if (remaining.pieces == 0 || remaining.memoryBytes < group.request->resultBytes)
            return;
        --remaining.pieces;
        remaining.memoryBytes -= group.request->resultBytes;
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
    const std::uint64_t usedBytes = usedResultMemory(queue, endpoint);
    const std::uint64_t usableBytes = usableResultMemory(batching);
    BatchCapacity remaining{batching.maxPieces,
                            usableBytes > usedBytes ? usableBytes - usedBytes : 0};
    std::map<Common::FailureDomain, std::size_t> aheadByDomain;
    std::vector<PieceTicket> batch;
    const std::vector<WaitingGroup> groups = groupWaiting(queue);
    const WaitingGroup *partialGroup = nullptr;
    bool reservesMemory = false;
    const std::uint64_t unfetched = unfetchedBytes(queue);
    const std::uint64_t maxUnfetched = maxUnfetchedBytes(queue);
    std::uint64_t unfetchedBudget = maxUnfetched > unfetched ? maxUnfetched - unfetched : 0;
    for (const WaitingGroup &group : groups) {
        if (remaining.pieces == 0)
            break;
        const PieceRequest &request = *group.request;
        std::size_t &ahead = aheadByDomain[request.nearTo];
        const std::size_t piecesAhead = std::exchange(ahead, ahead + group.tickets.size());
        if (shouldWaitForNearDomain(queue, request, endpoint, piecesAhead, now))
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

// Evicts results marked evictable, oldest first, until the endpoint has memory for a full call.
// Without waiting work that needs the memory they are kept, in case they were not fetched after
// all.
std::vector<std::string> evictFetchedResults(const StageQueue &queue, StageEndpoint &endpoint)
{
    std::uint64_t largest = 0;
    for (const PieceTicket ticket : queue.waiting)
        largest = std::max(largest, queue.pieces.at(ticket).request.resultBytes);
    const std::size_t pieces
        = std::min<std::size_t>(queue.waiting.size(), queue.batching.maxPieces);
    const std::uint64_t neededBytes
        = std::min(largest * pieces, usableResultMemory(queue.batching));
    std::uint64_t usedBytes = usedResultMemory(queue, endpoint);
    std::vector<std::string> evicted;
    std::erase_if(endpoint.held, [&](const HeldResult &held) {
        if (!held.isEvictable || usedBytes + neededBytes <= usableResultMemory(queue.batching))
            return false;
        usedBytes -= held.bytes;
        evicted.push_back(held.handle);
        return true;
    });
    return evicted;
}

PlannedCall beginCall(StageQueue &queue, StageEndpoint &endpoint,
                      const std::vector<PieceTicket> &batch, Time now)
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
        std::erase(queue.waiting, ticket);
    }
    call.pieces = batch;
    planned.deadline = now + call.expectedDuration * kCallTimeoutFactor;
    ++endpoint.callsInFlight;
    endpoint.endpoint.ownInFlight = endpoint.callsInFlight;
    endpoint.expectedFreeAt = std::max(endpoint.expectedFreeAt, now) + call.expectedDuration;
    queue.calls.emplace(planned.number, std::move(call));
    return planned;
}

} // namespace

std::vector<PlannedCall> planCalls(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    std::vector<PlannedCall> plans;
    if (queue.waiting.empty())
        return plans;
    std::vector<StageEndpoint *> free;
    std::size_t fastEndpoints = 0;
    for (auto &[id, endpoint] : queue.endpoints) {
        dropExpiredResults(endpoint, now);
        fastEndpoints += isUsable(endpoint, now) && !isSlow(endpoint, now) ? 1 : 0;
        if (canTakeCall(queue, endpoint, now))
            free.push_back(&endpoint);
    }
    // With no free endpoint, expired pieces are settled only once per scan interval.
    const bool isScanDue = queue.lastExpiryScanAt + kExpiryScanInterval <= now;
    if (free.empty() && !isScanDue)
        return plans;
    queue.lastExpiryScanAt = now;
    expirePieces(queue, now, settled);
    if (free.empty())
        return plans;
    sortWaiting(queue, now);
    std::stable_sort(free.begin(), free.end(),
                     [now](const StageEndpoint *a, const StageEndpoint *b) {
                         return Routing::currentSlowness(a->endpoint.health, now)
                             < Routing::currentSlowness(b->endpoint.health, now);
                     });
    const std::size_t maxBacklogForFast
        = fastEndpoints * queue.batching.maxPieces * kBacklogBatchesForSlowEndpoints;
    for (StageEndpoint *endpoint : free) {
        if (isSlow(*endpoint, now) && fastEndpoints > 0
            && queue.waiting.size() <= maxBacklogForFast)
            continue;
        std::vector<std::string> evicted = evictFetchedResults(queue, *endpoint);
        const std::vector<PieceTicket> batch = composeBatch(queue, *endpoint, now);
        if (batch.empty()) {
            std::move(evicted.begin(), evicted.end(), std::back_inserter(endpoint->pendingFrees));
            continue;
        }
        plans.push_back(beginCall(queue, *endpoint, batch, now));
        plans.back().freeFirst = std::move(evicted);
    }
    return plans;
}

} // namespace Tanagerbay::Staging
