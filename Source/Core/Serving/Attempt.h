// Decides what follows after a request was sent to an endpoint, from what may have happened there.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

#include <cstdint>

namespace Tanagerbay::Serving {

// What is known after one send.
enum class SendOutcome {
    // No byte was handed to the operating system.
    NotSent,
    // The endpoint's whole and matching answer says that it did not run the request.
    NotRun,
    // The endpoint ran the request and answered with a failure of its own.
    EndpointFailed,
    // The answer is missing, torn or not ours: the request may have run.
    Unknown,
};

enum class NextStep {
    TryAnother,
    // Answer "not run"; true because no endpoint can have run the request.
    Refuse,
    // Give the endpoint's own failure to the caller.
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

// One caller's request and its sends so far.
struct AttemptState
{
    // Whether the request may run more than once.
    bool repeatable = false;
    // Most endpoints that the request may reach.
    std::uint32_t maxAttempts = 1;
    // When the last answer must be given.
    Common::Time deadline;
    // Endpoints that the request has reached.
    std::uint32_t reached = 0;
    // Endpoints to which no connection could be made.
    std::uint32_t unreachable = 0;
    // Set once the request may have run somewhere.
    bool mayHaveRun = false;
};

// Takes the outcome of a send into the state.
void noteOutcome(AttemptState &state, SendOutcome outcome);

// Whether another endpoint may be asked at all; the budget of the service is asked afterwards.
bool mayTryAnother(const AttemptState &state, SendOutcome last, Common::Time now);

// Returns what to do now. `anotherIsOpen` says whether another send is allowed and possible.
NextStep nextStep(const AttemptState &state, SendOutcome last, bool anotherIsOpen);

} // namespace Tanagerbay::Serving
