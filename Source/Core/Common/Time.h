// Time types, and conversions to plain numbers.
#pragma once

#include <chrono>

namespace Tanagerbay::Common {

// Monotonic time. Decision code never reads a clock; its callers pass the current time in.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

// Returns a duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// Returns a duration in seconds, including fractions of a second.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Tanagerbay::Common
