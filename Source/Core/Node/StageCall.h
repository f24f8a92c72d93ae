// One call to a stage or an idempotent service, with choice of the endpoint, retries and hedging.
#pragma once

#include "Node/RequestScope.h"
#include "Pipeline/Run.h"

namespace Tanagerbay::Node {

struct StageCall
{
    std::string pool;
    std::string target;
    std::string body;
    std::string contentType = "application/json";
    // Deadline of the call. It reserves the time that later stages need.
    Common::Time deadline;
};

// Repeats the call until one attempt succeeds, the retry budget is exhausted or the deadline
// passes. Returns the first complete reply to an open attempt whose status is below 500.
Http::Awaitable<Common::Result<Http::Response>> callStage(RequestScope &scope, Pipeline::Run &run,
                                                          StageCall call);

// An endpoint that was chosen for a call.
struct ChosenEndpoint
{
    Common::EndpointId id;
    Common::Address address;
};
// Chooses an endpoint of the pool and counts a call in progress to it. Returns nothing if no
// endpoint is available.
std::optional<ChosenEndpoint> chooseEndpoint(RequestScope &scope, PoolShard &shard,
                                             const Routing::ChoiceRequest &request);

// Returns the headers that every call to an endpoint carries.
Http::Headers callHeaders(const RequestScope &scope, const Pipeline::AttemptTag &tag,
                          std::string_view contentType, Common::Time deadline, Common::Time now);

// Returns a predicate that accepts only replies that echo the tag, and counts those it rejects.
std::function<bool(const Http::ResponseStream &)> attemptTagCheck(SharedState &shared,
                                                                  const Pipeline::AttemptTag &tag);

} // namespace Tanagerbay::Node
