// Keeps pools and membership in step with the platform's lagging instance list, and asks engines
// for their load and cache events.
#pragma once

#include "Node/Shared.h"
#include "Node/Worker.h"

namespace Tanagerbay::Node {

// Used on its worker's thread only.
class EndpointsKeeper
{
public:
    EndpointsKeeper(Worker &worker, Shared &shared);

    void start();
    void stop();
    // Reads the instance list once. Returns whether it answered.
    Http::Awaitable<bool> readInstances();

private:
    Http::Awaitable<void> instanceLoop();
    Http::Awaitable<void> observeLoop(std::string pool, bool hasCache);
    Http::Awaitable<void> observe(std::string pool, Common::EndpointId id, Common::Address address,
                                  bool hasCache);
    void applyEndpoints(const std::vector<Storage::ListedInstance> &instances);
    void applyEntries(const std::vector<Storage::ListedInstance> &instances);

    Worker &worker;
    Shared &shared;
    // Number of the last cache event by engine.
    std::map<Common::EndpointId, std::uint64_t> lastEvent;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
