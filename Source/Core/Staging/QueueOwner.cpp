#include "Staging/QueueOwner.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Staging {

namespace {

// Queues lie on instances of at least this part of the greatest strength.
constexpr double kStrongEnough = 0.8;
// Heartbeats of an instance that comes reach the others within about this time. Until then some
// would hand pieces that were moved back.
constexpr Common::Milliseconds kSettledAfter{1000};
// Time for the first heartbeats of others, which come every 500 ms, where the list cannot be read.
constexpr Common::Milliseconds kLongestLearning{750};

} // namespace

Common::InstanceId chooseOwner(const std::string &service,
                               const std::vector<OwnerCandidate> &candidates)
{
    double strongest = 0;
    for (const OwnerCandidate &candidate : candidates)
        strongest = std::max(strongest, candidate.strength);
    std::vector<std::string> strong;
    for (const OwnerCandidate &candidate : candidates) {
        if (candidate.strength >= strongest * kStrongEnough)
            strong.push_back(candidate.id.value);
    }
    if (strong.empty())
        return {};
    return Common::InstanceId(strong[Common::rendezvousChoice(service, strong)]);
}

bool mayChooseOwner(const OthersKnown &known)
{
    return known.listWasRead || known.anyoneWasHeard || known.sinceStart >= kLongestLearning;
}

bool shouldHandOver(OwnerWatch &watch, const Common::InstanceId &owner,
                    const Common::InstanceId &self, bool leaving, Common::Time now)
{
    if (watch.owner != owner)
        watch = {owner, now};
    if (owner.empty() || owner == self)
        return false;
    return leaving || now - watch.since >= kSettledAfter;
}

} // namespace Tanagerbay::Staging
