// Decides whether an answer that ended with its connection is complete. The system ends the
// connections of a killed process in the same way as those of a process that has written all.
#include "Entry/ProcessQuestion.h"
#include "Entry/RequestFlow.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace {

// How long an endpoint may take to tell that it still is the process that wrote the answer, if the
// request can be sent elsewhere, and if it cannot.
constexpr Common::Milliseconds kConfirmationTimeout{100};
constexpr Common::Milliseconds kLastConfirmationTimeout{1500};
// Part of the retry budget that doubted ends may use up. The rest is left for failed sends.
constexpr double kBudgetPartForDoubts = 0.5;
// Part of the time after which callers abandon a stream that a doubt about its end may take.
constexpr int kDoubtDivisor = 2;

} // namespace

Http::Awaitable<std::string> RequestFlow::faultAtEnd(Http::BodyEnd end,
                                                     const Routing::Endpoint *endpoint)
{
    if (end == Http::BodyEnd::Whole)
        co_return "";
    // Instances always frame what they relay.
    if (!endpoint)
        co_return "the answer of another instance ended with its connection";
    const Common::Time endedAt = clockNow();
    const bool mayLeave = this->mayLeaveSilentEndpoint(endedAt);
    const Common::Duration wait = mayLeave ? kConfirmationTimeout : kLastConfirmationTimeout;
    ProcessAnswer answer = co_await this->confirmWriter(endpoint, endedAt + wait);
    // Meanwhile other requests may have used the retry budget.
    const bool mustWait = mayLeave && answer == ProcessAnswer::Unanswered
        && !this->mayLeaveSilentEndpoint(clockNow());
    if (mustWait)
        answer = co_await this->confirmWriter(endpoint, endedAt + kLastConfirmationTimeout);
    this->state.metrics.count(labelled("end_checks", "result", Common::nameOf(answer)));
    if (answer == ProcessAnswer::Same)
        co_return "";
    co_return "the answer ended with its connection, its process: "
        + std::string(Common::nameOf(answer));
}

Http::Awaitable<ProcessAnswer> RequestFlow::confirmWriter(const Routing::Endpoint *endpoint,
                                                          Common::Time until)
{
    const Common::Time now = clockNow();
    // The answer would be late if the question waited for its permit.
    this->takePermit(endpoint->id, 1, now);
    Http::CallOptions options;
    options.handle = &this->call;
    options.deadline = std::min(this->deadline, until);
    options.connectTimeout = kLastConfirmationTimeout;
    // A repetition would be another request to an endpoint that may limit them.
    options.freshConnection = this->hasPermit;
    Routing::Endpoint writer = *endpoint;
    writer.incarnation = this->sentTo.incarnation;
    const ProcessReply reply = co_await askForProcess(this->state, std::move(writer), options);
    if (reply.head)
        this->applyResponseHead(*endpoint, *reply.head, now);
    if (!reply.startTime)
        co_return reply.answer;
    // The list may not show yet that the endpoint was restarted before the request was sent.
    EndpointDiscovery &endpoints = this->dependencies.endpoints;
    const bool hasRunSince
        = endpoints.hadStated(endpoint->id, *reply.startTime, this->sentTo.sentAt);
    endpoints.noteStated(endpoint->id, *reply.startTime, clockNow());
    co_return hasRunSince ? ProcessAnswer::Same : reply.answer;
}

bool RequestFlow::mayAskForRest()
{
    const Common::Time now = clockNow();
    const Serving::FleetBudgetLimits limits
        = Serving::partOf(this->state.settings.bounds.extraSends, kBudgetPartForDoubts);
    // An endpoint that ends its answer without an event confirms an end that was doubted, but not
    // a stream that was broken off.
    return this->route->resumable && this->events.lastEvent() && !this->doubtfulEnd
        && !this->callerGone && !this->earlyEnd && this->mayLeaveSilentEndpoint(now)
        && this->state.budgets[this->service].hasExtraSend(limits,
                                                           this->state.liveInstanceCount(now), now);
}

