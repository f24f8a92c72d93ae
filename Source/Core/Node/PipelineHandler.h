// Runs a pipeline for one caller and answers it.
#pragma once

#include "Node/AdmissionGate.h"
#include "Node/RequestScope.h"
#include "Pipeline/Definition.h"

namespace Tanagerbay::Node {

// How a request ended, for the figures by plan.
struct RequestOutcome
{
    // Set where the answer is whole and was written to the caller.
    bool answered = false;
    Common::Ran ran = Common::Ran::No;
};

// Waits for admission where the pipeline ends in a pool with a gate, then runs the stages.
// Answers the caller in every case; an error after the head of a stream is sent as its last event.
Http::Awaitable<RequestOutcome> handlePipeline(RequestScope &scope,
                                               const Pipeline::PipelineDefinition &pipeline,
                                               AdmissionGate *gate);

// Sends an error: as a response, or as the last event of a stream that has begun.
Http::Awaitable<RequestOutcome> answerError(RequestScope &scope, Common::Error error);

} // namespace Tanagerbay::Node
