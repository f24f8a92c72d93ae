// This instance's share of a service's budget for extra sends: sends beyond the first of each
// request.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <deque>

namespace Tanagerbay::Serving {

struct FleetBudgetLimits
{
    // Extra sends permitted for each request, over all instances.
    double ratio = 0;
    // Further extra sends permitted, whatever the number of requests, over all instances.
    double slack = 0;
    // Length of the sliding window in which extra sends are limited to the sum of both.
    Common::Duration window{0};
};

// Returns the limits of a part of the budget.
FleetBudgetLimits partOf(const FleetBudgetLimits &limits, double part);

// Counts sends in time slots, so that the memory does not grow with the load.
class FleetBudget
{
public:
    // Records the first send of a request.
    void noteFirstSend(Common::Time now);
    // Returns whether this instance's share of the budget has room for an extra send. `instances`
    // is the number of live instances, which share the slack equally.
    bool hasExtraSend(const FleetBudgetLimits &limits, std::size_t instances, Common::Time now);
    // Takes one extra send from the budget. Returns false where this instance's share is exhausted.
    bool takeExtraSend(const FleetBudgetLimits &limits, std::size_t instances, Common::Time now);

private:
    struct Slot
    {
        Common::Time begin;
        std::uint32_t firstSends = 0;
        std::uint32_t extraSends = 0;
    };

    Slot &slotAt(Common::Time now);

    std::deque<Slot> slots;
};

} // namespace Tanagerbay::Serving
