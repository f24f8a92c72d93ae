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
    endpoints.noteStated(endpoint->id, *reply.startTime, now);
    co_return hasRunSince ? ProcessAnswer::Same : reply.answer;
}

std::uint64_t RequestFlow::maxEvents() const
{
    // A request that takes a stream up does not tell how many tokens its earlier events hold.
    if (this->request.lastEvent)
        return 0;
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    const std::uint64_t perEvent = entry && entry->engine ? entry->engine->tokensPerEvent : 1;
    return Serving::eventsOfTokens(this->request.prompt.maxTokensOut, perEvent);
}

bool RequestFlow::isDoubtAffordable(Common::Time now)
{
    // A leaving instance cuts what it does not end in time, and sends little else.
    const double part = this->state.leaving ? 1 : kBudgetPartForDoubts;
    const Serving::FleetBudgetLimits limits
        = Serving::partOf(this->state.settings.bounds.extraSends, part);
    return this->state.budgets[this->service].hasExtraSend(limits,
                                                           this->state.liveInstanceCount(now), now);
}

void RequestFlow::beginDoubt(Common::Time endedAt)
{
    this->progress.doubtedEnd = this->progress.lastEvent;
    this->progress.doubtedEndpoint = this->sentTo.endpoint;
    // The caller has what may be the whole stream, and would abandon it rather than take it up.
    const Common::Duration elapsed = clockNow() - endedAt;
    this->doubtTimer.start(this->abandonTimeout() / kDoubtDivisor - elapsed, [this] {
        if (Serving::isEndInDoubt(this->progress))
            this->endEarly(EarlyEnd::Doubt);
    });
}

void RequestFlow::settleDoubt()
{
    if (!this->progress.doubtedEnd || Serving::isEndInDoubt(this->progress))
        return;
    this->state.metrics.count(labelled("doubtful_ends", "result", "went on"));
    this->progress.doubtedEnd.reset();
    this->doubtTimer.cancel();
    // The timer may have run in the same turn.
    if (this->earlyEnd == EarlyEnd::Doubt)
        this->earlyEnd.reset();
}

void RequestFlow::noteUnframedCut()
{
    const std::string counter = labelled("unframed_streams_cut", "service", this->service);
    if (!this->state.metrics.counters.contains(counter))
        this->state.log.write(LogLine("unframed-stream-cut")
                                  .text("request", this->request.id)
                                  .text("service", this->service)
                                  .text("endpoint", this->sentTo.endpoint.value),
                              clockNow());
    this->state.metrics.count(counter);
}

void RequestFlow::preferOtherThanDoubted()
{
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(this->service).endpoints;
    const Common::Time now = clockNow();
    const bool hasOther = std::any_of(
        endpoints.begin(), endpoints.end(), [this, now](const Routing::Endpoint &each) {
            return each.id != this->progress.doubtedEndpoint && Routing::isEligible(each, now)
                && Routing::hasVersion(each, this->requiredVersion);
        });
    if (hasOther)
        this->triedEndpoints.push_back(this->progress.doubtedEndpoint);
}

void RequestFlow::noteIncompleteStream()
{
    if (!this->route || !this->route->resumable || std::exchange(this->isIncompleteNoted, true))
        return;
    // Without an origin there is one version only, which any endpoint of the service runs.
    Serving::StreamOrigin known = this->origin.value_or(this->sentTo);
    const bool hasNewDoubt
        = Serving::isEndInDoubt(this->progress) && this->progress.doubtedEnd != known.doubtedEnd;
    if (!hasNewDoubt && this->progress.lastBegunEvent <= known.lastBegunEvent)
        return;
    if (hasNewDoubt) {
        this->state.metrics.count(labelled("doubtful_ends", "result", "unconfirmed"));
        known.doubtedEnd = this->progress.doubtedEnd;
        known.doubtedEndpoint = this->progress.doubtedEndpoint;
    }
    known.lastBegunEvent = this->progress.lastBegunEvent;
    known.expiresAt = Serving::originExpiry(this->deadline, clockNow());
    // Where a stream went on that nobody knew does not tell where it began.
    const Serving::StreamOrigin begun
        = this->isOriginPresumed ? Serving::presumedOrigin(known) : known;
    this->dependencies.streams.noteIncomplete(this->request.id, this->origin ? known : begun);
    // A caller may name this attempt or the one that this attempt resumes.
    if (this->isResumption() && this->request.resumedAttempt != this->request.id)
        this->dependencies.streams.noteIncomplete(this->request.resumedAttempt, begun);
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::relayStreamEnd(Http::ResponseStream &stream, Http::BodyEnd end,
                            const Routing::Endpoint *endpoint)
{
    const Common::Time endedAt = clockNow();
    SendResult result;
    this->noteEnd(stream, end);
    this->progress.maxEvents = this->maxEvents();
    const bool isFramed = end == Http::BodyEnd::Whole;
    const bool isTrusted = this->state.settings.closeDelimitedServices.contains(this->service);
    const Serving::StreamEnd judged
        = Serving::judgeEnd(this->progress, {isFramed, this->route->resumable, isTrusted});
    const bool hasAllTokens = Serving::hasAllTokens(this->progress);
    const bool isSpoiled
        = judged == Serving::StreamEnd::WithinEvent || judged == Serving::StreamEnd::WithoutEvent;
    const bool isUnconfirmed = judged == Serving::StreamEnd::Unconfirmed;
    // Its process could not tell whether a stream that runs once is whole.
    const bool isCut = isUnconfirmed && !this->route->resumable && endpoint;
    if (!isFramed && !isSpoiled && !hasAllTokens && !isCut)
        result.detail = co_await this->faultAtEnd(end, endpoint);
    result.connectionLost = !result.detail.empty() || (isSpoiled && !isFramed);
    if (!result.detail.empty())
        co_return result;
    this->settleDoubt();
    result.hasDoubtfulEnd = isUnconfirmed;
    if (isCut)
        this->noteUnframedCut();
    else if (isUnconfirmed)
        this->beginDoubt(endedAt);
    if (judged != Serving::StreamEnd::Complete) {
        result.detail = "stream ended " + std::string(Common::nameOf(judged));
        co_return result;
    }
    if (Serving::isEndInDoubt(this->progress))
        this->state.metrics.count(labelled("doubtful_ends", "result", "confirmed"));
    else if (!isFramed && !hasAllTokens)
        this->state.metrics.count(labelled("doubtful_ends", "result", "trusted"));
    this->doubtTimer.cancel();
    result.isAnswered = true;
    Http::Response head;
    head.status = stream.status();
    head.headers = this->state.dialect.relayedHeaders(stream.headers());
    // A stream that was taken up may have nothing left to send.
    if (this->exchange.started())
        co_await this->exchange.endStream();
    else
        co_await this->exchange.respond(std::move(head));
    this->recordEnd(this->callerGone ? "caller-gone" : "answered", "stream");
    co_return result;
}

} // namespace Tanagerbay::Entry
