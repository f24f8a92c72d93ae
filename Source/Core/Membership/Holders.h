// Which instances hold what any instance may have to look up later, by its key.
#pragma once

#include "Membership/Members.h"

#include <string_view>

namespace Tanagerbay::Membership {

// Returns the first other instances that hold the key: in the order of rendezvous hashing, one of
// each failure domain before a second one of any. Instances that are leaving or believed to be down
// are left out, unless `includesDoubtful`; they don't change the order of the others.
std::vector<const Member *> holdersOf(const Members &members, std::string_view key,
                                      std::size_t count, bool includesDoubtful, Common::Time now);

} // namespace Tanagerbay::Membership
