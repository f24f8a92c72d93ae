#include "Node/EnginePace.h"

#include <algorithm>

namespace Tanagerbay::Node {

namespace {

// Lower bounds of the time to wait for an engine's next bytes. An engine that takes longer than the
// resulting time is considered to have failed.
constexpr Common::Milliseconds kMinFirstTokenWait{800};
constexpr Common::Milliseconds kMinTokenWait{400};
constexpr double kFirstTokenQuantile = 0.95;
constexpr double kFirstTokenWaitFactor = 3;
constexpr double kTokenWaitFactor = 20;
// The pace of a stream is evaluated only after this many tokens.
constexpr std::uint64_t kMinTokensForPace = 6;
// A stream may be moved to another engine if its time between tokens exceeds the usual one by this
// factor.
constexpr double kTooSlowFactor = 3;

Common::Duration scaled(Common::Duration duration, double factor)
{
    return std::chrono::duration_cast<Common::Duration>(duration * factor);
}

} // namespace

Common::Duration maxTokenWait(const Routing::Pool &pool, std::uint64_t tokens)
{
    if (tokens == 0) {
        const Common::Duration usual
            = pool.firstTokenTimes.quantile(kFirstTokenQuantile, kMinFirstTokenWait);
        return std::max<Common::Duration>(scaled(usual, kFirstTokenWaitFactor), kMinFirstTokenWait);
    }
    const std::chrono::duration<double> pace(pool.meanPaceSeconds * kTokenWaitFactor);
    return std::max<Common::Duration>(std::chrono::duration_cast<Common::Duration>(pace),
                                      kMinTokenWait);
}

bool isTooSlow(const Routing::Pool &pool, const EngineProgress &progress)
{
    if (progress.tokens < kMinTokensForPace)
        return false;
    const double pace
        = Common::toSeconds(progress.sinceFirstToken) / static_cast<double>(progress.tokens - 1);
    const double usual = pool.meanPaceSeconds;
    if (usual <= 0 || pace < kTooSlowFactor * usual)
        return false;
    // Another engine has to repeat the prefill, which only pays off if this one would miss the
    // deadline.
    return static_cast<double>(progress.tokensLeft) * pace > Common::toSeconds(progress.timeLeft);
}

} // namespace Tanagerbay::Node
