// Order in which the requests of one service that wait for an endpoint with a rate limit are sent.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>

namespace Tanagerbay::Serving {

// Lower values go first.
struct PermitPosition
{
    // A stream that has begun goes on before new work starts.
    bool isNew = true;
    int priority = 0;
    // Order of arrival.
    std::uint64_t number = 0;

    auto operator<=>(const PermitPosition &) const = default;
};

struct PermitQueue
{
    std::set<PermitPosition> waiting;
    std::uint64_t lastNumber = 0;
};

inline PermitPosition join(PermitQueue &queue, bool isNew, int priority)
{
    const PermitPosition position{isNew, priority, ++queue.lastNumber};
    queue.waiting.insert(position);
    return position;
}

inline void leave(PermitQueue &queue, const PermitPosition &position)
{
    queue.waiting.erase(position);
}

// Number of requests that are sent before the one at the position.
inline std::size_t countBefore(const PermitQueue &queue, const PermitPosition &position)
{
    return static_cast<std::size_t>(
        std::distance(queue.waiting.begin(), queue.waiting.lower_bound(position)));
}

// Number of waiting requests that are sent before one that arrives now.
inline std::size_t countAhead(const PermitQueue &queue, bool isNew, int priority)
{
    return countBefore(queue, {isNew, priority, queue.lastNumber + 1});
}

} // namespace Tanagerbay::Serving
