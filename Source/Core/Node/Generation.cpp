#include "Node/Generation.h"

#include "Http/EventStream.h"
#include "Node/EngineEvents.h"
#include "Node/EnginePace.h"
#include "Node/StageCall.h"
#include "Pipeline/Prompt.h"
#include "Pipeline/Wire.h"

namespace Tanagerbay::Node {

namespace Wire = Pipeline::Wire;

using Common::Counter;
using Common::ErrorCode;

namespace {

// Engines that one generation may use, the first one included.
constexpr std::uint32_t kMostEngines = 6;

enum class PartEnd { Whole, Broken, TooSlow, CallerGone, OutOfTime };

// The part of a generation that one engine gives.
struct Part
{
    PartEnd end = PartEnd::Broken;
    std::string digest;
    std::string problem;
    Routing::CallReport report;
};

class Relay
{
public:
    Relay(RequestScope &scope, Pipeline::Run &run, const GenerationCall &call)
        : scope(scope), run(run), call(call), shard(scope.shared.poolNamed(call.pool)),
          prefix(Routing::prefixBlocks(call.prompt, Wire::kPrefixBlockBytes))
    {
    }

    Http::Awaitable<Common::Result<GenerationEnd>> runToEnd();

private:
    Http::Awaitable<Part> runPart(const ChosenEndpoint &engine);
    Http::Request requestFor(const Pipeline::AttemptTag &tag, Common::Time now);
    std::optional<ChosenEndpoint> engineToResume();
    Http::Awaitable<Part> readPart(Http::ResponseStream &reply, Part part);
    Http::Awaitable<bool> forward(std::string_view bytes);
    bool isTooSlow(Common::Time now) const;
    Common::Time nextReadDeadline(Common::Time now) const;
    void account(const Part &part, Common::Time start);
    bool mayContinue();
    Common::Error lostStream() const;
    std::optional<ChosenEndpoint> chooseEngine();

