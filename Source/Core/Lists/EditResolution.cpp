#include "Lists/EditResolution.h"

#include <algorithm>

namespace Tanagerbay::Lists {

EditState resolveEdit(WriteReply reply, const Document *readBack, std::uint64_t guardedVersion,
                      std::string_view editId)
{
    if (reply == WriteReply::Committed)
        return EditState::Committed;
    if (reply == WriteReply::Conflict)
        return EditState::NotWritten;
    if (!readBack)
        return EditState::Unknown;
    if (readBack->editId == editId)
        return EditState::Committed;
    // At the guarded version the write has not been applied, but it may still be in flight.
    if (readBack->version <= guardedVersion)
        return EditState::Unknown;
    // Another edit made the next version, so this edit's version check has failed or will fail.
    if (readBack->version == guardedVersion + 1)
        return EditState::NotWritten;
    return EditState::Unknown;
}

std::vector<Common::InstanceId> missingInstances(const Versions &wanted,
                                                 const std::vector<Common::InstanceId> &live,
                                                 const std::vector<InstanceVersions> &reported)
{
    std::vector<Common::InstanceId> missing;
    for (const Common::InstanceId &instance : live) {
        const auto found = std::find_if(
            reported.begin(), reported.end(),
            [&instance](const InstanceVersions &entry) { return entry.instance == instance; });
        if (found == reported.end() || !found->versions.isAtLeast(wanted))
            missing.push_back(instance);
    }
    return missing;
}

} // namespace Tanagerbay::Lists
