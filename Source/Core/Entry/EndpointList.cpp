#include "Entry/EndpointList.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// A dropped endpoint is remembered this long. A copy from which the store returns is some seconds
// old.
constexpr Common::Milliseconds kDroppedMemory{60'000};

// Whether the entry was written before the one with this incarnation and sequence. Processes that
// name no start time, or write no sequence, cannot be compared. Two processes are compared only if
// the store's order is not known; one process's write may be applied late, behind a later one.
bool isOlder(const ListedEndpoint &entry, std::uint64_t incarnation, std::uint64_t sequence,
             bool isOrderKnown)
{
    const std::uint64_t own = entry.entry.incarnation;
    if (own == 0 || incarnation == 0)
        return false;
    if (own != incarnation)
        return !isOrderKnown && own < incarnation;
    return entry.sequence != 0 && sequence != 0 && entry.sequence < sequence;
}

bool isSameProcess(const ListedEndpoint &a, const ListedEndpoint &b)
{
    // A process whose start time is not known is told from the next one by its version only.
    // Two may state the same start time, if the clock went back in between. An entry that is passed
    // on by an instance of an earlier release states no version.
    const bool isVersionStated = !a.entry.version.empty() && !b.entry.version.empty();
    const bool mayBeOther
        = (a.entry.incarnation == 0 || isVersionStated) && a.entry.version != b.entry.version;
    return a.entry.incarnation == b.entry.incarnation && a.entry.address == b.entry.address
        && !mayBeOther;
}

// Whether the entry's start time is one for which another version is known.
bool isOfTwoVersions(const ListedEndpoint &entry, std::uint64_t incarnation,
                     const std::string &version)
{
    return entry.entry.incarnation != 0 && entry.entry.incarnation == incarnation
        && !entry.entry.version.empty() && !version.empty() && entry.entry.version != version;
}

} // namespace

bool isFromSameProcess(const ListedEndpoint &earlier, const ListedEndpoint &later)
{
    const bool hasStartedAnew
        = later.entry.incarnation == 0 && later.sequence != 0 && later.sequence < earlier.sequence;
    return isSameProcess(earlier, later) && !hasStartedAnew;
}

EntryChange applyEntry(EndpointList &list, const ListedEndpoint &entry, EntrySource source)
{
    const auto isOrderKnown = [&list, source](std::uint64_t knownEpoch) {
        return source != EntrySource::FullState || knownEpoch == list.epoch;
    };
    bool hasTwoVersions = false;
    const auto gone = list.dropped.find(entry.entry.id);
    if (gone != list.dropped.end()) {
        // Only an entry written after the drop shows that the process lives.
        const DroppedEndpoint &last = gone->second;
        const bool isSame = entry.entry.incarnation != 0 && entry.sequence != 0
            && entry.entry.incarnation == last.incarnation && entry.sequence == last.sequence;
        if (isSame || isOlder(entry, last.incarnation, last.sequence, isOrderKnown(last.epoch)))
            return EntryChange::Outdated;
        hasTwoVersions = isOfTwoVersions(entry, last.incarnation, last.version)
            || (last.isOfTwoVersions && entry.entry.incarnation == last.incarnation);
        list.dropped.erase(gone);
    }
    const auto [found, added] = list.known.try_emplace(entry.entry.id);
    KnownEndpoint &known = found->second;
    const bool sameProcess = !added && isSameProcess(known.listed, entry);
    const bool isLater = !sameProcess && isOrderKnown(known.epoch);
    if (!added && !isLater
        && isOlder(entry, known.listed.entry.incarnation, known.listed.sequence, false))
        return EntryChange::Outdated;
    const bool isUnchanged = sameProcess && known.listed.service == entry.service
        && known.listed.entry.state == entry.entry.state
        && (entry.entry.version.empty() || known.listed.entry.version == entry.entry.version);
    const Routing::EndpointEntry &before = known.listed.entry;
    if (!added && before.incarnation == entry.entry.incarnation) {
        hasTwoVersions
            = known.isOfTwoVersions || isOfTwoVersions(entry, before.incarnation, before.version);
    }
    if (!sameProcess)
        known = KnownEndpoint{};
    known.isOfTwoVersions = hasTwoVersions;
    // A reader of an earlier release reports no versions.
    const std::string version
        = entry.entry.version.empty() ? known.listed.entry.version : entry.entry.version;
    known.listed = entry;
    known.listed.entry.version = version;
    known.epoch = list.epoch;
    known.removeAt.reset();
    // A process that leaves does not come back; one without a start time may be another process.
    if (entry.entry.state == Routing::EndpointState::Leaving && entry.entry.incarnation != 0)
        known.hasAnnouncedLeaving = true;
    return isUnchanged ? EntryChange::None : EntryChange::Changed;
}

