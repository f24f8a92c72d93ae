// Choice of a model engine by the parts of a prompt that it has read before.
//
// Requests with the same last shared part go to the same engine, found by rendezvous hashing, so
// that no instance has to tell another where a part is. An engine that has more than its share of
// this instance's work passes the request on to the next one in the order of the hash.
#pragma once

#include "Routing/Pool.h"

namespace Tanagerbay::Routing {

struct HomeRequest
{
    // Name of the last shared part of the prompt; empty where there is none.
    std::string_view key;
    // Endpoints that the request has tried already.
    std::vector<Common::EndpointId> tried;
};

// Returns the index of the endpoint, or nothing where none may be chosen.
std::optional<std::size_t> chooseHome(const Pool &pool, const HomeRequest &request,
                                      Common::Time now);

} // namespace Tanagerbay::Routing
