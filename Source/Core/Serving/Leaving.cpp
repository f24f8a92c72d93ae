#include "Serving/Leaving.h"

namespace Tanagerbay::Serving {

namespace {

// Callers refresh the directory within 2 s. A request accepted within the first 3 s of the shutdown
// and cut off by the exit of the process does not count as a failure of the instance.
constexpr Common::Milliseconds kAcceptAllPeriod{2500};

} // namespace

bool mayTake(const Leaving &leaving, Common::Duration maxDuration, Common::Time now)
{
    return now - leaving.startedAt < kAcceptAllPeriod || now + maxDuration <= leaving.exitsAt;
}

} // namespace Tanagerbay::Serving
