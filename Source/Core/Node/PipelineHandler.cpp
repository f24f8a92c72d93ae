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

constexpr std::int64_t kMaxTokens = 100'000;
constexpr double kExpectedQuantile = 0.9;

// Returns the expected duration of each stage of the pipeline.
std::vector<Common::Duration> expectedStageDurations(RequestScope &scope,
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

std::int64_t maxTokensOf(const RequestScope &scope, const Pipeline::RequestBody &body)
{
    return body.maxTokens > 0 ? body.maxTokens : scope.shared.settings.defaultMaxTokens;
}

// Predicts the duration of the run after its admission, from the durations of recent stage calls
// and the engines' time between tokens.
Common::Duration expectedDuration(RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
                                  const Pipeline::RequestBody &body)
{
    constexpr double kMedian = 0.5;
    Common::Duration expected{0};
    for (const Pipeline::StageDefinition &stage : pipeline.stages) {
        PoolShard &shard = scope.shared.poolNamed(stage.pool);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const Routing::Pool &pool = shard.pool;
        if (stage.kind != Pipeline::StageKind::Generation) {
            expected += pool.durations.quantile(kMedian, Common::Duration::zero());
            continue;
        }
        const double seconds = static_cast<double>(maxTokensOf(scope, body)) * pool.meanPaceSeconds;
        expected += pool.firstTokenTimes.quantile(kMedian, Common::Duration::zero());
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
    call.deadline
        = Pipeline::stageDeadline(run, clockNow(), expectedStageDurations(scope, pipeline));
    auto reply = co_await callStage(scope, run, std::move(call));
    if (!reply)
        co_return tl::unexpected(reply.error());
    auto output = reply->status == 200 ? Pipeline::stageOutput(reply->body) : std::nullopt;
    if (!output) {
        co_return tl::unexpected(runError(scope, ErrorCode::EndpointFailed,
                                          "stage " + std::string(Common::nameOf(stage.kind))
                                              + " returned status " + std::to_string(reply->status)
                                              + " without a valid output"));
    }
    Pipeline::completeStage(run);
    co_return std::move(*output);
}

Http::Awaitable<bool> sendTerminalEvent(RequestScope &scope, const GenerationResult &end)
{
    const json::object done{{"tokens", end.tokens.count()}, {"digest", end.digest}};
    std::string bytes;
    Http::appendEvent(bytes, {"", std::string(Wire::kDoneEvent), json::serialize(done)});
    if (!co_await scope.exchange.writeChunk(bytes))
        co_return false;
    co_return co_await scope.exchange.endStream();
}

Http::Awaitable<bool> respondWithOutput(RequestScope &scope, json::value output)
{
    json::object body{{"requestId", scope.requestId.value}, {"output", std::move(output)}};
    Http::Response response = Http::jsonResponse(200, json::serialize(body));
    response.headers.add("Request-Id", scope.requestId.value);
    co_return co_await scope.exchange.respond(std::move(response));
}

json::value generationOutput(const GenerationResult &end)
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
    call.hasWholePrompt = !resume || pipeline.stages.size() == 1;
    call.resume = std::move(resume);
    auto end = co_await generate(scope, run, std::move(call));
    if (!end)
        co_return co_await respondWithError(scope, std::move(end.error()));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    if (body.stream) {
        outcome.answered = co_await sendTerminalEvent(scope, *end);
        co_return outcome;
    }
    json::value output = generationOutput(*end);
    outcome.answered = co_await respondWithOutput(scope, std::move(output));
    co_return outcome;
}

} // namespace

Http::Awaitable<RequestOutcome> respondWithError(RequestScope &scope, Common::Error error)
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
    auto body = Pipeline::parseRequestBody(scope.exchange.request().body, kMaxTokens);
    if (!body)
        co_return co_await respondWithError(scope, std::move(body.error()));
    auto resume = readResumePoint(scope);
    if (!resume)
        co_return co_await respondWithError(scope, std::move(resume.error()));
    AdmissionGate::Ticket ticket;
    if (gate) {
        auto admitted = co_await gate->enter(scope, expectedDuration(scope, pipeline, *body));
        if (!admitted)
            co_return co_await respondWithError(scope, std::move(admitted.error()));
        ticket = std::move(*admitted);
    }
    Pipeline::Run run;
    run.id = Common::RunId(streamNamePrefix(scope.access.workspace->id, scope.requestId) + "-"
                           + randomId(scope.worker.random));
    run.startedAt = scope.startedAt;
    run.deadline = scope.deadline;
    run.stageCount = static_cast<std::uint32_t>(pipeline.stages.size());
    json::value previous;
    const std::uint32_t stagesBeforeGeneration = run.stageCount - (pipeline.streams() ? 1 : 0);
    // The engine retains the stream that is resumed, so the stages before generation are skipped.
    if (resume->has_value())
        run.stage = stagesBeforeGeneration;
    Checkpoint checkpoint(scope, pipeline, body->input);
    if (run.stage < stagesBeforeGeneration && co_await checkpoint.load(previous))
        run.stage = stagesBeforeGeneration;
    while (run.stage < stagesBeforeGeneration) {
        auto output = co_await runStage(scope, run, pipeline, body->input, previous);
        if (!output)
            co_return co_await respondWithError(scope, std::move(output.error()));
        previous = std::move(*output);
        if (run.stage == stagesBeforeGeneration)
            checkpoint.save(previous);
    }
    if (pipeline.streams())
        co_return co_await runGeneration(scope, run, pipeline, *body, previous, std::move(*resume));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    outcome.answered = co_await respondWithOutput(scope, std::move(previous));
    co_return outcome;
}

} // namespace Tanagerbay::Node
