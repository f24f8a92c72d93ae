// Which process of an endpoint ran at a given time.
//
// A row of the list is as old as the process's last heartbeat and its delay, so that it may be that
// of a process that has ended. That a process ran is shown by its own statement, or by its row once
// that would have lapsed without a heartbeat written since.
#pragma once

#include "Entry/EndpointList.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Tanagerbay::Entry {

// The process that an endpoint was last, by its own statement.
struct StatedProcess
{
    std::uint64_t incarnation = 0;
    // When it had first stated its start time.
    Common::Time since;
    // When it was last asked a question that it has answered.
    Common::Time lastAskedAt;
    // When its last statement was heard.
    Common::Time heardAt;
    // When another process had last stated itself. Connections that were made before may be to that
    // one, although this one has run before it and after it.
    std::optional<Common::Time> otherHeardAt = {};
};

// A process of an endpoint as the list names it.
struct ListedProcess
{
    Common::EndpointId endpoint;
    std::uint64_t incarnation = 0;
};

// A process that has stated itself and that the list had not named by then.
struct UnlistedProcess
{
    std::string service;
    std::uint64_t incarnation = 0;
    // The process that the list named for the endpoint.
    std::uint64_t listed = 0;
    // When it last stated itself.
    Common::Time statedAt;
};

// What the list has named for a process that it may not name any more.
struct NamedVersion
{
    // Unset if the list has named two for the same start time.
    std::optional<std::string> version;
    Common::Time lastNamedAt;
};

struct ProcessEvidence
{
    std::map<Common::EndpointId, StatedProcess> stated;
    // By endpoint and start time.
    std::map<std::pair<Common::EndpointId, std::uint64_t>, NamedVersion> named;
    // Kept when the row of their endpoint lapses: they may run and be unable to tell the store.
    std::map<Common::EndpointId, UnlistedProcess> unlisted;
    // Since when the list has named the endpoint's process.
    std::map<Common::EndpointId, Common::Time> listedSince;
    // When the last reading of the list began.
    std::optional<Common::Time> readAt;
    // Since when the list has been read without a long gap, and the store has lost nothing.
    std::optional<Common::Time> followedSince;
    // When the store was last known to have returned from an older copy.
    std::optional<Common::Time> restoredAt;
};

// Records a statement: the question was sent at `askedAt` or later. One in answer to an earlier
// question than another process has answered is ignored: it may have been overtaken.
void noteStated(ProcessEvidence &evidence, const ListedProcess &process, Common::Time askedAt,
                Common::Time now);

// Applies an entry to the list, and records since when the list has named its process.
EntryChange noteListed(ProcessEvidence &evidence, EndpointList &list, const ListedEndpoint &entry,
                       EntrySource source, Common::Time now);

// Records the versions of all processes that the list names now.
void noteListedVersions(ProcessEvidence &evidence, const EndpointList &list, Common::Time now);

// Returns the version that the list names for a process, or has named for it lately.
std::optional<std::string> namedVersion(const ProcessEvidence &evidence,
                                        const ListedProcess &process);

// Records that this instance reads the list after it has followed another one. Reports do not tell
// how the sequence of a row went on, which alone tells processes without a start time apart.
void noteReadAfterReports(ProcessEvidence &evidence, const EndpointList &list, Common::Time now);

// Records a statement of an endpoint's process while the list names `listed` for it. What was
// stated before is forgotten if the endpoint is the listed process after all.
void noteStatedBeside(ProcessEvidence &evidence, const ListedProcess &process,
                      const std::string &service, std::uint64_t listed, Common::Time now);

// Records that the list names this process now.
void noteNamed(ProcessEvidence &evidence, const ListedProcess &process);

// Whether a process of the service has stated itself at `since` or later that the list has not
// named yet.
bool hasUnlisted(const ProcessEvidence &evidence, const std::string &service, Common::Time since);

// Forgets unlisted processes that have not stated themselves since `before`.
void dropUnlistedBefore(ProcessEvidence &evidence, Common::Time before);

// Records that a reading of the list began. Rows that should have lapsed may still be listed after
// the store was away, so that a gap of more than two heartbeats begins the history anew.
void noteReading(ProcessEvidence &evidence, Common::Time readAt, Common::Duration heartbeat);

// Records that the store has returned from an older copy, as was learned now.
void noteStoreRestored(ProcessEvidence &evidence, Common::Time now);

// Whether this process had stated its start time at `time` or before, and no other one has since.
bool hadStated(const ProcessEvidence &evidence, const ListedProcess &process, Common::Time time);

// Whether a process that the list names now, and had named before `time`, still ran at `time`. The
// caller knows that it had: it may be another instance that saw it. One without a start time must
// have been named by this instance's list ever since.
bool hasRunSince(const ProcessEvidence &evidence, const ListedProcess &process, Common::Time time,
                 Common::Duration heartbeat);

// Whether the process that the list names is known to have been the endpoint's when it was listed.
// It has stated itself since, or its row would have lapsed otherwise. Another one that has stated
// itself after that, and at `since` or later, may still run.
bool isOnlyProcess(const ProcessEvidence &evidence, const ListedProcess &process,
                   Common::Time since, Common::Duration heartbeat);

// Whether this instance's list has named the endpoint's process since `time` or before.
bool wasListed(const ProcessEvidence &evidence, const Common::EndpointId &id, Common::Time time);

} // namespace Tanagerbay::Entry
