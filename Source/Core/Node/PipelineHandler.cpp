#include "Node/PipelineHandler.h"

#include "Http/EventStream.h"
#include "Node/Checkpoint.h"
#include "Node/Generation.h"
#include "Node/StageCall.h"
#include "Pipeline/Prompt.h"
#include "Pipeline/Wire.h"

namespace Tanagerbay::Node {

namespace json = boost::json;
namespace Wire = Pipeline::Wire;

using Common::ErrorCode;

namespace {

constexpr std::int64_t kMostTokens = 100'000;
constexpr double kExpectedQuantile = 0.9;

// What each stage of the pipeline is expected to take.
std::vector<Common::Duration> expectedByStage(RequestScope &scope,
                                              const Pipeline::PipelineDefinition &pipeline)
{
    std::vector<Common::Duration> expected;
    for (const Pipeline::StageDefinition &stage : pipeline.stages) {
        PoolShard &shard = scope.shared.poolNamed(stage.pool);
        const std::lock_guard<std::mutex> guard(shard.lock);
        expected.push_back(
            shard.pool.durations.quantile(kExpectedQuantile, Common::Duration::zero()));
    }
    return expected;
}

std::int64_t tokensWanted(const RequestScope &scope, const Pipeline::RequestBody &body)
{
    return body.maxTokens > 0 ? body.maxTokens : scope.shared.settings.defaultMaxTokens;
}

// Predicts how long the run takes from its admission on, from recent stages and the engines' pace.
Common::Duration expectedDuration(RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
                                  const Pipeline::RequestBody &body)
{
    constexpr double kTypical = 0.5;
    Common::Duration expected{0};
    for (const Pipeline::StageDefinition &stage : pipeline.stages) {
        PoolShard &shard = scope.shared.poolNamed(stage.pool);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const Routing::Pool &pool = shard.pool;
        if (stage.kind != Pipeline::StageKind::Generation) {
            expected += pool.durations.quantile(kTypical, Common::Duration::zero());
            continue;
        }
        const double seconds
            = static_cast<double>(tokensWanted(scope, body)) * pool.meanPaceSeconds;
        expected += pool.firstTokenTimes.quantile(kTypical, Common::Duration::zero());
        expected
            += std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
    }
    return expected;
}

Http::Awaitable<Common::Result<json::value>> runStage(RequestScope &scope, Pipeline::Run &run,
                                                      const Pipeline::PipelineDefinition &pipeline,
                                                      const json::value &input,
                                                      const json::value &previous)
{
    const Pipeline::StageDefinition &stage = pipeline.stages[run.stage];
    StageCall call;
    call.pool = stage.pool;
    call.target = Wire::stageTarget(Common::nameOf(stage.kind));
    call.body = Pipeline::stageBody(input, previous);
    call.deadline = Pipeline::stageDeadline(run, clockNow(), expectedByStage(scope, pipeline));
    auto reply = co_await callStage(scope, run, std::move(call));
    if (!reply)
        co_return tl::unexpected(reply.error());
    auto output = reply->status == 200 ? Pipeline::stageOutput(reply->body) : std::nullopt;
    if (!output) {
        co_return tl::unexpected(runError(scope, ErrorCode::EndpointFailed,
                                          "stage " + std::string(Common::nameOf(stage.kind))
                                              + " answered " + std::to_string(reply->status)
                                              + " without an output"));
    }
    Pipeline::completeStage(run);
    co_return std::move(*output);
}

Http::Awaitable<bool> answerStreamEnd(RequestScope &scope, const GenerationEnd &end)
{
    const json::object done{{"tokens", end.tokens.count()}, {"digest", end.digest}};
    std::string bytes;
    Http::appendEvent(bytes, {"", std::string(Wire::kDoneEvent), json::serialize(done)});
    if (!co_await scope.exchange.writeChunk(bytes))
        co_return false;
    co_return co_await scope.exchange.endStream();
}

Http::Awaitable<bool> answerWhole(RequestScope &scope, json::value output)
{
    json::object body{{"requestId", scope.requestId.value}, {"output", std::move(output)}};
    Http::Response response = Http::jsonResponse(200, json::serialize(body));
    response.headers.add("Request-Id", scope.requestId.value);
    co_return co_await scope.exchange.respond(std::move(response));
}

json::value generationOutput(const GenerationEnd &end)
{
    std::string text;
    for (const std::string &token : end.tokens.tokens)
        text += token;
    return json::object{{"text", text}, {"tokens", end.tokens.count()}, {"digest", end.digest}};
}

Http::Awaitable<RequestOutcome> runGeneration(RequestScope &scope, Pipeline::Run &run,
                                              const Pipeline::PipelineDefinition &pipeline,
                                              const Pipeline::RequestBody &body,
                                              const json::value &previous,
                                              std::optional<ResumePoint> resume)
{
    const Pipeline::StageDefinition &stage = pipeline.stages.back();
    GenerationCall call;
    call.pool = stage.pool;
    call.model = stage.model;
    call.prompt = Pipeline::buildPrompt(body.input, previous);
    call.maxTokens = body.maxTokens > 0 ? body.maxTokens : scope.shared.settings.defaultMaxTokens;
    call.stream = body.stream;
    call.resume = std::move(resume);
    auto end = co_await generate(scope, run, std::move(call));
    if (!end)
        co_return co_await answerError(scope, std::move(end.error()));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    if (body.stream) {
        outcome.answered = co_await answerStreamEnd(scope, *end);
        co_return outcome;
    }
    json::value output = generationOutput(*end);
    outcome.answered = co_await answerWhole(scope, std::move(output));
    co_return outcome;
}

} // namespace

Http::Awaitable<RequestOutcome> answerError(RequestScope &scope, Common::Error error)
{
    RequestOutcome outcome;
    outcome.ran = error.ran;
    if (scope.callerGone)
        co_return outcome;
    if (!scope.exchange.started()) {
        Http::Response response = errorResponse(error);
        response.headers.add("Request-Id", scope.requestId.value);
        co_await scope.exchange.respond(std::move(response));
        co_return outcome;
    }
    std::string bytes;
    Http::appendEvent(bytes, {"", std::string(Wire::kErrorEvent), errorBody(error)});
    if (co_await scope.exchange.writeChunk(bytes))
        co_await scope.exchange.endStream();
    co_return outcome;
}

Http::Awaitable<RequestOutcome> handlePipeline(RequestScope &scope,
                                               const Pipeline::PipelineDefinition &pipeline,
                                               AdmissionGate *gate)
{
    auto body = Pipeline::parseRequestBody(scope.exchange.request().body, kMostTokens);
    if (!body)
        co_return co_await answerError(scope, std::move(body.error()));
    auto resume = readResumePoint(scope);
    if (!resume)
        co_return co_await answerError(scope, std::move(resume.error()));
    AdmissionGate::Ticket ticket;
    if (gate) {
        auto admitted = co_await gate->enter(scope, expectedDuration(scope, pipeline, *body));
        if (!admitted)
            co_return co_await answerError(scope, std::move(admitted.error()));
        ticket = std::move(*admitted);
    }
    Pipeline::Run run;
    run.id = Common::RunId(streamOwner(scope.access.workspace->id, scope.requestId) + "-"
                           + randomId(scope.worker.random));
    run.startedAt = scope.startedAt;
    run.deadline = scope.deadline;
    run.stageCount = static_cast<std::uint32_t>(pipeline.stages.size());
    json::value previous;
    const std::uint32_t plainStages = run.stageCount - (pipeline.streams() ? 1 : 0);
    // A stream that an engine keeps needs none of the stages before it.
    if (resume->has_value())
        run.stage = plainStages;
    Checkpoint checkpoint(scope, pipeline, body->input);
    if (run.stage < plainStages && co_await checkpoint.load(previous))
        run.stage = plainStages;
    while (run.stage < plainStages) {
        auto output = co_await runStage(scope, run, pipeline, body->input, previous);
        if (!output)
            co_return co_await answerError(scope, std::move(output.error()));
        previous = std::move(*output);
        if (run.stage == plainStages)
            checkpoint.save(previous);
    }
    if (pipeline.streams())
        co_return co_await runGeneration(scope, run, pipeline, *body, previous, std::move(*resume));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    outcome.answered = co_await answerWhole(scope, std::move(previous));
    co_return outcome;
}

} // namespace Tanagerbay::Node
