// Which instances hold what any instance may have to look up later, by its key.
#pragma once

#include "Membership/Members.h"

#include <optional>
#include <string_view>

namespace Tanagerbay::Membership {

// Returns the first other instances that hold the key: in the order of rendezvous hashing, one of
// each failure domain before a second one of any. Instances that are leaving or believed to be down
// are left out, unless `includesDoubtful`; they don't change the order of the others.
std::vector<const Member *> holdersOf(const Members &members, std::string_view key,
                                      std::size_t count, bool includesDoubtful, Common::Time now);

// Returns the first instances that share a duty, in the same order, this one included. Instances
// that are leaving or believed to be down are left out.
std::vector<const Member *> keepersOf(const Members &members, std::string_view duty,
                                      std::size_t count, Common::Time now);

// Instances that may be given a duty: neither leaving nor known to have failed. An instance that is
// only suspected keeps its duties, since most suspicions are refuted and the views of the instances
// differ meanwhile.
struct DutyRank
{
    // Number of such instances, including this one.
    std::size_t instances = 0;
    // Position of this instance in the order of rendezvous hashing for the key, counted as in
    // `holdersOf`; nothing if it is leaving.
    std::optional<std::size_t> own;
};
DutyRank rankFor(const Members &members, std::string_view key);

// The same, counting also instances that have failed, until they are forgotten, and listed ones
// that have not been heard of yet. For duties that instances must not take from others which they
// only do not reach.
DutyRank rankAmongKnown(const Members &members, std::string_view key, Common::Time now);

} // namespace Tanagerbay::Membership
