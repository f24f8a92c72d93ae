#include "Entry/EndpointChanges.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// Followers ask at least every few seconds, and after a read of their own.
constexpr Common::Milliseconds kLogPeriod{15'000};

bool isSameForRouting(const ListedEndpoint &a, const ListedEndpoint &b)
{
    return a.service == b.service && a.entry.address == b.entry.address
        && a.entry.incarnation == b.entry.incarnation && a.entry.state == b.entry.state
        && a.entry.version == b.entry.version && isFromSameProcess(a, b);
}

// Whether the entry of a process says what follows from the one reported before, as time goes by:
// the time for which it stays cold only falls until it is warm, unless it has become cold again.
bool isSameColdness(const ListedEndpoint &before, const ListedEndpoint &entry)
{
    const Common::Milliseconds zero{0};
    const Common::Milliseconds leftBefore = before.coldLeft.value_or(zero);
    const Common::Milliseconds left = entry.coldLeft.value_or(zero);
    return left <= leftBefore && (left == zero) == (leftBefore == zero);
}

} // namespace

StorePosition beginOfReport(const std::optional<StorePosition> &lastReported,
                            const StorePosition &position)
{
    const bool isSameEpoch = lastReported && lastReported->epoch == position.epoch;
    return isSameEpoch ? *lastReported : position;
}

bool mayReport(const EndpointList &list)
{
    return std::none_of(list.known.begin(), list.known.end(),
                        [](const auto &entry) { return entry.second.removeAt.has_value(); });
}

EndpointChanges changesOf(const EndpointList &list, ReportedEndpoints &reported)
{
    EndpointChanges changes;
    std::erase_if(reported, [&](const auto &entry) {
        const ListedEndpoint &last = entry.second;
        if (list.known.contains(entry.first))
            return false;
        const auto found = list.dropped.find(entry.first);
        if (found == list.dropped.end())
            changes.dropped.push_back({entry.first, last.entry.incarnation, last.sequence});
        else
            changes.dropped.push_back(
                {entry.first, found->second.incarnation, found->second.sequence});
        return true;
    });
    for (const auto &[id, known] : list.known) {
        const auto [entry, added] = reported.try_emplace(id, known.listed);
        const bool isReported = !added && isSameForRouting(entry->second, known.listed)
            && isSameColdness(entry->second, known.listed);
        entry->second = known.listed;
        if (isReported)
            continue;
        changes.listed.push_back(known.listed);
    }
    return changes;
}

void addRemoved(EndpointChanges &changes, const EndpointList &list,
                const std::vector<Common::EndpointId> &removed)
{
    for (const Common::EndpointId &id : removed) {
        const bool isNamed
            = std::any_of(changes.dropped.begin(), changes.dropped.end(),
                          [&id](const DroppedEntry &entry) { return entry.id == id; });
        if (!isNamed && !list.known.contains(id))
            changes.dropped.push_back({id, 0, 0});
    }
}

void record(ChangeLog &log, EndpointChanges changes, Common::Time now)
{
    const bool continues = !log.entries.empty() && log.entries.back().to == changes.from;
    if (!continues) {
        log.entries.clear();
        log.times.clear();
    }
    log.entries.push_back(std::move(changes));
    log.times.push_back(now);
    while (now - log.times.front() > kLogPeriod) {
        log.entries.pop_front();
        log.times.pop_front();
    }
}

std::optional<EndpointChanges> changesSince(const ChangeLog &log, const StorePosition &position)
{
    if (log.entries.empty())
        return std::nullopt;
    const StorePosition &newest = log.entries.back().to;
    const StorePosition &oldest = log.entries.front().from;
    if (position.epoch != newest.epoch || position.version < oldest.version)
        return std::nullopt;
    EndpointChanges all{position, std::max(position, newest), {}, {}};
    // Of several changes of one endpoint, the last one counts.
    std::map<Common::EndpointId, const ListedEndpoint *> listed;
    std::map<Common::EndpointId, DroppedEntry> dropped;
    for (const EndpointChanges &changes : log.entries) {
        if (changes.to.version <= position.version)
            continue;
        for (const DroppedEntry &entry : changes.dropped) {
            dropped[entry.id] = entry;
            listed.erase(entry.id);
        }
        for (const ListedEndpoint &endpoint : changes.listed) {
            dropped.erase(endpoint.entry.id);
            listed[endpoint.entry.id] = &endpoint;
        }
    }
    for (const auto &[id, endpoint] : listed)
        all.listed.push_back(*endpoint);
    for (const auto &[id, entry] : dropped)
        all.dropped.push_back(entry);
    return all;
}

ChangesUse useOfChanges(const StorePosition &known, const EndpointChanges &changes)
{
    if (changes.to.epoch != known.epoch || known.version < changes.from.version)
        return ChangesUse::Gap;
    return changes.to.version <= known.version ? ChangesUse::Known : ChangesUse::Apply;
}

} // namespace Tanagerbay::Entry
