#include "Entry/RequestFlow.h"

#include "Entry/RequestTraits.h"
#include "Routing/AffinityChoice.h"
#include "Serving/RetryAfter.h"

namespace Tanagerbay::Entry {

using Serving::NextStep;
using Serving::SendOutcome;

namespace {

// Subtracted from the caller's deadline to leave time for the response to reach the caller.
constexpr Common::Milliseconds kDeadlineMargin{20};
// Time-out if neither the caller nor the route specifies one.
constexpr Common::Milliseconds kDefaultRequestTimeout{60'000};
// Prefill rate of an engine, close to the values in the deployment specifications.
constexpr double kPromptTokensPerMs = 38;
// Time of one engine step, which makes one token of each stream; also close to those values.
constexpr Common::Milliseconds kEngineStepDuration{6};
// Callers give the number of tokens themselves.
constexpr std::uint64_t kMaxExpectedTokens = 1'000'000;
// Time to an engine's first event in addition to the prefill: fetching inputs, queueing, engine
// steps.
constexpr Common::Milliseconds kEngineOverhead{100};
// Retry-After of refusals without a better estimate: about the duration of one stage call.
constexpr Common::Milliseconds kDefaultRetryAfter{300};
// Maximum number of times that the stages of a request are restarted after a result was lost. More
// would keep an overload up that loses results because of its length.
constexpr int kMaxStageRepeats = 1;
// Callers abandon a stream if they wait for its first event, or between two events, for the longest
// of `kMinAbandonTimeout`, this many objectives of the route and this many objectives for the gap
// between events.
constexpr Common::Milliseconds kMinAbandonTimeout{2000};
constexpr int kAbandonTimeoutObjectives = 4;
constexpr int kAbandonTimeoutGaps = 8;
// Endpoints whose process is not known that are asked for it before a stream is refused. Where one
// does not state it, most do not.
constexpr int kMaxUnknownPeers = 3;
// Callers choose the number and the names of prompt parts, so that a log line bounds both.
constexpr std::size_t kMaxLoggedParts = 8;
constexpr std::size_t kMaxLoggedPartLength = 16;
} // namespace

RequestFlow::RequestFlow(const RequestDependencies &dependencies, Http::Exchange &exchange,
                         CallerRequest callerRequest, RequestSource source)
    : dependencies(dependencies), state(dependencies.state), exchange(exchange),
      request(std::move(callerRequest)), source(source),
      events(this->request.lastEvent, dependencies.state.settings.firstEvent),
      permitTimer(dependencies.state.context), doubtTimer(dependencies.state.context)
{
    Serving::noteEvents(this->progress, this->events);
}

Common::WorkspaceId RequestFlow::workspaceId() const
{
    return this->workspace ? this->workspace->id : Common::WorkspaceId();
}

bool RequestFlow::isStream() const
{
    return this->route->kind == Catalog::RouteKind::Streaming;
}

std::string_view RequestFlow::affinityKey() const
{
    const std::vector<PromptPart> &parts = this->request.prompt.parts;
    // The last part is specific to this request; the one before it is shared within its session.
    if (parts.empty())
        return {};
    return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

std::string RequestFlow::sharedPartNames() const
{
    std::string names;
    const std::vector<PromptPart> &parts = this->request.prompt.parts;
    for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i)
        names += (names.empty() ? "" : ",") + parts[i].id.substr(0, kMaxLoggedPartLength);
    return names;
}

Common::Duration RequestFlow::estimatedEngineTime() const
{
    const std::uint64_t tokens = std::min(this->request.prompt.tokensIn, kMaxExpectedTokens);
    const double milliseconds = static_cast<double>(tokens) / kPromptTokensPerMs;
    return kEngineOverhead + Common::Milliseconds(static_cast<std::int64_t>(milliseconds));
}

Common::Duration RequestFlow::estimatedResponseTime() const
{
    const Catalog::Service *entry
        = this->catalog ? Catalog::findService(*this->catalog, this->service) : nullptr;
    if (!entry || !entry->engine)
        return Common::Duration(0);
    const std::uint64_t steps = std::min(this->request.prompt.maxTokensOut, kMaxExpectedTokens);
    return this->estimatedEngineTime() + kEngineStepDuration * static_cast<std::int64_t>(steps);
}

Common::Duration RequestFlow::timeLeft(Common::Time now) const
{
    return this->deadline - now;
}

Http::Awaitable<void> RequestFlow::run()
{
    this->exchange.onCallerGone([this] {
        this->callerGone = true;
        this->call.cancel();
        this->permitTimer.cancel();
        if (this->stageRun)
            this->stageRun->cancel();
    });
    this->callerGone = this->exchange.callerGone();
    if (!co_await this->admit())
        co_return;
    if (this->mustForward() && co_await this->forward())
        co_return;
    if (!co_await this->admitResumption())
        co_return;
    if (!this->route->stages.empty() && !co_await this->runStages())
        co_return;
    co_await this->sendUntilAnswered();
}

std::optional<RefusalReason> RequestFlow::findRouteAndWorkspace()
{
    this->catalog = this->state.catalog;
    if (!this->catalog)
        return RefusalReason::NotReady;
    this->route = Catalog::findRoute(*this->catalog, this->request.host, this->request.path);
    if (!this->route)
        return RefusalReason::NoSuchRoute;
    this->workspace = Catalog::findWorkspace(*this->catalog, this->request.key);
    const bool needsKey = !this->route->isPublic && !this->catalog->workspaces.empty();
    if (needsKey && !this->workspace)
        return RefusalReason::UnknownKey;
    return std::nullopt;
}

Http::Awaitable<std::optional<Refusal>> RequestFlow::checkRoute()
{
    const Refusal notReady(RefusalReason::NotReady, true, kDefaultRetryAfter);
    // The route may have become known only after the body was dropped for lack of it.
    const bool isBodyDropped = this->exchange.request().isBodyDropped;
    auto reason = this->findRouteAndWorkspace();
    if (!reason && isBodyDropped)
        co_return notReady;
    if (!reason)
        co_return std::nullopt;
    if (*reason == RefusalReason::NotReady)
        co_return notReady;
    if (this->cannotConfirmBeforeExit(clockNow()))
        co_return this->refusalForShutdown();
    // The local catalog may be stale: the operator may just have added the route or the key.
    if (!co_await this->dependencies.catalogs.confirm())
        co_return notReady;
    reason = this->findRouteAndWorkspace();
    if (!reason && isBodyDropped)
        co_return notReady;
    if (!reason)
        co_return std::nullopt;
    co_return Refusal{*reason, true, std::nullopt};
}

Http::Awaitable<bool> RequestFlow::admit()
{
    if (const auto refusal = co_await this->checkRoute()) {
        co_await this->refuse(*refusal, "");
        co_return false;
    }
    if (this->callerGone) {
        this->recordEnd("caller-gone", "before the request was sent");
        co_return false;
    }
    Common::Duration timeout = kDefaultRequestTimeout;
    if (this->route->timeout.count() > 0)
        timeout = this->route->timeout;
    if (this->request.callerTimeout)
        timeout = std::min(timeout, *this->request.callerTimeout);
    this->deadline = this->request.receivedAt + timeout - kDeadlineMargin;
    this->priority = this->route->priority;
    if (this->workspace && this->workspace->priority)
        this->priority = *this->workspace->priority;
    this->attempts.repeatable = Catalog::isRepeatable(*this->route);
    this->attempts.maxAttempts = this->route->maxAttempts;
    this->attempts.deadline = this->deadline;
    std::uniform_real_distribution<double> draw(0, 1);
    this->service = Catalog::chooseService(*this->route, draw(this->state.random));
    if (this->isRefusedByShutdown(timeout, clockNow())) {
        co_await this->refuse(this->refusalForShutdown(), "");
        co_return false;
    }
    this->traits = traitsOf(this->request, this->workspaceId());
    if (this->isHeldBackByQuarantine()) {
        co_await this->refuse(this->refusalForQuarantine(), "");
        co_return false;
    }
    co_return true;
}

Http::Awaitable<bool> RequestFlow::admitResumption()
{
    if (!this->isResumption())
        co_return true;
    const auto refusal = co_await this->findOrigin();
    if (this->callerGone) {
        this->recordEnd("caller-gone", "before the request was sent");
        co_return false;
    }
    if (refusal || this->earlyEnd) {
        const Refusal given = this->earlyEnd ? this->refusalForEarlyEnd() : *refusal;
        co_await this->refuse(given, "");
        co_return false;
    }
    co_return true;
}

Common::Duration RequestFlow::abandonTimeout() const
{
    const Common::Duration timeout = std::max<Common::Duration>(
        kMinAbandonTimeout, this->route->objective * kAbandonTimeoutObjectives);
    if (!this->route->eventGapObjective)
        return timeout;
    return std::max<Common::Duration>(timeout,
                                      *this->route->eventGapObjective * kAbandonTimeoutGaps);
}

Common::Time RequestFlow::expectedAbandonAt() const
{
    return std::min(this->deadline, this->request.receivedAt + this->abandonTimeout());
}

StagePlan RequestFlow::makeStagePlan(const Routing::Endpoint &endpoint) const
{
    StagePlan plan;
    plan.requestId = this->request.id;
    plan.catalog = this->catalog.get();
    plan.route = this->route;
    plan.pieceCounts = this->request.pieceCounts;
    plan.pieceKey = this->request.pieceKey;
    plan.consumerDomain = endpoint.failureDomain;
    plan.priority = this->priority;
    plan.endpointDuration = this->estimatedEngineTime();
    plan.firstEventDueAt = this->request.receivedAt + this->route->objective;
    plan.expiresAt = this->expectedAbandonAt() - this->estimatedEngineTime();
    // Callers of a stream that has started wait until the request's deadline.
    if (this->firstEventAt)
        plan.expiresAt = this->deadline - this->estimatedEngineTime();
    return plan;
}

Common::Duration RequestFlow::retryAfterWithJitter(std::optional<Common::Duration> roomIn)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds = Common::toSeconds(this->route->objective) * spread(this->state.random);
    const auto delay
        = std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
    if (!roomIn)
        return delay;
    std::uniform_real_distribution<double> draw(0, 1);
    return std::max(delay, Serving::retryAfterHold(*roomIn, draw(this->state.random)));
}

Common::Duration RequestFlow::retryAfterNoEndpoint()
{
    const Common::Time now = clockNow();
    if (this->isRateLimited(now))
        return this->retryAfterLimit(now);
    const auto heldUntil
        = Routing::allHeldUntil(this->state.poolOf(this->service), now, this->requiredVersion);
    if (!heldUntil)
        return kDefaultRetryAfter;
    std::uniform_real_distribution<double> draw(0, 1);
    return Serving::retryAfterHold(*heldUntil - now, draw(this->state.random));
}

Http::Awaitable<bool> RequestFlow::runStages()
{
    const auto chosen = this->chooseSoonest(clockNow());
    if (!chosen) {
        const Refusal refusal(this->reasonNoEndpoint(), true, this->retryAfterNoEndpoint());
        co_await this->refuse(refusal, this->service);
        co_return false;
    }
    const StagePlan plan
        = this->makeStagePlan(this->state.poolOf(this->service).endpoints[*chosen]);
    this->stageInputDomain = plan.consumerDomain;
    this->lastPhase = Serving::RequestPhase::Stages;
    this->stageRun = std::make_unique<StageRun>(this->state, this->dependencies.stages, plan);
    auto fault = co_await this->stageRun->run();
    // Results are lost with the endpoint that made them or expire after their lifetime. The stages
    // are then restarted while there is time.
    for (int repeats = 0;
         fault == Staging::PieceOutcome::InputGone && repeats < kMaxStageRepeats && !this->earlyEnd;
         ++repeats) {
        this->state.metrics.count("stages_repeated");
        this->stageRun = std::make_unique<StageRun>(this->state, this->dependencies.stages, plan);
        fault = co_await this->stageRun->run();
    }
    this->stagedAt = clockNow();
    if (this->callerGone) {
        this->recordEnd("caller-gone", "while its stages ran");
        co_return false;
    }
    // A cancelled run has no fault, but not all results either.
    if (this->earlyEnd) {
        co_await this->refuse(this->refusalForEarlyEnd(), "while its stages ran");
        co_return false;
    }
    if (fault) {
        const bool mayHaveRun = this->attempts.mayHaveRun;
        Refusal refusal{RefusalReason::NotRunInTime, !mayHaveRun,
                        this->retryAfterWithJitter(this->stageRun->roomIn())};
        this->state.metrics.count(labelled("stage_refusals", "route", this->route->name));
        co_await this->refuse(refusal, Common::nameOf(*fault));
        co_return false;
    }
    if (*this->stagedAt > this->request.receivedAt + this->route->objective)
        this->state.metrics.count(labelled("stage_delays", "route", this->route->name));
    this->stageResultsReleased = false;
    this->stageResults = this->stageRun->finalResults();
    co_return true;
}

std::optional<std::size_t> RequestFlow::chooseEndpoint(Common::Time now)
{
    if (this->isVersionUncertain || this->unknownPeers >= kMaxUnknownPeers)
        return std::nullopt;
    Routing::Pool &pool = this->state.poolOf(this->service);
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    if (entry && entry->engine)
        return this->chooseForPrompt(pool, now);
    Routing::ChoiceRequest choice;
    choice.failureDomain = this->state.settings.failureDomain;
    choice.tried = this->triedEndpoints;
    choice.version = this->requiredVersion;
    return Routing::choose(pool, choice, now, this->state.random);
}

bool RequestFlow::takeFromRetryBudget(Common::Time now)
{
    const bool taken = this->state.budgets[this->service].takeExtraSend(
        this->state.settings.bounds.extraSends, this->state.liveInstanceCount(now), now);
    this->state.metrics.count(
        labelled(taken ? "extra_sends" : "extra_sends_denied", "service", this->service));
    return taken;
}

std::string_view RequestFlow::retryDenialReason(const SendResult &last, Common::Time now)
{
    if (this->earlyEnd)
        return this->earlyEndName();
    if (!Serving::mayTryAnother(this->attempts, last.outcome, now))
        return "attempts";
    const auto next = this->chooseSoonest(now);
    if (!next)
        return Common::nameOf(this->reasonNoEndpoint());
    const bool isLastResort
        = Routing::isEjected(this->state.poolOf(this->service).endpoints[*next], now);
    if (last.outcome == SendOutcome::NotSent && isLastResort
        && !Serving::mayTryLastResort(this->attempts))
        return "attempts";
    if (last.hasDoubtfulEnd && !this->isDoubtAffordable(now))
        return "budget-of-doubts";
    // A failed connection attempt added no load to the service, so it needs no retry budget.
    if (last.outcome != SendOutcome::NotSent && !this->takeFromRetryBudget(now))
        return "budget";
    return {};
}

Http::Awaitable<void> RequestFlow::sendUntilAnswered()
{
    bool hasRepeatedStages = false;
    bool isFirstSendNoted = false;
    // The request has waited for a permit and is the next one to be sent.
    bool hasTurn = false;
    while (true) {
        // The paths may have been lost while the stages ran or a send failed.
        if (this->mustForward() && co_await this->forward())
            co_return;
        if (!std::exchange(isFirstSendNoted, true))
            this->state.budgets[this->service].noteFirstSend(clockNow());
        this->learnVersion();
        Common::Time now = clockNow();
        const auto chosen = this->chooseEndpoint(now);
        const bool mustQueue = chosen && !hasTurn && this->mustQueueForPermit(*chosen, now);
        if ((!chosen || mustQueue) && this->mayWaitForPermit(now)) {
            co_await this->waitForPermit();
            hasTurn = true;
            if (this->callerGone || this->earlyEnd) {
                co_await this->endUnanswered(NextStep::Refuse, SendResult());
                co_return;
            }
            continue;
        }
        if (!chosen || mustQueue || this->timeLeft(now) <= Common::Duration(0)) {
            const RefusalReason reason = mustQueue ? RefusalReason::RateLimited
                : chosen                           ? RefusalReason::NotRunInTime
                                                   : this->reasonNoEndpoint();
            Refusal refusal{reason, true,
                            mustQueue ? this->retryAfterLimit(now) : this->retryAfterNoEndpoint()};
            if (this->attempts.mayHaveRun)
                refusal = {RefusalReason::OutcomeUnknown, false, std::nullopt};
            co_await this->refuse(refusal, this->service);
            co_return;
        }
        if (this->stageRun && this->stageResultsReleased && !co_await this->runStages())
            co_return;
        co_await this->askCandidates();
        if (this->callerGone || this->earlyEnd) {
            co_await this->endUnanswered(NextStep::Refuse, SendResult());
            co_return;
        }
        if (this->isHeldBackByQuarantine()) {
            co_await this->refuse(this->refusalForQuarantine(), "before a send");
            co_return;
        }
        // The endpoints may have changed while the stages ran.
        const Routing::Pool &pool = this->state.poolOf(this->service);
        const auto currentChoice = this->chooseEndpoint(clockNow());
        if (!currentChoice || (!hasTurn && this->mustQueueForPermit(*currentChoice, clockNow())))
            continue;
        const Routing::Endpoint endpoint = pool.endpoints[*currentChoice];
        this->triedEndpoints.push_back(endpoint.id);
        this->countColdHold(clockNow());
        this->takePermit(endpoint.id, 1, clockNow());
        hasTurn = false;
        SendResult sent = co_await this->sendTo(endpoint);
        this->noteSend(sent);
        if (sent.isAnswered)
            co_return;
        if (this->callerGone) {
            co_await this->endUnanswered(NextStep::Fail, std::move(sent));
            co_return;
        }
        if (sent.isOtherProcess && !this->earlyEnd) {
            this->recordSendEnd(endpoint, sent, "");
            this->call = Http::CallHandle();
            continue;
        }
        if (sent.isTurnedBack && !this->earlyEnd) {
            this->triedEndpoints.pop_back();
            this->call = Http::CallHandle();
            continue;
        }
        if (sent.inputsGone && !hasRepeatedStages && !this->earlyEnd
            && this->takeFromRetryBudget(clockNow())) {
            hasRepeatedStages = true;
            this->triedEndpoints.pop_back();
            this->state.log.write(LogLine("inputs-gone")
                                      .text("request", this->request.id)
                                      .text("endpoint", endpoint.id.value)
                                      .text("detail", sent.detail),
                                  clockNow());
            if (!co_await this->runStages())
                co_return;
            continue;
        }
        now = clockNow();
        Serving::noteOutcome(this->attempts, sent.outcome, sent.duration);
        const std::string_view denialReason = this->retryDenialReason(sent, now);
        const bool canRetry = denialReason.empty();
        const NextStep step = Serving::nextStep(this->attempts, sent.outcome, canRetry);
        this->recordSendEnd(endpoint, sent, denialReason);
        if (step == NextStep::TryAnother) {
            this->call = Http::CallHandle();
            continue;
        }
        co_await this->endUnanswered(step, std::move(sent));
        co_return;
    }
}

Http::Awaitable<void> RequestFlow::endUnanswered(NextStep step, SendResult last)
{
    this->noteIncompleteStream();
    if (this->callerGone) {
        this->recordEnd("caller-gone", last.detail);
        co_return;
    }
    if (this->exchange.started()) {
        // Close the connection without the end of the stream, so that the caller can tell that the
        // stream is truncated.
        this->recordEnd("cut", last.detail);
        co_return;
    }
    if (step == NextStep::RelayFailure && last.failure) {
        const unsigned status = last.failure->status;
        co_await this->exchange.respond(std::move(*last.failure));
        this->recordEnd("endpoint-failed", "status " + std::to_string(status));
        co_return;
    }
    if (this->earlyEnd) {
        co_await this->refuse(this->refusalForEarlyEnd(), last.detail);
        co_return;
    }
    if (step == NextStep::Refuse) {
        const auto reason
            = this->attempts.reached > 0 ? RefusalReason::Overloaded : this->reasonNoEndpoint();
        const Refusal refusal(reason, true, this->retryAfterNoEndpoint());
        co_await this->refuse(refusal, last.detail);
        co_return;
    }
    const bool late = this->timeLeft(clockNow()) <= Common::Duration(0);
    const Refusal refusal(late ? RefusalReason::DeadlinePassed : RefusalReason::OutcomeUnknown,
                          false, std::nullopt);
    co_await this->refuse(refusal, last.detail);
}

Http::Awaitable<void> RequestFlow::refuse(Refusal refusal, std::string_view detail)
{
    this->noteIncompleteStream();
    this->recordEnd(Common::nameOf(refusal.reason), detail);
    // Once a stream has started, an error response would become part of the stream's body. The
    // connection is closed instead.
    if (!this->callerGone && !this->exchange.started())
        co_await this->exchange.respond(
            this->state.dialect.writeRefusal(refusal, this->request.id));
}

} // namespace Tanagerbay::Entry
