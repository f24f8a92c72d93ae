// This instance's part of a service's budget for sends beyond the first of each request.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <deque>

namespace Tanagerbay::Serving {

struct FleetBudgetLimits
{
    // Extra sends allowed for each request, over all instances.
    double ratio = 0;
    // Extra sends allowed besides, over all instances.
    double slack = 0;
    // Span over which both hold.
    Common::Duration window{0};
};

// Counts in slots of time, so that the memory does not grow with the load.
class FleetBudget
{
public:
    // Counts the first send of a request.
    void noteFirst(Common::Time now);
    // Takes one extra send. Returns false where this instance's part is spent. `instances` is the
    // number of live instances, which share the slack in equal parts.
    bool takeExtra(const FleetBudgetLimits &limits, std::size_t instances, Common::Time now);

private:
    struct Slot
    {
        Common::Time begin;
        std::uint32_t firsts = 0;
        std::uint32_t extras = 0;
    };

    Slot &slotAt(Common::Time now);

    std::deque<Slot> slots;
};

} // namespace Tanagerbay::Serving
