// Ports for the processes and servers that tests start.
#pragma once

#include <cstdint>

namespace Tanagerbay::TestSupport {

// The first and the last port that tests take. Both lie below the range from which the system gives
// ports to outgoing connections (32768 and up on Linux), so that no connection can take a port
// between its choice and its use.
constexpr std::uint16_t kFirstTestPort = 10'000;
constexpr std::uint16_t kLastTestPort = 31'999;

// Returns a port that nothing on 127.0.0.1 listens on. No two calls return the same one, neither in
// this process nor in test programs that run beside it: each program claims blocks of ports for
// as long as it runs. Throws `std::runtime_error` where all are taken.
std::uint16_t freePort();

} // namespace Tanagerbay::TestSupport
