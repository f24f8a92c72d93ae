// Rules for writing an edit and for telling when it is in force.
#pragma once

#include "Common/Ids.h"
#include "Lists/Snapshot.h"

#include <vector>

namespace Tanagerbay::Lists {

// How the guarded write of an edit ended, as far as the writer can tell.
enum class WriteReply { Committed, Conflict, Lost };

enum class EditState { Committed, NotWritten, Unknown };

// Decides what became of an edit from the reply to its write and, where that was lost, from the row
// read back afterwards (null where the read failed too). Versions only rise and each write raises
// the version by one, so a row that has passed the guarded version under another edit's id does not
// tell; `Unknown` then stays until the row is read at the version that this edit would have made.
EditState resolveEdit(WriteReply reply, const Document *readBack, std::uint64_t guardedVersion,
                      std::string_view editId);

// What one instance reported of itself.
struct InstanceVersions
{
    Common::InstanceId instance;
    Versions versions;
};

// Returns the live instances that have not reached the versions. An instance that is live but has
// reported nothing counts as missing.
std::vector<Common::InstanceId> missingInstances(const Versions &wanted,
                                                 const std::vector<Common::InstanceId> &live,
                                                 const std::vector<InstanceVersions> &reported);

} // namespace Tanagerbay::Lists
