// What an instance knows about the endpoints: their entries in the store, what they said about
// themselves in answers, and what other instances passed on.
//
// Within an epoch of the store, the store's order tells which entry of an endpoint is later. Start
// times do not: a process that starts after its clock went back states an earlier one than the
// process before. They are compared only with entries from an older copy of the store, whose order
// against what was known before is lost.
#pragma once

#include "Entry/Evacuations.h"

namespace Tanagerbay::Entry {

struct KnownEndpoint
{
    ListedEndpoint listed;
    // Epoch of the store in which the entry was last listed.
    std::uint64_t epoch = 0;
    // The endpoint's process has announced that it leaves; this never ends with that process.
    bool hasAnnouncedLeaving = false;
    // The list has named two versions for the start time, so two processes have stated it.
    bool isOfTwoVersions = false;
    // When the entry is removed. Set if the store dropped it shortly after an outage of the store.
    std::optional<Common::Time> removeAt;
    // When the last reading began that still listed it, if it is to be removed.
    Common::Time lastListedAt;
    // End of the exclusion from routing. Set if an answer reported that the endpoint must not be
    // used.
    std::optional<Common::Time> avoidedUntil;
};

// The last entry of an endpoint that the store has dropped.
struct DroppedEndpoint
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    Common::Time droppedAt;
    std::uint64_t epoch = 0;
    std::string version = {};
    bool isOfTwoVersions = false;
};

struct EndpointList
{
    std::map<Common::EndpointId, KnownEndpoint> known;
    std::map<Common::EndpointId, DroppedEndpoint> dropped;
    // Epoch of the store to which the entries belong that are applied.
    std::uint64_t epoch = 0;
};

enum class EntryChange {
    // Nothing changed that routing depends on.
    None,
    Changed,
    // The entry is older than what is known and was ignored.
    Outdated,
};

enum class EntrySource {
    // Written in the list's epoch, after all that is known of the endpoint.
    Change,
    // Listed by a reading of the full state. May come from the copy with which the epoch began.
    FullState,
    // Reported by a reader, because something has changed.
    Report,
};

// Whether the later of two entries of an endpoint is from the same process. One without a start
// time is told from the next by its address, its version and its sequence, which starts anew.
bool isFromSameProcess(const ListedEndpoint &earlier, const ListedEndpoint &later);

// Applies an entry that the store lists. `list.epoch` is the epoch of the reading.
EntryChange applyEntry(EndpointList &list, const ListedEndpoint &entry,
                       EntrySource source = EntrySource::Change);

// Returns the software version of a process. Returns nothing if the list does not show it, or has
// shown two for its start time.
std::optional<std::string> versionOf(const EndpointList &list, const Common::EndpointId &id,
                                     std::uint64_t incarnation);

// Drops an endpoint that the store no longer lists, or schedules that for `removeAt`. Returns
// whether it was dropped at once.
bool dropEndpoint(EndpointList &list, const Common::EndpointId &id,
                  std::optional<Common::Time> removeAt, Common::Time now);

// Drops an endpoint that a reader of the store reported as no longer listed in the list's epoch. If
// a later process is known from an earlier epoch, that is scheduled for `removeAt`, as the process
// may not have written since. `incarnation` and `sequence` are those of the last entry. Returns
// whether it was dropped at once.
bool dropReported(EndpointList &list, const Common::EndpointId &id, std::uint64_t incarnation,
                  std::uint64_t sequence, std::optional<Common::Time> removeAt, Common::Time now);

// Drops an endpoint whose entry names no usable endpoint. Returns whether it was known.
bool dropInvalid(EndpointList &list, const Common::EndpointId &id);

// Records that a process of an endpoint announced that it leaves. Returns whether that was news.
bool noteLeaving(EndpointList &list, const Common::EndpointId &id, std::uint64_t incarnation);

// Excludes an endpoint from routing until then. Returns whether it was not excluded before.
bool avoid(EndpointList &list, const Common::EndpointId &id, Common::Time until);

// Returns the endpoints that are to be removed by now.
std::vector<Common::EndpointId> dueRemovals(const EndpointList &list, Common::Time now);

// Makes all scheduled removals due.
void endDelays(EndpointList &list, Common::Time now);

// Ends exclusions and removes endpoints whose time has come. Returns whether anything changed.
bool applyExpirations(EndpointList &list, Common::Time now);

// Returns the endpoints by service, as routing uses them.
std::map<std::string, std::vector<Routing::EndpointEntry>>
routingEntries(const EndpointList &list, const Evacuations &evacuations = {});

} // namespace Tanagerbay::Entry
