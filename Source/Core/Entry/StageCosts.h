// Records what was decided in a stage queue with too little room.
#pragma once

#include "Entry/State.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Entry {

// What was last recorded of a queue.
struct CostReport
{
    Staging::CostFigures recorded;
    Staging::CostFigures logged;
    Common::Time loggedAt;
};

// Counts what was decided since the last call, and logs it at most once in a second.
void reportCosts(State &state, const Staging::StageQueue &queue, CostReport &report,
                 Common::Time now);

} // namespace Tanagerbay::Entry
