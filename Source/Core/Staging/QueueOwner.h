// Which instance owns the queue of a stage service, and when an owner hands its queue over.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <string>
#include <vector>

namespace Tanagerbay::Staging {

struct OwnerCandidate
{
    Common::InstanceId id;
    // How much of the duties the instance can bear, against others.
    double strength = 0;
};

// Returns the owner of the service's queue by rendezvous hashing among strong instances; an empty
// id where there is no candidate.
Common::InstanceId chooseOwner(const std::string &service,
                               const std::vector<OwnerCandidate> &candidates);

// What an instance has learnt of the others since its start.
struct OthersKnown
{
    bool listWasRead = false;
    bool anyoneWasHeard = false;
    Common::Duration sinceStart{0};
};

// Whether an instance knows enough of the others to choose an owner. One that has just started
// would take itself for the owner of every queue.
bool mayChooseOwner(const OthersKnown &known);

// What an instance with a queue remembers of who should own it.
struct OwnerWatch
{
    Common::InstanceId owner;
    Common::Time since;
};

// Whether pieces that wait here should go to `owner`, which is the owner as this instance sees it
// now. A leaving instance hands over at once, another once it has seen the same owner for a while.
bool shouldHandOver(OwnerWatch &watch, const Common::InstanceId &owner,
                    const Common::InstanceId &self, bool leaving, Common::Time now);

} // namespace Tanagerbay::Staging
