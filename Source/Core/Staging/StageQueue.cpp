#include "Staging/StageQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// A call that takes this many times its expected duration, and a little more, is given to others.
// Endpoints of one service differ in speed by up to about a third.
constexpr double kOverdueFactor = 1.8;
constexpr Common::Milliseconds kOverdueSlack{80};
// A call that takes this many times its expected duration counts as lost.
constexpr int kLostFactor = 8;
// Endpoints slower than this are used only when much work waits.
constexpr double kSlowEndpoint = 1.6;
// Batches that wait for each usable endpoint before slow ones are used as well.
constexpr std::size_t kBatchesBeforeSlow = 2;
// An endpoint that said it has no room is asked again after this time; results are freed within
// about a tenth of a second of their use.
constexpr Common::Milliseconds kNoRoomPause{120};
// Failures after which a piece is given up.
constexpr std::uint32_t kMostTries = 4;
// With all endpoints busy, pieces that cannot be done in time are looked for this often.
constexpr Common::Milliseconds kExpiryInterval{50};
// Results are of about the size that the catalog names; this part of the room is filled by it.
constexpr double kUsableRoom = 0.92;
// Results from this part of the room on are what fills it.
constexpr double kNoticeableResult = 0.01;
// Results should wait no longer than this for the stage that uses them, about half a call of it,
// with the time after which they count as fetched.
constexpr Common::Milliseconds kFetchDelayTarget{250};
// Change of the share for one result; some twenty results are fetched in the time of a call.
constexpr double kShareStep = 0.01;
constexpr double kLeastUnfetchedShare = 0.25;
// Pieces with transfers from this size on are made near them, if there is time.
constexpr std::uint64_t kLargeTransfer = 256 << 10;
// Groups with results from this size on have the endpoint's room kept for them.
constexpr std::uint64_t kLargeResult = 256 << 10;

// A request that holds room at the stage before goes on in any case: while it waits, it keeps
// others out of that room.
bool isLate(const PieceRequest &request, Time now)
{
    return !request.inputsHoldRoom && now > request.startBy;
}

std::uint64_t usableRoom(const Catalog::Batching &batching)
{
    return static_cast<std::uint64_t>(static_cast<double>(batching.roomBytes) * kUsableRoom);
}

// Whether results of this size are what fills the room.
bool fillsRoom(const Catalog::Batching &batching, std::uint64_t resultBytes)
{
    return static_cast<double>(resultBytes)
        >= kNoticeableResult * static_cast<double>(batching.roomBytes);
}

// Bytes of results that are made or being made and that nobody has fetched yet.
std::uint64_t unfetchedBytes(const StageQueue &queue)
{
    std::uint64_t bytes = 0;
    for (const auto &[id, endpoint] : queue.endpoints) {
        for (const HeldResult &held : endpoint.held)
            bytes += held.isSpare || !fillsRoom(queue.batching, held.bytes) ? 0 : held.bytes;
    }
    for (const auto &[number, call] : queue.calls)
        bytes += call.reservedBytes;
    return bytes;
}

std::uint64_t mostUnfetchedBytes(const StageQueue &queue)
{
    const auto endpoints = static_cast<double>(queue.endpoints.size());
    const auto room = static_cast<double>(usableRoom(queue.batching));
    return static_cast<std::uint64_t>(queue.unfetchedShare * endpoints * room);
}

// Follows how long results wait until they are fetched.
void noteFetchDelay(StageQueue &queue, const HeldResult &held, Time now)
{
    if (held.isSpare || !fillsRoom(queue.batching, held.bytes))
        return;
    const double step = now - held.madeAt > kFetchDelayTarget ? -kShareStep : kShareStep;
    queue.unfetchedShare = std::clamp(queue.unfetchedShare * (1 + step), kLeastUnfetchedShare, 1.0);
}

std::uint64_t usedRoom(const StageQueue &queue, const StageEndpoint &endpoint)
{
    std::uint64_t bytes = 0;
    for (const HeldResult &result : endpoint.held)
        bytes += result.bytes;
    for (const auto &[number, call] : queue.calls) {
        if (call.endpoint == endpoint.endpoint.id)
            bytes += call.reservedBytes;
    }
    return bytes;
}

