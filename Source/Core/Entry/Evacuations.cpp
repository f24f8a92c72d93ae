#include "Entry/Evacuations.h"

#include <algorithm>
#include <set>

namespace Tanagerbay::Entry {

namespace {

// Domains of which is remembered that their evacuation was taken back. One that is forgotten could
// be believed again only on the word of an instance that has missed it since.
constexpr std::size_t kMaxTakenBack = 64;

using Changes = std::vector<EvacuationChange>;

void forgetOldest(Evacuations &known)
{
    const auto isTakenBack = [](const auto &entry) { return !entry.second.isEvacuated; };
    const auto takenBack = static_cast<std::size_t>(
        std::count_if(known.byDomain.begin(), known.byDomain.end(), isTakenBack));
    if (takenBack <= kMaxTakenBack)
        return;
    auto oldest = known.byDomain.end();
    for (auto entry = known.byDomain.begin(); entry != known.byDomain.end(); ++entry) {
        if (isTakenBack(*entry)
            && (oldest == known.byDomain.end() || entry->second.position < oldest->second.position))
            oldest = entry;
    }
    known.byDomain.erase(oldest);
}

void set(Evacuations &known, const Common::FailureDomain &domain, const Evacuation &belief,
         Changes &changes)
{
    const bool was = isEvacuated(known, domain);
    known.byDomain[domain] = belief;
    changes.push_back({domain, was != belief.isEvacuated});
    forgetOldest(known);
}

void merge(Evacuations &known, const EvacuationNews &news, Common::Time now, Changes &changes)
{
    const auto found = known.byDomain.find(news.domain);
    if (found != known.byDomain.end() && news.position <= found->second.position)
        return;
    Evacuation belief{news.isEvacuated, news.position, news.readAt, std::nullopt};
    const bool isOlder
        = found == known.byDomain.end() && known.completeAt && news.position <= *known.completeAt;
    if (isOlder) {
        // The complete state, which is later, has no such row. Only if a copy lies between the two,
        // the store may have lost it.
        if (!news.isEvacuated || news.position.epoch == known.completeAt->epoch)
            return;
        belief.endsAt = now + kLostEvacuationMemory;
    }
    set(known, news.domain, belief, changes);
}

// Applies that at the position no other domains were evacuated than the named ones.
void complete(Evacuations &known, const StorePosition &position,
              const std::set<Common::FailureDomain> &named, Common::Time now, Changes &changes)
{
    if (known.completeAt && position < *known.completeAt)
        return;
    known.completeAt = position;
    std::vector<Common::FailureDomain> takenBack;
    for (auto &[domain, belief] : known.byDomain) {
        if (!belief.isEvacuated || named.contains(domain) || position <= belief.position)
            continue;
        if (belief.position.epoch == position.epoch)
            takenBack.push_back(domain);
        else if (!belief.endsAt)
            belief.endsAt = now + kLostEvacuationMemory;
    }
    for (const Common::FailureDomain &domain : takenBack)
        set(known, domain, {false, position, now, std::nullopt}, changes);
}

} // namespace

bool isEvacuated(const Evacuations &known, const Common::FailureDomain &domain)
{
    const auto found = known.byDomain.find(domain);
    return found != known.byDomain.end() && found->second.isEvacuated;
}

std::size_t countEvacuated(const Evacuations &known)
{
    return static_cast<std::size_t>(
        std::count_if(known.byDomain.begin(), known.byDomain.end(),
                      [](const auto &entry) { return entry.second.isEvacuated; }));
}

std::vector<EvacuationChange> applyReading(Evacuations &known, const CatalogUpdate &reading,
                                           const StorePosition &position, Common::Time now)
{
    Changes changes;
    std::set<Common::FailureDomain> named;
    for (const EvacuationRow &row : reading.evacuations) {
        named.insert(row.domain);
        if (row.state == EvacuationRowState::Unreadable)
            continue;
        const bool isPut = row.state == EvacuationRowState::Evacuated;
        merge(known, {row.domain, isPut, {position.epoch, row.version}, now}, now, changes);
    }
    if (reading.isComplete)
        complete(known, position, named, now, changes);
    else if (known.completeAt && known.completeAt->epoch == position.epoch)
        known.completeAt = std::max(*known.completeAt, position);
    return changes;
}

std::vector<EvacuationChange> applyReport(Evacuations &known, const EvacuationReport &report,
                                          Common::Time now)
{
    Changes changes;
    std::set<Common::FailureDomain> named;
    for (const EvacuationNews &news : report.news) {
        if (news.isEvacuated)
            named.insert(news.domain);
        merge(known, news, now, changes);
    }
    if (report.completeAt)
        complete(known, *report.completeAt, named, now, changes);
    return changes;
}

std::vector<EvacuationChange> endLost(Evacuations &known, Common::Time now)
{
    Changes changes;
    std::vector<Common::FailureDomain> due;
    for (const auto &[domain, belief] : known.byDomain) {
        if (belief.endsAt && *belief.endsAt <= now)
            due.push_back(domain);
    }
    for (const Common::FailureDomain &domain : due) {
        const StorePosition position = known.completeAt.value_or(StorePosition{});
        set(known, domain, {false, position, now, std::nullopt}, changes);
    }
    return changes;
}

EvacuationReport reportOf(const Evacuations &known)
{
    EvacuationReport report;
    report.completeAt = known.completeAt;
    for (const auto &[domain, belief] : known.byDomain)
        report.news.push_back({domain, belief.isEvacuated, belief.position, belief.readAt});
    return report;
}

} // namespace Tanagerbay::Entry
