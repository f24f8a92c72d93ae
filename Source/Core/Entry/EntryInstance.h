// An entry instance on a platform: its ports, background work and shutdown.
#pragma once

#include "Entry/RequestFlow.h"

namespace Tanagerbay::Entry {

// What an adapter brings: the wording of messages, and a store made for a state's client.
struct Platform
{
    Dialect dialect;
    std::unique_ptr<Store> (*makeStore)(State &state);
};

class EntryInstance
{
public:
    // `reload` reads the settings again, or returns nothing where they have faults.
    using Reload = std::function<std::optional<Settings>()>;

    EntryInstance(Settings settings, const Platform &platform, Reload reload);
    ~EntryInstance();

    // Runs until the process is told to end. Returns an empty text, or why it could not start.
    std::string run();

private:
    std::string startPorts();
    std::unique_ptr<Http::Server> makeServer(const Common::Address &address, Http::Handler handler);
    Http::Awaitable<void> handleCaller(Http::Exchange &exchange);
    Http::Awaitable<void> handleDirectory(Http::Exchange &exchange);
    Http::Awaitable<void> handleReadiness(Http::Exchange &exchange);
    Http::Awaitable<void> handleOperations(Http::Exchange &exchange);
    Http::Awaitable<void> watchSignals();
    Http::Awaitable<void> leave();
    Http::Awaitable<void> listInstances();
    Http::Awaitable<void> housekeeping();
    void applyCatalog();
    void reloadSettings();
    std::string stateDump() const;

    State state;
    std::unique_ptr<Store> store;
    Reload reload;
    Gossip gossip;
    PeerMesh mesh;
    StageOwner stageOwner;
    StageClient stageClient;
    CatalogKeeper catalogs;
    EndpointsKeeper endpoints;
    RequestDependencies parts;
    std::unique_ptr<Http::Server> callerServer;
    std::unique_ptr<Http::Server> directoryServer;
    std::unique_ptr<Http::Server> readinessServer;
    std::unique_ptr<Http::Server> controlServer;
    std::unique_ptr<Http::Server> metricsServer;
};

} // namespace Tanagerbay::Entry
