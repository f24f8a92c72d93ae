// Asks a few endpoints for their load at once, immediately before a request is sent to one of them.
// The contention on an endpoint's machine changes many times a second, and an instance sends to the
// same endpoint only now and then.
#pragma once

#include "Entry/State.h"

#include <functional>

namespace Tanagerbay::Entry {

// Takes what the head of an answer to a question asked at that time states. Must outlive the
// questions.
using HeadListener = std::function<void(const Routing::Endpoint &, const EndpointResponseHead &,
                                        Common::Time askedAt)>;

// Notes the loads in the service's pool as they arrive, as of the question. Returns when all have
// answered or `timeout` has passed; a later answer is still noted.
Http::Awaitable<void> askForLoads(State &state, std::string service, std::string healthPath,
                                  std::vector<Routing::Endpoint> endpoints,
                                  Common::Duration timeout, std::size_t maxIdleConnections,
                                  HeadListener onHead);

} // namespace Tanagerbay::Entry
