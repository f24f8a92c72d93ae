// Changes of the endpoint list that a reader of the store passes on to the instances that follow
// it, and whether a follower may apply them.
#pragma once

#include "Entry/EndpointList.h"

#include <deque>

namespace Tanagerbay::Entry {

// The last entry of an endpoint that is no longer listed.
struct DroppedEntry
{
    Common::EndpointId id;
    // Zero if the reporter never knew the endpoint; whoever knows it drops it.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

// What changed between two positions of one epoch of the store.
struct EndpointChanges
{
    StorePosition from;
    StorePosition to;
    std::vector<ListedEndpoint> listed;
    std::vector<DroppedEntry> dropped;
};

// The endpoints as they were last reported to followers.
using ReportedEndpoints = std::map<Common::EndpointId, ListedEndpoint>;

// Returns what has changed in the list since it was reported, without positions, and updates
// `reported`.
EndpointChanges changesOf(const EndpointList &list, ReportedEndpoints &reported);

// Adds endpoints that the store has removed and that the list does not contain. They may have come
// and gone since the last report, while a follower saw them come.
void addRemoved(EndpointChanges &changes, const EndpointList &list,
                const std::vector<Common::EndpointId> &removed);

// Returns where a report begins that ends at `position`: where the last one ended, if that was in
// the same epoch of the store. The first one begins where it ends, since a process that has just
// started does not know which endpoints have gone before.
StorePosition beginOfReport(const std::optional<StorePosition> &lastReported,
                            const StorePosition &position);

// Whether a reader may report its list. While it keeps entries only because it had lost the store,
// it may not: its followers had not, and have to learn at once which endpoints are gone, from the
// other reader or the store.
bool mayReport(const EndpointList &list);

// The changes that a reader has seen lately, oldest first. Each begins where the one before it
// ends.
struct ChangeLog
{
    std::deque<EndpointChanges> entries;
    std::deque<Common::Time> times;
};

// Adds changes, and forgets those that are older than a follower can ask for.
void record(ChangeLog &log, EndpointChanges changes, Common::Time now);

// Returns all changes since a position as one, or nothing if the log does not reach back to it.
std::optional<EndpointChanges> changesSince(const ChangeLog &log, const StorePosition &position);

enum class ChangesUse {
    Apply,
    // They end where the follower already is.
    Known,
    // The follower lacks changes before them, or they belong to another epoch: it has to read the
    // store itself.
    Gap,
};

ChangesUse useOfChanges(const StorePosition &known, const EndpointChanges &changes);

} // namespace Tanagerbay::Entry
