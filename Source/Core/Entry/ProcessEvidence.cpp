#include "Entry/ProcessEvidence.h"

#include "Routing/VersionHistory.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// A row lapses after three heartbeats without a new one. One more for what is under way.
constexpr int kRowLifetimeHeartbeats = 4;
constexpr int kMaxGapHeartbeats = 2;

void noteVersionOf(ProcessEvidence &evidence, const KnownEndpoint &known, Common::Time now)
{
    const Routing::EndpointEntry &entry = known.listed.entry;
    evidence.named[{entry.id, entry.incarnation}]
        = {known.isOfTwoVersions ? std::nullopt : std::optional(entry.version), now};
}

} // namespace

void noteStated(ProcessEvidence &evidence, const ListedProcess &process, Common::Time askedAt,
                Common::Time now)
{
    // Zero names no process.
    if (process.incarnation == 0)
        return;
    StatedProcess latest{process.incarnation, now, askedAt, now};
    const auto [entry, added] = evidence.stated.try_emplace(process.endpoint, latest);
    StatedProcess &stated = entry->second;
    if (stated.incarnation == process.incarnation) {
        stated.lastAskedAt = std::max(stated.lastAskedAt, askedAt);
        stated.heardAt = std::max(stated.heardAt, now);
    } else if (askedAt >= stated.lastAskedAt) {
        latest.otherHeardAt = stated.heardAt;
        stated = latest;
    }
}

EntryChange noteListed(ProcessEvidence &evidence, EndpointList &list, const ListedEndpoint &entry,
                       EntrySource source, Common::Time now)
{
    const auto known = list.known.find(entry.entry.id);
    const bool isKnown
        = known != list.known.end() && isFromSameProcess(known->second.listed, entry);
    // A reader reports only what has changed, which may be the process. Without a sequence, nothing
    // tells it from the next one.
    const bool mayBeAnother
        = entry.entry.incarnation == 0 && (source == EntrySource::Report || entry.sequence == 0);
    const EntryChange change = applyEntry(list, entry, source);
    if (change == EntryChange::Outdated)
        return change;
    if (!isKnown || mayBeAnother)
        evidence.listedSince[entry.entry.id] = now;
    noteVersionOf(evidence, list.known.at(entry.entry.id), now);
    return change;
}

void noteListedVersions(ProcessEvidence &evidence, const EndpointList &list, Common::Time now)
{
    for (const auto &[id, known] : list.known)
        noteVersionOf(evidence, known, now);
    std::erase_if(evidence.named, [now](const auto &entry) {
        return now - entry.second.lastNamedAt > Routing::kVersionMemory;
    });
}

std::optional<std::string> namedVersion(const ProcessEvidence &evidence,
                                        const ListedProcess &process)
{
    const auto found = evidence.named.find({process.endpoint, process.incarnation});
    return found == evidence.named.end() ? std::nullopt : found->second.version;
}

void noteReadAfterReports(ProcessEvidence &evidence, const EndpointList &list, Common::Time now)
{
    for (const auto &[id, known] : list.known) {
        if (known.listed.entry.incarnation == 0)
            evidence.listedSince[id] = now;
    }
}

void noteStatedBeside(ProcessEvidence &evidence, const ListedProcess &process,
                      const std::string &service, std::uint64_t listed, Common::Time now)
{
    const auto found = evidence.unlisted.find(process.endpoint);
    if (process.incarnation != listed) {
        evidence.unlisted[process.endpoint] = {service, process.incarnation, listed, now};
        return;
    }
    if (found != evidence.unlisted.end() && found->second.listed == listed)
        evidence.unlisted.erase(found);
}

void noteNamed(ProcessEvidence &evidence, const ListedProcess &process)
{
    const auto found = evidence.unlisted.find(process.endpoint);
    if (found != evidence.unlisted.end() && found->second.incarnation == process.incarnation)
        evidence.unlisted.erase(found);
}

bool hasUnlisted(const ProcessEvidence &evidence, const std::string &service, Common::Time since)
{
    return std::any_of(evidence.unlisted.begin(), evidence.unlisted.end(), [&](const auto &entry) {
        return entry.second.service == service && entry.second.statedAt >= since;
    });
}

void dropUnlistedBefore(ProcessEvidence &evidence, Common::Time before)
{
    std::erase_if(evidence.unlisted,
                  [before](const auto &entry) { return entry.second.statedAt < before; });
}

void noteReading(ProcessEvidence &evidence, Common::Time readAt, Common::Duration heartbeat)
{
    const bool isFollowed
        = evidence.readAt && readAt - *evidence.readAt <= heartbeat * kMaxGapHeartbeats;
    if (!isFollowed || !evidence.followedSince)
        evidence.followedSince = std::max(readAt, evidence.restoredAt.value_or(readAt));
    evidence.readAt = std::max(evidence.readAt.value_or(readAt), readAt);
}

void noteStoreRestored(ProcessEvidence &evidence, Common::Time now)
{
    evidence.restoredAt = now;
    evidence.followedSince.reset();
}

bool hadStated(const ProcessEvidence &evidence, const ListedProcess &process, Common::Time time)
{
    const auto found = evidence.stated.find(process.endpoint);
    return found != evidence.stated.end() && found->second.incarnation == process.incarnation
        && found->second.since <= time;
}

bool hasRunSince(const ProcessEvidence &evidence, const ListedProcess &process, Common::Time time,
                 Common::Duration heartbeat)
{
    const auto listedSince = evidence.listedSince.find(process.endpoint);
    if (listedSince == evidence.listedSince.end())
        return false;
    if (process.incarnation == 0 && listedSince->second > time)
        return false;
    const auto found = evidence.stated.find(process.endpoint);
    if (found != evidence.stated.end()) {
        const bool isSame = found->second.incarnation == process.incarnation;
        if (isSame && time <= found->second.otherHeardAt)
            return false;
        if (isSame && found->second.lastAskedAt >= time)
            return true;
        // The list may not name yet the process that has stated this. One that it has come to name
        // since is later.
        const bool isListedLater = listedSince->second > found->second.heardAt;
        if (!isSame && process.incarnation != 0 && !isListedLater)
            return false;
    }
    if (!evidence.readAt || !evidence.followedSince)
        return false;
    // A late write may bring the row of a process back that has ended.
    const Common::Time since = std::max({time, *evidence.followedSince, listedSince->second});
    return *evidence.readAt - since >= heartbeat * kRowLifetimeHeartbeats;
}

bool isOnlyProcess(const ProcessEvidence &evidence, const ListedProcess &process,
                   Common::Time since, Common::Duration heartbeat)
{
    const auto listedSince = evidence.listedSince.find(process.endpoint);
    if (listedSince == evidence.listedSince.end())
        return false;
    Common::Time from = listedSince->second;
    const auto stated = evidence.stated.find(process.endpoint);
    const auto otherHeardAt
        = stated == evidence.stated.end() ? std::nullopt : stated->second.otherHeardAt;
    if (otherHeardAt && *otherHeardAt >= from) {
        if (*otherHeardAt >= since)
            return false;
        from = *otherHeardAt + Common::Duration(1);
    }
    return hasRunSince(evidence, process, from, heartbeat);
}

bool wasListed(const ProcessEvidence &evidence, const Common::EndpointId &id, Common::Time time)
{
    const auto found = evidence.listedSince.find(id);
    return found != evidence.listedSince.end() && found->second <= time;
}

} // namespace Tanagerbay::Entry
