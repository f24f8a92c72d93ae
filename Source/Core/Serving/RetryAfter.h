// When callers whose requests were refused may come back.
#pragma once

#include "Common/Time.h"

namespace Tanagerbay::Serving {

// Returns the delay for a request that found every endpoint held back, the first of them for
// `untilRelease` more. Callers come back spread over half of that time after it, since their
// return at one moment would be refused again. `draw` is uniform in [0, 1).
Common::Duration retryAfterHold(Common::Duration untilRelease, double draw);

} // namespace Tanagerbay::Serving
