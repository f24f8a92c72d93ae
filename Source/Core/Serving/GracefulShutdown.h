// Decides which requests an instance still accepts during its graceful shutdown.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

namespace Tanagerbay::Serving {

// How far an instance has come with a request.
enum class RequestPhase {
    Admission,
    // Its stages run; it has not been sent to an endpoint, or is to be sent again.
    Stages,
    // Sent to an endpoint.
    Sent,
    // Its response to the caller has begun.
    Responding,
};

} // namespace Tanagerbay::Serving

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Serving::RequestPhase>
{
    using Phase = Serving::RequestPhase;
    static constexpr NameTable<Phase, 4> table = {{
        {Phase::Admission, "admission"},
        {Phase::Stages, "stages"},
        {Phase::Sent, "sent"},
        {Phase::Responding, "responding"},
    }};
};

namespace Tanagerbay::Serving {

// Graceful shutdown of an instance.
struct GracefulShutdown
{
    Common::Time startedAt;
    // When the process exits, even with requests in progress.
    Common::Time exitsAt;
};

// Returns whether a request that takes up to `maxDuration` is accepted. Shortly after the start of
// the shutdown every request is, since callers do not have the address of another instance yet;
// later only requests that finish before the process exits.
bool mayAccept(const GracefulShutdown &shutdown, Common::Duration maxDuration, Common::Time now);

} // namespace Tanagerbay::Serving
