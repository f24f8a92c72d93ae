// One send of a request to an endpoint, and what comes back of it.
#include "Entry/RequestFlow.h"

namespace Tanagerbay::Entry {

using Serving::SendOutcome;

namespace {

// An engine fetches its inputs before it reads the prompt: 15 MB over a link of 10 Gbit/s, and
// some.
constexpr Common::Milliseconds kFetchTime{60};
constexpr Common::Milliseconds kConnectTimeout{250};
// Without a byte for this long, a request that may be repeated goes to another endpoint: this many
// objectives for answers, and a fixed time for streams, well within the two seconds of callers.
constexpr int kSilentObjectives = 2;
constexpr Common::Milliseconds kSilentStream{1200};
// An endpoint that says that it leaves may only close this connection; its entry settles it.
constexpr Common::Milliseconds kAvoidLeaving{1500};
// An address that another endpoint has taken over; the old entry is gone by then.
constexpr Common::Milliseconds kAvoidReplaced{5000};
// Most urgent value given to engines; 5 is what a request without a value gets.
constexpr int kUrgencyBase = 3;
constexpr int kMostUrgency = 9;
constexpr unsigned kFirstFailureStatus = 500;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

Common::Time RequestFlow::sendDeadline(Common::Time now) const
{
    const bool another
        = this->attempts.repeatable && this->attempts.reached + 1 < this->attempts.maxAttempts;
    if (!another)
        return this->deadline;
    const Common::Duration silence = this->isStream()
        ? std::max<Common::Duration>(kSilentStream, this->engineTime() * kSilentObjectives)
        : Common::Duration(this->route->objective * kSilentObjectives);
    return std::min(this->deadline, now + silence);
}

Http::CallOptions RequestFlow::callOptions(Common::Time now)
{
    Http::CallOptions options;
    options.deadline = this->sendDeadline(now);
    options.connectTimeout = kConnectTimeout;
    // A kept connection may die under a request, which then cannot be sent again.
    options.freshConnection = !this->attempts.repeatable;
    options.repeatable = false;
    options.handle = &this->call;
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    if (entry && entry->maxConnections > 0)
        options.mostIdle = Catalog::idleConnectionsAllowed(*entry, this->state.liveInstances(now));
    return options;
}

void RequestFlow::noteAnswerHead(const Routing::Endpoint &endpoint, const EndpointAnswer &answer)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(endpoint.id);
    if (found != pool.indexById.end() && answer.load)
        Routing::noteReport(pool.endpoints[found->second], *answer.load);
    if (answer.otherEndpoint)
        this->parts.endpoints.avoid(endpoint.id, kAvoidReplaced);
    else if (answer.isLeaving)
        this->parts.endpoints.avoid(endpoint.id, kAvoidLeaving);
}

Http::Awaitable<RequestFlow::SendResult> RequestFlow::sendTo(const Routing::Endpoint &endpoint)
{
    const Common::Time begun = clockNow();
    Routing::Pool &pool = this->state.poolOf(this->service);
    if (const auto found = pool.indexById.find(endpoint.id); found != pool.indexById.end())
        Routing::beginCall(pool, found->second);
    EndpointCall call;
    call.endpoint = endpoint.id;
    call.timeLeft = this->timeLeft(begun);
    if (this->workspace)
        call.workspace = this->workspace->id.value;
    call.stageResults = this->stageResults;
    call.afterEvent = this->events.lastEvent();
    if (const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
        entry && entry->engine)
        call.urgency = std::min(kUrgencyBase + this->priority, kMostUrgency);
    this->lastEndpoint = endpoint.id.value;

    SendResult result;
    boost::asio::steady_timer fetchTimer(this->state.context);
    if (this->stageRun && !this->stageResults.empty()) {
        fetchTimer.expires_after(kFetchTime);
        // Waiting ends with this function, so the run is still there.
        fetchTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->stageRun->markFinalSpare();
        });
    }
    auto opened = co_await this->state.client.open(
        endpoint.address, this->state.dialect.writeCall(this->request, call),
        this->callOptions(begun));
    Routing::CallReport report;
    report.endpoint = endpoint.id;
    if (!opened) {
        const Http::CallError &error = opened.error();
        result.outcome = error.written ? SendOutcome::Unknown : SendOutcome::NotSent;
        result.detail = std::string(Common::nameOf(error.failure)) + ": " + error.message;
        report.end = error.failure == Http::CallFailure::ConnectFailed
            ? Routing::CallEnd::Unreachable
            : Routing::CallEnd::Failed;
    } else {
        const unsigned status = opened->status();
        const EndpointAnswer answer = this->state.dialect.readAnswer(status, opened->headers());
        this->noteAnswerHead(endpoint, answer);
        const bool matches = answer.requestId == this->request.id;
        const bool unnamed = answer.requestId.empty() && !opened->reusedConnection();
        if (answer.saysNotRun || answer.otherEndpoint) {
            result = co_await this->takeNotRun(*opened, status, matches || unnamed);
        } else if (!matches) {
            opened->close();
            result.detail = "the answer names another request";
        } else if (isSuccess(status) && (!answer.isSigned || answer.isEncoded)) {
            opened->close();
            result.detail = "the answer is not the endpoint's own";
        } else if (isSuccess(status) && this->isStream()) {
            result = co_await this->relayEvents(*opened);
        } else {
            result = co_await this->relayWhole(*opened, answer);
        }
        const bool good = result.answered && isSuccess(status);
        report.end = good ? Routing::CallEnd::Succeeded : Routing::CallEnd::Failed;
    }
    const Common::Time now = clockNow();
    report.duration = now - begun;
    if (this->isStream() && this->events.eventCount() > 0)
        report.pace = report.duration / static_cast<std::int64_t>(this->events.eventCount());
    else if (!this->isStream())
        report.pace = report.duration;
    if (this->callerGone)
        report.end = Routing::CallEnd::Cancelled;
    Routing::endCall(this->state.poolOf(this->service), report, now);
    co_return result;
}

