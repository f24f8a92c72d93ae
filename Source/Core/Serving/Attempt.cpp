#include "Serving/Attempt.h"

namespace Tanagerbay::Serving {

namespace {

// Maximum time spent on failed connections before the request is refused: three connect time-outs.
// Refused connections take next to none of it.
constexpr Common::Milliseconds kMaxUnreachableTime{750};
// Maximum number of failed connections before endpoints that are believed to be down are no longer
// tried. Otherwise each request would try all endpoints of a service that is down.
constexpr std::uint32_t kMaxUnreachableForLastResort = 3;
// Minimum time left for another attempt: a round trip and some processing.
constexpr Common::Milliseconds kMinUsefulTime{40};

} // namespace

void noteOutcome(AttemptState &state, SendOutcome outcome, Common::Duration duration)
{
    if (outcome == SendOutcome::NotSent) {
        ++state.unreachable;
        state.unreachableTime += duration;
        return;
    }
    ++state.reached;
    if (outcome != SendOutcome::NotRun)
        state.mayHaveRun = true;
}

bool mayTryAnother(const AttemptState &state, SendOutcome last, Common::Time now)
{
    if (state.deadline - now < kMinUsefulTime)
        return false;
    if (last == SendOutcome::NotSent)
        return state.unreachableTime < kMaxUnreachableTime && state.reached < state.maxAttempts;
    if (state.mayHaveRun && !state.repeatable)
        return false;
    return state.reached < state.maxAttempts;
}

bool mayTryLastResort(const AttemptState &state)
{
    return state.unreachable < kMaxUnreachableForLastResort;
}

NextStep nextStep(const AttemptState &state, SendOutcome last, bool canTryAnother)
{
    if (canTryAnother)
        return NextStep::TryAnother;
    if (last == SendOutcome::EndpointFailed)
        return NextStep::RelayFailure;
    if (state.mayHaveRun)
        return NextStep::Fail;
    return NextStep::Refuse;
}

} // namespace Tanagerbay::Serving
