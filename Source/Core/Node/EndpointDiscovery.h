// Updates the endpoint pools and the membership from the platform's instance list, which lags
// behind the actual state, and polls endpoints for load reports and engines for cache events.
#pragma once

#include "Node/SharedState.h"
#include "Node/Worker.h"

namespace Tanagerbay::Node {

// Not thread-safe: used only on its worker's thread.
class EndpointDiscovery
{
public:
    EndpointDiscovery(Worker &worker, SharedState &shared);

    void start();
    void stop();
    // Reads the instance list once and applies it. Returns whether the read succeeded.
    Http::Awaitable<bool> readInstances();

private:
    Http::Awaitable<void> instanceLoop();
    Http::Awaitable<void> endpointPollLoop(std::string pool, bool hasCache);
    Http::Awaitable<void> pollEndpoint(std::string pool, Common::EndpointId id,
                                       Common::Address address, bool hasCache);
    void applyEndpoints(const std::vector<Storage::ListedInstance> &instances);
    void applyMembers(const std::vector<Storage::ListedInstance> &instances);

    Worker &worker;
    SharedState &shared;
    // Number of the last cache event received from each engine.
    std::map<Common::EndpointId, std::uint64_t> lastEventNumber;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
