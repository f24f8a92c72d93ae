// Answers of the stand-in stages and services. They are pure functions of the input, so that a
// caller can compute the complete expected answer.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::StandIns {

// Output of a stage before generation. `kind` is the name of the stage kind: `encoding`,
// `retrieval` or, for any other name, reranking.
boost::json::value stageOutput(std::string_view kind, const boost::json::value &input,
                               const boost::json::value &previous);

// The token at an index of an engine's answer to the prompt with the digest.
std::string tokenAt(std::string_view promptDigest, std::size_t index);

// The first `count` tokens of an engine's answer to a prompt.
std::vector<std::string> answerTokens(std::string_view prompt, std::size_t count);

// Reply body of a service to a call. The receipt is a digest of the service, path and body.
std::string serviceReply(std::string_view service, std::string_view path, std::string_view body);

} // namespace Tanagerbay::StandIns
