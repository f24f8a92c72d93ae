// An entry instance on a platform: its servers, background tasks and shutdown.
#pragma once

#include "Entry/MemoryWatch.h"
#include "Entry/RequestFlow.h"
#include "Entry/VersionRows.h"

namespace Tanagerbay::Entry {

// What a platform adapter provides: the message dialect and a factory for the store, which uses the
// HTTP client of the state.
struct Platform
{
    Dialect dialect;
    std::unique_ptr<Store> (*makeStore)(State &state);
};

class EntryInstance
{
public:
    // Reads the settings again. Returns nullopt if they are invalid.
    using Reload = std::function<std::optional<Settings>()>;

    EntryInstance(Settings settings, const Platform &platform, Reload reload);
    ~EntryInstance();

    // Runs until the process receives a termination signal and has drained. Returns an empty
    // string, or the reason why the instance could not start.
    std::string run();

private:
    std::string startServers();
    std::unique_ptr<Http::Server> makeServer(const Common::Address &address, Http::Handler handler,
                                             Http::ServerOptions options = {});
    // Whether a request with this head leads to a route, where its body is of use.
    bool hasRoute(const Http::Request &head) const;
    Http::Awaitable<void> handleRequest(Http::Exchange &exchange, RequestSource source);
    Http::Awaitable<void> handleDirectory(Http::Exchange &exchange);
    Http::Awaitable<void> handleReadiness(Http::Exchange &exchange);
    Http::Awaitable<void> handleOperations(Http::Exchange &exchange);
    // The servers of requests: those of callers, and of other instances.
    std::vector<Http::Server *> requestServers() const;
    Http::Awaitable<void> watchSignals();
    Http::Awaitable<void> leave();
    // Logs by how much the event loop of a leaving instance was late, if that is much.
    void logDelay(Common::Duration delay, Common::Duration processorTime);
    Serving::ShutdownActivity shutdownActivity() const;
    // Ends the requests that could not be answered any more before the process exits.
    void endRequestsForShutdown(Common::Time now);
    // Ends the requests that must not be sent any more, or must not go on at their endpoint.
    void endQuarantinedRequests();
    // All that another instance asks for when it meets this one.
    boost::json::object allKnown();
    void applyAllKnown(const boost::json::object &message);
    Http::Awaitable<void> listInstances();
    Http::Awaitable<void> housekeeping();
    void applyCatalog();
    void reloadSettings();
    std::string stateDump() const;

    State state;
    std::unique_ptr<Store> store;
    Reload reload;
    PeerDatagrams datagrams;
    Gossip gossip;
    PeerMesh mesh;
    StoreRelay relay;
    StoreContactQuestion storeContact;
    EvacuationWatch evacuations;
    CrashWatch crashWatch;
    LimitWatch limits;
    PathWatch paths;
    PaceWatch paces;
    MemoryWatch memory;
    VersionRows versionRows;
    StageOwner stageOwner;
    StageClient stageClient;
    CatalogSync catalogs;
    EndpointDiscovery endpoints;
    ProcessCensus processes;
    StreamRegistry streams;
    RequestDependencies parts;
    OpenRequests openRequests;
    std::unique_ptr<Http::Server> callerServer;
    // For requests that other instances pass on.
    std::unique_ptr<Http::Server> forwardServer;
    std::unique_ptr<Http::Server> directoryServer;
    std::unique_ptr<Http::Server> readinessServer;
    std::unique_ptr<Http::Server> controlServer;
    std::unique_ptr<Http::Server> metricsServer;
};

} // namespace Tanagerbay::Entry
