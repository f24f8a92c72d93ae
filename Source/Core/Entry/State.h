// What the parts of an entry instance share. Everything runs on one thread: the machines have a
// fraction of one core, where a second thread costs wake-ups and gains nothing.
#pragma once

#include "Common/Clock.h"
#include "Entry/EventLog.h"
#include "Entry/Metrics.h"
#include "Entry/Ports.h"
#include "Entry/Settings.h"
#include "Http/Client.h"
#include "Membership/Members.h"
#include "Routing/Pool.h"
#include "Serving/GracefulShutdown.h"

#include <map>
#include <random>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Entry {

using Common::clockNow;

struct State
{
    State(Settings settings, const Dialect &dialect);

    Http::Awaitable<void> sleepFor(Common::Duration duration);
    // Returns the service's endpoints; an empty pool where it has none.
    Routing::Pool &poolOf(const std::string &service);
    // Instances that are heard of, this one included.
    std::size_t liveInstances(Common::Time now) const;
    // Sets the time without news after which an instance is suspected, by the number of instances.
    void adaptSuspicion();
    bool isReady() const;
    void logState(const LogLine &line);

    boost::asio::io_context context;
    Settings settings;
    const Dialect &dialect;
    Common::Time startedAt;
    std::mt19937_64 random;
    EventLog log;
    Metrics metrics;
    Http::Client client;
    Catalog::CatalogPtr catalog;
    std::map<std::string, Routing::Pool> pools;
    std::unordered_map<std::string, Serving::FleetBudget> budgets;
    Membership::Members members;
    // Whether the store's list of instances was read since the start.
    bool instancesWereListed = false;
    // Set once the process was told to end.
    std::optional<Serving::GracefulShutdown> leaving;
    std::size_t requestsInProgress = 0;
    Common::Time lastRequestAt;
};

} // namespace Tanagerbay::Entry
