// Which requests an instance that ends still takes.
#pragma once

#include "Common/Time.h"

namespace Tanagerbay::Serving {

// The graceful end of an instance.
struct Leaving
{
    Common::Time since;
    // When the process ends, whatever is in progress.
    Common::Time endsAt;
};

// Whether a request that may take so long is taken. Soon after the start of the end every request
// is, since callers have no other address yet; later only those that end before the process does.
bool mayTake(const Leaving &leaving, Common::Duration longest, Common::Time now);

} // namespace Tanagerbay::Serving
