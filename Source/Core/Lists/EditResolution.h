// Determines whether an edit of a list was committed, and which instances have not applied it yet.
#pragma once

#include "Common/Ids.h"
#include "Lists/Snapshot.h"

#include <vector>

namespace Tanagerbay::Lists {

// The reply to the guarded write of an edit. `Lost` means that none arrived.
enum class WriteReply { Committed, Conflict, Lost };

enum class EditState { Committed, NotWritten, Unknown };

// Returns the state of an edit from the reply to its write and, if that was lost, from the row read
// back afterwards (null if that read failed too). Versions never decrease and each write raises the
// version by exactly one, so only a row at the version that this edit would have made shows whether
// another edit took its place. A row of another edit at a later version does not tell: the state is
// then `Unknown`.
EditState resolveEdit(WriteReply reply, const Document *readBack, std::uint64_t guardedVersion,
                      std::string_view editId);

// The list versions that an instance reported as applied.
struct InstanceVersions
{
    Common::InstanceId instance;
    Versions versions;
};

// Returns the live instances that have not applied the wanted versions. A live instance without a
// report counts as missing.
std::vector<Common::InstanceId> missingInstances(const Versions &wanted,
                                                 const std::vector<Common::InstanceId> &live,
                                                 const std::vector<InstanceVersions> &reported);

} // namespace Tanagerbay::Lists
