#include "Serving/GracefulShutdown.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Serving {

namespace {

// The final answers are written this part of the grace period before the platform would kill the
// process. A slow machine notices the signal late, and needs time to end.
constexpr double kAnswerMarginShare = 0.125;
// The process exits this part of the grace period before it would be killed, even if responses are
// being sent.
constexpr double kExitMarginShare = 0.0625;
// The same for an instance that is too slow to give all final answers in time.
constexpr double kMinExitMarginShare = 0.015625;
// Time for the final answers of all open requests to be written.
constexpr Common::Milliseconds kAnswerPeriod{250};
// The same for an instance that is so late that it would be killed within that time.
constexpr Common::Milliseconds kMinAnswerPeriod{50};
// Callers refresh the directory within 2 s.
constexpr Common::Milliseconds kAcceptAllPeriod{2500};
// An instance serves at least this long for callers that still have its address cached. Some of
// them cache it for three times the permitted time.
constexpr Common::Milliseconds kMinDrainDuration{6000};
// An idle instance exits only after this long without a request. Callers that keep their
// connections open send their next request within this period.
constexpr Common::Milliseconds kDrainIdlePeriod{1000};

} // namespace

GracefulShutdown beginShutdown(Common::Duration gracePeriod, Common::Time now)
{
    const auto beforeKill = [&](double marginShare) {
        return now + gracePeriod
            - std::chrono::duration_cast<Common::Duration>(gracePeriod * marginShare);
    };
    GracefulShutdown shutdown;
    shutdown.startedAt = now;
    shutdown.answersDueAt = beforeKill(kAnswerMarginShare) - kAnswerPeriod;
    shutdown.exitsAt = beforeKill(kExitMarginShare);
    shutdown.latestExitAt = beforeKill(kMinExitMarginShare);
    return shutdown;
}

bool mayAccept(const GracefulShutdown &shutdown, Common::Duration maxDuration, Common::Time now)
{
    if (now >= shutdown.answersDueAt)
        return false;
    return now - shutdown.startedAt < kAcceptAllPeriod
        || now + maxDuration <= shutdown.answersDueAt;
}

bool mayRead(const GracefulShutdown &shutdown, Common::Time now)
{
    return now < shutdown.answersDueAt + kAnswerPeriod;
}

bool mustEnd(const GracefulShutdown &shutdown, RequestPhase phase, Common::Duration timeToAnswer,
             Common::Time now)
{
    switch (phase) {
    case RequestPhase::Admission:
    case RequestPhase::Stages:
        return now + timeToAnswer >= shutdown.answersDueAt;
    case RequestPhase::Sent:
        return now >= shutdown.answersDueAt;
    case RequestPhase::Responding:
        return false;
    }
    return false;
}

void noteAnswersGiven(GracefulShutdown &shutdown, Common::Time now)
{
    if (std::exchange(shutdown.areAnswersGiven, true))
        return;
    shutdown.latestExitAt = std::max(shutdown.latestExitAt, now + kMinAnswerPeriod);
    shutdown.exitsAt = std::clamp(now + kAnswerPeriod, shutdown.exitsAt, shutdown.latestExitAt);
}

bool mayExit(const GracefulShutdown &shutdown, const ShutdownActivity &activity, Common::Time now)
{
    if (now >= shutdown.latestExitAt)
        return true;
    if (activity.unansweredRequests > 0)
        return false;
    if (now >= shutdown.exitsAt)
        return true;
    if (activity.requestsInProgress > 0)
        return false;
    if (!mayRead(shutdown, now))
        return true;
    if (activity.openPieces > 0)
        return false;
    const Common::Time quietSince = std::max(shutdown.startedAt, activity.lastRequestAt);
    return now - quietSince > kDrainIdlePeriod && now - shutdown.startedAt > kMinDrainDuration;
}

} // namespace Tanagerbay::Serving
