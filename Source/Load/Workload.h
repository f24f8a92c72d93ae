// Workload of the callers: a weighted mix of actions, each with an API key, a deadline and a
// computable expected answer.
#pragma once

#include "Common/JsonReader.h"
#include "Common/Time.h"
#include "Http/Types.h"

#include <random>
#include <vector>

namespace Tanagerbay::Load {

struct ActionSettings
{
    std::string name;
    // Plan in whose attainment the action is counted.
    std::string plan;
    std::string key;
    // Exactly one of `pipeline` and `service` is set.
    std::string pipeline;
    std::string service;
    std::string path;
    // If set, the service's endpoint at this address is called directly, for comparison with calls
    // through an entry.
    Common::Address direct;
    // Kinds of the pipeline's stages before generation.
    std::vector<std::string> stages;
    bool generates = false;
    bool onceOnly = false;
    bool stream = false;
    double weight = 1;
    Common::Milliseconds deadline{0};
    std::int64_t minTokens = 16;
    std::int64_t maxTokens = 64;
    // Number of context texts shared between requests, such as lesson material, and the size of
    // each in bytes. One of them is sent with each question; zero texts mean no context.
    std::uint32_t contexts = 0;
    std::size_t contextBytes = 0;
};

struct Workload
{
    std::vector<ActionSettings> actions;
};

Workload parseWorkload(const boost::json::value &document, Common::JsonFaults &faults);

// One request and its expected answer.
struct PlannedRequest
{
    const ActionSettings *action = nullptr;
    Http::Request request;
    std::string requestId;
    std::string idempotencyKey;
    std::vector<std::string> expectedTokens;
    // Complete body of the answer, for requests without generation.
    std::string expectedBody;
};

// Draws an action at random by weight and builds a request for it.
PlannedRequest planRequest(const Workload &workload, std::mt19937_64 &random);

} // namespace Tanagerbay::Load
