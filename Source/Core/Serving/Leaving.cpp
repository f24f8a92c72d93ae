#include "Serving/Leaving.h"

namespace Tanagerbay::Serving {

namespace {

// Callers ask the directory again within two seconds; what is taken within three and is still at
// work at the end is not held against the instance.
constexpr Common::Milliseconds kTakeAll{2500};

} // namespace

bool mayTake(const Leaving &leaving, Common::Duration longest, Common::Time now)
{
    return now - leaving.since < kTakeAll || now + longest <= leaving.endsAt;
}

} // namespace Tanagerbay::Serving
