// An entry instance: its threads, servers and background tasks.
#pragma once

#include "Node/CallerApi.h"
#include "Node/EndpointDiscovery.h"
#include "Node/OperatorApi.h"

#include <thread>

namespace Tanagerbay::Node {

class Instance
{
public:
    explicit Instance(Settings settings);
    ~Instance();

    // Opens the ports and starts the threads. Returns an empty string, or the reason why a port
    // cannot be opened.
    std::string start();
    // Starts a graceful shutdown. Thread-safe and idempotent.
    void drain();
    // Waits until the graceful shutdown is complete. Returns false if it timed out with work in
    // progress.
    bool waitUntilDrained();
    // Stops at once, without waiting for work in progress. Returns false if a request did not end
    // by itself and its thread was stopped by force.
    bool stop();
    Phase phase() const
    {
        return this->shared.phase.load();
    }

private:
    std::string startServers();
    Http::Awaitable<void> startUp();
    Http::Awaitable<void> runDrain();
    // Gives the requests in progress their final answers, once the drain time-out has passed.
    Http::Awaitable<void> answerRequests();
    Http::Awaitable<void> endRequests(Worker &worker);
    Http::Awaitable<void> awaitAnswers(Worker &worker, Common::Time until);
    Http::Awaitable<void> awaitOperatorAnswers();
    Common::Milliseconds finalAnswerTimeout() const;
    Http::Awaitable<void> pumpLoop();
    Http::Awaitable<void> closeIdleLoop(Worker &worker);
    bool isIdle() const;

    SharedState shared;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<OutcomeWriter>> outcomes;
    std::unique_ptr<PeerService> peers;
    std::unique_ptr<ListSync> lists;
    std::unique_ptr<EndpointDiscovery> endpoints;
    std::unique_ptr<SlotAssignment> slots;
    std::unique_ptr<WorkspaceLimiter> shares;
    std::unique_ptr<AllowanceLimiter> allowances;
    AdmissionGates gates;
    std::unique_ptr<CallerApi> callerApi;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<Http::Server> callerServer;
    std::unique_ptr<Http::Server> operatorServer;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> runningThreads{0};
    std::atomic<bool> isDrainStarted{false};
    std::atomic<bool> isDrained{false};
    std::atomic<bool> hasDrainTimedOut{false};
};

} // namespace Tanagerbay::Node
