#include "Node/Generation.h"

#include "Http/EventStream.h"
#include "Node/EnginePace.h"
#include "Node/EngineStreamReader.h"
#include "Node/EngineVersions.h"
#include "Node/StageCall.h"
#include "Pipeline/Prompt.h"
#include "Pipeline/Wire.h"

namespace Tanagerbay::Node {

namespace Wire = Pipeline::Wire;

using Common::Counter;
using Common::ErrorCode;

namespace {

// Maximum number of engines that one generation may use, including the first.
constexpr std::uint32_t kMaxEngines = 6;
// Engines that one request may lose before they begin their answer: the request may be the cause.
constexpr std::uint32_t kMaxEnginesLostBeforeAnswer = 2;

enum class SegmentEnd { Complete, Broken, TooSlow, CallerGone, DeadlineExceeded, DrainTimedOut };

// The part of a generation that one engine produces.
struct Segment
{
    SegmentEnd end = SegmentEnd::Broken;
    std::string digest;
    std::string problem;
    Routing::CallReport report;
    // The connection was lost before the engine's first token.
    bool isLostBeforeAnswer = false;
    // Version of the engine's software; empty if unknown.
    std::string version;
    // The engine runs another version than the one that began the stream.
    bool isOtherVersion = false;
};

class Relay
{
public:
    Relay(RequestScope &scope, Pipeline::Run &run, const GenerationCall &call)
        : scope(scope), run(run), call(call), shard(scope.shared.poolNamed(call.pool)),
          prefix(Routing::prefixBlocks(call.prompt, Wire::kPrefixBlockBytes))
    {
    }

    Http::Awaitable<Common::Result<GenerationResult>> runToEnd();

private:
    Http::Awaitable<Segment> runSegment(const ChosenEndpoint &engine);
    Http::Request requestFor(const Pipeline::AttemptTag &tag, Common::Time now);
    std::optional<ChosenEndpoint> chooseEngineToResume();
    std::optional<Common::Error> requireResumedVersion();
    bool isEndedByVersion() const;
    bool checkVersion(const Http::ResponseStream &reply, Segment &segment) const;
    Http::Awaitable<Segment> readSegment(Http::ResponseStream &reply, Segment segment);
    Http::Awaitable<bool> forward(std::string_view bytes);
    bool isTooSlow(Common::Time now) const;
    Common::Time nextReadDeadline(Common::Time now) const;
    void recordSegment(const Segment &segment, Common::Time start);
    bool takeRetry();
    Common::Error lostStreamError() const;
    Common::Error endError(const std::string &problem);
    std::optional<ChosenEndpoint> chooseEngine();

