// A stage or service endpoint with a bounded number of calls in work, by priority.
#pragma once

#include "Http/Server.h"
#include "StandIns/FaultBoard.h"
#include "StandIns/LoadHistory.h"
#include "StandIns/Settings.h"

#include <list>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::StandIns {

// Runs `exchange` unless a fault keeps it from having any effect. Returns whether to go on.
Http::Awaitable<bool> passFaultsBefore(Http::Exchange &exchange, FaultBoard &faults,
                                       std::string_view target);

// Returns false where a fault loses the reply of a call that took effect.
bool passFaultsAfter(FaultBoard &faults, std::string_view target);

// True while a fault holds all work of the target.
bool isHeld(FaultBoard &faults, std::string_view target);

// All members are used on one executor.
class Station
{
public:
    Station(boost::asio::any_io_executor executor, const PoolSettings &pool,
            EndpointSettings endpoint, FaultBoard &faults);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

    // How often calls with a key ran.
    const std::unordered_map<std::string, std::uint64_t> &runsByKey() const
    {
        return this->runs;
    }
    std::uint64_t totalRuns() const
    {
        return this->total;
    }
    Common::Duration busyTime() const
    {
        return this->busy;
    }
    std::uint64_t cancelledCalls() const
    {
        return this->cancelled;
    }

private:
    Http::Awaitable<bool> acquire(Http::Exchange &exchange, bool patient);
    void release();
    Http::Awaitable<bool> work(Http::Exchange &exchange, Common::Duration &worked);
    Http::Response replyTo(const Http::Request &request, Common::Duration worked);
    std::string loadReport();
    void noteLoad();

    struct Waiter
    {
        boost::asio::steady_timer timer;
        bool patient = false;
        bool granted = false;
    };

    boost::asio::any_io_executor executor;
    const PoolSettings &pool;
    EndpointSettings endpoint;
    FaultBoard &faults;
    LoadHistory history;
    std::list<Waiter> waiters;
    std::uint32_t running = 0;
    std::unordered_map<std::string, std::uint64_t> runs;
    std::uint64_t total = 0;
    std::uint64_t cancelled = 0;
    Common::Duration busy{0};
};

} // namespace Tanagerbay::StandIns
