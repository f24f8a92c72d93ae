// The clocks of the machine. Only code that talks to the network or runs timers reads them; what
// decides gets the present time as an argument.
#pragma once

#include "Common/Time.h"

#include <cstdint>

namespace Tanagerbay::Common {

// Monotonic time.
inline Time clockNow()
{
    return std::chrono::steady_clock::now();
}

// Time of day. It may step forwards and backwards.
inline std::chrono::system_clock::time_point timeOfDay()
{
    return std::chrono::system_clock::now();
}

// Time of day in milliseconds since 1970.
inline std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = timeOfDay().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace Tanagerbay::Common
