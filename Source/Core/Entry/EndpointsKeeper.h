// Keeps the list of endpoints current from the store.
#pragma once

#include "Entry/StageOwner.h"

namespace Tanagerbay::Entry {

class EndpointsKeeper
{
public:
    EndpointsKeeper(State &state, StageOwner &stages, Store &store);

    void start();
    // Takes the endpoint out of choice for a while, after its answer said that it leaves or that
    // another one has its address. The list settles which of them it is.
    void avoid(const Common::EndpointId &endpoint, Common::Duration period);

private:
    struct Known
    {
        ListedEndpoint listed;
        // Set where the store dropped the entry right after an outage of its own.
        std::optional<Common::Time> lapsesAt;
        // Set where an answer said that the endpoint should not be used.
        std::optional<Common::Time> avoidedUntil;
    };

    Http::Awaitable<void> followStore();
    void take(const EndpointsUpdate &reading, Common::Time now);
    void drop(const Common::EndpointId &id, Common::Time now);
    void applyLapsed(Common::Time now);
    void rebuildPools();

    State &state;
    StageOwner &stages;
    Store &store;
    std::map<Common::EndpointId, Known> known;
    std::uint64_t position = 0;
    bool storeFailed = false;
    std::optional<Common::Time> storeBackAt;
    bool changed = false;
};

} // namespace Tanagerbay::Entry