std::optional<std::string> versionOf(const EndpointList &list, const Common::EndpointId &id,
                                     std::uint64_t incarnation)
{
    const auto found = list.known.find(id);
    if (found == list.known.end() || found->second.listed.entry.incarnation != incarnation
        || found->second.isOfTwoVersions)
        return std::nullopt;
    return found->second.listed.entry.version;
}

bool dropEndpoint(EndpointList &list, const Common::EndpointId &id,
                  std::optional<Common::Time> removeAt, Common::Time now)
{
    const auto found = list.known.find(id);
    if (found == list.known.end())
        return false;
    if (removeAt) {
        if (!found->second.removeAt)
            found->second.removeAt = removeAt;
        return false;
    }
    const ListedEndpoint &listed = found->second.listed;
    list.dropped[id]
        = {listed.entry.incarnation,     listed.sequence, now, list.epoch, listed.entry.version,
           found->second.isOfTwoVersions};
    list.known.erase(found);
    return true;
}

bool dropReported(EndpointList &list, const Common::EndpointId &id, std::uint64_t incarnation,
                  std::uint64_t sequence, std::optional<Common::Time> removeAt, Common::Time now)
{
    const auto found = list.known.find(id);
    if (found == list.known.end()) {
        if (incarnation != 0)
            list.dropped[id] = {incarnation, sequence, now, list.epoch};
        return false;
    }
    const ListedEndpoint &listed = found->second.listed;
    const std::uint64_t known = listed.entry.incarnation;
    if (found->second.epoch != list.epoch && incarnation != 0 && known > incarnation)
        return dropEndpoint(list, id, removeAt, now);
    // The report's entry is the later one. A report without one names the last that is known.
    DroppedEndpoint last{incarnation, sequence, now, list.epoch};
    if (incarnation == 0 || incarnation == known)
        last = {known,
                std::max(listed.sequence, sequence),
                now,
                list.epoch,
                listed.entry.version,
                found->second.isOfTwoVersions};
    list.dropped[id] = last;
    list.known.erase(found);
    return true;
}

bool dropInvalid(EndpointList &list, const Common::EndpointId &id)
{
    return list.known.erase(id) > 0;
}

bool noteLeaving(EndpointList &list, const Common::EndpointId &id, std::uint64_t incarnation)
{
    const auto found = list.known.find(id);
    if (found == list.known.end() || found->second.hasAnnouncedLeaving
        || found->second.listed.entry.incarnation != incarnation)
        return false;
    found->second.hasAnnouncedLeaving = true;
    return true;
}

bool avoid(EndpointList &list, const Common::EndpointId &id, Common::Time until)
{
    const auto found = list.known.find(id);
    if (found == list.known.end() || found->second.avoidedUntil)
        return false;
    found->second.avoidedUntil = until;
    return true;
}

std::vector<Common::EndpointId> dueRemovals(const EndpointList &list, Common::Time now)
{
    std::vector<Common::EndpointId> due;
    for (const auto &[id, known] : list.known) {
        if (known.removeAt && *known.removeAt <= now)
            due.push_back(id);
    }
    return due;
}

void endDelays(EndpointList &list, Common::Time now)
{
    for (auto &[id, known] : list.known) {
        if (known.removeAt)
            known.removeAt = std::min(*known.removeAt, now);
    }
}

bool applyExpirations(EndpointList &list, Common::Time now)
{
    std::erase_if(list.dropped, [now](const auto &entry) {
        return now - entry.second.droppedAt > kDroppedMemory;
    });
    bool changed = false;
    for (auto &[id, known] : list.known) {
        if (known.avoidedUntil && *known.avoidedUntil <= now) {
            known.avoidedUntil.reset();
            changed = true;
        }
    }
    for (const Common::EndpointId &id : dueRemovals(list, now))
        changed = dropEndpoint(list, id, std::nullopt, now) || changed;
    return changed;
}

std::map<std::string, std::vector<Routing::EndpointEntry>>
routingEntries(const EndpointList &list, const Evacuations &evacuations)
{
    std::map<std::string, std::vector<Routing::EndpointEntry>> entries;
    for (const auto &[id, known] : list.known) {
        Routing::EndpointEntry entry = known.listed.entry;
        if (known.avoidedUntil || known.hasAnnouncedLeaving)
            entry.state = Routing::EndpointState::Leaving;
        entry.isEvacuated = isEvacuated(evacuations, entry.failureDomain);
        entries[known.listed.service].push_back(std::move(entry));
    }
    return entries;
}

} // namespace Tanagerbay::Entry
