// Request and response bodies of stage calls, and the prompt of a generation stage.
#pragma once

#include "Common/Error.h"

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Pipeline {

// The validated body of a pipeline request.
struct RequestBody
{
    boost::json::value input;
    bool stream = false;
    // Zero if the caller gave none.
    std::int64_t maxTokens = 0;
};

Common::Result<RequestBody> parseRequestBody(std::string_view text, std::int64_t maxTokensAllowed);

// Returns the body of a call to an encoder, retriever or reranker.
std::string stageBody(const boost::json::value &input, const boost::json::value &previous);

// Returns the output in the body of a stage's reply, or nullopt if the body is not valid JSON or
// has no output.
std::optional<boost::json::value> stageOutput(std::string_view body);

// Builds the prompt of a generation stage. The parts that requests share come first, so that
// engines can reuse cached prefixes.
std::string buildPrompt(const boost::json::value &input, const boost::json::value &previous);

// Returns the body of a call to an engine. `prefix` holds the tokens that were already generated.
std::string generationBody(std::string_view prompt, std::string_view model, std::int64_t maxTokens,
                           const std::vector<std::string> &prefix);

} // namespace Tanagerbay::Pipeline
