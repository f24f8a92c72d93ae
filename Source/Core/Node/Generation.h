// The generation stage: relays an engine's tokens, and continues on another engine when one fails.
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
    // Whether tokens go to the caller as they come.
    bool stream = false;
    // Set where the caller takes up a stream that was cut off.
    std::optional<ResumePoint> resume;
};

struct GenerationEnd
{
    Pipeline::TokenStream tokens;
    std::string digest;
};

// Runs the stage to its whole end. With `stream`, the tokens were sent to the caller by then, but
// not the terminal event. After an error the caller may hold a part of the answer.
Http::Awaitable<Common::Result<GenerationEnd>> generate(RequestScope &scope, Pipeline::Run &run,
                                                        GenerationCall call);

} // namespace Tanagerbay::Node
