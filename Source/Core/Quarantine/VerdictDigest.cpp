#include "Quarantine/VerdictDigest.h"

#include "Common/Hash.h"

namespace Tanagerbay::Quarantine {

namespace {

// News reach all instances within a few 100 ms; a difference that lasts shows that some were
// missed.
constexpr Common::Milliseconds kMaxDifference{1000};
// An answer with all evidence is large, and the difference may have another reason.
constexpr Common::Milliseconds kAskInterval{5000};

} // namespace

std::uint64_t digestOf(const std::vector<Suspicion> &suspicions)
{
    std::uint64_t digest = 0;
    for (const Suspicion &suspicion : suspicions) {
        std::uint64_t hash = 0;
        for (const Trait trait : suspicion.traits)
            hash = Common::hash64(std::to_string(trait), hash);
        // The order of the suspicions differs between instances.
        digest ^= hash;
    }
    return digest;
}

bool mustAsk(DigestComparison &comparison, std::uint64_t own, std::uint64_t other, Common::Time now)
{
    if (own == other) {
        comparison.differsSince.reset();
        return false;
    }
    if (!comparison.differsSince)
        comparison.differsSince = now;
    // An instance that holds back nothing has nothing to tell.
    if (other == 0 || now - *comparison.differsSince < kMaxDifference)
        return false;
    if (comparison.askedAt && now - *comparison.askedAt < kAskInterval)
        return false;
    comparison.askedAt = now;
    return true;
}

} // namespace Tanagerbay::Quarantine
