// A property of a request that other requests may share.
#pragma once

#include <cstdint>

namespace Tanagerbay::Quarantine {

// Hash of the property: for example of the name of a prompt part.
using Trait = std::uint64_t;

} // namespace Tanagerbay::Quarantine
