// What an instance that learns that an endpoint is cold takes for sends made already.
#pragma once

#include "Routing/SendGate.h"

namespace Tanagerbay::Routing {

// Prepares the gate of an endpoint that is believed cold from now on. An instance that has sent to
// its process before waits as after a send: while the news spread, those that have heard of it
// would otherwise send beside those that have not. One that has started at `instanceStartedAt` does
// not know what its own process before has sent until then.
inline void beginCold(SendGate &gate, Common::Time instanceStartedAt, Common::Time now)
{
    const bool hasSent = gate.lastSendAt != Common::Time();
    gate.lastSendAt = std::max(gate.lastSendAt, hasSent ? now : instanceStartedAt);
}

} // namespace Tanagerbay::Routing
