#include "Http/MemoryAccount.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace Tanagerbay::Http {

namespace {

// Coroutine, buffers and timers of a connection, and what it makes the system hold.
constexpr std::size_t kConnectionBytes = 12 << 10;
// One that holds no more than this may use all of the room. The others leave an eighth of it, so
// that ordinary requests are read when large ones are being handled.
constexpr std::size_t kSmallHolding = 64 << 10;
constexpr std::size_t kRoomForSmall = 8;
// Evicting goes on until this part of the room is free, so that it is not done for each byte.
constexpr std::size_t kFreedPart = 16;
// A caller that has sent nothing, or a part of a request, for less than this may be an ordinary
// one.
constexpr Common::Milliseconds kMinStayOfEvicted{1000};
// Descriptors of the platform for files, and the share of the others that callers may use.
constexpr std::size_t kDescriptorsForFiles = 200;
constexpr std::size_t kMinConnections = 16;

std::size_t sumOf(const HeldBytes &bytes)
{
    return std::accumulate(bytes.begin(), bytes.end(), std::size_t(0));
}

std::size_t indexOf(HeldKind kind)
{
    return static_cast<std::size_t>(kind);
}

template <typename Reason>
std::uint64_t &countOf(std::array<std::uint64_t, 2> &counts, Reason reason)
{
    return counts.at(static_cast<std::size_t>(reason));
}

void setHeld(MemoryAccount &account, Holder &holder, HeldKind kind, std::size_t bytes)
{
    std::size_t &own = holder.held.at(indexOf(kind));
    std::size_t &total = account.held.at(indexOf(kind));
    total = total - own + bytes;
    if (holder.evicted)
        account.leavingBytes = account.leavingBytes - own + bytes;
    own = bytes;
}

void evict(MemoryAccount &account, Holder &holder, EvictionReason reason)
{
    holder.evicted = reason;
    account.leavingBytes += sumOf(holder.held);
    ++account.leavingConnections;
    ++countOf(account.evictions, reason);
    holder.evict();
}

// Bytes times seconds. What completes soon weighs little, however large it is.
double weightOf(std::size_t bytes, Common::Time since, Common::Time now)
{
    constexpr Common::Milliseconds kLeastAge{1};
    return static_cast<double>(bytes)
        * Common::toSeconds(std::max<Common::Duration>(now - since, kLeastAge));
}

// What is being written may answer a request that has run, so that an ordinary write is left its
// time.
bool mayEvictForMemory(const Holder &holder, Common::Time now)
{
    if (holder.evicted)
        return false;
    return holder.phase == HolderPhase::Reading
        || (holder.phase == HolderPhase::Writing && now - holder.since >= kMinStayOfEvicted);
}

bool hasRoom(const MemoryAccount &account, std::size_t moreBytes, std::size_t limit)
{
    return heldBytes(account) - account.leavingBytes + moreBytes <= limit;
}

// Evicts the heaviest until there is room for more, and nobody if that would not make room. Those
// that are lighter than `asker` would be with more stay.
bool makeRoom(MemoryAccount &account, std::size_t moreBytes, std::size_t limit, const Holder *asker,
              Common::Time now)
{
    const double least = asker ? weightOf(sumOf(asker->held) + moreBytes, asker->since, now) : 0.0;
    std::vector<std::pair<double, Holder *>> candidates;
    std::size_t evictable = 0;
    for (Holder &holder : account.holders) {
        const double weight = weightOf(sumOf(holder.held), holder.since, now);
        if (&holder != asker && mayEvictForMemory(holder, now) && weight > least) {
            candidates.emplace_back(weight, &holder);
            evictable += sumOf(holder.held);
        }
    }
    if (!hasRoom(account, moreBytes, limit + evictable))
        return false;
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    const std::size_t freed = limit - limit / kFreedPart;
    for (const auto &[weight, holder] : candidates) {
        if (hasRoom(account, moreBytes, freed))
            break;
        evict(account, *holder, EvictionReason::Memory);
    }
    return true;
}

// Order in which connections are closed for others, the last first; 0 if it may not be closed.
int rankForClosing(const Holder &holder, Common::Time now)
{
    if (holder.evicted || now - holder.since < kMinStayOfEvicted)
        return 0;
    switch (holder.phase) {
    case HolderPhase::Handling:
    case HolderPhase::Writing:
        return 0;
    case HolderPhase::Reading:
        return 3;
    case HolderPhase::Idle:
        return holder.hasCompleted ? 1 : 2;
    }
    return 0;
}

Holder *chooseForClosing(MemoryAccount &account, Common::Time now)
{
    Holder *chosen = nullptr;
    int chosenRank = 0;
    for (Holder &holder : account.holders) {
        const int rank = rankForClosing(holder, now);
        if (rank > chosenRank || (rank > 0 && rank == chosenRank && holder.since < chosen->since)) {
            chosen = &holder;
            chosenRank = rank;
        }
    }
    return chosen;
}

} // namespace

