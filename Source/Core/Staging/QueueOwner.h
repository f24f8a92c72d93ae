// Selects the instance that owns the queue of a stage service and decides when an owner hands its
// queue over.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <string>
#include <vector>

namespace Tanagerbay::Staging {

struct OwnerCandidate
{
    Common::InstanceId id;
    // Relative capacity of the instance for owning queues.
    double strength = 0;
};

// Returns the owner of the service's queue by rendezvous hashing among the instances with high
// capacity; an empty id if there is no candidate.
Common::InstanceId chooseOwner(const std::string &service,
                               const std::vector<OwnerCandidate> &candidates);

// What an instance has discovered of its peers since it started.
struct DiscoveryState
{
    bool hasReadInstanceList = false;
    bool hasReceivedHeartbeat = false;
    Common::Duration sinceStart{0};
};

// Whether an instance has discovered enough peers to choose an owner. Without this check, an
// instance that has just started would consider itself the owner of every queue.
bool mayChooseOwner(const DiscoveryState &state);

// The owner that an instance with a queue currently sees for it, and since when.
struct OwnerObservation
{
    Common::InstanceId owner;
    Common::Time since;
};

// Whether pieces waiting on this instance should be handed over to `owner`, the owner that this
// instance sees now. A leaving instance hands over at once, any other instance after it has seen
// the same owner for one second. Updates `observation`.
bool shouldHandOver(OwnerObservation &observation, const Common::InstanceId &owner,
                    const Common::InstanceId &self, bool leaving, Common::Time now);

} // namespace Tanagerbay::Staging
