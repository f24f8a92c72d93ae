#include "Serving/GracefulShutdown.h"

namespace Tanagerbay::Serving {

namespace {

// Callers refresh the directory within 2 s. A request accepted within the first 3 s of the shutdown
// and cut off by the exit of the process does not count as a failure of the instance.
constexpr Common::Milliseconds kAcceptAllPeriod{2500};

} // namespace

bool mayAccept(const GracefulShutdown &shutdown, Common::Duration maxDuration, Common::Time now)
{
    return now - shutdown.startedAt < kAcceptAllPeriod || now + maxDuration <= shutdown.exitsAt;
}

} // namespace Tanagerbay::Serving
