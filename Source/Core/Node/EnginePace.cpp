#include "Node/EnginePace.h"

#include <algorithm>

namespace Tanagerbay::Node {

namespace {

// Bounds of the wait for an engine's next bytes, beyond which it is taken to have stopped.
constexpr Common::Milliseconds kLeastFirstTokenWait{800};
constexpr Common::Milliseconds kLeastTokenWait{400};
constexpr double kFirstTokenQuantile = 0.95;
constexpr double kFirstTokenMargin = 3;
constexpr double kTokenMargin = 20;
// A stream's pace is judged once it has given this many tokens.
constexpr std::uint64_t kTokensBeforePace = 6;
// A stream this much slower than usual is moved to another engine.
constexpr double kTooSlowFactor = 3;

Common::Duration scaled(Common::Duration duration, double factor)
{
    return std::chrono::duration_cast<Common::Duration>(duration * factor);
}

} // namespace

Common::Duration longestTokenWait(const Routing::Pool &pool, std::uint64_t tokens)
{
    if (tokens == 0) {
        const Common::Duration usual
            = pool.firstTokenTimes.quantile(kFirstTokenQuantile, kLeastFirstTokenWait);
        return std::max<Common::Duration>(scaled(usual, kFirstTokenMargin), kLeastFirstTokenWait);
    }
    const std::chrono::duration<double> pace(pool.meanPaceSeconds * kTokenMargin);
    return std::max<Common::Duration>(std::chrono::duration_cast<Common::Duration>(pace),
                                      kLeastTokenWait);
}

bool isTooSlow(const Routing::Pool &pool, const EngineProgress &progress)
{
    if (progress.tokens < kTokensBeforePace)
        return false;
    const double pace
        = Common::toSeconds(progress.sinceFirst) / static_cast<double>(progress.tokens - 1);
    const double usual = pool.meanPaceSeconds;
    if (usual <= 0 || pace < kTooSlowFactor * usual)
        return false;
    // Moving is worth a new prefill only where this engine would finish too late.
    return static_cast<double>(progress.tokensLeft) * pace > Common::toSeconds(progress.timeLeft);
}

} // namespace Tanagerbay::Node