bool RequestFlow::isEndInDoubt() const
{
    return this->doubtfulEnd && this->doubtfulEnd->eventCount == this->events.eventCount()
        && !this->events.hasBegunNextEvent();
}

void RequestFlow::beginDoubt(Http::Response head)
{
    this->doubtfulEnd = DoubtfulEnd{this->events.eventCount(), std::move(head)};
    // The caller has what may be the whole stream, and would abandon it.
    this->doubtTimer.start(this->abandonTimeout() / kDoubtDivisor, [this] {
        if (this->isEndInDoubt())
            this->endEarly(EarlyEnd::Doubt);
    });
}

void RequestFlow::settleDoubt()
{
    if (!this->doubtfulEnd || this->isEndInDoubt())
        return;
    this->state.metrics.count(labelled("doubtful_ends", "result", "went on"));
    this->doubtfulEnd.reset();
    this->doubtTimer.cancel();
    // The timer may have run in the same turn.
    if (this->earlyEnd == EarlyEnd::Doubt)
        this->earlyEnd.reset();
}

Http::Awaitable<void> RequestFlow::completeStream(Http::Response head)
{
    // A stream without events is a complete response.
    if (this->exchange.started())
        co_await this->exchange.endStream();
    else
        co_await this->exchange.respond(std::move(head));
}

Http::Awaitable<bool> RequestFlow::endAtDoubtfulEnd()
{
    if (!this->isEndInDoubt() || this->callerGone)
        co_return false;
    this->state.metrics.count(labelled("doubtful_ends", "result", "unconfirmed"));
    Http::Response head = std::move(this->doubtfulEnd->head);
    co_await this->completeStream(std::move(head));
    this->recordEnd("answered", "stream, its end is not confirmed");
    co_return true;
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::relayStreamEnd(Http::ResponseStream &stream, Http::BodyEnd end,
                            const Routing::Endpoint *endpoint)
{
    SendResult result;
    this->noteEnd(stream, end);
    Http::Response head;
    head.status = stream.status();
    head.headers = this->state.dialect.relayedHeaders(stream.headers());
    result.detail = co_await this->faultAtStreamEnd(end, endpoint);
    result.connectionLost = !result.detail.empty();
    if (result.connectionLost)
        co_return result;
    this->settleDoubt();
    // Such an end confirms one that was doubted, but not that of an answer that was broken off.
    const bool isBare = end == Http::BodyEnd::Closed && !this->hasAnswerBegun();
    if (isBare && this->events.eventCount() > 0 && !this->doubtfulEnd) {
        result.detail = "stream ended with its connection, without an event";
        co_return result;
    }
    result.hasDoubtfulEnd = end == Http::BodyEnd::Closed && this->mayAskForRest();
    if (result.hasDoubtfulEnd) {
        this->beginDoubt(std::move(head));
        result.detail = "stream ended with its connection";
        co_return result;
    }
    if (this->doubtfulEnd)
        this->state.metrics.count(labelled("doubtful_ends", "result", "confirmed"));
    else if (end == Http::BodyEnd::Closed && this->route->resumable)
        this->state.metrics.count(labelled("doubtful_ends", "result", "not asked"));
    this->doubtTimer.cancel();
    result.isAnswered = true;
    co_await this->completeStream(std::move(head));
    this->recordEnd(this->callerGone ? "caller-gone" : "answered", "stream");
    co_return result;
}

Http::Awaitable<std::string> RequestFlow::faultAtStreamEnd(Http::BodyEnd end,
                                                           const Routing::Endpoint *endpoint)
{
    if (this->events.hasPartialEvent())
        co_return "stream ended within an event";
    // A stream that goes on may have nothing left to send.
    if (end == Http::BodyEnd::Closed && !this->hasAnswerBegun() && !this->events.lastEvent())
        co_return "stream ended with its connection, without an event";
    co_return co_await this->faultAtEnd(end, endpoint);
}

} // namespace Tanagerbay::Entry
