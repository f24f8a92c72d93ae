// State shared by the components of an entry instance. Everything runs on one thread: the instances
// have a fraction of one core, where a second thread would add wake-ups without increasing
// throughput.
#pragma once

#include "Common/Clock.h"
#include "Entry/Evacuations.h"
#include "Entry/EventLog.h"
#include "Entry/Metrics.h"
#include "Entry/Ports.h"
#include "Entry/Settings.h"
#include "Http/Client.h"
#include "Http/MemoryAccount.h"
#include "Membership/Members.h"
#include "Routing/VersionHistory.h"
#include "Serving/GracefulShutdown.h"
#include "Serving/PermitQueue.h"

#include <map>
#include <random>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Entry {

using Common::clockNow;

// When each row of a table was noted.
using RowTimes = std::map<ServiceVersion, Common::Time>;

// Processes that have stated themselves and that the list has not named, by their names as
// versions. See `Routing::unlistedVersion`.
struct UnlistedProcesses
{
    // Those that this instance has heard or was told of, and when last.
    RowTimes heard;
    // Those that the store held at the last reading, and when this instance first read them.
    RowTimes stored;
};

struct State
{
    State(Settings settings, const Dialect &dialect);

    Http::Awaitable<void> sleepFor(Common::Duration duration);
    // Returns the endpoint pool of a service. Creates an empty one if there is none.
    Routing::Pool &poolOf(const std::string &service);
    // Number of instances that have sent reports and are not suspected, including this one.
    std::size_t liveInstanceCount(Common::Time now) const;
    bool isReady() const;
    void logState(const LogLine &line);

    // Before the context, whose connections use it until they are destroyed.
    Http::MemoryAccount memory;
    boost::asio::io_context context;
    Settings settings;
    const Dialect dialect;
    Common::Time startedAt;
    std::mt19937_64 random;
    EventLog log;
    Metrics metrics;
    Http::Client client;
    Catalog::CatalogPtr catalog;
    std::map<std::string, Routing::Pool> pools;
    Routing::VersionHistory versions;
    UnlistedProcesses unlisted;
    Evacuations evacuations;
    std::unordered_map<std::string, Serving::FleetBudget> budgets;
    // Requests that wait for a permit, by service.
    std::unordered_map<std::string, Serving::PermitQueue> permits;
    Membership::Members members;
    // Whether the store's list of instances has been read since start-up.
    bool instancesWereListed = false;
    // Set once the process has received a termination signal.
    std::optional<Serving::GracefulShutdown> leaving;
    // Whether this instance reaches no endpoint, while others do.
    bool hasLostPaths = false;
    std::size_t requestsInProgress = 0;
    Common::Time lastRequestAt;
};

} // namespace Tanagerbay::Entry
