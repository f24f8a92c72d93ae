#include "Entry/VersionRows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// How often a reader of the store looks for versions that have come or gone.
constexpr Common::Milliseconds kCheckInterval{500};

} // namespace

VersionRowChanges versionRowChanges(const std::set<ServiceVersion> &stored,
                                    const Routing::VersionHistory &history)
{
    VersionRowChanges changes;
    for (const auto &[service, versions] : history.byService) {
        for (const auto &[version, at] : versions) {
            if (!stored.contains({service, version}))
                changes.added.push_back({service, version});
        }
    }
    for (const ServiceVersion &row : stored) {
        const auto service = history.byService.find(row.service);
        if (service == history.byService.end() || !service->second.contains(row.version))
            changes.removed.push_back(row);
    }
    return changes;
}

VersionRows::VersionRows(State &state, Store &store, StoreRelay &relay)
    : state(state), store(store), relay(relay)
{
}

void VersionRows::start()
{
    boost::asio::co_spawn(this->state.context, this->follow(), boost::asio::detached);
}

Http::Awaitable<void> VersionRows::follow()
{
    bool hasRead = false;
    while (!this->state.leaving) {
        // Others write while this instance is no reader, and a store that returned from an older
        // copy may have lost rows.
        if (!this->relay.isReader() || this->storedIn != this->store.epoch())
            this->stored.reset();
        if (!this->stored && (!hasRead || this->relay.isReader())) {
            co_await this->read();
            hasRead = hasRead || this->stored.has_value();
        }
        if (this->stored && this->relay.isReader())
            co_await this->write();
        co_await this->state.sleepFor(kCheckInterval);
    }
}

Http::Awaitable<void> VersionRows::read()
{
    const auto rows = co_await this->store.readVersions();
    if (!rows)
        co_return;
    this->storedIn = this->store.epoch();
    this->stored.emplace(rows->begin(), rows->end());
    // A version that is stored, but not listed any more, may have been there until now. All that
    // instances have known before is stored.
    Routing::VersionHistory known{{}, Common::Time::min()};
    for (const ServiceVersion &row : *rows)
        known.byService[row.service][row.version] = clockNow();
    Routing::mergeHistory(this->state.versions, known);
}

Http::Awaitable<void> VersionRows::write()
{
    const Common::Time now = clockNow();
    for (const auto &[service, pool] : this->state.pools)
        Routing::noteVersions(this->state.versions, service, pool, now);
    Routing::dropVersionsBefore(this->state.versions, now - Routing::kVersionMemory);
    const VersionRowChanges changes = versionRowChanges(*this->stored, this->state.versions);
    if (changes.added.empty() && changes.removed.empty())
        co_return;
    const auto written = co_await this->store.writeVersions(changes.added, changes.removed);
    if (!written || *written != this->storedIn) {
        this->stored.reset();
        co_return;
    }
    this->stored->insert(changes.added.begin(), changes.added.end());
    for (const ServiceVersion &row : changes.removed)
        this->stored->erase(row);
}

} // namespace Tanagerbay::Entry
