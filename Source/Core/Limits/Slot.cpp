#include "Limits/Slot.h"

#include "Common/Hash.h"
#include "Common/JsonReader.h"

namespace Tanagerbay::Limits {

std::string encodeSlotRow(const SlotRow &row)
{
    return boost::json::serialize(boost::json::object{
        {"holder", row.holder.value},
        {"incarnation", row.incarnation},
        {"released", row.released},
        {"lentForMs", row.remainingLoanTime.count()},
    });
}

std::optional<SlotRow> decodeSlotRow(std::uint64_t version, std::string_view text)
{
    SlotRow row;
    row.version = version;
    if (version == 0)
        return row;
    Common::JsonFaults faults;
    const auto document = Common::parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    row.holder = Common::InstanceId(reader.text("holder"));
    row.incarnation = static_cast<std::uint64_t>(reader.integer("incarnation", 0, INT64_MAX));
    row.released = reader.flag("released");
    row.remainingLoanTime = Common::Milliseconds(reader.integer("lentForMs", 0, INT64_MAX));
    if (!faults.empty())
        return std::nullopt;
    return row;
}

std::optional<SlotChoice> chooseSlot(const std::vector<SlotRow> &rows,
                                     const Common::InstanceId &self,
                                     const std::function<bool(const Common::InstanceId &)> &isLost)
{
    const std::size_t start = Common::hash64(self.value);
    for (std::size_t step = 0; step < rows.size(); ++step) {
        const std::size_t slot = (start + step) % rows.size();
        const SlotRow &row = rows[slot];
        if (row.version == 0 || row.released)
            return SlotChoice{slot, row.version, false, row.remainingLoanTime};
    }
    for (std::size_t step = 0; step < rows.size(); ++step) {
        const std::size_t slot = (start + step) % rows.size();
        // An earlier process of this instance has certainly ended, but its loans may still be used.
        if (rows[slot].holder == self || isLost(rows[slot].holder))
            return SlotChoice{slot, rows[slot].version, true};
    }
    return std::nullopt;
}

bool isTakenOver(const HeldSlot &held, std::size_t reportedSlot, std::uint64_t reportedVersion)
{
    return reportedSlot == held.slot && reportedVersion > held.version;
}

} // namespace Tanagerbay::Limits
