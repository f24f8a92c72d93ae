// Decides on the next step after a request was sent to an endpoint: another attempt, or the answer
// to the caller.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

#include <cstdint>

namespace Tanagerbay::Serving {

// Outcome of one send, as far as it is known.
enum class SendOutcome {
    // No byte was handed to the operating system.
    NotSent,
    // The head of the endpoint's answer belongs to the request and states that it did not run.
    NotRun,
    // The endpoint ran the request and answered with a failure.
    EndpointFailed,
    // The answer is missing, incomplete or belongs to another request: the request may have run.
    Unknown,
};

enum class NextStep {
    TryAnother,
    // Answer that the request did not run, since no endpoint can have run it.
    Refuse,
    // Relay the endpoint's failure to the caller.
    RelayFailure,
    // Answer that the outcome is unknown.
    Fail,
};

} // namespace Tanagerbay::Serving

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Serving::SendOutcome>
{
    using Outcome = Serving::SendOutcome;
    static constexpr NameTable<Outcome, 4> table = {{
        {Outcome::NotSent, "not-sent"},
        {Outcome::NotRun, "not-run"},
        {Outcome::EndpointFailed, "endpoint-failed"},
        {Outcome::Unknown, "unknown"},
    }};
};

namespace Tanagerbay::Serving {

// A caller's request and its sends so far.
struct AttemptState
{
    // Whether the request may run more than once.
    bool repeatable = false;
    // Maximum number of endpoints that the request may reach.
    std::uint32_t maxAttempts = 1;
    // Time by which the caller must have its answer.
    Common::Time deadline;
    // Number of endpoints that the request has reached.
    std::uint32_t reached = 0;
    // Number of endpoints to which no connection could be made.
    std::uint32_t unreachable = 0;
    // Time that was spent on connections to these.
    Common::Duration unreachableTime{0};
    // Set once the request may have run at an endpoint.
    bool mayHaveRun = false;
};

// Records the outcome of a send that took this long.
void noteOutcome(AttemptState &state, SendOutcome outcome, Common::Duration duration);

// Returns whether the request may be sent to another endpoint. The budget of the service for extra
// sends is checked afterwards.
bool mayTryAnother(const AttemptState &state, SendOutcome last, Common::Time now);

// Returns whether the request may be sent to an endpoint that is believed to be down, where there
// is no other.
bool mayTryLastResort(const AttemptState &state);

// Returns the next step. `canTryAnother` tells whether another send is permitted and possible.
NextStep nextStep(const AttemptState &state, SendOutcome last, bool canTryAnother);

} // namespace Tanagerbay::Serving
