#include "Serving/Attempt.h"

namespace Tanagerbay::Serving {

namespace {

// Maximum number of failed connections before the request is refused. Each takes up to a connect
// time-out.
constexpr std::uint32_t kMaxUnreachable = 3;
// Minimum time left for another attempt: a round trip and some processing.
constexpr Common::Milliseconds kMinUsefulTime{40};

} // namespace

void noteOutcome(AttemptState &state, SendOutcome outcome)
{
    if (outcome == SendOutcome::NotSent) {
        ++state.unreachable;
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
        return state.unreachable < kMaxUnreachable && state.reached < state.maxAttempts;
    if (state.mayHaveRun && !state.repeatable)
        return false;
    return state.reached < state.maxAttempts;
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
