// Sends a request to an endpoint and relays the response to the caller.
#include "Entry/RequestFlow.h"

#include "Common/DelayedAction.h"
#include "Entry/RequestTraits.h"
#include "Http/BodyBlocks.h"

#include <algorithm>
#include <limits>

namespace Tanagerbay::Entry {

using Serving::SendOutcome;

namespace {

// An engine fetches its inputs before it reads the prompt: 15 MB over a link of 10 Gbit/s, plus a
// margin.
constexpr Common::Milliseconds kInputFetchDuration{60};
constexpr Common::Milliseconds kConnectTimeout{250};
// Without progress for this long, a repeatable request is sent to another endpoint. The time-out is
// a multiple of the route's objective, or for streams of the expected engine time. Streams have a
// minimum well below the 2 s after which their callers give up.
constexpr int kInactivityObjectives = 2;
constexpr Common::Milliseconds kMinStreamInactivityTimeout{1200};
// How often it is checked whether a stream without progress can be resumed at another endpoint.
constexpr Common::Milliseconds kSilenceCheckInterval{100};
// Range of the urgency sent to engines, smaller being more urgent. A request without a value gets
// 5.
constexpr int kMinUrgencyValue = 3;
constexpr int kMaxUrgencyValue = 9;
constexpr unsigned kFirstServerErrorStatus = 500;
// Responses other than streams are kept in memory until they are complete. A faulty endpoint may
// send bytes without end, also to many requests at once.
constexpr std::size_t kMaxResponseBytes = 8 << 20;
constexpr std::size_t kMaxHeldResponseBytes = 32 << 20;
// A caller that has not taken what it got for this long holds its endpoint back.
constexpr Common::Milliseconds kCallerHoldsBack{1000};

// Counts the bytes of a response that is being read.
class HeldResponse
{
public:
    explicit HeldResponse(Http::MemoryAccount &account) : account(account)
    {
    }
    ~HeldResponse()
    {
        Http::releaseResponse(this->account, this->own);
    }
    HeldResponse(const HeldResponse &) = delete;
    HeldResponse &operator=(const HeldResponse &) = delete;

