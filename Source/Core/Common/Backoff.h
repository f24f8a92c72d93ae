// Delays between repeated attempts: they double with each failure and are spread at random, so that
// many instances that fail together do not come back together.
#pragma once

#include "Common/Time.h"

#include <algorithm>
#include <cstdint>

namespace Tanagerbay::Common {

struct BackoffLimits
{
    Milliseconds first{0};
    Milliseconds longest{0};
};

struct Backoff
{
    BackoffLimits limits;
    std::uint32_t failures = 0;
};

inline void noteSuccess(Backoff &backoff)
{
    backoff.failures = 0;
}

// Records a failure and returns the delay before the next attempt: between half and one and a half
// of the nominal one. `draw` is uniform in [0, 1).
inline Duration delayAfterFailure(Backoff &backoff, double draw)
{
    constexpr std::uint32_t kMaxDoublings = 20;
    const std::uint32_t doublings = std::min(backoff.failures, kMaxDoublings);
    ++backoff.failures;
    const std::int64_t nominal
        = std::min(backoff.limits.first.count() << doublings, backoff.limits.longest.count());
    const double spread = static_cast<double>(nominal) * (0.5 + draw);
    return Milliseconds(static_cast<std::int64_t>(spread));
}

} // namespace Tanagerbay::Common
