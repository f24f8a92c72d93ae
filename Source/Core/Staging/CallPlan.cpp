// Composes the calls of a stage queue.
#include "Staging/QueueParts.h"
#include "Staging/Room.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// A call that takes this many times its expected duration counts as lost.
constexpr int kLostFactor = 8;
// Endpoints slower than this are used only when much work waits.
constexpr double kSlowEndpoint = 1.6;
// Batches that wait for each usable endpoint before slow ones are used as well.
constexpr std::size_t kBatchesBeforeSlow = 2;
// With all endpoints busy, pieces that cannot be done in time are looked for this often.
constexpr Common::Milliseconds kExpiryInterval{50};
// Pieces with transfers from this size on are made near them, if there is time.
constexpr std::uint64_t kLargeTransfer = 256 << 10;
// Groups with results from this size on have the endpoint's room kept for them.
constexpr std::uint64_t kLargeResult = 256 << 10;

bool isFree(const StageQueue &queue, const StageEndpoint &endpoint, Time now)
{
    return isUsable(endpoint, now) && endpoint.fullUntil <= now
        && endpoint.callsInFlight < queue.batching.concurrentCalls;
}

bool isSlow(const StageEndpoint &endpoint, Time now)
{
    return Routing::currentSlowness(endpoint.endpoint.health, now) > kSlowEndpoint;
}

void settleExpired(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
    if (!queue.givesUpExpired)
        return;
    std::vector<PieceTicket> expired;
    for (const PieceTicket ticket : queue.waiting) {
        const OpenPiece &piece = queue.pieces.at(ticket);
        if (piece.request.expiresAt <= now + queue.batching.callTime && piece.inCalls == 0)
            expired.push_back(ticket);
    }
    for (const PieceTicket ticket : expired) {
        settle(queue, ticket);
        settled.push_back({ticket, PieceEnd::Expired, {}, {}});
    }
}

// Pieces that can still be on time go first, and among them the more urgent, then those with the
// least slack. Under overload the others take only what is left: a queue that served them in turn
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
        // Among those that are late, the newest are the most likely to find their callers there.
        const Duration sinceEpoch = request.startBy.time_since_epoch();
        ranks.emplace_back(late, request.priority, late ? -sinceEpoch : sinceEpoch, ticket);
    }
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t i = 0; i < ranks.size(); ++i)
        queue.waiting[i] = std::get<PieceTicket>(ranks[i]);
}

// When an endpoint of the failure domain could take a piece that has `ahead` others before it.
std::optional<Time> domainFreeAt(const StageQueue &queue, const Common::FailureDomain &domain,
                                 std::size_t ahead, Time now)
{
    std::optional<Time> first;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (endpoint.endpoint.failureDomain != domain || !isUsable(endpoint, now)
            || isSlow(endpoint, now))
            continue;
        const Time free = std::max(now, endpoint.callsInFlight > 0 ? endpoint.expectedFree : now);
        if (!first || free < *first)
            first = free;
    }
    if (!first)
        return std::nullopt;
    const auto calls = static_cast<std::int64_t>(ahead / queue.batching.maxPieces);
    return *first + expectedCallTime(queue.batching, queue.batching.maxPieces) * calls;
}

// Whether the piece should wait for an endpoint nearer to its inputs or to where it is used.
bool waitsForItsDomain(const StageQueue &queue, const PieceRequest &request,
                       const StageEndpoint &endpoint, std::size_t ahead, Time now)
{
    if (request.transferBytes < kLargeTransfer || request.nearTo.empty()
        || request.nearTo == endpoint.endpoint.failureDomain)
        return false;
    const auto free = domainFreeAt(queue, request.nearTo, ahead, now);
    return free && *free <= request.startBy;
}

// Pieces of one stage of one request that wait, in the order of the queue.
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

// What a call may still take.
struct Capacity
{
    std::size_t pieces = 0;
    std::uint64_t room = 0;
};

void takePieces(const WaitingGroup &group, Capacity &left, std::vector<PieceTicket> &batch)
{
    for (const PieceTicket ticket : group.tickets) {
        if (left.pieces == 0 || left.room < group.request->resultBytes)
            return;
        --left.pieces;
        left.room -= group.request->resultBytes;
        batch.push_back(ticket);
    }
}