    RequestScope &scope;
    Pipeline::Run &run;
    const GenerationCall &call;
    PoolShard &shard;
    Routing::PrefixBlocks prefix;
    std::vector<Common::EndpointId> tried;
    GenerationResult result;
    StreamVersion version;
    // True if an engine turned out to run another version than its entry states.
    bool metOtherVersion = false;
    // Reader of the current engine's stream.
    std::optional<EngineStreamReader> reader;
    Common::Time firstTokenAt;
    // True if the next segment resumes a stream that an engine retains.
    bool resuming = false;
    // True if the caller has yet to be told the new id of its stream.
    bool streamIdChanged = false;
    std::string streamId;
};

std::optional<ChosenEndpoint> Relay::chooseEngine()
{
    Routing::ChoiceRequest choice;
    choice.failureDomain = this->scope.shared.settings.failureDomain;
    choice.tried = this->tried;
    choice.prefix = &this->prefix;
    choice.version = this->version;
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
    const auto wait = maxTokenWait(this->shard.pool, this->reader->tokenCount());
    return std::min(now + wait, this->run.deadline);
}

bool Relay::isTooSlow(Common::Time now) const
{
    EngineProgress progress;
    progress.tokens = this->reader->tokenCount();
    progress.sinceFirstToken = now - this->firstTokenAt;
    const auto maxTokens = static_cast<std::uint64_t>(this->call.maxTokens);
    progress.tokensLeft = maxTokens - std::min(maxTokens, this->result.tokens.count());
    progress.timeLeft = this->run.deadline - now;
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    return this->call.hasWholePrompt && Node::isTooSlow(this->shard.pool, progress)
        && hasUntriedEngine(this->shard.pool, this->version, this->tried, now);
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

// Reads the engine's tokens and relays them until the segment ends for any reason.
Http::Awaitable<Segment> Relay::readSegment(Http::ResponseStream &reply, Segment segment)
{
    std::string outgoing;
    std::optional<Http::BodyEnd> end;
    while (true) {
        const bool hadToken = this->reader->tokenCount() > 0;
        const std::uint64_t forwardedBefore = this->reader->forwardedCount();
        const auto part = co_await reply.read(this->nextReadDeadline(clockNow()));
        const Common::Time now = clockNow();
        if (this->scope.callerGone) {
            segment.end = SegmentEnd::CallerGone;
            co_return segment;
        }
        if (this->scope.mustEnd) {
            segment.end = SegmentEnd::DrainTimedOut;
            co_return segment;
        }
        if (!part) {
            segment.problem = std::string(Common::nameOf(part.error().failure));
            segment.isLostBeforeAnswer
                = !hadToken && part.error().failure == Http::CallFailure::ConnectionLost;
            segment.end
                = now >= this->run.deadline ? SegmentEnd::DeadlineExceeded : SegmentEnd::Broken;
            co_return segment;
        }
        if (const auto *ended = std::get_if<Http::BodyEnd>(&*part)) {
            end = *ended;
            break;
        }
        outgoing.clear();
        if (this->streamIdChanged && this->scope.exchange.started())
            Http::appendEvent(outgoing, {"", std::string(Wire::kMovedEvent), this->streamId});
        this->streamIdChanged = false;
        const bool hasMore = this->reader->process(std::get<std::string_view>(*part), outgoing);
        this->scope.shared.counters.add(Counter::TokensDelivered,
                                        this->reader->forwardedCount() - forwardedBefore);
        if (!hadToken && this->reader->tokenCount() > 0) {
            this->firstTokenAt = now;
            this->version = segment.version;
        }
        if (this->call.stream && !outgoing.empty() && !co_await this->forward(outgoing)) {
            // A failed write may tell before the connection is found closed.
            this->scope.callerGone = true;
            segment.end = SegmentEnd::CallerGone;
            co_return segment;
        }
        if (!hasMore)
            break;
        if (this->isTooSlow(now)) {
            segment.end = SegmentEnd::TooSlow;
            co_return segment;
        }
    }
    this->reader->addToReport(segment.report);
    segment.digest = this->reader->digest();
    segment.problem = this->reader->problem();
    if (this->reader->isDone()) {
        segment.end = this->reader->isComplete() ? SegmentEnd::Complete : SegmentEnd::Broken;
        // Reads the end of the body, so that the connection can be reused.
        co_await reply.read(this->nextReadDeadline(clockNow()));
        co_return segment;
    }
    this->scope.shared.counters.add(Counter::RepliesTruncated);
    // The connections of an engine that was killed end in this way too.
    segment.isLostBeforeAnswer = segment.problem.empty() && this->reader->tokenCount() == 0
        && end == Http::BodyEnd::Closed;
    if (segment.problem.empty())
        segment.problem = "the engine's stream ended without a terminal event";
    co_return segment;
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

// Returns whether engines are left, but none of the version that began the stream.
bool Relay::isEndedByVersion() const
{
    if (!this->version)
        return false;
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const Routing::Pool &pool = this->shard.pool;
    const Common::Time now = clockNow();
    return !hasUntriedEngine(pool, this->version, this->tried, now)
        && (this->metOtherVersion || hasUntriedEngine(pool, std::nullopt, this->tried, now));
}

// Sets the version that began the stream to be resumed. Returns an error if it is not known, or if
// no engine of it is left.
std::optional<Common::Error> Relay::requireResumedVersion()
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const Routing::Pool &pool = this->shard.pool;
    if (pool.endpoints.empty())
        return std::nullopt;
    // While all engines have the same version, it is the one that began the stream.
    this->version = this->call.resume->version ? this->call.resume->version : onlyVersion(pool);
    if (this->version && servesVersion(pool, this->version))
        return std::nullopt;
    this->scope.shared.counters.add(this->version ? Counter::StreamsVersionUnavailable
                                                  : Counter::StreamsVersionUnknown);
    const std::string reason = this->version
        ? "no engine of the version that began the stream is left"
        : "the Stream-Id does not name the version that began the stream, and several serve";
    return Common::Error{ErrorCode::VersionUnavailable,
                         reason + "; repeat the request without Last-Event-ID"};
}

// Chooses the engine that retains the stream to be resumed, if it is still in the pool.
std::optional<ChosenEndpoint> Relay::chooseEngineToResume()
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const auto found = this->shard.pool.indexById.find(this->call.resume->engine);
    if (found == this->shard.pool.indexById.end()
        || !Routing::hasVersion(this->shard.pool.endpoints[found->second], this->version))
        return std::nullopt;
    Routing::beginCall(this->shard.pool, found->second);
    const Routing::Endpoint &endpoint = this->shard.pool.endpoints[found->second];
    return ChosenEndpoint{endpoint.id, endpoint.address};
}

// Reads the version of the engine's process from its reply, since the list of endpoints may not
// know yet that the process was replaced. It is not known if the reply does not state it. Returns
// false if the stream may not go on there.
bool Relay::checkVersion(const Http::ResponseStream &reply, Segment &segment) const
{
    segment.version = std::string(reply.header(Wire::kSoftwareVersion));
    if (!Common::isVisibleText(segment.version, Common::kMaxVersionLength)) {
        segment.problem = "the engine stated an invalid software version";
        segment.report.end = Routing::CallEnd::Failed;
        return false;
    }
    if (!this->version || segment.version == *this->version)
        return true;
    segment.isOtherVersion = true;
    segment.problem = "the engine runs another software version than the stream";
    segment.report.end = Routing::CallEnd::Cancelled;
    return false;
}

Http::Awaitable<Segment> Relay::runSegment(const ChosenEndpoint &engine)
{
    Segment segment;
    segment.report.endpoint = engine.id;
    const Common::Time now = clockNow();
    this->reader.emplace(this->result.tokens);
    const Pipeline::AttemptTag tag
        = Pipeline::beginAttempt(this->run, randomId(this->scope.worker.random), false);
    Http::Request request = this->requestFor(tag, now);
    // The engine retains the stream under this name after its reader has disconnected.
    const std::string tagText = Pipeline::formatTag(tag);
    const std::string streamName = tagText.substr(0, tagText.rfind(':'));
    Http::CallHandle handle;
    this->scope.cancelCalls = [&handle] { handle.cancel(); };
    Http::CallOptions options;
    options.deadline = this->nextReadDeadline(now);
    options.handle = &handle;
    options.beforeFirstByte = [this] { return !this->scope.mustEnd; };
    options.acceptHead = attemptTagCheck(this->scope.shared, tag);
    this->scope.shared.counters.add(Counter::StageAttempts);
    auto reply
        = co_await this->scope.worker.client.open(engine.address, std::move(request), options);
    this->scope.anyBytesSent = this->scope.anyBytesSent || reply || reply.error().written;
    if (!reply) {
        segment.problem = std::string(Common::nameOf(reply.error().failure));
        const bool unreachable = reply.error().failure == Http::CallFailure::ConnectFailed;
        segment.isLostBeforeAnswer
            = reply.error().written && reply.error().failure == Http::CallFailure::ConnectionLost;
        segment.report.end = unreachable ? Routing::CallEnd::Unreachable : Routing::CallEnd::Failed;
        if (clockNow() >= this->run.deadline)
            segment.end = SegmentEnd::DeadlineExceeded;
        if (this->scope.callerGone)
            segment.end = SegmentEnd::CallerGone;
        if (this->scope.mustEnd)
            segment.end = SegmentEnd::DrainTimedOut;
    } else if (reply->status() != 200) {
        segment.problem = "the engine returned status " + std::to_string(reply->status());
        segment.report.end = Routing::CallEnd::Failed;
    } else {
        segment.report.load = parseLoadReport(reply->header(Wire::kLoadReport));
        segment.report.end = Routing::CallEnd::Failed;
        if (this->checkVersion(*reply, segment)) {
            this->streamId = formatStreamId(engine.id, streamName, segment.version);
            segment = co_await this->readSegment(*reply, std::move(segment));
        }
        if (segment.end != SegmentEnd::Complete)
            reply->close();
    }
    this->scope.cancelCalls = nullptr;
    co_return segment;
}

void Relay::recordSegment(const Segment &segment, Common::Time start)
{
    const Common::Time now = clockNow();
    const std::uint64_t tokens = this->reader->tokenCount();
    Routing::CallReport report = segment.report;
    report.duration = now - start;
    if (segment.end == SegmentEnd::Complete)
        report.end = Routing::CallEnd::Succeeded;
    else if (segment.end == SegmentEnd::TooSlow)
        report.end = Routing::CallEnd::TooSlow;
    else if (segment.end == SegmentEnd::CallerGone || segment.end == SegmentEnd::DrainTimedOut
             || (segment.end == SegmentEnd::DeadlineExceeded && tokens > 0))
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
            this->shard.pool.firstTokenTimes.add(this->firstTokenAt - start);
    }
    this->scope.shared.metrics.recordStageCall(this->call.pool, succeeded, report.duration,
                                               report.busy);
    if (tokens > 0 && tokens == this->result.tokens.count())
        this->scope.shared.metrics.recordFirstToken(this->firstTokenAt - this->scope.startedAt);
}

bool Relay::takeRetry()
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const bool allowed = Routing::takeExtraAttempt(this->shard.pool.budget);
    this->scope.shared.counters.add(allowed ? Counter::StageRetries : Counter::StageRetriesDenied);
    return allowed;
}

