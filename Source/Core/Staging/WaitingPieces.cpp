#include "Staging/WaitingPieces.h"

#include "Staging/CostOrder.h"

#include <algorithm>
#include <random>

namespace Tanagerbay::Staging {

namespace {

using Common::Time;

std::string stageKey(const PieceRequest &request)
{
    return request.requestId + "#" + std::to_string(request.stage);
}

std::int64_t sinceEpoch(Time time)
{
    return time.time_since_epoch().count();
}

// Pieces that can still meet their objective go first, among them by priority, then by latest
// start. Late pieces get only the remaining capacity: serving them in turn under overload would
// make every request late.
GroupRank initialRank(QueueOrder order, const PieceRequest &request, GroupId group)
{
    switch (order) {
    case QueueOrder::FirstCome:
        return {false, 0, false, 0, group};
    case QueueOrder::Random:
        return {false, 0, false,
                static_cast<std::int64_t>(std::minstd_rand(static_cast<std::uint32_t>(group))()),
                group};
    case QueueOrder::OnTimeFirst:
    case QueueOrder::LeastCost:
        break;
    }
    return {false, request.priority, false, sinceEpoch(request.startBy), group};
}

void addGroup(StageQueue &queue, PieceTicket ticket, const PieceRequest &request)
{
    WaitingPieces &waiting = queue.waiting;
    WaitingGroup &group = waiting.groups[ticket];
    group.request = request;
    group.rank = initialRank(queue.order, request, ticket);
    group.tickets.push_back(ticket);
    waiting.byStage[stageKey(request)] = ticket;
    waiting.order.insert(group.rank);
    waiting.byExpiry.emplace(request.expiresAt, ticket);
    if (queue.order == QueueOrder::OnTimeFirst || queue.order == QueueOrder::LeastCost)
        waiting.byStart.emplace(request.startBy, ticket);
    ++waiting.groupsBySize[request.resultBytes];
}

void removeGroup(WaitingPieces &waiting, GroupId id)
{
    const auto found = waiting.groups.find(id);
    const WaitingGroup &group = found->second;
    waiting.order.erase(group.rank);
    waiting.byExpiry.erase({group.request.expiresAt, id});
    waiting.byStart.erase({group.request.startBy, id});
    waiting.byLastChance.erase({group.lastChanceFrom, id});
    waiting.byStage.erase(stageKey(group.request));
    const auto size = waiting.groupsBySize.find(group.request.resultBytes);
    if (--size->second == 0)
        waiting.groupsBySize.erase(size);
    waiting.groups.erase(found);
}

} // namespace

void addWaiting(StageQueue &queue, PieceTicket ticket, const PieceRequest &request)
{
    WaitingPieces &waiting = queue.waiting;
    ++waiting.pieceCount;
    ++waiting.piecesByPriority[request.priority];
    const auto known = waiting.byStage.find(stageKey(request));
    if (known == waiting.byStage.end()) {
        addGroup(queue, ticket, request);
        return;
    }
    std::vector<PieceTicket> &tickets = waiting.groups.at(known->second).tickets;
    tickets.insert(std::upper_bound(tickets.begin(), tickets.end(), ticket), ticket);
}

void removeWaiting(StageQueue &queue, PieceTicket ticket, const PieceRequest &request)
{
    WaitingPieces &waiting = queue.waiting;
    const auto known = waiting.byStage.find(stageKey(request));
    if (known == waiting.byStage.end())
        return;
    std::vector<PieceTicket> &tickets = waiting.groups.at(known->second).tickets;
    const auto at = std::lower_bound(tickets.begin(), tickets.end(), ticket);
    if (at == tickets.end() || *at != ticket)
        return;
    tickets.erase(at);
    --waiting.pieceCount;
    --waiting.piecesByPriority[request.priority];
    if (tickets.empty())
        removeGroup(waiting, known->second);
}

namespace {

// Groups with a last chance go before less urgent ones, whether these can be on time or not.
void moveLastChances(StageQueue &queue, Time now)
{
    WaitingPieces &waiting = queue.waiting;
    while (!waiting.byLastChance.empty() && waiting.byLastChance.begin()->first <= now) {
        const GroupId id = waiting.byLastChance.begin()->second;
        waiting.byLastChance.erase(waiting.byLastChance.begin());
        WaitingGroup &group = waiting.groups.at(id);
        waiting.order.erase(group.rank);
        const bool isFirst = isStarved(queue.shares, group.request.priority);
        group.rank = lastChanceRank(group.request, isFirst, id);
        waiting.order.insert(group.rank);
        ++queue.costs.lastChances;
        queue.costs.starved += isFirst ? 1 : 0;
    }
}

} // namespace

void moveLateGroups(StageQueue &queue, Time now)
{
    WaitingPieces &waiting = queue.waiting;
    while (!waiting.byStart.empty() && waiting.byStart.begin()->first < now) {
        const GroupId id = waiting.byStart.begin()->second;
        waiting.byStart.erase(waiting.byStart.begin());
        WaitingGroup &group = waiting.groups.at(id);
        waiting.order.erase(group.rank);
        group.rank.isLate = true;
        // Of the late groups, the newest are the most likely to still have a connected caller.
        group.rank.order = -sinceEpoch(group.request.startBy);
        waiting.order.insert(group.rank);
        if (queue.order != QueueOrder::LeastCost)
            continue;
        group.lastChanceFrom = lastChanceFrom(queue, group.request);
        waiting.byLastChance.emplace(group.lastChanceFrom, id);
    }
    moveLastChances(queue, now);
}

std::vector<GroupId> groupsExpiringBy(const WaitingPieces &waiting, Time limit)
{
    std::vector<GroupId> expiring;
    for (const auto &[expiresAt, id] : waiting.byExpiry) {
        if (expiresAt > limit)
            break;
        expiring.push_back(id);
    }
    return expiring;
}

} // namespace Tanagerbay::Staging
