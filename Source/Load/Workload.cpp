#include "Load/Workload.h"

#include "Common/Hash.h"
#include "Pipeline/Prompt.h"
#include "StandIns/Answers.h"

namespace Tanagerbay::Load {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 24 * 3600 * 1000;

ActionSettings readAction(const json::value &value, std::string path, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    ActionSettings action;
    action.name = reader.text("name");
    action.plan = reader.text("plan");
    action.key = reader.text("key");
    action.pipeline = reader.text("pipeline", "");
    action.service = reader.text("service", "");
    action.path = reader.text("path", "");
    const std::string direct = reader.text("direct", "");
    if (!direct.empty() && !Common::parseAddress(direct, action.direct))
        reader.fault("direct", "must be ip:port");
    action.stages = reader.textArray("stages", false);
    action.generates = reader.flag("generates", false);
    action.onceOnly = reader.flag("onceOnly", false);
    action.stream = reader.flag("stream", false);
    action.weight = reader.number("weight", 0, 1e9, 1);
    action.deadline = Common::Milliseconds(reader.integer("deadlineMs", 1, kMaxDeadlineMs));
    action.minTokens = reader.integer("leastTokens", 1, 100'000, 16);
    action.maxTokens = reader.integer("mostTokens", 1, 100'000, 64);
    action.contexts = static_cast<std::uint32_t>(reader.integer("contexts", 0, 1'000'000, 0));
    action.contextBytes = static_cast<std::size_t>(reader.integer("contextBytes", 0, 1 << 20, 0));
    reader.finish();
    if (action.pipeline.empty() == action.service.empty())
        reader.fault("pipeline", "either pipeline or service is needed");
    if (action.maxTokens < action.minTokens)
        reader.fault("mostTokens", "must not be below leastTokens");
    return action;
}

std::string randomText(std::mt19937_64 &random, std::size_t words)
{
    std::string text;
    for (std::size_t i = 0; i < words; ++i)
        text += Common::digestOf(std::to_string(random())).substr(0, 8) + " ";
    return text;
}

std::string contextText(const ActionSettings &action, std::uint64_t contextIndex)
{
    const std::string seed = action.name + std::to_string(contextIndex);
    std::string text;
    for (std::size_t i = 0; text.size() < action.contextBytes; ++i)
        text += Common::digestOf(seed + std::to_string(i)) + " ";
    text.resize(action.contextBytes);
    return text;
}

const ActionSettings &drawAction(const Workload &workload, std::mt19937_64 &random)
{
    double total = 0;
    for (const ActionSettings &action : workload.actions)
        total += action.weight;
    std::uniform_real_distribution<double> draw(0, total);
    double remaining = draw(random);
    for (const ActionSettings &action : workload.actions) {
        remaining -= action.weight;
        if (remaining <= 0)
            return action;
    }
    return workload.actions.back();
}

void planPipeline(PlannedRequest &planned, std::mt19937_64 &random)
{
    const ActionSettings &action = *planned.action;
    json::object input{{"text", "question " + randomText(random, 6)}};
    if (action.contexts > 0)
        input["context"] = contextText(action, random() % action.contexts);
    std::uniform_int_distribution<std::int64_t> tokens(action.minTokens, action.maxTokens);
    const std::int64_t count = tokens(random);
    json::object body{{"input", input}, {"stream", action.stream}};
    if (action.generates)
        body["maxTokens"] = count;
    planned.request.target = "/v1/pipelines/" + action.pipeline;
    planned.request.body = json::serialize(body);
    json::value previous;
    for (const std::string &kind : action.stages)
        previous = StandIns::stageOutput(kind, input, previous);
    if (action.generates) {
        planned.expectedTokens = StandIns::answerTokens(Pipeline::buildPrompt(input, previous),
                                                        static_cast<std::size_t>(count));
        return;
    }
    planned.expectedBody
        = json::serialize(json::object{{"requestId", planned.requestId}, {"output", previous}});
}

void planService(PlannedRequest &planned, std::mt19937_64 &random)
{
    const ActionSettings &action = *planned.action;
    const bool direct = action.direct.isSet();
    planned.request.target
        = (direct ? "/v1/call/" : "/v1/services/" + action.service + "/") + action.path;
    planned.request.body = json::serialize(json::object{{"entry", randomText(random, 8)}});
    planned.expectedBody
        = StandIns::serviceReply(action.service, action.path, planned.request.body);
    if (!action.onceOnly)
        return;
    planned.idempotencyKey = "key-" + planned.requestId;
    planned.request.headers.add("Idempotency-Key", planned.idempotencyKey);
}

} // namespace

Workload parseWorkload(const json::value &document, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(document, "", faults);
    Workload workload;
    const json::array &actions = reader.array("actions", true);
    for (std::size_t i = 0; i < actions.size(); ++i)
        workload.actions.push_back(readAction(actions[i], reader.pathOf("actions", i), faults));
    if (workload.actions.empty())
        reader.fault("actions", "must hold at least one action");
    reader.finish();
    return workload;
}

PlannedRequest planRequest(const Workload &workload, std::mt19937_64 &random)
{
    PlannedRequest planned;
    planned.action = &drawAction(workload, random);
    planned.requestId = Common::digestOf(std::to_string(random()) + std::to_string(random()));
    planned.request.method = "POST";
    planned.request.headers.add("Authorization", "Bearer " + planned.action->key);
    planned.request.headers.add("Content-Type", "application/json");
    planned.request.headers.add("Request-Id", planned.requestId);
    if (planned.action->pipeline.empty())
        planService(planned, random);
    else
        planPipeline(planned, random);
    return planned;
}

} // namespace Tanagerbay::Load