    RequestScope &scope;
    Pipeline::Run &run;
    const GenerationCall &call;
    PoolShard &shard;
    Routing::PrefixBlocks prefix;
    std::vector<Common::EndpointId> tried;
    GenerationEnd result;
    // The events of the engine in use.
    std::optional<EngineEvents> events;
    Common::Time firstTokenAt;
    // True while the next part takes up a stream that an engine keeps.
    bool resuming = false;
    // True where the caller must be told of a new identity of its stream.
    bool moved = false;
    std::string streamId;
};

std::optional<ChosenEndpoint> Relay::chooseEngine()
{
    Routing::ChoiceRequest choice;
    choice.failureDomain = this->scope.shared.settings.failureDomain;
    choice.tried = this->tried;
    choice.prefix = &this->prefix;
    auto chosen = chooseEndpoint(this->scope, this->shard, choice);
    if (!chosen)
        return std::nullopt;
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    for (const std::uint64_t block : this->prefix)
        this->shard.pool.prefixes.noteCached(block, chosen->id);
    return chosen;
}

Common::Time Relay::nextReadDeadline(Common::Time now) const
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const auto wait = longestTokenWait(this->shard.pool, this->events->tokenCount());
    return std::min(now + wait, this->run.deadline);
}

bool Relay::isTooSlow(Common::Time now) const
{
    EngineProgress progress;
    progress.tokens = this->events->tokenCount();
    progress.sinceFirst = now - this->firstTokenAt;
    const auto most = static_cast<std::uint64_t>(this->call.maxTokens);
    progress.tokensLeft = most - std::min(most, this->result.tokens.count());
    progress.timeLeft = this->run.deadline - now;
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    return Node::isTooSlow(this->shard.pool, progress);
}

Http::Awaitable<bool> Relay::forward(std::string_view bytes)
{
    Http::Exchange &exchange = this->scope.exchange;
    if (!exchange.started()) {
        Http::Response head;
        head.headers.add("Content-Type", "text/event-stream");
        head.headers.add("Cache-Control", "no-store");
        head.headers.add("Request-Id", this->scope.requestId.value);
        head.headers.add(Wire::kStreamId, this->streamId);
        if (!co_await exchange.beginStream(std::move(head)))
            co_return false;
    }
    co_return co_await exchange.writeChunk(bytes);
}

// Reads the engine's tokens and relays them, until the engine's part has come to some end.
Http::Awaitable<Part> Relay::readPart(Http::ResponseStream &reply, Part part)
{
    std::string outgoing;
    while (true) {
        const bool hadToken = this->events->tokenCount() > 0;
        const std::uint64_t neededBefore = this->events->neededCount();
        const auto bytes = co_await reply.read(this->nextReadDeadline(clockNow()));
        const Common::Time now = clockNow();
        if (this->scope.callerGone) {
            part.end = PartEnd::CallerGone;
            co_return part;
        }
        if (!bytes) {
            part.problem = std::string(Common::nameOf(bytes.error().failure));
            part.end = now >= this->run.deadline ? PartEnd::OutOfTime : PartEnd::Broken;
            co_return part;
        }
        if (bytes->empty())
            break;
        outgoing.clear();
        if (this->moved && this->scope.exchange.started())
            Http::appendEvent(outgoing, {"", std::string(Wire::kMovedEvent), this->streamId});
        this->moved = false;
        const bool goesOn = this->events->take(*bytes, outgoing);
        this->scope.shared.counters.add(Counter::TokensDelivered,
                                        this->events->neededCount() - neededBefore);
        if (!hadToken && this->events->tokenCount() > 0)
            this->firstTokenAt = now;
        if (this->call.stream && !outgoing.empty() && !co_await this->forward(outgoing)) {
            part.end = PartEnd::CallerGone;
            co_return part;
        }
        if (!goesOn)
            break;
        if (this->isTooSlow(now)) {
            part.end = PartEnd::TooSlow;
            co_return part;
        }
    }
    this->events->addTo(part.report);
    part.digest = this->events->digest();
    part.problem = this->events->problem();
    if (this->events->isDone()) {
        part.end = this->events->isWhole() ? PartEnd::Whole : PartEnd::Broken;
        // Reads the end of the body, so that the connection can be used again.
        co_await reply.read(this->nextReadDeadline(clockNow()));
        co_return part;
    }
    this->scope.shared.counters.add(Counter::RepliesTruncated);
    if (part.problem.empty())
        part.problem = "the engine's stream ended early";
    co_return part;
}

Http::Request Relay::requestFor(const Pipeline::AttemptTag &tag, Common::Time now)
{
    Http::Request request{
        "POST", Wire::stageTarget("generation"),
        callHeaders(this->scope, tag, "application/json", this->run.deadline, now)};
    if (this->resuming)
        request.target = Wire::streamTarget(this->call.resume->streamName);
    else
        request.body = Pipeline::generationBody(this->call.prompt, this->call.model,
                                                this->call.maxTokens, this->result.tokens.tokens);
    return request;
}

// The engine that keeps the caller's stream, where it is still in the pool.
std::optional<ChosenEndpoint> Relay::engineToResume()
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const auto found = this->shard.pool.indexById.find(this->call.resume->engine);
    if (found == this->shard.pool.indexById.end())
        return std::nullopt;
    Routing::beginCall(this->shard.pool, found->second);
    const Routing::Endpoint &endpoint = this->shard.pool.endpoints[found->second];
    return ChosenEndpoint{endpoint.id, endpoint.address};
}

Http::Awaitable<Part> Relay::runPart(const ChosenEndpoint &engine)
{
    Part part;
    part.report.endpoint = engine.id;
    const Common::Time now = clockNow();
    this->events.emplace(this->result.tokens);
    const Pipeline::AttemptTag tag
        = Pipeline::beginAttempt(this->run, randomId(this->scope.worker.random), false);
    Http::Request request = this->requestFor(tag, now);
    // The engine keeps the stream under this name once its reader has left.
    const std::string tagText = Pipeline::formatTag(tag);
    this->streamId = engine.id.value + "/" + tagText.substr(0, tagText.rfind(':'));
    Http::CallHandle handle;
    this->scope.cancelCalls = [&handle] { handle.cancel(); };
    Http::CallOptions options;
    options.deadline = this->nextReadDeadline(now);
    options.handle = &handle;
    options.acceptHead = tagCheck(this->scope.shared, tag);
    this->scope.shared.counters.add(Counter::StageAttempts);
    auto reply
        = co_await this->scope.worker.client.open(engine.address, std::move(request), options);
    this->scope.anyWritten = this->scope.anyWritten || reply || reply.error().written;
    if (!reply) {
        part.problem = std::string(Common::nameOf(reply.error().failure));
        const bool unreachable = reply.error().failure == Http::CallFailure::ConnectFailed;
        part.report.end = unreachable ? Routing::CallEnd::Unreachable : Routing::CallEnd::Failed;
        if (clockNow() >= this->run.deadline)
            part.end = PartEnd::OutOfTime;
        if (this->scope.callerGone)
            part.end = PartEnd::CallerGone;
    } else if (reply->status() != 200) {
        part.problem = "the engine answered " + std::to_string(reply->status());
        part.report.end = Routing::CallEnd::Failed;
    } else {
        part.report.load = parseLoadReport(reply->header(Wire::kLoadReport));
        part.report.end = Routing::CallEnd::Failed;
        part = co_await this->readPart(*reply, std::move(part));
        if (part.end != PartEnd::Whole)
            reply->close();
    }
    this->scope.cancelCalls = nullptr;
    co_return part;
}

