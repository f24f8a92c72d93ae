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

// Returns the index of the endpoint, or nothing where all are leaving, evacuated, held, tried or of
// another version.
std::optional<std::size_t> chooseByAffinity(const Pool &pool, const AffinityRequest &request,
                                            Common::Time now);

} // namespace Tanagerbay::Routing
