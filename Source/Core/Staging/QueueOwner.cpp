#include "Staging/QueueOwner.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Staging {

namespace {

// Queues are placed on instances with at least this fraction of the highest strength.
constexpr double kMinRelativeStrength = 0.8;
// Heartbeats of a joining instance reach all others within about this time. Until then, some
// instances would hand moved pieces back.
constexpr Common::Milliseconds kOwnerStableDuration{1000};
// Waiting time for the first heartbeats of other instances, which are sent every 500 ms, when the
// instance list cannot be read.
constexpr Common::Milliseconds kMaxDiscoveryDuration{750};

} // namespace

Common::InstanceId chooseOwner(const std::string &service,
                               const std::vector<OwnerCandidate> &candidates)
{
    double strongest = 0;
    for (const OwnerCandidate &candidate : candidates)
        strongest = std::max(strongest, candidate.strength);
    std::vector<std::string> strong;
    for (const OwnerCandidate &candidate : candidates) {
        if (candidate.strength >= strongest * kMinRelativeStrength)
            strong.push_back(candidate.id.value);
    }
    if (strong.empty())
        return {};
    return Common::InstanceId(strong[Common::rendezvousChoice(service, strong)]);
}

bool mayChooseOwner(const DiscoveryState &state)
{
    return state.hasReadInstanceList || state.hasReceivedHeartbeat
        || state.sinceStart >= kMaxDiscoveryDuration;
}

bool shouldHandOver(OwnerObservation &observation, const Common::InstanceId &owner,
                    const Common::InstanceId &self, bool leaving, Common::Time now)
{
    if (observation.owner != owner)
        observation = {owner, now};
    if (owner.empty() || owner == self)
        return false;
    return leaving || now - observation.since >= kOwnerStableDuration;
}

} // namespace Tanagerbay::Staging
