#include "Entry/EndpointDiscovery.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// Interval between reads of the list, as a fraction of the leaving delay: short enough to take a
// leaving endpoint out of routing in time, with a reserve for one failed read. Entries change about
// once a second, so a long-polling read would return at once.
constexpr double kReadIntervalPerLeavingDelay = 0.6;
constexpr Common::Milliseconds kRetryInterval{200};
// Entries that expired during an outage of the store are kept this long after its recovery, because
// endpoints that are alive register again within this period.
constexpr Common::Milliseconds kOutageGracePeriod{2000};

} // namespace

EndpointDiscovery::EndpointDiscovery(State &state, StageOwner &stages, Store &store)
    : state(state), stages(stages), store(store)
{
}

void EndpointDiscovery::start()
{
    boost::asio::co_spawn(this->state.context, this->followStore(), boost::asio::detached);
}

Http::Awaitable<void> EndpointDiscovery::followStore()
{
    while (true) {
        const auto reading
            = co_await this->store.readEndpoints(this->position, Common::Milliseconds(0));
        const Common::Time now = clockNow();
        if (!reading && reading.error() == StoreFault::HistoryGone) {
            this->position = 0;
            continue;
        }
        if (!reading) {
            if (!this->storeFailed) {
                this->state.logState(LogLine("store-lost")
                                         .text("read", "endpoints")
                                         .text("fault", Common::nameOf(reading.error())));
            }
            this->storeFailed = true;
            this->applyExpirations(now);
            co_await this->state.sleepFor(kRetryInterval);
            continue;
        }
        if (this->storeFailed) {
            this->storeFailed = false;
            this->storeRecoveredAt = now;
            this->state.logState(LogLine("store-regained").text("read", "endpoints"));
        }
        this->applyReading(*reading, now);
        co_await this->state.sleepFor(std::chrono::duration_cast<Common::Duration>(
            this->state.settings.bounds.leavingDelay * kReadIntervalPerLeavingDelay));
    }
}

void EndpointDiscovery::applyReading(const EndpointsUpdate &reading, Common::Time now)
{
    if (reading.isComplete) {
        std::map<Common::EndpointId, bool> present;
        for (const ListedEndpoint &listed : reading.present)
            present[listed.entry.id] = true;
        std::vector<Common::EndpointId> missing;
        for (const auto &[id, entry] : this->knownEndpoints) {
            if (!present.contains(id))
                missing.push_back(id);
        }
        for (const Common::EndpointId &id : missing)
            this->removeEndpoint(id, now);
    }
    for (const Common::EndpointId &id : reading.removed)
        this->removeEndpoint(id, now);
    for (const Common::EndpointId &id : reading.unreadable) {
        this->state.metrics.count("endpoint_entries_invalid");
        this->changed = this->knownEndpoints.erase(id) > 0 || this->changed;
    }
    for (const ListedEndpoint &listed : reading.present) {
        const auto [entry, added] = this->knownEndpoints.try_emplace(listed.entry.id);
        KnownEndpoint &known = entry->second;
        const bool isUnchanged = !added && known.listed.service == listed.service
            && known.listed.entry.address == listed.entry.address
            && known.listed.entry.incarnation == listed.entry.incarnation
            && known.listed.entry.state == listed.entry.state;
        known.listed = listed;
        known.removeAt.reset();
        this->changed = this->changed || !isUnchanged;
        if (!isUnchanged) {
            this->state.log.write(LogLine("endpoint-listed")
                                      .text("endpoint", listed.entry.id.value)
                                      .text("service", listed.service)
                                      .text("address", Common::formatAddress(listed.entry.address))
                                      .text("state", Common::nameOf(listed.entry.state)),
                                  now);
        }
    }
    this->position = reading.position;
    this->applyExpirations(now);
}

void EndpointDiscovery::removeEndpoint(const Common::EndpointId &id, Common::Time now)
{
    const auto found = this->knownEndpoints.find(id);
    if (found == this->knownEndpoints.end())
        return;
    const bool isAfterOutage
        = this->storeRecoveredAt && now - *this->storeRecoveredAt < kOutageGracePeriod;
    if (isAfterOutage) {
        if (!found->second.removeAt)
            found->second.removeAt = *this->storeRecoveredAt + kOutageGracePeriod;
        return;
    }
    this->state.log.write(LogLine("endpoint-dropped").text("endpoint", id.value), now);
    this->knownEndpoints.erase(found);
    this->changed = true;
}

void EndpointDiscovery::applyExpirations(Common::Time now)
{
    const std::size_t erased = std::erase_if(this->knownEndpoints, [now](const auto &entry) {
        return entry.second.removeAt && *entry.second.removeAt <= now;
    });
    this->changed = this->changed || erased > 0;
    for (auto &[id, known] : this->knownEndpoints) {
        if (!known.avoidedUntil || *known.avoidedUntil > now)
            continue;
        known.avoidedUntil.reset();
        this->changed = true;
    }
    if (this->changed)
        this->rebuildPools();
    this->changed = false;
}

void EndpointDiscovery::rebuildPools()
{
    std::map<std::string, std::vector<Routing::EndpointEntry>> entries;
    for (const auto &[service, pool] : this->state.pools)
        entries[service];
    for (const auto &[id, known] : this->knownEndpoints) {
        Routing::EndpointEntry entry = known.listed.entry;
        if (known.avoidedUntil)
            entry.state = Routing::EndpointState::Leaving;
        entries[known.listed.service].push_back(std::move(entry));
    }
    for (const auto &[service, list] : entries)
        Routing::applyEntries(this->state.poolOf(service), list);
    this->stages.refresh();
}

void EndpointDiscovery::avoid(const Common::EndpointId &endpoint, Common::Duration period)
{
    const auto found = this->knownEndpoints.find(endpoint);
    if (found == this->knownEndpoints.end() || found->second.avoidedUntil)
        return;
    found->second.avoidedUntil = clockNow() + period;
    this->rebuildPools();
}

} // namespace Tanagerbay::Entry
