// Port allocation for the processes and servers that tests start.
#pragma once

#include <cstdint>

namespace Tanagerbay::TestSupport {

// The first and the last port that tests use. Both lie below the ephemeral range, from which the
// system assigns ports to outgoing connections (32768 and up on Linux), so that no connection can
// take a port between its allocation and its use.
constexpr std::uint16_t kFirstTestPort = 10'000;
constexpr std::uint16_t kLastTestPort = 31'999;

// Returns a port on which nothing listens on 127.0.0.1. No two calls return the same port, neither
// in this process nor in test processes that run concurrently: each process claims blocks of ports
// for its lifetime. Throws `std::runtime_error` if all blocks are in use.
std::uint16_t freePort();

} // namespace Tanagerbay::TestSupport
