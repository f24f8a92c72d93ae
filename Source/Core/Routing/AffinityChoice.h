// Choice of a model engine by cache affinity to the shared parts of a prompt.
//
// Requests with the same last shared part go to the same engine, found by rendezvous hashing, so
// that instances need not exchange where a part is cached. Loads are bounded: where an engine has
// more than its share of this instance's calls, the next one in hash order is chosen.
#pragma once

#include "Routing/Pool.h"

namespace Tanagerbay::Routing {

struct AffinityRequest
{
    // Name of the last shared part of the prompt, which is hashed; empty where there is none.
    std::string_view key;
    // Endpoints that this request has tried already; they are never chosen.
    std::vector<Common::EndpointId> tried;
    // If set, only endpoints that run this software version are chosen, and only their load counts.
    std::optional<std::string> version = std::nullopt;
};

// Limit on this instance's calls in flight at one endpoint of the version, by the mean over them.
double maxCallsInFlight(const Pool &pool, const std::optional<std::string> &version,
                        Common::Time now);

// Whether the endpoint may be sent the request at all.
bool isPermitted(const Endpoint &endpoint, const AffinityRequest &request, Common::Time now);

// Ranks a permitted endpoint by its faults; lower is better, and a higher rank is chosen only where
// there is no lower one.
int faultRank(const Endpoint &endpoint, double maxCalls, Common::Time now);

// Returns the index of the endpoint, or nothing where all are leaving, evacuated, held, tried or of
// another version.
std::optional<std::size_t> chooseByAffinity(const Pool &pool, const AffinityRequest &request,
                                            Common::Time now);

} // namespace Tanagerbay::Routing
