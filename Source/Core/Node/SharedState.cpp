#include "Node/SharedState.h"

#include <cstdlib>

#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace {

constexpr std::size_t kMaxPrefixEntries = 65'536;

} // namespace

PoolShard::PoolShard() : pool(kMaxPrefixEntries)
{
}

ListsInUse::ListsInUse() : snapshot(std::make_shared<Lists::Snapshot>())
{
}

Lists::SnapshotPtr ListsInUse::current() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->snapshot;
}

Lists::ApplyOutcome ListsInUse::apply(Lists::ListKind kind, const Lists::Document &document)
{
    // Parsing a large list takes long, so it is done without holding the lock.
    while (true) {
        const Lists::SnapshotPtr base = this->current();
        Lists::ApplyResult result = Lists::applyDocument(base, kind, document);
        const std::lock_guard<std::mutex> guard(this->lock);
        if (this->snapshot != base)
            continue;
        this->snapshot = std::move(result.snapshot);
        return result.outcome;
    }
}

SharedState::SharedState(Settings given) : settings(std::move(given))
{
    this->members.with([this](Membership::Members &state) {
        state.self = this->settings.instance;
        state.suspectAfter = this->settings.peer.suspectAfter;
    });
    for (const PoolSettings &entry : this->settings.pools) {
        auto shard = std::make_unique<PoolShard>();
        shard->pool.policy = this->settings.routing.policy;
        shard->pool.budget.share = this->settings.routing.retryShare;
        shard->pool.budget.unlimited = this->settings.routing.retryUnlimited;
        Routing::applyEntries(shard->pool, entry.endpoints);
        this->pools.emplace(entry.name, std::move(shard));
    }
}

PoolShard &SharedState::poolNamed(std::string_view name)
{
    const auto found = this->pools.find(name);
    // parseSettings() has checked that every stage and service names an existing pool.
    if (found == this->pools.end())
        std::abort();
    return *found->second;
}

Lists::ApplyOutcome SharedState::applyList(Lists::ListKind kind, const Lists::Document &document)
{
    const Lists::ApplyOutcome outcome = this->lists.apply(kind, document);
    if (outcome == Lists::ApplyOutcome::StaleIgnored)
        this->counters.add(Common::Counter::ListsStaleIgnored);
    if (outcome == Lists::ApplyOutcome::Invalid)
        LOG(ERROR) << "list " << Common::nameOf(kind) << " version " << document.version
                   << " is invalid; not applied";
    if (outcome == Lists::ApplyOutcome::Applied) {
        this->counters.add(Common::Counter::ListsApplied);
        LOG(INFO) << "list " << Common::nameOf(kind) << " version " << document.version
                  << " applied";
    }
    return outcome;
}

void SharedState::recordContact(Common::Time at)
{
    const Common::Duration::rep ticks = at.time_since_epoch().count();
    Common::Duration::rep known = this->lastContactTicks.load(std::memory_order_relaxed);
    while (ticks > known && !this->lastContactTicks.compare_exchange_weak(known, ticks)) { }
}

bool SharedState::isCutOff(Common::Time now) const
{
    const Common::Time last{
        Common::Duration(this->lastContactTicks.load(std::memory_order_relaxed))};
    return now - last > this->settings.platform.cutOffAfter;
}

} // namespace Tanagerbay::Node
