#include "Serving/RetryAfter.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

constexpr double kSpreadShare = 0.5;
// Minimum length of the spread, for holds that are about to end.
constexpr Common::Milliseconds kMinSpread{200};

} // namespace

Common::Duration retryAfterHold(Common::Duration untilRelease, double draw)
{
    const auto share = std::chrono::duration_cast<Common::Duration>(untilRelease * kSpreadShare);
    const Common::Duration spread = std::max<Common::Duration>(share, kMinSpread);
    return untilRelease + std::chrono::duration_cast<Common::Duration>(spread * draw);
}

} // namespace Tanagerbay::Serving
