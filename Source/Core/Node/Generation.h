// The generation stage: relays the tokens of an engine and continues on another engine if that one
// fails or is too slow.
#pragma once

#include "Node/RequestScope.h"
#include "Node/ResumePoint.h"
#include "Pipeline/Run.h"
#include "Pipeline/TokenStream.h"

namespace Tanagerbay::Node {

struct GenerationCall
{
    std::string pool;
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 0;
    // Whether tokens are sent to the caller as they are generated.
    bool stream = false;
    // Set if the caller resumes a stream after its connection was lost.
    std::optional<ResumePoint> resume;
    // False if the prompt lacks the outputs of earlier stages, which are not run again for a
    // resumed stream. No other engine can continue it then.
    bool hasWholePrompt = true;
};

struct GenerationResult
{
    Pipeline::TokenStream tokens;
    std::string digest;
};

// Runs the generation until it is complete. With `stream`, all tokens have been sent to the caller
// when it returns, but not the terminal event. After an error, the caller may have received part of
// the tokens.
Http::Awaitable<Common::Result<GenerationResult>> generate(RequestScope &scope, Pipeline::Run &run,
                                                           GenerationCall call);

} // namespace Tanagerbay::Node
