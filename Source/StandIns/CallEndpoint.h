// Stand-in of a stage or service endpoint. It works on a bounded number of calls at once and queues
// the others by priority.
#pragma once

#include "Http/Server.h"
#include "StandIns/FaultInjector.h"
#include "StandIns/LoadHistory.h"
#include "StandIns/Settings.h"

#include <list>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::StandIns {

// Applies the faults that take effect before a call is handled: waits while the target is paused,
// and sends the error response of `refuse` and `error`. Returns whether the call is to be handled.
Http::Awaitable<bool> applyRequestFaults(Http::Exchange &exchange, FaultInjector &faults,
                                         std::string_view target);

// Returns false if a fault makes the target lose the reply of a call that took effect.
bool shouldSendReply(FaultInjector &faults, std::string_view target);

// Returns whether the fault `pause` stops all work of the target.
bool isPaused(FaultInjector &faults, std::string_view target);

// All members are used on one executor.
class CallEndpoint
{
public:
    CallEndpoint(boost::asio::any_io_executor executor, const PoolSettings &pool,
                 EndpointSettings endpoint, FaultInjector &faults);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

    // Number of runs by idempotency key.
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
    Http::Awaitable<bool> acquire(Http::Exchange &exchange, bool isPatient);
    void release();
    Http::Awaitable<bool> work(Http::Exchange &exchange, Common::Duration &worked);
    Http::Response replyTo(const Http::Request &request, Common::Duration worked);
    std::string loadReport();
    void recordLoad();

    struct Waiter
    {
        boost::asio::steady_timer timer;
        bool isPatient = false;
        bool granted = false;
    };

    boost::asio::any_io_executor executor;
    const PoolSettings &pool;
    EndpointSettings endpoint;
    FaultInjector &faults;
    LoadHistory history;
    std::list<Waiter> waiters;
    std::uint32_t running = 0;
    std::unordered_map<std::string, std::uint64_t> runs;
    std::uint64_t total = 0;
    std::uint64_t cancelled = 0;
    Common::Duration busy{0};
};

} // namespace Tanagerbay::StandIns
