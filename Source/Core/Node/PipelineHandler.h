// Runs a pipeline for a caller's request and sends the response.
#pragma once

#include "Node/AdmissionGate.h"
#include "Node/RequestScope.h"
#include "Pipeline/Definition.h"

namespace Tanagerbay::Node {

// How a request ended, for the metrics by plan.
struct RequestOutcome
{
    // True if the complete response was written to the caller.
    bool answered = false;
    Common::Ran ran = Common::Ran::No;
};

// Waits for admission if the pipeline ends in a pool with an admission gate (`gate` is not null),
// then runs the stages. Always sends a response, unless the caller has disconnected; an error that
// occurs after the head of a stream was sent becomes the stream's last event.
Http::Awaitable<RequestOutcome> handlePipeline(RequestScope &scope,
                                               const Pipeline::PipelineDefinition &pipeline,
                                               AdmissionGate *gate);

// Sends an error as the response, or as the last event of a stream that has already started.
Http::Awaitable<RequestOutcome> respondWithError(RequestScope &scope, Common::Error error);

} // namespace Tanagerbay::Node
