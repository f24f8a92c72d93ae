#include "Staging/CostOrder.h"

#include "Staging/QueueInternals.h"

#include <algorithm>
#include <limits>

namespace Tanagerbay::Staging {

namespace {

using Common::Duration;
using Common::Time;

// Before every priority of the configuration.
constexpr int kFirstPriority = std::numeric_limits<int>::min();

Duration fullCallTime(const StageQueue &queue)
{
    return expectedCallTime(queue.batching, queue.batching.maxPieces);
}

Duration timeFor(double pieces, double perSecond)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pieces / perSecond));
}

// Pieces that can be on time and go before late ones, by priority: their number and the latest
// start among them. Those not begun by then are late themselves.
struct OnTimeAhead
{
    std::size_t pieces = 0;
    Time until;
};

std::map<int, OnTimeAhead> onTimeByPriority(const WaitingPieces &waiting)
{
    std::map<int, OnTimeAhead> byPriority;
    for (const auto &[startBy, id] : waiting.byStart) {
        const WaitingGroup &group = waiting.groups.at(id);
        OnTimeAhead &ahead = byPriority[group.request.priority];
        ahead.pieces += group.tickets.size();
        ahead.until = startBy;
    }
    return byPriority;
}

// Pieces that can be on time, are as urgent or more, and are begun before a late one of `priority`.
double onTimePieces(const std::map<int, OnTimeAhead> &byPriority, int priority, double perSecond,
                    Time now)
{
    double pieces = 0;
    for (const auto &[other, ahead] : byPriority) {
        if (other > priority)
            break;
        const double begun = Common::toSeconds(ahead.until - now) * perSecond;
        pieces += std::clamp(begun, 0.0, static_cast<double>(ahead.pieces));
    }
    return pieces;
}

} // namespace

bool hasSeveralPriorities(const Catalog::Catalog &catalog, const std::string &service)
{
    std::set<int> priorities;
    for (const Catalog::Route &route : catalog.routes) {
        const bool isUsed
            = std::any_of(route.stages.begin(), route.stages.end(),
                          [&](const Catalog::Stage &stage) { return stage.service == service; });
        if (isUsed)
            priorities.insert(route.priority);
    }
    for (const Catalog::Workspace &workspace : catalog.workspaces) {
        if (workspace.priority)
            priorities.insert(*workspace.priority);
    }
    return priorities.size() > 1;
}

Time lastChanceFrom(const StageQueue &queue, const PieceRequest &request)
{
    return request.lastStartBy.value_or(request.expiresAt - fullCallTime(queue));
}

GroupRank lastChanceRank(const PieceRequest &request, bool isFirst, GroupId group)
{
    // The newest first, as with all late groups: it has the most time left for its later stages.
    return {false, isFirst ? kFirstPriority : request.priority, true,
            -request.startBy.time_since_epoch().count(), group};
}

double piecesPerSecond(const StageQueue &queue, Time now)
{
    const double perCall
        = static_cast<double>(queue.batching.maxPieces) * queue.batching.concurrentCalls;
    const double seconds = std::max(Common::toSeconds(fullCallTime(queue)), 1e-3);
    double calls = 0;
    bool isAnyUsable = false;
    for (const auto &[id, endpoint] : queue.endpoints) {
        isAnyUsable = isAnyUsable || isUsable(endpoint, now);
        // One that is ejected or held now may be back in a moment.
        if (endpoint.isListed && !Routing::takesNoNewWork(endpoint.endpoint))
            calls += 1 / Routing::currentSlowness(endpoint.endpoint.health, now);
    }
    return isAnyUsable ? calls * perCall / seconds : 0;
}

std::vector<TurnedAway> groupsWithoutRoom(const StageQueue &queue, Time now)
{
    const double perSecond = piecesPerSecond(queue, now);
    if (perSecond <= 0)
        return {};
    const std::map<int, OnTimeAhead> onTime = onTimeByPriority(queue.waiting);
    // Late pieces that are as urgent or more and whose last chance is not later go before a group.
    std::map<int, std::size_t> lateAhead;
    std::vector<TurnedAway> away;
    for (const auto &[expiresAt, id] : queue.waiting.byExpiry) {
        const WaitingGroup &group = queue.waiting.groups.at(id);
        const int priority = group.request.priority;
        // A priority that is served too rarely goes first at its last chance.
        if (!isLate(group.request, now) || isStarved(queue.shares, priority))
            continue;
        double ahead = onTimePieces(onTime, priority, perSecond, now);
        for (const auto &[other, pieces] : lateAhead)
            ahead += other <= priority ? static_cast<double>(pieces) : 0;
        const Duration wait = timeFor(ahead, perSecond);
        const Duration timeLeft = expiresAt - queue.batching.callTime - now;
        if (wait > timeLeft) {
            away.push_back({id, static_cast<std::size_t>(ahead), wait, timeLeft});
            continue;
        }
        lateAhead[priority] += group.tickets.size();
    }
    return away;
}

std::optional<Duration> roomIn(const StageQueue &queue, int priority, Time now)
{
    const double perSecond = piecesPerSecond(queue, now);
    if (perSecond <= 0)
        return std::nullopt;
    double ahead = 0;
    for (const auto &[other, pieces] : queue.waiting.piecesByPriority)
        ahead += other <= priority ? static_cast<double>(pieces) : 0;
    return timeFor(ahead, perSecond);
}

ScarceResource scarceResource(const StageQueue &queue, Time now)
{
    if (queue.waiting.pieceCount == 0)
        return ScarceResource::None;
    // Pieces that wait although an endpoint is free wait for memory, theirs or of the next stage.
    const bool isAnyFree
        = std::any_of(queue.endpoints.begin(), queue.endpoints.end(), [&](const auto &entry) {
              return isUsable(entry.second, now)
                  && entry.second.callsInFlight < queue.batching.concurrentCalls;
          });
    return isAnyFree ? ScarceResource::ResultMemory : ScarceResource::StageCalls;
}

} // namespace Tanagerbay::Staging
