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
    // Without an event, this endpoint has confirmed the end of the one before.
    return this->route->resumable && this->hasAnswerBegun() && !this->callerGone && !this->earlyEnd
        && this->mayLeaveSilentEndpoint(now)
        && this->state.budgets[this->service].hasExtraSend(limits,
                                                           this->state.liveInstanceCount(now), now);
}

Http::Awaitable<bool> RequestFlow::endAtDoubtfulEnd()
{
    if (!this->doubtfulEnd || *this->doubtfulEnd != this->events.eventCount() || this->callerGone)
        co_return false;
    this->state.metrics.count(labelled("doubtful_ends", "result", "unconfirmed"));
    co_await this->exchange.endStream();
    this->recordEnd("answered", "stream, its end is not confirmed");
    co_return true;
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