    // Returns false if there is no room for more.
    bool growTo(std::size_t bytes, Common::Time now)
    {
        const std::size_t total
            = this->account.held.at(static_cast<std::size_t>(Http::HeldKind::Response));
        const std::size_t more = bytes - this->own;
        if (more > 0
            && (total + more > kMaxHeldResponseBytes
                || !Http::holdResponse(this->account, more, now, this->own)))
            return false;
        this->own = bytes;
        return true;
    }

private:
    Http::MemoryAccount &account;
    std::size_t own = 0;
};

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

bool RequestFlow::couldResumeElsewhere(Common::Time now)
{
    this->learnVersion();
    if (this->isVersionUncertain)
        return false;
    const auto isOther = [&](const Routing::Endpoint &endpoint) {
        return Routing::isEligible(endpoint, now)
            && Routing::hasVersion(endpoint, this->requiredVersion)
            && std::find(this->triedEndpoints.begin(), this->triedEndpoints.end(), endpoint.id)
            == this->triedEndpoints.end();
    };
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(this->service).endpoints;
    // All known instances are an upper bound of the live ones.
    const std::size_t instances = this->state.members.byId.size() + 1;
    return this->state.budgets[this->service].hasExtraSend(this->state.settings.bounds.extraSends,
                                                           instances, now)
        && std::any_of(endpoints.begin(), endpoints.end(), isOther);
}

bool RequestFlow::hasAnotherAttempt() const
{
    return this->attempts.repeatable && this->attempts.reached + 1 < this->attempts.maxAttempts;
}

Common::Duration RequestFlow::inactivityTimeout() const
{
    if (!this->isStream())
        return this->route->objective * kInactivityObjectives;
    return std::max<Common::Duration>(kMinStreamInactivityTimeout,
                                      this->estimatedEngineTime() * kInactivityObjectives);
}

Common::Time RequestFlow::sendDeadline(Common::Time progressAt, Common::Time now)
{
    if (!this->hasAnotherAttempt()
        || (this->exchange.started() && !this->mayLeaveSilentEndpoint(now)))
        return this->deadline;
    return std::min(this->deadline, progressAt + this->inactivityTimeout());
}

bool RequestFlow::mayLeaveSilentEndpoint(Common::Time now)
{
    // A stream would be cut if nobody could go on with it. Before the exit, the stages and another
    // endpoint might not be done in time, while an endpoint that only pauses goes on.
    return !this->state.leaving && this->hasAnotherAttempt() && this->couldResumeElsewhere(now);
}

void RequestFlow::watchSilence(EventWait &wait, Common::Time now)
{
    wait.isWatched = true;
    const Common::Duration rest = wait.progressAt + this->inactivityTimeout() - now;
    const auto delay = std::max<Common::Duration>(rest, kSilenceCheckInterval);
    wait.check.start(delay, [this, &wait] {
        const Common::Time checkedAt = clockNow();
        wait.hasTimedOut = wait.isReading
            && checkedAt - wait.progressAt >= this->inactivityTimeout()
            && this->mayLeaveSilentEndpoint(checkedAt);
        if (wait.hasTimedOut)
            this->call.cancel();
        else
            this->watchSilence(wait, checkedAt);
    });
}

Http::CallOptions RequestFlow::callOptions(Common::Time now)
{
    Http::CallOptions options;
    options.deadline = this->sendDeadline(now, now);
    options.connectTimeout = kConnectTimeout;
    // A reused connection may be closed while a request is written, and a request that is not
    // repeatable cannot be sent again.
    options.freshConnection = !this->attempts.repeatable;
    options.repeatable = false;
    // The body is bounded as it is read, a stream by its events.
    options.maxBodyBytes = std::numeric_limits<std::size_t>::max();
    options.handle = &this->call;
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    if (entry && entry->maxConnections > 0)
        options.maxIdleConnections
            = Catalog::idleConnectionsAllowed(*entry, this->state.liveInstanceCount(now));
    return options;
}

void RequestFlow::applyResponseHead(const Routing::Endpoint &endpoint,
                                    const EndpointResponseHead &answer, Common::Time sentAt)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    if (answer.load)
        Routing::noteReport(pool, endpoint.id, *answer.load, clockNow());
    if (answer.holdFor)
        Routing::holdBack(pool, endpoint.id, *answer.holdFor, clockNow());
    this->dependencies.limits.noteAnswer(endpoint, answer, sentAt);
    this->dependencies.endpoints.noteResponse(endpoint, answer);
}

Http::Awaitable<RequestFlow::SendResult> RequestFlow::sendTo(const Routing::Endpoint &endpoint)
{
    const Common::Time startedAt = clockNow();
    Routing::Pool &pool = this->state.poolOf(this->service);
    if (const auto found = pool.indexById.find(endpoint.id); found != pool.indexById.end())
        Routing::beginCall(pool, found->second);
    this->beginPrompt(endpoint.id, startedAt);
    EndpointCall call;
    call.endpoint = endpoint.id;
    call.timeLeft = this->timeLeft(startedAt);
    call.workspace = this->workspaceId().value;
    call.stageResults = this->stageResults;
    call.afterEvent = this->events.lastEvent();
    if (const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
        entry && entry->engine)
        call.urgency = std::min(kMinUrgencyValue + this->priority, kMaxUrgencyValue);
    this->sentTo = {this->service,        endpoint.version, endpoint.id,
                    endpoint.incarnation, startedAt,        this->deadline};
    this->sentTo.isVersionKnown = false;
    this->sentTo.connectedBy = startedAt;
    this->lastPhase = Serving::RequestPhase::Sent;
    this->eventsBeforeSend = this->events.eventCount();
    this->lastFraming.reset();
    this->lastEnd.reset();

    SendResult result;
    // Ends with this function, so `stageRun` is valid when the action runs.
    Common::DelayedAction fetched(this->state.context);
    if (this->stageRun && !this->stageResults.empty())
        fetched.start(kInputFetchDuration, [this] { this->stageRun->markFinalEvictable(); });
    Http::CallOptions options = this->callOptions(startedAt);
    this->isTurnedBack = false;
    options.beforeFirstByte = [this, &endpoint] { return this->maySendNow(endpoint.id); };
    this->isOtherProcess = false;
    this->isAskingPeer = false;
    this->statement = ProcessStatement::None;
    this->statementStatus.reset();
    this->isConnectionReused.reset();
    const auto readAt = this->dependencies.endpoints.lastReadingBegan();
    this->listAge = readAt ? std::optional(startedAt - *readAt) : std::nullopt;
    if (this->isStream() && (this->route->resumable || this->requiredVersion)) {
        if (endpoint.incarnation != 0)
            this->addPeerQuestion(options, endpoint);
        options.acceptPeer = [this, &endpoint](const Http::Peer &peer) {
            return this->acceptPeer(endpoint, peer);
        };
    }
    auto opened = co_await this->state.client.open(
        endpoint.address, this->state.dialect.writeCall(this->request, call), std::move(options));
    Routing::CallReport report;
    report.endpoint = endpoint.id;
    if (!opened) {
        const Http::CallError &error = opened.error();
        result.outcome = error.written ? SendOutcome::Unknown : SendOutcome::NotSent;
        result.isTurnedBack = this->isTurnedBack;
        if (this->isAskingPeer) {
            this->statement = ProcessStatement::Unanswered;
            this->state.metrics.count(
                labelled("process_questions", "result", Common::nameOf(this->statement)));
        }
        // A process that has ended costs no time, so that any number of them may be asked.
        result.isOtherProcess = this->isOtherProcess
            || (this->isAskingPeer && error.failure == Http::CallFailure::ConnectionLost);
        result.connectionLost = error.written && error.failure == Http::CallFailure::ConnectionLost;
        result.detail = std::string(Common::nameOf(error.failure)) + ": " + error.message;
        const bool isUnreachable = error.failure == Http::CallFailure::ConnectFailed;
        // A fault of the network may also let connections be made that lead nowhere.
        if (isUnreachable || error.failure == Http::CallFailure::ConnectionLost)
            this->dependencies.paths.noteUnreachable(endpoint.id);
        report.end = isUnreachable ? Routing::CallEnd::Unreachable : Routing::CallEnd::Failed;
    } else {
        this->notePeer(opened->peer());
        this->isConnectionReused = opened->reusedConnection();
        const unsigned status = opened->status();
        const EndpointResponseHead answer
            = this->state.dialect.readResponseHead(status, opened->headers());
        this->applyResponseHead(endpoint, answer, startedAt);
        this->dependencies.paths.noteAnswer(!opened->reusedConnection());
        const bool isForThisRequest = answer.requestId == this->request.id;
        // Without a request ID, a response is only attributed to this request where no late
        // response to an earlier one can arrive.
        const bool isUnambiguous = answer.requestId.empty() && opened->isFirstOnConnection();
        if (answer.reportsNotRun || answer.isOtherEndpoint) {
            result = co_await this->readNotRunResponse(*opened, status,
                                                       isForThisRequest || isUnambiguous);
        } else if (!isForThisRequest) {
            opened->close();
            result.detail = "the response is for another request";
        } else {
            result = co_await this->relayAnswer(*opened, answer, &endpoint);
        }
        const bool hasSucceeded = (result.isAnswered || result.hasDoubtfulEnd) && isSuccess(status);
        report.end = hasSucceeded ? Routing::CallEnd::Succeeded : Routing::CallEnd::Failed;
    }
    if (result.connectionLost && !result.isHeldBack && !this->callerGone && !this->earlyEnd)
        this->noteConnectionLost(endpoint);
    const Common::Time now = clockNow();
    report.duration = now - startedAt;
    result.duration = report.duration;
    if (this->isStream() && this->events.eventCount() > 0)
        report.pace = report.duration / static_cast<std::int64_t>(this->events.eventCount());
    else if (!this->isStream())
        report.pace = report.duration;
    // Whether the endpoint has failed is not known of a stream that runs once and has no known end.
    const bool isEndUnknown = result.hasDoubtfulEnd && !this->route->resumable;
    if (this->callerGone || result.isTurnedBack || result.isOtherProcess || isEndUnknown
        || result.isHeldBack || (this->earlyEnd && !result.isAnswered))
        report.end = Routing::CallEnd::Cancelled;
    if (report.end == Routing::CallEnd::Succeeded)
        this->notePromptEnded(endpoint.id, now);
    Routing::endCall(this->state.poolOf(this->service), report, now);
    // A process that answers, if only to refuse, has not ended.
    const bool isUnanswered = !opened || result.connectionLost;
    if (isUnanswered
        && (report.end == Routing::CallEnd::Failed || report.end == Routing::CallEnd::Unreachable))
        this->dependencies.limits.coldEndpoints().noteFailure(this->service, endpoint.id);
    co_return result;
}

void RequestFlow::noteAnswerBegun()
{
    // The answer of another instance may be its own refusal.
    if (this->forwardedTo.empty())
        this->dependencies.crashWatch.noteAnswerBegun(this->traits);
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::relayAnswer(Http::ResponseStream &stream, const EndpointResponseHead &answer,
                         const Routing::Endpoint *endpoint)
{
    this->lastFraming = stream.framing();
    if (isSuccess(answer.status) && (!answer.isSigned || answer.isEncoded)) {
        stream.close();
        SendResult result;
        result.detail = "the response is unsigned or encoded";
        co_return result;
    }
    if (isSuccess(answer.status) && this->isStream())
        co_return co_await this->relayEventStream(stream, endpoint);
    co_return co_await this->relayBufferedResponse(stream, answer, endpoint);
}

void RequestFlow::noteConnectionLost(const Routing::Endpoint &endpoint)
{
    const Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(endpoint.id);
    // An endpoint that leaves exits by itself.
    const bool isExpectedToRun
        = found != pool.indexById.end() && !Routing::isLeaving(pool.endpoints[found->second]);
    if (isExpectedToRun && !this->hasAnswerBegun())
        this->dependencies.crashWatch.noteLost(endpoint, this->traits,
                                               traitNamesOf(this->request, this->workspaceId()));
}

Http::Awaitable<Http::CallResult<RequestFlow::Body>>
RequestFlow::readBody(Http::ResponseStream &stream)
{
    Body body;
    Http::BodyBlocks blocks;
    HeldResponse held(this->state.memory);
    while (true) {
        const auto part = co_await stream.read(this->deadline);
        if (!part)
            co_return tl::unexpected(part.error());
        if (const auto *end = std::get_if<Http::BodyEnd>(&*part)) {
            body.end = *end;
            body.bytes = blocks.join();
            co_return body;
        }
        const auto *bytes = std::get_if<std::string_view>(&*part);
        const bool isTooLong = blocks.size() + bytes->size() > kMaxResponseBytes;
        if (!isTooLong)
            blocks.append(*bytes);
        if (isTooLong || !held.growTo(blocks.heldBytes(), clockNow())) {
            stream.close();
            co_return tl::unexpected(
                Http::CallError{Http::CallFailure::BadReply, true, "the response is too large"});
        }
    }
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::readNotRunResponse(Http::ResponseStream &stream, unsigned status,
                                bool isForThisRequest)
{
    constexpr unsigned kConflict = 409;
    SendResult result;
    const auto body = co_await this->readBody(stream);
    // The statement stands in the head.
    const bool isStated = body || body.error().failure == Http::CallFailure::ConnectionLost;
    const bool isCertain = isStated && isForThisRequest;
    result.outcome = isCertain ? SendOutcome::NotRun : SendOutcome::Unknown;
    result.inputsGone = isCertain && status == kConflict;
    result.detail = "not run, status " + std::to_string(status);
    co_return result;
}

void RequestFlow::noteEnd(const Http::ResponseStream &stream, std::optional<Http::BodyEnd> end)
{
    this->lastEnd = end;
    this->wasLastRequestWritten = stream.isRequestWritten();
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::relayBufferedResponse(Http::ResponseStream &stream, const EndpointResponseHead &answer,
                                   const Routing::Endpoint *endpoint)
{
    SendResult result;
    Http::Response response;
    response.status = answer.status;
    response.headers = this->state.dialect.relayedHeaders(stream.headers());
    auto body = co_await this->readBody(stream);
    if (!body) {
        this->noteEnd(stream, std::nullopt);
        result.connectionLost = body.error().failure == Http::CallFailure::ConnectionLost;
        result.detail = "the response body is incomplete: " + body.error().message;
        co_return result;
    }
    this->noteEnd(stream, body->end);
    result.detail = co_await this->faultAtEnd(body->end, endpoint);
    result.connectionLost = !result.detail.empty();
    if (result.connectionLost)
        co_return result;
    this->noteAnswerBegun();
    response.body = std::move(body->bytes);
    // A response cannot become part of a stream that has begun.
    if (answer.status >= kFirstServerErrorStatus || this->exchange.started()) {
        result.outcome = SendOutcome::EndpointFailed;
        result.detail = "status " + std::to_string(answer.status);
        result.failure = std::move(response);
        co_return result;
    }
    result.isAnswered = true;
    const bool delivered = co_await this->exchange.respond(std::move(response));
    this->recordEnd(delivered ? "answered" : "caller-gone",
                    "status " + std::to_string(answer.status));
    co_return result;
}

Http::Awaitable<bool> RequestFlow::relayReadyEvents(const Http::Headers &headers, unsigned status)
{
    const std::string ready = this->events.takeReady();
    if (ready.empty())
        co_return true;
    if (!this->firstEventAt) {
        this->firstEventAt = clockNow();
        // The other instance has recorded where it began.
        if (this->forwardedTo.empty())
            this->noteStreamBegun();
        // The first event shows that the engine has read its inputs.
        if (this->stageRun)
            this->stageRun->releaseAll();
        this->stageResultsReleased = true;
    }
    if (!this->exchange.started()) {
        Http::Response head;
        head.status = status;
        head.headers = this->state.dialect.relayedHeaders(headers);
        if (!co_await this->exchange.beginStream(std::move(head)))
            co_return false;
    }
    co_return co_await this->exchange.writeChunk(ready);
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::relayEventStream(Http::ResponseStream &stream, const Routing::Endpoint *endpoint)
{
    SendResult result;
    const Http::Headers headers = stream.headers();
    const unsigned status = stream.status();
    bool wasAnswerBegun = false;
    // Whether the caller took its time to read what came last. The endpoint may cut off a stream
    // that stays unread, and that is no fault of its own.
    bool isHeldBack = false;
    // Ends with this function, so `call` is that of this endpoint when the check runs.
    EventWait wait(this->state.context);
    wait.progressAt = clockNow();
    while (true) {
        if (this->exchange.started() && !wait.isWatched)
            this->watchSilence(wait, clockNow());
        // Bytes of an event that does not end are no progress.
        wait.isReading = true;
        const Common::Time readUntil
            = wait.isWatched ? this->deadline : this->sendDeadline(wait.progressAt, clockNow());
        const auto part = co_await stream.read(readUntil);
        wait.isReading = false;
        if (!part) {
            this->noteEnd(stream, std::nullopt);
            result.connectionLost = part.error().failure == Http::CallFailure::ConnectionLost;
            result.isHeldBack = isHeldBack && result.connectionLost;
            result.detail = "stream interrupted: "
                + (wait.hasTimedOut ? "no progress" : part.error().message);
            break;
        }
        if (const auto *end = std::get_if<Http::BodyEnd>(&*part)) {
            result = co_await this->relayStreamEnd(stream, *end, endpoint);
            if (result.isAnswered)
                co_return result;
            break;
        }
        const std::uint64_t eventsBefore = this->events.eventCount();
        const Serving::SequenceFault fault = this->events.feed(std::get<std::string_view>(*part));
        Serving::noteEvents(this->progress, this->events);
        if (!wasAnswerBegun && this->hasAnswerBegun()) {
            wasAnswerBegun = true;
            this->noteAnswerBegun();
            if (endpoint)
                this->notePromptBegun(endpoint->id, clockNow());
        }
        const Common::Time relayedFrom = clockNow();
        if (!co_await this->relayReadyEvents(headers, status)) {
            this->callerGone = true;
            break;
        }
        isHeldBack = clockNow() - relayedFrom >= kCallerHoldsBack;
        // The events before the fault are relayed: whoever goes on with the stream begins after
        // them.
        if (fault != Serving::SequenceFault::None) {
            result.detail = "stream spoiled: " + std::string(Common::nameOf(fault));
            this->state.metrics.count(labelled("spoiled_streams", "fault", Common::nameOf(fault)));
            break;
        }
        // The caller may have taken its time to read the events.
        if (this->events.eventCount() > eventsBefore)
            wait.progressAt = clockNow();
    }
    this->settleDoubt();
    stream.close();
    this->events.discardPartialEvent();
    Serving::noteEvents(this->progress, this->events);
    co_return result;
}

} // namespace Tanagerbay::Entry
