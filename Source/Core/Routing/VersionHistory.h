// The software versions that the endpoints of each service have run. Work that one version began
// may go on only at that version, so an instance that does not know which one began it has to know
// which ones it may have been.
#pragma once

#include "Routing/Pool.h"
#include "Routing/StatedLimits.h"

#include <map>
#include <optional>
#include <string>

namespace Tanagerbay::Routing {

// How long versions are remembered that no endpoint runs any more: longer than callers wait for
// work that was begun.
constexpr Common::Milliseconds kVersionMemory{60'000};

// When endpoints of each version of a service were last known.
using VersionTimes = std::map<std::string, Common::Time>;

struct VersionHistory
{
    std::map<std::string, VersionTimes> byService;
    // Since when the history is complete.
    Common::Time completeSince;
};

// Records the versions of the endpoints that the pool has now. To be called before the endpoints
// change.
void noteVersions(VersionHistory &history, const std::string &service, const Pool &pool,
                  Common::Time now);

// Records a version that an endpoint is known to run now.
void noteVersion(VersionHistory &history, const std::string &service, const std::string &version,
                 Common::Time now);

// Returns the name by which a process is stored that serves and that the list has not named. Its
// version is not known, so that instances of earlier releases take it for a version of its own.
std::string unlistedVersion(const ProcessKey &process);

// Returns the process, if the version is the name of one.
std::optional<ProcessKey> unlistedProcess(std::string_view version);

// Adds what another instance knows.
void mergeHistory(VersionHistory &history, const VersionHistory &other);

// Forgets versions that no endpoint has run since `before`.
void dropVersionsBefore(VersionHistory &history, Common::Time before);

// Returns whether the service is known to have had endpoints of several versions since `since`.
bool hasSeveralVersions(const VersionHistory &history, const std::string &service, const Pool &pool,
                        Common::Time since);

// Returns the version of all endpoints that the service has had since `since`. Returns nothing if
// there were several or none, or if the history does not reach back so far.
std::optional<std::string> onlyVersionSince(const VersionHistory &history,
                                            const std::string &service, const Pool &pool,
                                            Common::Time since);

} // namespace Tanagerbay::Routing
