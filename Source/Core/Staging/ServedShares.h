// How many pieces of each priority a stage serves and turns away, for a floor under the less
// urgent ones.
#pragma once

#include "Common/Time.h"

#include <map>

namespace Tanagerbay::Staging {

// Pieces of one priority; older ones count less.
struct ServedShare
{
    double served = 0;
    double turnedAway = 0;
};

struct ServedShares
{
    std::map<int, ServedShare> byPriority;
    Common::Time decayedAt;
};

void noteServed(ServedShares &shares, int priority, Common::Time now);
void noteTurnedAway(ServedShares &shares, int priority, Common::Time now);

// Whether pieces of the priority are served so much less often than all pieces that some of them
// have to go first.
bool isStarved(const ServedShares &shares, int priority);

} // namespace Tanagerbay::Staging
