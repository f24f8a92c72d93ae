#include "Node/Generation.h"

#include "Common/Hash.h"
#include "Http/EventStream.h"
#include "Node/StageCall.h"
#include "Pipeline/Prompt.h"
#include "Pipeline/Wire.h"

#include <charconv>

#include <boost/json.hpp>

namespace Tanagerbay::Node {

namespace json = boost::json;
namespace Wire = Pipeline::Wire;

using Common::Counter;
using Common::ErrorCode;

namespace {

// Bounds of the wait for an engine's next bytes, beyond which it is taken to have stopped.
constexpr Common::Milliseconds kLeastFirstTokenWait{800};
constexpr Common::Milliseconds kLeastTokenWait{400};
constexpr double kFirstTokenMargin = 3;
constexpr double kTokenMargin = 20;
// A stream's pace is judged once it has given this many tokens.
constexpr std::uint64_t kTokensBeforePace = 6;
// A stream this much slower than usual is moved to another engine.
constexpr double kTooSlowFactor = 3;
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
    bool takeEvent(const Http::Event &event, Part &part, std::string &outgoing);
    void takeDone(const Http::Event &event, Part &part);
    Common::Time nextReadDeadline(Common::Time now, std::uint64_t tokensOfPart) const;
    bool isTooSlow(Common::Time now, std::uint64_t tokensOfPart) const;
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
    Http::EventParser parser;
    bool done = false;
    Common::Time partStart;
    Common::Time firstTokenAt;
    std::uint64_t partFirst = 0;
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

Common::Time Relay::nextReadDeadline(Common::Time now, std::uint64_t tokensOfPart) const
{
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const Routing::Pool &pool = this->shard.pool;
    Common::Duration wait;
    if (tokensOfPart == 0) {
        const Common::Duration usual = pool.firstTokens.quantile(0.95, kLeastFirstTokenWait);
        wait = std::chrono::duration_cast<Common::Duration>(usual * kFirstTokenMargin);
        wait = std::max<Common::Duration>(wait, kLeastFirstTokenWait);
    } else {
        wait = std::chrono::duration_cast<Common::Duration>(
            std::chrono::duration<double>(pool.usualPaceSeconds * kTokenMargin));
        wait = std::max<Common::Duration>(wait, kLeastTokenWait);
    }
    return std::min(now + wait, this->run.deadline);
}

bool Relay::isTooSlow(Common::Time now, std::uint64_t tokensOfPart) const
{
    if (tokensOfPart < kTokensBeforePace)
        return false;
    const double pace
        = Common::toSeconds(now - this->firstTokenAt) / static_cast<double>(tokensOfPart - 1);
    const std::lock_guard<std::mutex> guard(this->shard.lock);
    const double usual = this->shard.pool.usualPaceSeconds;
    if (usual <= 0 || pace < kTooSlowFactor * usual)
        return false;
    // Moving is worth a new prefill only where this engine would finish too late.
    const auto left = static_cast<double>(this->call.maxTokens)
        - static_cast<double>(this->result.tokens.count());
    return left * pace > Common::toSeconds(this->run.deadline - now);
}

void Relay::takeDone(const Http::Event &event, Part &part)
{
    boost::system::error_code error;
    const json::value document = json::parse(event.data, error);
    if (error || !document.is_object())
        return;
    const json::object &object = document.get_object();
    const json::value *tokens = object.if_contains("tokens");
    const json::value *digest = object.if_contains("digest");
    const json::value *busy = object.if_contains("busyMicros");
    const json::value *load = object.if_contains("load");
    if (busy && busy->is_int64())
        part.report.busy = std::chrono::microseconds(busy->get_int64());
    if (load)
        part.report.load = parseLoadReport(json::serialize(*load));
    if (!tokens || !tokens->is_int64() || !digest || !digest->is_string())
        return;
    this->done = true;
    part.digest = std::string(digest->get_string());
    const auto verdict = Pipeline::judgeEnd(
        this->result.tokens, static_cast<std::uint64_t>(tokens->get_int64()), part.digest);
    part.end = verdict == Pipeline::EndVerdict::Whole ? PartEnd::Whole : PartEnd::Broken;
    if (part.end != PartEnd::Whole)
        part.problem = "the terminal marker does not match the tokens";
}

// Returns false where the engine's stream cannot be used any further.
bool Relay::takeEvent(const Http::Event &event, Part &part, std::string &outgoing)
{
    if (event.type == Wire::kDoneEvent) {
        this->takeDone(event, part);
        return this->done;
    }
    std::uint64_t offset = 0;
    const char *end = event.id.data() + event.id.size();
    const auto parsed = std::from_chars(event.id.data(), end, offset);
    if (!event.type.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        part.problem = "the engine sent a malformed event";
        return false;
    }
    const auto verdict = Pipeline::takeToken(this->result.tokens, offset, event.data);
    if (verdict == Pipeline::TokenVerdict::Gap) {
        part.problem = "the engine left out tokens";
        return false;
    }
    if (verdict == Pipeline::TokenVerdict::Deliver
        && Pipeline::callerNeeds(this->result.tokens, offset)) {
        this->scope.shared.counters.add(Counter::TokensDelivered);
        if (this->call.stream)
            Http::appendEvent(outgoing, event);
    }
    return true;
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

Http::Awaitable<Part> Relay::readPart(Http::ResponseStream &reply, Part part)
{
    std::string outgoing;
    Http::Event event;
    bool usable = true;
    while (usable && !this->done) {
        const std::uint64_t before = this->result.tokens.count() - this->partFirst;
        const Common::Time readBy = this->nextReadDeadline(clockNow(), before);
        const auto bytes = co_await reply.read(readBy);
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
        this->parser.feed(*bytes);
        outgoing.clear();
        if (this->moved && this->call.stream && this->scope.exchange.started())
            Http::appendEvent(outgoing, {"", std::string(Wire::kMovedEvent), this->streamId});
        this->moved = false;
        while (usable && !this->done && this->parser.next(event))
            usable = this->takeEvent(event, part, outgoing);
        const std::uint64_t after = this->result.tokens.count() - this->partFirst;
        if (before == 0 && after > 0)
            this->firstTokenAt = now;
        if (!outgoing.empty() && !co_await this->forward(outgoing)) {
            part.end = PartEnd::CallerGone;
            co_return part;
        }
        if (!this->done && this->isTooSlow(now, after)) {
            part.end = PartEnd::TooSlow;
            co_return part;
        }
    }
    if (this->done) {
        // Reads the end of the body, so that the connection can be used again.
        co_await reply.read(this->nextReadDeadline(clockNow(), 1));
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
    this->partStart = now;
    this->partFirst = this->result.tokens.count();
    this->parser = Http::EventParser();
    const Pipeline::AttemptTag tag
        = Pipeline::beginAttempt(this->run, randomId(this->scope.worker.random), false);
    Http::Request request = this->requestFor(tag, now);
    // The engine keeps the stream under this name once its reader has left.
    const std::string tagText = Pipeline::formatTag(tag);
    this->streamId = engine.id.value + "/" + tagText.substr(0, tagText.rfind(':'));
    Http::CallHandle handle;
    this->scope.cancelCalls = [&handle] { handle.cancel(); };
    Http::CallOptions options;
    options.deadline = this->nextReadDeadline(now, 0);
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
    const std::uint64_t tokens = this->result.tokens.count() - this->partFirst;
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
    this->scope.shared.metrics.noteStageCall(this->call.pool, succeeded, report.duration,
                                             report.busy);
    if (tokens > 0 && this->partFirst == 0)
        this->scope.shared.metrics.noteFirstToken(this->firstTokenAt - this->scope.startedAt);
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
    this->result.tokens.callerHolds = this->resuming ? this->call.resume->tokensHeld : 0;
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
            if (this->result.tokens.count() < this->result.tokens.callerHolds)
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

std::string streamOwner(const Common::WorkspaceId &workspace, const Common::RequestId &request)
{
    return Common::digestOf(std::to_string(workspace.value.size()) + ":" + workspace.value + "/"
                            + request.value);
}

Common::Result<std::optional<ResumePoint>> readResumePoint(const RequestScope &scope)
{
    const Http::Headers &headers = scope.exchange.request().headers;
    const std::string_view last = headers.find("Last-Event-ID");
    const std::string_view id = headers.find(Wire::kStreamId);
    if (last.empty())
        return std::nullopt;
    ResumePoint point;
    std::uint64_t lastToken = 0;
    const auto parsed = std::from_chars(last.data(), last.data() + last.size(), lastToken);
    const std::size_t slash = id.find('/');
    const bool readable = parsed.ec == std::errc() && parsed.ptr == last.data() + last.size()
        && slash != std::string_view::npos;
    if (!readable) {
        return Common::notRun(
            ErrorCode::BadInput,
            "to go on with a stream, send Last-Event-ID, Stream-Id and Request-Id");
    }
    point.engine = Common::EndpointId(std::string(id.substr(0, slash)));
    point.streamName = std::string(id.substr(slash + 1));
    point.tokensHeld = lastToken + 1;
    if (!point.streamName.starts_with(streamOwner(scope.access.workspace->id, scope.requestId)
                                      + "-"))
        return Common::notRun(ErrorCode::NotAllowed, "the stream belongs to another request");
    return point;
}

Http::Awaitable<Common::Result<GenerationEnd>> generate(RequestScope &scope, Pipeline::Run &run,
                                                        GenerationCall call)
{
    Relay relay(scope, run, call);
    co_return co_await relay.runToEnd();
}

} // namespace Tanagerbay::Node
