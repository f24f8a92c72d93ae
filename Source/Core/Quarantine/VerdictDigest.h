// Shows instances that they hold back different requests: one that was cut off from the others for
// a moment has missed what they told each other meanwhile, and nobody tells it again.
#pragma once

#include "Quarantine/Verdict.h"

#include <cstdint>

namespace Tanagerbay::Quarantine {

// Returns a number that is the same wherever the same traits are quarantined; zero if none are.
std::uint64_t digestOf(const std::vector<Suspicion> &suspicions);

struct DigestComparison
{
    // Since when every instance that has sent a digest had another one than this instance.
    std::optional<Common::Time> differsSince;
    std::optional<Common::Time> askedAt;
};

// Compares the digest of another instance with the own one. Returns whether this instance must ask
// the other one for all evidence.
bool mustAsk(DigestComparison &comparison, std::uint64_t own, std::uint64_t other,
             Common::Time now);

} // namespace Tanagerbay::Quarantine