void Relay::account(const Part &part, Common::Time start)
{
    const Common::Time now = clockNow();
    const std::uint64_t tokens = this->events->tokenCount();
    Routing::CallReport report = part.report;
    report.duration = now - start;
    if (part.end == PartEnd::Whole)
        report.end = Routing::CallEnd::Succeeded;
    else if (part.end == PartEnd::TooSlow)
        report.end = Routing::CallEnd::TooSlow;
    else if (part.end == PartEnd::CallerGone || (part.end == PartEnd::OutOfTime && tokens > 0))
        report.end = Routing::CallEnd::Cancelled;
    if (tokens > 1)
        report.pace = (now - this->firstTokenAt) / static_cast<std::int64_t>(tokens - 1);
    const bool succeeded = report.end == Routing::CallEnd::Succeeded;
    if (!succeeded && tokens > 0)
        this->scope.shared.counters.add(Counter::StreamsCancelled);
    {
        const std::lock_guard<std::mutex> guard(this->shard.lock);
        Routing::endCall(this->shard.pool, report, now);
        if (tokens > 0)
            this->shard.pool.firstTokens.add(this->firstTokenAt - start);
    }
    this->scope.shared.metrics.recordStageCall(this->call.pool, succeeded, report.duration,
                                               report.busy);
    if (tokens > 0 && tokens == this->result.tokens.count())
        this->scope.shared.metrics.recordFirstToken(this->firstTokenAt - this->scope.startedAt);
}

bool Relay::mayContinue()
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const bool allowed = Routing::takeExtraAttempt(this->shard.pool.budget);
    this->scope.shared.counters.add(allowed ? Counter::StageRetries : Counter::StageRetriesDenied);
    return allowed;
}

Common::Error Relay::lostStream() const
{
    return {ErrorCode::OutcomeUnknown,
            "the engine no longer keeps the stream; ask again without Last-Event-ID",
            Common::Ran::Maybe};
}

Http::Awaitable<Common::Result<GenerationEnd>> Relay::runToEnd()
{
    {
        const std::lock_guard<std::mutex> guard(this->shard.lock);
        Routing::noteFirstAttempt(this->shard.pool.budget);
    }
    std::string problem = "pool " + this->call.pool + " has no engine";
    this->resuming = this->call.resume.has_value();
    this->result.tokens.callerTokenCount = this->resuming ? this->call.resume->tokensHeld : 0;
    for (std::uint32_t engines = 0; engines < kMostEngines; ++engines) {
        if (engines > 0 && !this->mayContinue())
            break;
        const auto engine = this->resuming ? this->engineToResume() : this->chooseEngine();
        if (!engine)
            break;
        this->tried.push_back(engine->id);
        const Common::Time start = clockNow();
        Part part = co_await this->runPart(*engine);
        this->account(part, start);
        switch (part.end) {
        case PartEnd::Whole:
            this->result.digest = std::move(part.digest);
            co_return std::move(this->result);
        case PartEnd::CallerGone:
            co_return tl::unexpected(
                runError(this->scope, ErrorCode::CallerGone, "the caller left"));
        case PartEnd::OutOfTime:
            co_return tl::unexpected(runError(this->scope, ErrorCode::DeadlineExceeded,
                                              "the answer was not generated in time"));
        case PartEnd::Broken:
        case PartEnd::TooSlow:
            // Without the tokens that the caller holds, another generation must not go on for it.
            if (this->result.tokens.count() < this->result.tokens.callerTokenCount)
                co_return tl::unexpected(this->lostStream());
            this->resuming = false;
            problem = "engine " + engine->id.value + ": "
                + (part.end == PartEnd::TooSlow ? "too slow" : part.problem);
            break;
        }
        if (this->result.tokens.count() > 0) {
            this->scope.shared.counters.add(Counter::StreamsContinued);
            this->moved = true;
        }
    }
    if (this->resuming)
        co_return tl::unexpected(this->lostStream());
    co_return tl::unexpected(runError(this->scope, ErrorCode::EndpointFailed, problem));
}

} // namespace

Http::Awaitable<Common::Result<GenerationEnd>> generate(RequestScope &scope, Pipeline::Run &run,
                                                        GenerationCall call)
{
    Relay relay(scope, run, call);
    co_return co_await relay.runToEnd();
}

} // namespace Tanagerbay::Node
