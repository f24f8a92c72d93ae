// System clocks. Only network and timer code reads them; decision code receives the current time as
// an argument.
#pragma once

#include "Common/Time.h"

#include <cstdint>

namespace Tanagerbay::Common {

// Current monotonic time.
inline Time clockNow()
{
    return std::chrono::steady_clock::now();
}

// Wall-clock time. It may jump forwards or backwards.
inline std::chrono::system_clock::time_point timeOfDay()
{
    return std::chrono::system_clock::now();
}

// Wall-clock time in milliseconds since the Unix epoch.
inline std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = timeOfDay().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace Tanagerbay::Common
