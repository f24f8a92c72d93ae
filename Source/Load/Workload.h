// What callers do: a mix of actions, each with a key, a promise and a way to check the answer.
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
    // Plan whose attainment the action counts towards.
    std::string plan;
    std::string key;
    // Exactly one of the two is set.
    std::string pipeline;
    std::string service;
    std::string path;
    // Where set, the service's endpoint is called itself, for comparison with the way through an
    // entry.
    Common::Address direct;
    // Kinds of the pipeline's stages before generation; empty `model` means no generation.
    std::vector<std::string> stages;
    bool generates = false;
    bool onceOnly = false;
    bool stream = false;
    double weight = 1;
    Common::Milliseconds deadline{0};
    std::int64_t leastTokens = 16;
    std::int64_t mostTokens = 64;
    // Shared texts that go before the question, as lesson material does.
    std::uint32_t contexts = 0;
    std::size_t contextBytes = 0;
};

struct Workload
{
    std::vector<ActionSettings> actions;
};

Workload parseWorkload(const boost::json::value &document, Common::JsonFaults &faults);

// One request and the answer that it must get.
struct PlannedRequest
{
    const ActionSettings *action = nullptr;
    Http::Request request;
    std::string requestId;
    std::string idempotencyKey;
    std::vector<std::string> expectedTokens;
    // Whole body of the answer, for requests that do not generate.
    std::string expectedBody;
};

// Draws an action by weight and makes a request of it.
PlannedRequest planRequest(const Workload &workload, std::mt19937_64 &random);

} // namespace Tanagerbay::Load
