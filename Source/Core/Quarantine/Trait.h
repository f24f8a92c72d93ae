// A property of a request that other requests may share.
#pragma once

#include <cstdint>

namespace Tanagerbay::Quarantine {

// Hash of the property: the name of a prompt part, or the content of the whole request together
// with its caller.
using Trait = std::uint64_t;

// From the highest bit on, a content has 31 bits of its own hash, a bit that tells the two kinds
// apart, and 32 bits of the caller's hash.
constexpr unsigned kCallerBits = 32;
constexpr Trait kContentBit = Trait{1} << kCallerBits;
constexpr Trait kCallerMask = kContentBit - 1;

constexpr Trait partTrait(std::uint64_t partHash)
{
    return partHash & ~kContentBit;
}

constexpr Trait contentTrait(std::uint64_t contentHash, std::uint64_t callerHash)
{
    return (contentHash & ~kCallerMask) | kContentBit | (callerHash & kCallerMask);
}

// A request may have several parts, but only one content: two contents are never in one request.
constexpr bool isContent(Trait trait)
{
    return (trait & kContentBit) != 0;
}

// Contents that differ in their callers at most become the same.
constexpr Trait withoutCaller(Trait trait)
{
    return isContent(trait) ? trait & ~kCallerMask : trait;
}

} // namespace Tanagerbay::Quarantine
