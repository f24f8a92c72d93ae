// Slots: each instance holds at most one, and with it the base shares of that slot.
//
// A slot is a row of the table service. An instance that drains releases its row; the slot of one
// that is lost may be taken over. Whoever takes over waits until the earlier holder has run out of
// time in any case: it refuses new work once it is cut off, and what it lent has run out.
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
    // Start time of the holder's process.
    std::uint64_t incarnation = 0;
    bool released = false;
    // How long after its release the slot's shares may still be lent out.
    Common::Milliseconds lentFor{0};
};

std::string encodeSlotRow(const SlotRow &row);
// Returns nothing where the text is not a slot row.
std::optional<SlotRow> decodeSlotRow(std::uint64_t version, std::string_view text);

struct SlotChoice
{
    std::size_t slot = 0;
    std::uint64_t version = 0;
    // The earlier holder did not release the slot, so its shares may still be in use.
    bool takenOver = false;
    // How long to wait before the shares may be used, where the slot was released.
    Common::Milliseconds wait{0};
};

// Chooses a slot to claim: one that is free, else one whose holder is lost. The search begins at
// a place that differs between instances, so that those that start together rarely collide.
std::optional<SlotChoice> chooseSlot(const std::vector<SlotRow> &rows,
                                     const Common::InstanceId &self,
                                     const std::function<bool(const Common::InstanceId &)> &isLost);

// What an instance holds.
struct HeldSlot
{
    std::size_t slot = 0;
    std::uint64_t version = 0;
    // The base shares may be used from this time on.
    Common::Time usableFrom;
};

// True where a report by another instance shows that it has taken the slot over.
bool isTakenOver(const HeldSlot &held, std::size_t reportedSlot, std::uint64_t reportedVersion);

} // namespace Tanagerbay::Limits
