#include "Entry/ProcessEvidence.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// A row lapses after three heartbeats without a new one. One more for what is under way.
constexpr int kRowLifetimeHeartbeats = 4;
constexpr int kMaxGapHeartbeats = 2;

} // namespace

void noteStated(ProcessEvidence &evidence, const ListedProcess &process, Common::Time askedAt,
                Common::Time now)
{
    const StatedProcess stated{process.incarnation, now, askedAt};
    const auto [entry, added] = evidence.stated.try_emplace(process.endpoint, stated);
    if (added)
        return;
    if (entry->second.incarnation == process.incarnation)
        entry->second.lastAskedAt = std::max(entry->second.lastAskedAt, askedAt);
    else
        entry->second = stated;
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
        evidence.followedSince = readAt;
    evidence.readAt = std::max(evidence.readAt.value_or(readAt), readAt);
}

void noteStoreRestored(ProcessEvidence &evidence)
{
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
    const auto found = evidence.stated.find(process.endpoint);
    if (found != evidence.stated.end()) {
        const bool isSame = found->second.incarnation == process.incarnation;
        if (isSame && found->second.lastAskedAt >= time)
            return true;
        // The list may not name yet the process that has stated this.
        if (!isSame && process.incarnation != 0)
            return false;
    }
    if (!evidence.readAt || !evidence.followedSince)
        return false;
    const Common::Time since = std::max(time, *evidence.followedSince);
    return *evidence.readAt - since >= heartbeat * kRowLifetimeHeartbeats;
}

bool wasListed(const ProcessEvidence &evidence, const Common::EndpointId &id, Common::Time time)
{
    const auto found = evidence.listedSince.find(id);
    return found != evidence.listedSince.end() && found->second <= time;
}

} // namespace Tanagerbay::Entry
