// The phases of a request in an instance.
#pragma once

#include "Common/EnumNames.h"

namespace Tanagerbay::Serving {

// How far an instance has come with a request.
enum class RequestPhase {
    Admission,
    // Its stages run; it has not been sent to an endpoint, or is to be sent again.
    Stages,
    // Handed to the client for an endpoint, which may still be connecting.
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
