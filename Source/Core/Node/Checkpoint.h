// Keeps the result of the stages before generation for patient runs, so that a retry at another
// instance need not run them again.
#pragma once

#include "Node/RequestScope.h"
#include "Pipeline/Definition.h"

#include <boost/json.hpp>

namespace Tanagerbay::Node {

// One run's checkpoint in the object store, named after the workspace, the request, the pipeline's
// stages and the input, so that no other request can read it. Runs that are not patient, have no
// generation stage, or got no request id from their caller keep none.
class Checkpoint
{
public:
    Checkpoint(RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
               const boost::json::value &input);

    // Reads the result of an earlier try. Returns false where there is none.
    Http::Awaitable<bool> load(boost::json::value &result);
    // Writes the result in the background. A failure costs a later retry some work, no more.
    void save(const boost::json::value &result);

private:
    RequestScope &scope;
    // Empty where the run keeps no checkpoint.
    std::string name;
};

} // namespace Tanagerbay::Node
