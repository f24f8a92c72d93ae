// One call to a stage or an idempotent service: choice of endpoint, retries and hedges.
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
    // The time by which the call should be done; later stages need what is left after it.
    Common::Time deadline;
};

// Sends the call until one attempt succeeds, the retry budget is spent, or time is up.
// Returns the first whole reply of an open attempt whose status is below 500.
Http::Awaitable<Common::Result<Http::Response>> callStage(RequestScope &scope, Pipeline::Run &run,
                                                          StageCall call);

// Chooses an endpoint of the pool and counts a call towards it.
struct ChosenEndpoint
{
    Common::EndpointId id;
    Common::Address address;
};
std::optional<ChosenEndpoint> chooseEndpoint(RequestScope &scope, PoolShard &shard,
                                             const Routing::ChoiceRequest &request);

// Headers that every call to an endpoint carries.
Http::Headers callHeaders(const RequestScope &scope, const Pipeline::AttemptTag &tag,
                          std::string_view contentType, Common::Time deadline, Common::Time now);

// Accepts only replies that echo the tag. Counts what it drops.
std::function<bool(const Http::ResponseStream &)> tagCheck(SharedState &shared,
                                                           const Pipeline::AttemptTag &tag);

} // namespace Tanagerbay::Node
