// An entry instance: its threads, ports and background work.
#pragma once

#include "Node/CallerApi.h"
#include "Node/EndpointsKeeper.h"
#include "Node/OperatorApi.h"

#include <thread>

namespace Tanagerbay::Node {

class Instance
{
public:
    explicit Instance(Settings settings);
    ~Instance();

    // Opens the ports and starts to work. Returns an empty text, or why it could not.
    std::string start();
    // Begins a graceful shutdown. Safe to call from every thread, and more than once.
    void drain();
    // Waits until the shutdown is complete. Returns whether nothing was cut off.
    bool waitUntilDrained();
    // Ends at once, without waiting for work in progress.
    void stop();
    Phase phase() const
    {
        return this->shared.phase.load();
    }

private:
    std::string startPorts();
    Http::Awaitable<void> startUp();
    Http::Awaitable<void> drainSteps();
    Http::Awaitable<void> pumpLoop();
    Http::Awaitable<void> closeIdleLoop(Worker &worker);
    bool isIdle() const;

    Shared shared;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<OutcomeWriter>> outcomes;
    std::unique_ptr<PeerService> peers;
    std::unique_ptr<ListsKeeper> lists;
    std::unique_ptr<EndpointsKeeper> endpoints;
    std::unique_ptr<SlotKeeper> slots;
    std::unique_ptr<ShareKeeper> shares;
    std::unique_ptr<AllowanceKeeper> allowances;
    AdmissionGates gates;
    std::unique_ptr<CallerApi> callerApi;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<Http::Server> callerServer;
    std::unique_ptr<Http::Server> operatorServer;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> runningThreads{0};
    std::atomic<bool> drainBegun{false};
    std::atomic<bool> drained{false};
    std::atomic<bool> cutOffWork{false};
};

} // namespace Tanagerbay::Node