std::size_t shareForCallers(std::size_t machineBytes, std::size_t heapBytes,
                            std::size_t accountedBytes)
{
    const std::size_t others = heapBytes > accountedBytes ? heapBytes - accountedBytes : 0;
    // An eighth is for the program itself and for what it allocates until the next look.
    const std::size_t usable = machineBytes / 8 * 7;
    const std::size_t rest = usable > others ? usable - others : 0;
    return std::clamp(rest, machineBytes / 16, machineBytes / 5 * 2);
}

std::size_t connectionsForCallers(std::size_t maxDescriptors)
{
    const std::size_t usable
        = maxDescriptors > kDescriptorsForFiles ? maxDescriptors - kDescriptorsForFiles : 0;
    return std::max(usable / 4 * 3, kMinConnections);
}

std::size_t heldBytes(const MemoryAccount &account)
{
    return sumOf(account.held);
}

bool admit(MemoryAccount &account, Holder &holder, Common::Time now)
{
    if (account.holders.size() - account.leavingConnections >= account.maxConnections) {
        Holder *chosen = chooseForClosing(account, now);
        if (!chosen) {
            ++countOf(account.refusals, EvictionReason::Connections);
            return false;
        }
        evict(account, *chosen, EvictionReason::Connections);
    }
    account.holders.push_back(holder);
    beginPhase(holder, HolderPhase::Idle, now);
    setHeld(account, holder, HeldKind::Connection, kConnectionBytes);
    return true;
}

void remove(MemoryAccount &account, Holder &holder)
{
    if (!holder.is_linked())
        return;
    for (std::size_t kind = 0; kind < kHeldKinds; ++kind)
        setHeld(account, holder, static_cast<HeldKind>(kind), 0);
    if (holder.evicted)
        --account.leavingConnections;
    account.holders.erase(account.holders.iterator_to(holder));
}

void beginPhase(Holder &holder, HolderPhase phase, Common::Time now)
{
    holder.phase = phase;
    holder.since = now;
}

bool hold(MemoryAccount &account, Holder &holder, HeldKind kind, std::size_t bytes,
          Common::Time now)
{
    const std::size_t before = holder.held.at(indexOf(kind));
    if (bytes > before) {
        const std::size_t more = bytes - before;
        const bool isSmall = sumOf(holder.held) + more <= kSmallHolding;
        const std::size_t limit
            = isSmall ? account.maxBytes : account.maxBytes - account.maxBytes / kRoomForSmall;
        if (holder.evicted)
            return false;
        if (!hasRoom(account, more, limit) && !makeRoom(account, more, limit, &holder, now)) {
            ++countOf(account.refusals, EvictionReason::Memory);
            return false;
        }
    }
    setHeld(account, holder, kind, bytes);
    return true;
}

void holdAnyway(MemoryAccount &account, Holder &holder, HeldKind kind, std::size_t bytes,
                Common::Time now)
{
    const std::size_t before = holder.held.at(indexOf(kind));
    if (bytes > before && !hasRoom(account, bytes - before, account.maxBytes))
        makeRoom(account, bytes - before, account.maxBytes, &holder, now);
    setHeld(account, holder, kind, bytes);
}

bool holdResponse(MemoryAccount &account, std::size_t moreBytes, Common::Time now,
                  std::size_t bytesBefore)
{
    const bool isSmall = bytesBefore + moreBytes <= kSmallHolding;
    const std::size_t limit
        = isSmall ? account.maxBytes : account.maxBytes - account.maxBytes / kRoomForSmall;
    const bool fits
        = hasRoom(account, moreBytes, limit) || makeRoom(account, moreBytes, limit, nullptr, now);
    // The request has run: a small answer of it is kept in any case.
    if (!fits && !isSmall) {
        ++countOf(account.refusals, EvictionReason::Memory);
        return false;
    }
    account.held.at(indexOf(HeldKind::Response)) += moreBytes;
    return true;
}

void releaseResponse(MemoryAccount &account, std::size_t bytes)
{
    account.held.at(indexOf(HeldKind::Response)) -= bytes;
}

} // namespace Tanagerbay::Http
