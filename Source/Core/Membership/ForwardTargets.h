// Chooses another instance that goes on with a request which this one cannot send.
#pragma once

#include "Membership/Members.h"

#include <random>
#include <vector>

namespace Tanagerbay::Membership {

// Returns an instance that takes requests of callers, or nullptr if there is none. It is drawn at
// random from all failure domains: in the own one, most instances may have the same fault, and the
// remaining ones would get the work of all. `asked` are left out.
const Member *chooseForwardTarget(const Members &members,
                                  const std::vector<Common::InstanceId> &asked, Common::Time now,
                                  std::mt19937_64 &random);

} // namespace Tanagerbay::Membership
