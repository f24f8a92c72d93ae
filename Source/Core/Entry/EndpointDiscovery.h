// Keeps the endpoint pools up to date with the endpoints that the store lists.
#pragma once

#include "Entry/StageOwner.h"

namespace Tanagerbay::Entry {

class EndpointDiscovery
{
public:
    EndpointDiscovery(State &state, StageOwner &stages, Store &store);

    void start();
    // Excludes the endpoint from routing for a period, after its answer reported that it is leaving
    // or that another endpoint has its address. The store's list then shows which of the two it is.
    void avoid(const Common::EndpointId &endpoint, Common::Duration period);

private:
    struct KnownEndpoint
    {
        ListedEndpoint listed;
        // When the entry is removed. Set if the store dropped it shortly after an outage of the
        // store.
        std::optional<Common::Time> removeAt;
        // End of the exclusion from routing. Set if an answer reported that the endpoint must not
        // be used.
        std::optional<Common::Time> avoidedUntil;
    };

    Http::Awaitable<void> followStore();
    void applyReading(const EndpointsUpdate &reading, Common::Time now);
    void removeEndpoint(const Common::EndpointId &id, Common::Time now);
    void applyExpirations(Common::Time now);
    void rebuildPools();

    State &state;
    StageOwner &stages;
    Store &store;
    std::map<Common::EndpointId, KnownEndpoint> knownEndpoints;
    std::uint64_t position = 0;
    bool storeFailed = false;
    std::optional<Common::Time> storeRecoveredAt;
    bool changed = false;
};

} // namespace Tanagerbay::Entry
