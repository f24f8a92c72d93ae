#include "Serving/Attempt.h"

namespace Tanagerbay::Serving {

namespace {

// Connections that may fail before the request is refused; each costs a connect timeout at most.
constexpr std::uint32_t kMostUnreachable = 3;
// With less time left than this another endpoint could not answer: a round trip and some work.
constexpr Common::Milliseconds kLeastUsefulTime{40};

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
    if (state.deadline - now < kLeastUsefulTime)
        return false;
    if (last == SendOutcome::NotSent)
        return state.unreachable < kMostUnreachable && state.reached < state.maxAttempts;
    if (state.mayHaveRun && !state.repeatable)
        return false;
    return state.reached < state.maxAttempts;
}

NextStep nextStep(const AttemptState &state, SendOutcome last, bool anotherIsOpen)
{
    if (anotherIsOpen)
        return NextStep::TryAnother;
    if (last == SendOutcome::EndpointFailed)
        return NextStep::RelayFailure;
    if (state.mayHaveRun)
        return NextStep::Fail;
    return NextStep::Refuse;
}

} // namespace Tanagerbay::Serving