Http::Awaitable<std::optional<std::string>> RequestFlow::readBody(Http::ResponseStream &stream)
{
    std::string body;
    while (true) {
        const auto bytes = co_await stream.read(this->deadline);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return body;
        body.append(*bytes);
    }
}

Http::Awaitable<RequestFlow::SendResult> RequestFlow::takeNotRun(Http::ResponseStream &stream,
                                                                 unsigned status, bool matches)
{
    constexpr unsigned kConflict = 409;
    SendResult result;
    const auto body = co_await this->readBody(stream);
    const bool certain = body.has_value() && matches;
    result.outcome = certain ? SendOutcome::NotRun : SendOutcome::Unknown;
    result.inputsGone = certain && status == kConflict;
    result.detail = "not run, status " + std::to_string(status);
    co_return result;
}

Http::Awaitable<RequestFlow::SendResult> RequestFlow::relayWhole(Http::ResponseStream &stream,
                                                                 const EndpointAnswer &answer)
{
    SendResult result;
    Http::Response response;
    response.status = answer.status;
    response.headers = this->state.dialect.relayedHeaders(stream.headers());
    auto body = co_await this->readBody(stream);
    if (!body) {
        result.detail = "the answer is not whole";
        co_return result;
    }
    response.body = std::move(*body);
    if (answer.status >= kFirstFailureStatus) {
        result.outcome = SendOutcome::EndpointFailed;
        result.detail = "status " + std::to_string(answer.status);
        result.failure = std::move(response);
        co_return result;
    }
    result.answered = true;
    const bool delivered = co_await this->exchange.respond(std::move(response));
    this->noteEnd(delivered ? "answered" : "caller-gone",
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
        // The engine has read its inputs.
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

Http::Awaitable<RequestFlow::SendResult> RequestFlow::relayEvents(Http::ResponseStream &stream)
{
    SendResult result;
    const Http::Headers headers = stream.headers();
    const unsigned status = stream.status();
    while (true) {
        const auto bytes = co_await stream.read(this->sendDeadline(clockNow()));
        if (!bytes) {
            result.detail = "stream cut: " + bytes.error().message;
            break;
        }
        if (bytes->empty() && this->events.hasPartialEvent()) {
            result.detail = "stream ended within an event";
            break;
        }
        if (bytes->empty()) {
            result.answered = true;
            if (!this->exchange.started()) {
                // A stream without events is whole as it is.
                Http::Response empty{status, this->state.dialect.relayedHeaders(headers), ""};
                co_await this->exchange.respond(std::move(empty));
            } else {
                co_await this->exchange.endStream();
            }
            this->noteEnd(this->callerGone ? "caller-gone" : "answered", "stream");
            co_return result;
        }
        if (this->events.feed(*bytes) != Serving::SequenceFault::None) {
            result.detail = "stream out of order";
            break;
        }
        if (!co_await this->relayReadyEvents(headers, status)) {
            this->callerGone = true;
            break;
        }
    }
    stream.close();
    this->events.discardPartialEvent();
    co_return result;
}

} // namespace Tanagerbay::Entry
