// Runs all stand-ins in one process, with fault injection through a control path.
//
// Control path:
//   POST   /v1/faults    {"target","kind","value","probability","durationMs"}
//   DELETE /v1/faults    clears all faults, or with ?target=NAME those of one target
//   POST   /v1/instances {"id","state"}, or a complete record with {"address","peerAddress",...}
//   POST   /v1/restarts  {"id","version","listed"}: another process of this version takes an
//   engine's
//                        place; the instance list states the new version only if `listed` is true
//   GET    /v1/counts    runs by key, tokens, busy time, table operations, stored objects
#pragma once

#include "StandIns/CallEndpoint.h"
#include "StandIns/Engine.h"
#include "StandIns/Platform.h"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Tanagerbay::StandIns {

class Host
{
public:
    explicit Host(Settings settings);
    ~Host();

    // Starts all servers. Returns an empty text, or the reason of the first failure.
    std::string start();
    void stop();

private:
    struct HostedEndpoint
    {
        std::string pool;
        std::string id;
        std::size_t context = 0;
        std::unique_ptr<CallEndpoint> callEndpoint;
        std::unique_ptr<Engine> engine;
        std::unique_ptr<Http::Server> server;
        bool isListening = true;
    };

    std::string addEndpoint(const PoolSettings &pool, const EndpointSettings &endpoint);
    std::string addServer(const Common::Address &address, Http::Handler handler);
    Http::Awaitable<void> control(Http::Exchange &exchange);
    Http::Response setFault(const std::string &body);
    Http::Response changeInstance(const std::string &body);
    Http::Awaitable<Http::Response> restartEngine(std::string body);
    Http::Awaitable<Http::Response> counts();
    // Closes the listener of each endpoint while the fault `die` is on, and reopens it afterwards.
    Http::Awaitable<void> watchListeners();

    Settings settings;
    FaultInjector faults;
    TableStandIn table;
    ObjectStoreStandIn objects;
    InstanceListStandIn instances;
    std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
    std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guards;
    std::vector<std::unique_ptr<HostedEndpoint>> hostedEndpoints;
    std::vector<std::unique_ptr<Http::Server>> servers;
    std::vector<std::thread> threads;
};

} // namespace Tanagerbay::StandIns
