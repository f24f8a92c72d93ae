// Spaces the sends of this instance to an endpoint that limits the rate of its requests.
#pragma once

#include "Common/Time.h"

#include <algorithm>

namespace Tanagerbay::Routing {

// Interval of a gate through which nothing may be sent.
constexpr Common::Duration kNoSends = Common::Duration::max();

struct SendGate
{
    // Minimum time between two sends; zero where there is no limit.
    Common::Duration interval{0};
    // The last send, also while there was no limit, so that a new limit does not allow another one
    // at once. Later than the present after several sends were taken together.
    Common::Time lastSendAt;
};

inline bool isLimited(const SendGate &gate)
{
    return gate.interval > Common::Duration(0);
}

// Returns when the next send is permitted: `Time::min()` without a limit, `Time::max()` for never.
inline Common::Time opensAt(const SendGate &gate)
{
    if (!isLimited(gate))
        return Common::Time::min();
    return gate.interval == kNoSends ? Common::Time::max() : gate.lastSendAt + gate.interval;
}

// Takes the permit for a send that is about to be made, or for `sends` that follow each other. One
// that does not wait until the gate opens delays the next. A permit is never given back: the
// endpoint may have received what failed later.
inline void takePermit(SendGate &gate, Common::Time now, int sends = 1)
{
    if (isLimited(gate) && gate.interval != kNoSends)
        gate.lastSendAt = std::max(opensAt(gate), now) + gate.interval * (sends - 1);
    else
        gate.lastSendAt = std::max(gate.lastSendAt, now);
}

} // namespace Tanagerbay::Routing