void dropLapsedResults(StageEndpoint &endpoint, Time now)
{
    std::erase_if(endpoint.held, [now](const HeldResult &held) { return held.until <= now; });
}

bool isUsable(const StageEndpoint &endpoint, Time now)
{
    return endpoint.listed && !endpoint.overdue && Routing::isEligible(endpoint.endpoint, now);
}

bool isFree(const StageQueue &queue, const StageEndpoint &endpoint, Time now)
{
    return isUsable(endpoint, now) && endpoint.fullUntil <= now
        && endpoint.callsInFlight < queue.batching.concurrentCalls;
}

bool isSlow(const StageEndpoint &endpoint, Time now)
{
    return Routing::slownessNow(endpoint.endpoint.health, now) > kSlowEndpoint;
}

void settle(StageQueue &queue, PieceTicket ticket)
{
    queue.pieces.erase(ticket);
    std::erase(queue.waiting, ticket);
}

void requeue(StageQueue &queue, PieceTicket ticket)
{
    const auto found = queue.pieces.find(ticket);
    if (found == queue.pieces.end() || found->second.queued)
        return;
    found->second.queued = true;
    queue.waiting.push_back(ticket);
}

void settleExpired(StageQueue &queue, Time now, std::vector<SettledPiece> &settled)
{
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

// Pieces that can still be on time go first, among them the more urgent, then the ones with the
// least slack.
void sortWaiting(StageQueue &queue, Time now)
{
    std::vector<std::tuple<bool, int, Time, PieceTicket>> ranks;
    ranks.reserve(queue.waiting.size());
    for (const PieceTicket ticket : queue.waiting) {
        const PieceRequest &request = queue.pieces.at(ticket).request;
        ranks.emplace_back(isLate(request, now), request.priority, request.startBy, ticket);
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

// Ends the call's hold on its endpoint and pieces. Returns the call, or nothing where unknown.
std::optional<OpenCall> takeCall(StageQueue &queue, CallNumber number)
{
    const auto found = queue.calls.find(number);
    if (found == queue.calls.end())
        return std::nullopt;
    OpenCall call = std::move(found->second);
    queue.calls.erase(found);
    for (const PieceTicket ticket : call.pieces) {
        const auto piece = queue.pieces.find(ticket);
        if (piece != queue.pieces.end() && piece->second.inCalls > 0)
            --piece->second.inCalls;
    }
    const auto endpoint = queue.endpoints.find(call.endpoint);
    if (endpoint != queue.endpoints.end()) {
        StageEndpoint &state = endpoint->second;
        state.callsInFlight -= state.callsInFlight > 0 ? 1 : 0;
        state.endpoint.ownInFlight = state.callsInFlight;
        if (state.callsInFlight == 0)
            state.overdue = false;
    }
    return call;
}

StageEndpoint *findEndpoint(StageQueue &queue, const Common::EndpointId &id)
{
    const auto found = queue.endpoints.find(id);
    return found == queue.endpoints.end() ? nullptr : &found->second;
}

// Counts a failure of a piece. Returns whether it is given up.
bool countFailure(StageQueue &queue, PieceTicket ticket)
{
    OpenPiece &piece = queue.pieces.at(ticket);
    return ++piece.tries >= kMostTries && piece.inCalls == 0;
}

void takeResult(StageQueue &queue, StageEndpoint *endpoint, const OpenCall &call,
                PieceTicket ticket, const PieceResult &result, Time now,
                std::vector<SettledPiece> &settled)
{
    const auto found = queue.pieces.find(ticket);
    if (found == queue.pieces.end()) {
        if (result.answer == PieceAnswer::Made && endpoint)
            endpoint->toFree.push_back(result.handle);
        return;
    }
    switch (result.answer) {
    case PieceAnswer::Made:
        if (endpoint) {
            endpoint->held.push_back({result.handle, found->second.request.resultBytes, now,
                                      now + queue.batching.resultLifetime});
        }
        settle(queue, ticket);
        settled.push_back({ticket, PieceEnd::Made, result.handle, call.endpoint});
        return;
    case PieceAnswer::Late:
        settle(queue, ticket);
        settled.push_back({ticket, PieceEnd::Expired, {}, {}});
        return;
    case PieceAnswer::InputGone:
        settle(queue, ticket);
        settled.push_back({ticket, PieceEnd::InputGone, {}, {}});
        return;
    case PieceAnswer::NoRoom:
        if (endpoint)
            endpoint->fullUntil = now + kNoRoomPause;
        requeue(queue, ticket);
        return;
    case PieceAnswer::Error:
        if (countFailure(queue, ticket)) {
            settle(queue, ticket);
            settled.push_back({ticket, PieceEnd::Failed, {}, {}});
            return;
        }
        requeue(queue, ticket);
        return;
    }
}

} // namespace

void applyEndpoints(StageQueue &queue, const std::vector<Routing::Endpoint> &listed, Time now)
{
    for (auto &[id, endpoint] : queue.endpoints)
        endpoint.listed = false;
    for (const Routing::Endpoint &entry : listed) {
        StageEndpoint &endpoint = queue.endpoints[entry.id];
        const bool sameProcess = endpoint.endpoint.address == entry.address
            && endpoint.endpoint.incarnation == entry.incarnation;
        if (!sameProcess)
            endpoint = StageEndpoint{};
        endpoint.endpoint.id = entry.id;
        endpoint.endpoint.address = entry.address;
        endpoint.endpoint.failureDomain = entry.failureDomain;
        endpoint.endpoint.incarnation = entry.incarnation;
        endpoint.endpoint.state = entry.state;
        endpoint.listed = entry.state == Routing::EndpointState::Live;
    }
    for (auto &[id, endpoint] : queue.endpoints)
        dropLapsedResults(endpoint, now);
    std::erase_if(queue.endpoints, [](const auto &entry) {
        return !entry.second.listed && entry.second.callsInFlight == 0 && entry.second.held.empty();
    });
}

PieceTicket submit(StageQueue &queue, PieceRequest request, Time now)
{
    const PieceTicket ticket = ++queue.lastTicket;
    queue.pieces.emplace(ticket, OpenPiece{std::move(request), now, 0, 0, true});
    queue.waiting.push_back(ticket);
    return ticket;
}

void withdraw(StageQueue &queue, PieceTicket ticket)
{
    settle(queue, ticket);
}

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
                         return Routing::slownessNow(a->endpoint.health, now)
                             < Routing::slownessNow(b->endpoint.health, now);
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

std::vector<SettledPiece> callAnswered(StageQueue &queue, CallNumber number,
                                       const std::vector<PieceResult> &results, Time now)
{
    const auto found = queue.calls.find(number);
    if (found == queue.calls.end())
        return {};
    if (found->second.pieces.size() != results.size())
        return callFailed(queue, number, CallFault::Lost, now);
    const auto call = takeCall(queue, number);
    StageEndpoint *endpoint = findEndpoint(queue, call->endpoint);
    if (endpoint) {
        const double relative = Common::toSeconds(now - call->sentAt)
            / std::max(Common::toSeconds(call->expected), 1e-3);
        Routing::noteSuccess(endpoint->endpoint, relative, now);
        endpoint->expectedFree = now;
    }
    std::vector<SettledPiece> settled;
    for (std::size_t i = 0; i < results.size(); ++i)
        takeResult(queue, endpoint, *call, call->pieces[i], results[i], now, settled);
    return settled;
}

std::vector<SettledPiece> callFailed(StageQueue &queue, CallNumber number, CallFault fault,
                                     Time now)
{
    std::vector<SettledPiece> settled;
    const auto call = takeCall(queue, number);
    if (!call)
        return settled;
    if (StageEndpoint *endpoint = findEndpoint(queue, call->endpoint)) {
        Routing::noteFailure(endpoint->endpoint, fault == CallFault::Unreachable, now);
        endpoint->expectedFree = now;
        // Another caller fills its queue; it will be free after about one call.
        if (fault == CallFault::Refused)
            endpoint->fullUntil = now + queue.batching.callTime / 2;
    }
    for (const PieceTicket ticket : call->pieces) {
        if (!queue.pieces.contains(ticket))
            continue;
        if (fault == CallFault::Lost && countFailure(queue, ticket)) {
            settle(queue, ticket);
            settled.push_back({ticket, PieceEnd::Failed, {}, {}});
            continue;
        }
        requeue(queue, ticket);
    }
    return settled;
}

void requeueOverdue(StageQueue &queue, Time now)
{
    for (auto &[number, call] : queue.calls) {
        const auto limit = std::chrono::duration_cast<Duration>(call.expected * kOverdueFactor);
        if (call.overdue || now < call.sentAt + limit + kOverdueSlack)
            continue;
        call.overdue = true;
        if (StageEndpoint *endpoint = findEndpoint(queue, call.endpoint))
            endpoint->overdue = true;
        for (const PieceTicket ticket : call.pieces)
            requeue(queue, ticket);
    }
}

void release(StageQueue &queue, const Common::EndpointId &maker, const std::string &handle)
{
    if (StageEndpoint *endpoint = findEndpoint(queue, maker))
        endpoint->toFree.push_back(handle);
}

void markSpare(StageQueue &queue, const Common::EndpointId &maker, const std::string &handle,
               Time now)
{
    StageEndpoint *endpoint = findEndpoint(queue, maker);
    if (!endpoint)
        return;
    for (HeldResult &held : endpoint->held) {
        if (held.handle != handle)
            continue;
        noteFetchDelay(queue, held, now);
        held.isSpare = true;
    }
}

bool isOpen(const StageQueue &queue, CallNumber call)
{
    return queue.calls.contains(call);
}

bool hasFreeOrders(const StageQueue &queue)
{
    return std::any_of(queue.endpoints.begin(), queue.endpoints.end(),
                       [](const auto &entry) { return !entry.second.toFree.empty(); });
}

std::vector<FreeOrder> takeFreeOrders(StageQueue &queue)
{
    std::vector<FreeOrder> orders;
    for (auto &[id, endpoint] : queue.endpoints) {
        if (endpoint.toFree.empty())
            continue;
        std::erase_if(endpoint.held, [&endpoint](const HeldResult &held) {
            return std::find(endpoint.toFree.begin(), endpoint.toFree.end(), held.handle)
                != endpoint.toFree.end();
        });
        orders.push_back({id, endpoint.endpoint.address, std::move(endpoint.toFree)});
        endpoint.toFree.clear();
    }
    return orders;
}

std::optional<Time> nextWake(const StageQueue &queue, Time now)
{
    std::optional<Time> wake;
    const auto consider = [&wake, now](Time at) {
        if (at > now && (!wake || at < *wake))
            wake = at;
    };
    for (const auto &[number, call] : queue.calls) {
        const auto limit = std::chrono::duration_cast<Duration>(call.expected * kOverdueFactor);
        if (!call.overdue)
            consider(call.sentAt + limit + kOverdueSlack);
    }
    if (queue.waiting.empty())
        return wake;
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (!endpoint.listed || endpoint.callsInFlight >= queue.batching.concurrentCalls)
            continue;
        consider(std::max(endpoint.fullUntil, endpoint.endpoint.health.ejectedUntil));
        for (const HeldResult &held : endpoint.held)
            consider(held.until);
    }
    for (const PieceTicket ticket : queue.waiting)
        consider(queue.pieces.at(ticket).request.expiresAt - queue.batching.callTime);
    return wake;
}

Duration predictedWait(const StageQueue &queue, std::size_t morePieces, Time now)
{
    std::int64_t usable = 0;
    Duration busy{0};
    for (const auto &[id, endpoint] : queue.endpoints) {
        if (!isUsable(endpoint, now))
            continue;
        ++usable;
        if (endpoint.callsInFlight > 0)
            busy += std::max(endpoint.expectedFree - now, Duration{0});
    }
    if (usable == 0)
        return queue.batching.callTime * kLostFactor;
    const Duration fullCall = expectedCallTime(queue.batching, queue.batching.maxPieces);
    const double batches = static_cast<double>(queue.waiting.size() + morePieces)
        / static_cast<double>(queue.batching.maxPieces);
    const auto work = std::chrono::duration_cast<Duration>(fullCall * batches);
    return (busy + work) / usable + fullCall / 2;
}

} // namespace Tanagerbay::Staging
