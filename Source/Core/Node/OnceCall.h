// Runs a call at most once: writes a claim to the ledger, sends the call, and records the outcome.
#pragma once

#include "Node/OutcomeWriter.h"
#include "Node/RequestScope.h"

namespace Tanagerbay::Node {

struct OnceRequest
{
    std::string pool;
    std::string service;
    std::string path;
    Common::IdempotencyKey key;
    std::string contentType;
};

// Returns the endpoint's response, or the recorded response of an earlier attempt. An error states
// whether the call ran; `ran: no` guarantees that this attempt has sent nothing and never will.
Http::Awaitable<Common::Result<Http::Response>> callOnce(RequestScope &scope, OnceRequest request,
                                                         OutcomeWriter &outcomeWriter);

} // namespace Tanagerbay::Node
