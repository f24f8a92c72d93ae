// Decides which requests an instance still accepts during its graceful shutdown.
#pragma once

#include "Common/Time.h"

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