// Takes whole groups, since a request gains nothing from a part of its pieces, while their results
// take room. What is left over goes to a part of the first group with small results.
std::vector<PieceTicket> composeBatch(const StageQueue &queue, const StageEndpoint &endpoint,
                                      Time now)
{
    const Catalog::Batching &batching = queue.batching;
    const std::uint64_t used = usedRoom(queue, endpoint);
    const std::uint64_t room = usableRoom(batching);
    Capacity left{batching.maxPieces, room > used ? room - used : 0};
    std::map<Common::FailureDomain, std::size_t> aheadByDomain;
    std::vector<PieceTicket> batch;
    const std::vector<WaitingGroup> groups = groupWaiting(queue);
    const WaitingGroup *partly = nullptr;
    bool keepsRoom = false;
    const std::uint64_t unfetched = unfetchedBytes(queue);
    const std::uint64_t mostUnfetched = mostUnfetchedBytes(queue);
    std::uint64_t mayBeUnfetched = mostUnfetched > unfetched ? mostUnfetched - unfetched : 0;
    for (const WaitingGroup &group : groups) {
        if (left.pieces == 0)
            break;
        const PieceRequest &request = *group.request;
        std::size_t &ahead = aheadByDomain[request.nearTo];
        const std::size_t before = std::exchange(ahead, ahead + group.tickets.size());
        if (waitsForItsDomain(queue, request, endpoint, before, now))
            continue;
        const bool large = request.resultBytes >= kLargeResult;
        if (large && keepsRoom)
            continue;
        const bool tooLargeForAny
            = group.tickets.size() > batching.maxPieces || group.resultBytes() > room;
        const bool fills = fillsRoom(batching, request.resultBytes);
        if (fills && mayBeUnfetched == 0)
            continue;
        const bool fits = group.tickets.size() <= left.pieces && group.resultBytes() <= left.room;
        if (fits || tooLargeForAny) {
            if (fills)
                mayBeUnfetched -= std::min(mayBeUnfetched, group.resultBytes());
            takePieces(group, left, batch);
            continue;
        }
        // Later groups must not take the room for which a large one waits.
        if (large && group.resultBytes() > left.room && !isLate(request, now))
            keepsRoom = true;
        if (!large && !partly)
            partly = &group;
    }
    if (partly)
        takePieces(*partly, left, batch);
    return batch;
}

// Takes spare results out until the endpoint has room for a full call, oldest first. Without work
// that needs the room they stay, in case that they were not fetched after all.
std::vector<std::string> evictSpares(const StageQueue &queue, StageEndpoint &endpoint)
{
    std::uint64_t largest = 0;
    for (const PieceTicket ticket : queue.waiting)
        largest = std::max(largest, queue.pieces.at(ticket).request.resultBytes);
    const std::size_t pieces
        = std::min<std::size_t>(queue.waiting.size(), queue.batching.maxPieces);
    const std::uint64_t wanted = std::min(largest * pieces, usableRoom(queue.batching));
    std::uint64_t used = usedRoom(queue, endpoint);
    std::vector<std::string> evicted;
    std::erase_if(endpoint.held, [&](const HeldResult &held) {
        if (!held.isSpare || used + wanted <= usableRoom(queue.batching))
            return false;
        used -= held.bytes;
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
    call.expected = expectedCallTime(queue.batching, batch.size());
    for (const PieceTicket ticket : batch) {
        OpenPiece &piece = queue.pieces.at(ticket);
        piece.queued = false;
        ++piece.inCalls;
        call.reservedBytes += piece.request.resultBytes;
        planned.pieces.push_back({ticket, piece.request, piece.queuedAt});
        std::erase(queue.waiting, ticket);
    }
    call.pieces = batch;
    planned.deadline = now + call.expected * kLostFactor;
    ++endpoint.callsInFlight;
    endpoint.endpoint.ownInFlight = endpoint.callsInFlight;
    endpoint.expectedFree = std::max(endpoint.expectedFree, now) + call.expected;
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
    std::size_t quick = 0;
    for (auto &[id, endpoint] : queue.endpoints) {
        dropLapsedResults(endpoint, now);
        quick += isUsable(endpoint, now) && !isSlow(endpoint, now) ? 1 : 0;
        if (isFree(queue, endpoint, now))
            free.push_back(&endpoint);
    }
    // Without a free endpoint, pieces that cannot be done in time are settled when the queue wakes.
    const bool pastWake = queue.settledExpiredAt + kExpiryInterval <= now;
    if (free.empty() && !pastWake)
        return plans;
    queue.settledExpiredAt = now;
    settleExpired(queue, now, settled);
    if (free.empty())
        return plans;
    sortWaiting(queue, now);
    std::stable_sort(free.begin(), free.end(),
                     [now](const StageEndpoint *a, const StageEndpoint *b) {
                         return Routing::currentSlowness(a->endpoint.health, now)
                             < Routing::currentSlowness(b->endpoint.health, now);
                     });
    const std::size_t muchWork = quick * queue.batching.maxPieces * kBatchesBeforeSlow;
    for (StageEndpoint *endpoint : free) {
        if (isSlow(*endpoint, now) && quick > 0 && queue.waiting.size() <= muchWork)
            continue;
        std::vector<std::string> evicted = evictSpares(queue, *endpoint);
        const std::vector<PieceTicket> batch = composeBatch(queue, *endpoint, now);
        if (batch.empty()) {
            std::move(evicted.begin(), evicted.end(), std::back_inserter(endpoint->toFree));
            continue;
        }
        plans.push_back(beginCall(queue, *endpoint, batch, now));
        plans.back().freeFirst = std::move(evicted);
    }
    return plans;
}

} // namespace Tanagerbay::Staging
