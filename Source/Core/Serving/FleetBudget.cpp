#include "Serving/FleetBudget.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

// Fineness with which sends are counted.
constexpr Common::Milliseconds kSlotLength{250};
// Most that is remembered, whatever the window.
constexpr std::size_t kMostSlots = 256;
// Part of the slack that is handed out; the rest covers instances that join or miscount.
constexpr double kUsedPartOfSlack = 0.8;

} // namespace

FleetBudget::Slot &FleetBudget::slotAt(Common::Time now)
{
    if (this->slots.empty() || now - this->slots.back().begin >= kSlotLength)
        this->slots.push_back({now, 0, 0});
    if (this->slots.size() > kMostSlots)
        this->slots.pop_front();
    return this->slots.back();
}

void FleetBudget::noteFirst(Common::Time now)
{
    ++this->slotAt(now).firsts;
}

bool FleetBudget::takeExtra(const FleetBudgetLimits &limits, std::size_t instances,
                            Common::Time now)
{
    // An extra send counts for a whole slot longer, so that every span of the window is kept.
    const Common::Time since = now - limits.window - kSlotLength;
    while (!this->slots.empty() && this->slots.front().begin < since)
        this->slots.pop_front();
    double firsts = 0;
    double extras = 0;
    for (const Slot &slot : this->slots) {
        firsts += slot.firsts;
        extras += slot.extras;
    }
    const double sharers = static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed = limits.ratio * firsts + kUsedPartOfSlack * limits.slack / sharers;
    if (extras + 1 > allowed)
        return false;
    ++this->slotAt(now).extras;
    return true;
}

} // namespace Tanagerbay::Serving
