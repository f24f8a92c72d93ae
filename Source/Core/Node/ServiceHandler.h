// Handles calls to services: idempotent ones may be retried, others run at most once.
#pragma once

#include "Node/OutcomeWriter.h"
#include "Node/PipelineHandler.h"

namespace Tanagerbay::Node {

// `path` is the part of the caller's target after the service name.
Http::Awaitable<RequestOutcome> handleService(RequestScope &scope,
                                              const Pipeline::ServiceDefinition &service,
                                              std::string path, OutcomeWriter &outcomeWriter);

} // namespace Tanagerbay::Node
