// Stores the result of the stages before generation for patient runs, so that a retry on another
// instance does not repeat them.
#pragma once

#include "Node/RequestScope.h"
#include "Pipeline/Definition.h"

#include <boost/json.hpp>

namespace Tanagerbay::Node {

// The checkpoint of one run in the object store. Its name is derived from the workspace, the
// request id, the pipeline's stages and the input, so that no other request can read it. Runs that
// are not patient, have no generation stage or got no request id from the caller have no
// checkpoint.
class Checkpoint
{
public:
    Checkpoint(RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
               const boost::json::value &input);

    // Reads the result of an earlier attempt. Returns false if there is none.
    Http::Awaitable<bool> load(boost::json::value &result);
    // Writes the result in the background. If that fails, a later retry only repeats the stages.
    void save(const boost::json::value &result);

private:
    RequestScope &scope;
    // Name of the object; empty if the run has no checkpoint.
    std::string name;
};

} // namespace Tanagerbay::Node
