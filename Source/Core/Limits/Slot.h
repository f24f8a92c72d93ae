// Assigns base shares to instances by slots: each instance holds at most one slot and owns its base
// shares.
//
// A slot is a row of the table service. An instance that drains releases its slot; the slot of a
// lost instance may be taken over. The new holder then waits until the earlier one can no longer
// use the shares in any case: by then it refuses new work if it is cut off, and its loans have
// expired.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Tanagerbay::Limits {

struct SlotRow
{
    std::uint64_t version = 0;
    Common::InstanceId holder;
    // Start time of the holder's process, which tells restarts apart.
    std::uint64_t incarnation = 0;
    bool released = false;
    // How long after its release the slot's shares may still be in use through loans.
    Common::Milliseconds remainingLoanTime{0};
};

std::string encodeSlotRow(const SlotRow &row);
// Returns nothing if the text is not a slot row. Version zero stands for an absent row.
std::optional<SlotRow> decodeSlotRow(std::uint64_t version, std::string_view text);

struct SlotChoice
{
    std::size_t slot = 0;
    std::uint64_t version = 0;
    // True if the earlier holder did not release the slot, so that its shares may still be in use.
    bool isTakeover = false;
    // How long to wait before the shares of a released slot may be used.
    Common::Milliseconds wait{0};
};

// Chooses a slot to claim: a free one, else one whose holder is lost. The search starts at the hash
// of the instance's identifier, so that instances that start together rarely conflict.
std::optional<SlotChoice> chooseSlot(const std::vector<SlotRow> &rows,
                                     const Common::InstanceId &self,
                                     const std::function<bool(const Common::InstanceId &)> &isLost);

// The slot that an instance holds.
struct HeldSlot
{
    std::size_t slot = 0;
    std::uint64_t version = 0;
    // When the base shares of the slot may first be used.
    Common::Time usableFrom;
};

// Returns whether another instance's report shows that it has taken over the slot: it names the
// same slot with a higher version.
bool isTakenOver(const HeldSlot &held, std::size_t reportedSlot, std::uint64_t reportedVersion);

} // namespace Tanagerbay::Limits