Common::Error Relay::lostStreamError() const
{
    return {ErrorCode::OutcomeUnknown,
            "no engine can continue the stream; repeat the request without Last-Event-ID",
            Common::Ran::Maybe};
}

Common::Error Relay::endError(const std::string &problem)
{
    if (!this->isEndedByVersion())
        return runError(this->scope, ErrorCode::EndpointFailed, problem);
    this->scope.shared.counters.add(Counter::StreamsVersionUnavailable);
    return runError(this->scope, ErrorCode::VersionUnavailable,
                    "no engine of the version that began the stream can continue it: " + problem);
}

Http::Awaitable<Common::Result<GenerationResult>> Relay::runToEnd()
{
    if (this->scope.mustEnd)
        co_return tl::unexpected(drainTimeoutError(this->scope));
    {
        const std::lock_guard<std::mutex> guard(this->shard.lock);
        Routing::noteFirstAttempt(this->shard.pool.budget);
    }
    std::string problem = "pool " + this->call.pool + " has no available engine";
    this->resuming = this->call.resume.has_value();
    this->result.tokens.callerTokenCount = this->resuming ? this->call.resume->callerTokenCount : 0;
    if (this->resuming) {
        this->scope.shared.counters.add(Counter::StreamsResumed);
        if (auto refusal = this->requireResumedVersion())
            co_return tl::unexpected(std::move(*refusal));
    }
    std::uint32_t lostBeforeAnswer = 0;
    for (std::uint32_t engines = 0;
         engines < kMaxEngines && lostBeforeAnswer < kMaxEnginesLostBeforeAnswer; ++engines) {
        if (engines > 0 && !this->takeRetry())
            break;
        const auto engine = this->resuming ? this->chooseEngineToResume() : this->chooseEngine();
        if (!engine)
            break;
        this->tried.push_back(engine->id);
        const Common::Time start = clockNow();
        Segment segment = co_await this->runSegment(*engine);
        this->recordSegment(segment, start);
        lostBeforeAnswer += segment.isLostBeforeAnswer ? 1 : 0;
        this->metOtherVersion = this->metOtherVersion || segment.isOtherVersion;
        switch (segment.end) {
        case SegmentEnd::Complete:
            this->result.digest = std::move(segment.digest);
            co_return std::move(this->result);
        case SegmentEnd::CallerGone:
            co_return tl::unexpected(
                runError(this->scope, ErrorCode::CallerGone, "the caller disconnected"));
        case SegmentEnd::DeadlineExceeded:
            co_return tl::unexpected(runError(this->scope, ErrorCode::DeadlineExceeded,
                                              "the generation exceeded the request's deadline"));
        case SegmentEnd::DrainTimedOut:
            co_return tl::unexpected(drainTimeoutError(this->scope));
        case SegmentEnd::Broken:
        case SegmentEnd::TooSlow:
            // Another engine may generate other tokens, so it can only continue the stream if the
            // prompt and all tokens that the caller already has are known here.
            if (!this->call.hasWholePrompt
                || this->result.tokens.count() < this->result.tokens.callerTokenCount)
                co_return tl::unexpected(this->lostStreamError());
            this->resuming = false;
            problem = "engine " + engine->id.value + ": "
                + (segment.end == SegmentEnd::TooSlow ? "too slow" : segment.problem);
            break;
        }
        if (this->result.tokens.count() > 0) {
            this->scope.shared.counters.add(Counter::StreamsContinued);
            this->streamIdChanged = true;
        }
    }
    if (this->resuming)
        co_return tl::unexpected(this->lostStreamError());
    co_return tl::unexpected(this->endError(problem));
}

} // namespace

Http::Awaitable<Common::Result<GenerationResult>> generate(RequestScope &scope, Pipeline::Run &run,
                                                           GenerationCall call)
{
    Relay relay(scope, run, call);
    co_return co_await relay.runToEnd();
}

} // namespace Tanagerbay::Node
