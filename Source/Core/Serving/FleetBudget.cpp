#include "Serving/FleetBudget.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

// Resolution in time with which sends are counted.
constexpr Common::Milliseconds kSlotDuration{250};
// Maximum number of slots kept, whatever the window.
constexpr std::size_t kMaxSlots = 256;
// Share of the slack that instances use; the remainder covers instances that join or that have a
// wrong count of the live instances.
constexpr double kUsableSlackShare = 0.8;

} // namespace

FleetBudgetLimits partOf(const FleetBudgetLimits &limits, double part)
{
    return {limits.ratio * part, limits.slack * part, limits.window};
}

FleetBudget::Slot &FleetBudget::slotAt(Common::Time now)
{
    if (this->slots.empty() || now - this->slots.back().begin >= kSlotDuration)
        this->slots.push_back({now, 0, 0});
    if (this->slots.size() > kMaxSlots)
        this->slots.pop_front();
    return this->slots.back();
}

void FleetBudget::noteFirstSend(Common::Time now)
{
    ++this->slotAt(now).firstSends;
}

bool FleetBudget::hasExtraSend(const FleetBudgetLimits &limits, std::size_t instances,
                               Common::Time now)
{
    // Extra sends count for one slot longer than the window, so that the limit holds in every
    // window, wherever it begins within a slot.
    const Common::Time since = now - limits.window - kSlotDuration;
    while (!this->slots.empty() && this->slots.front().begin < since)
        this->slots.pop_front();
    double firstSends = 0;
    double extraSends = 0;
    for (const Slot &slot : this->slots) {
        firstSends += slot.firstSends;
        extraSends += slot.extraSends;
    }
    const double instanceCount = static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed
        = limits.ratio * firstSends + kUsableSlackShare * limits.slack / instanceCount;
    return extraSends + 1 <= allowed;
}

bool FleetBudget::takeExtraSend(const FleetBudgetLimits &limits, std::size_t instances,
                                Common::Time now)
{
    if (!this->hasExtraSend(limits, instances, now))
        return false;
    ++this->slotAt(now).extraSends;
    return true;
}

} // namespace Tanagerbay::Serving
