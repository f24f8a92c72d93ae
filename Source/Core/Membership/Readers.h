// Which instances read the platform's store on behalf of others.
#pragma once

#include "Membership/Members.h"

namespace Tanagerbay::Membership {

// Returns the instances whose readings this instance follows, best first: up to two, by rendezvous
// hashing among the live instances of its failure domain, or among all where the domain has few.
// Instances may disagree for a while; whoever is followed reads. Includes this instance itself, if
// it is one of them.
std::vector<Common::InstanceId> readersFor(const Members &members,
                                           const Common::FailureDomain &domain, Common::Time now);

} // namespace Tanagerbay::Membership
