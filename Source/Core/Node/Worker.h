// One thread of an instance, with the clients that only it uses.
#pragma once

#include "Common/Clock.h"
#include "Http/Client.h"
#include "Node/Settings.h"
#include "Storage/InstanceList.h"
#include "Storage/ObjectStore.h"
#include "Storage/TableService.h"

#include <random>
#include <set>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Node {

struct RequestScope;

struct Worker
{
    Worker(std::size_t index, const Settings &settings, Common::Counters &counters);

    // Suspends a coroutine on this worker's thread. Returns early when the worker is ending.
    Http::Awaitable<void> sleepFor(Common::Duration duration);
    // Cancels all timers and calls, so that every coroutine of the worker ends. Must be called on
    // the worker's thread.
    void endWork();

    std::size_t index;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    Http::Client client;
    Storage::TableService table;
    Storage::ObjectStore objects;
    Storage::InstanceList instanceList;
    std::mt19937_64 random;
    bool ending = false;
    std::set<boost::asio::steady_timer *> sleepTimers;
    // Requests that are handled on this worker's thread.
    std::set<RequestScope *> requests;
};

using Common::clockNow;

// Returns a random identifier of 32 hexadecimal digits (128 bits).
std::string randomId(std::mt19937_64 &random);

// Scales a period by a random factor from 0.75 to 1.25, so that the timers of instances do not
// synchronize.
Common::Duration withJitter(Common::Duration period, std::mt19937_64 &random);

} // namespace Tanagerbay::Node
