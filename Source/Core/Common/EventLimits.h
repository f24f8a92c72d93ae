// Limit on the events of endpoints' streams.
#pragma once

#include <cstddef>

namespace Tanagerbay::Common {

// An event of more bytes is treated as no event: a faulty endpoint may send bytes without end.
// Sound events hold some tokens.
constexpr std::size_t kMaxEventBytes = 1 << 20;

} // namespace Tanagerbay::Common
