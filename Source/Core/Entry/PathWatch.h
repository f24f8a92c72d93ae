// Watches whether this instance still reaches endpoints, and tells the others when it last did.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/Gossip.h"
#include "Entry/StageOwner.h"
#include "Routing/PathHealth.h"

namespace Tanagerbay::Entry {

class PathWatch
{
public:
    PathWatch(State &state, Gossip &gossip, const StageOwner &stages);

    void start();
    // Records that an endpoint answered, over a new connection or over one that was open.
    void noteAnswer(bool isNewConnection);
    // Records that no connection to the endpoint could be made.
    void noteUnreachable(const Common::EndpointId &endpoint);

private:
    Http::Awaitable<void> watch();
    // Since when calls wait for endpoints, none of which has answered since.
    std::optional<Common::Time> waitingSince(Common::Time now);
    Http::Awaitable<void> probe();
    // Asks an endpoint which process it is; any answer shows the path. Returns whether it answered.
    Http::Awaitable<bool> isAnswering(Common::Address address);
    std::vector<Routing::ProbeCandidate> probeCandidates() const;
    void decide();

    State &state;
    Gossip &gossip;
    const StageOwner &stages;
    Routing::PathHealth health;
    std::optional<Common::Time> callsOpenSince;
    bool isProbing = false;
};

} // namespace Tanagerbay::Entry
