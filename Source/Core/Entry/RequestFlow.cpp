#include "Entry/RequestFlow.h"

#include "Routing/AffinityChoice.h"

namespace Tanagerbay::Entry {

using Serving::NextStep;
using Serving::SendOutcome;

namespace {

// Taken off what is left when a request is sent on, for the way back to the caller.
constexpr Common::Milliseconds kDeadlineMargin{20};
// Longest wait where neither the caller nor the route names one.
constexpr Common::Milliseconds kLongestWait{60'000};
// Prompt tokens that an engine reads in a millisecond, about what the deployments' sheets name.
constexpr double kPromptTokensPerMs = 38;
// Besides the prompt, an engine needs this long to its first event: fetching inputs, queueing,
// steps.
constexpr Common::Milliseconds kEngineOverhead{100};
// When a refused caller should come back, where nothing better is known: about one stage call.
constexpr Common::Milliseconds kRetryAfter{300};
// Times that the stages of a request begin again after a result was lost.
constexpr int kMostStageRepeats = 2;
// Callers of a stream leave before its first event, or between two, after the longest of this time,
// so many objectives and so many longest pauses.
constexpr Common::Milliseconds kStreamPatience{2000};
constexpr int kStreamPatienceObjectives = 4;
constexpr int kStreamPatienceGaps = 8;
} // namespace

RequestFlow::RequestFlow(const FlowParts &parts, Http::Exchange &exchange, CallerRequest given)
    : parts(parts), state(parts.state), exchange(exchange), request(std::move(given)),
      events(this->request.lastEvent)
{
}

bool RequestFlow::isStream() const
{
    return this->route->kind == Catalog::RouteKind::Streaming;
}

std::string_view RequestFlow::homeKey() const
{
    const std::vector<PromptPart> &parts = this->request.prompt.parts;
    // The last part belongs to this request alone, the one before it to its session.
    if (parts.empty())
        return {};
    return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

Common::Duration RequestFlow::engineTime() const
{
    const double milliseconds
        = static_cast<double>(this->request.prompt.tokensIn) / kPromptTokensPerMs;
    return kEngineOverhead + Common::Milliseconds(static_cast<std::int64_t>(milliseconds));
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
        if (this->stageRun)
            this->stageRun->cancel();
    });
    this->callerGone = this->exchange.callerGone();
    if (!co_await this->admit())
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
    auto reason = this->findRouteAndWorkspace();
    if (!reason)
        co_return std::nullopt;
    if (*reason == RefusalReason::NotReady)
        co_return Refusal{*reason, true, kRetryAfter};
    // The operator may have allowed the request a moment ago.
    if (!co_await this->parts.catalogs.confirm())
        co_return Refusal{RefusalReason::NotReady, true, kRetryAfter};
    reason = this->findRouteAndWorkspace();
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
        this->noteEnd("caller-gone", "before it was sent");
        co_return false;
    }
    Common::Duration wait = kLongestWait;
    if (this->route->timeout.count() > 0)
        wait = this->route->timeout;
    if (this->request.patience)
        wait = std::min(wait, *this->request.patience);
    const Common::Time now = clockNow();
    if (this->state.leaving && !Serving::mayAccept(*this->state.leaving, wait, now)) {
        co_await this->refuse({RefusalReason::Leaving, true, Common::Milliseconds(0)}, "");
        co_return false;
    }
    this->deadline = this->request.receivedAt + wait - kDeadlineMargin;
    this->priority = this->route->priority;
    if (this->workspace && this->workspace->priority)
        this->priority = *this->workspace->priority;
    this->attempts.repeatable = Catalog::isRepeatable(*this->route);
    this->attempts.maxAttempts = this->route->maxAttempts;
    this->attempts.deadline = this->deadline;
    std::uniform_real_distribution<double> draw(0, 1);
    this->service = Catalog::chooseService(*this->route, draw(this->state.random));
    co_return true;
}

Common::Time RequestFlow::callerLeavesAt() const
{
    Common::Duration patience = std::max<Common::Duration>(
        kStreamPatience, this->route->objective * kStreamPatienceObjectives);
    if (this->route->eventGapObjective)
        patience = std::max<Common::Duration>(
            patience, *this->route->eventGapObjective * kStreamPatienceGaps);
    return std::min(this->deadline, this->request.receivedAt + patience);
}

StagePlan RequestFlow::stagePlan(const Routing::Endpoint &home) const
{
    StagePlan plan;
    plan.requestId = this->request.id;
    plan.catalog = this->catalog.get();
    plan.route = this->route;
    plan.pieceCounts = this->request.pieceCounts;
    plan.pieceKey = this->request.pieceKey;
    plan.usedIn = home.failureDomain;
    plan.priority = this->priority;
    plan.endpointTime = this->engineTime();
    plan.objectiveAt = this->request.receivedAt + this->route->objective;
    plan.expiresAt = this->callerLeavesAt() - this->engineTime();
    // A stream that has begun goes on for as long as its caller stays.
    if (this->firstEventAt)
        plan.expiresAt = this->deadline - this->engineTime();
    return plan;
}

Common::Duration RequestFlow::comeBackAfter()
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double seconds = Common::toSeconds(this->route->objective) * spread(this->state.random);
    return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
}

Http::Awaitable<bool> RequestFlow::runStages()
{
    const auto home = this->chooseEndpoint(clockNow());
    if (!home) {
        co_await this->refuse({RefusalReason::NoEndpoint, true, kRetryAfter}, this->service);
        co_return false;
    }
    const StagePlan plan = this->stagePlan(this->state.poolOf(this->service).endpoints[*home]);
    this->stageRun = std::make_unique<StageRun>(this->state, this->parts.stages, plan);
    auto fault = co_await this->stageRun->run();
    // Results go with their maker or after their lifetime; the stages begin again while there is
    // time.
    for (int again = 0; fault == Staging::PieceEnd::InputGone && again < kMostStageRepeats;
         ++again) {
        this->state.metrics.count("stages_repeated");
        this->stageRun = std::make_unique<StageRun>(this->state, this->parts.stages, plan);
        fault = co_await this->stageRun->run();
    }
    this->stagedAt = clockNow();
    if (this->callerGone) {
        this->noteEnd("caller-gone", "in its stages");
        co_return false;
    }
    if (fault) {
        const bool ran = this->attempts.mayHaveRun;
        Refusal refusal{RefusalReason::NotRunInTime, !ran, this->comeBackAfter()};
        co_await this->refuse(refusal, Common::nameOf(*fault));
        co_return false;
    }
    this->stageResultsReleased = false;
    this->stageResults = this->stageRun->finalResults();
    co_return true;
}

std::optional<std::size_t> RequestFlow::chooseEndpoint(Common::Time now)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    const Catalog::Service *entry = Catalog::findService(*this->catalog, this->service);
    if (entry && entry->engine)
        return Routing::chooseByAffinity(pool, {this->homeKey(), this->tried}, now);
    Routing::ChoiceRequest choice;
    choice.failureDomain = this->state.settings.failureDomain;
    choice.tried = this->tried;
    return Routing::choose(pool, choice, now, this->state.random);
}

bool RequestFlow::takeExtraSend(Common::Time now)
{
    const bool taken = this->state.budgets[this->service].takeExtraSend(
        this->state.settings.bounds.extraSends, this->state.liveInstances(now), now);
    this->state.metrics.count(
        labelled(taken ? "extra_sends" : "extra_sends_denied", "service", this->service));
    return taken;
}

std::string_view RequestFlow::reasonAgainstAnother(SendOutcome outcome, Common::Time now)
{
    if (!Serving::mayTryAnother(this->attempts, outcome, now))
        return "attempts";
    if (!this->chooseEndpoint(now))
        return "no-endpoint";
    // A connection that could not be made brought nothing to the service.
    if (outcome != SendOutcome::NotSent && !this->takeExtraSend(now))
        return "budget";
    return {};
}

Http::Awaitable<void> RequestFlow::sendUntilAnswered()
{
    this->state.budgets[this->service].noteFirstSend(clockNow());
    bool stagedAgain = false;
    while (true) {
        Common::Time now = clockNow();
        const auto chosen = this->chooseEndpoint(now);
        if (!chosen || this->timeLeft(now) <= Common::Duration(0)) {
            const bool late = chosen.has_value();
            Refusal refusal{late ? RefusalReason::NotRunInTime : RefusalReason::NoEndpoint, true,
                            kRetryAfter};
            if (this->attempts.mayHaveRun)
                refusal = {RefusalReason::OutcomeUnknown, false, std::nullopt};
            co_await this->refuse(refusal, this->service);
            co_return;
        }
        if (this->stageRun && this->stageResultsReleased && !co_await this->runStages())
            co_return;
        // The list may have changed in the meantime.
        const Routing::Pool &pool = this->state.poolOf(this->service);
        const auto stillChosen = this->chooseEndpoint(clockNow());
        if (!stillChosen)
            continue;
        const Routing::Endpoint endpoint = pool.endpoints[*stillChosen];
        this->tried.push_back(endpoint.id);
        SendResult sent = co_await this->sendTo(endpoint);
        if (sent.answered)
            co_return;
        if (this->callerGone) {
            this->noteEnd("caller-gone", sent.detail);
            co_return;
        }
        if (sent.inputsGone && !stagedAgain) {
            stagedAgain = true;
            this->tried.pop_back();
            if (!co_await this->runStages())
                co_return;
            continue;
        }
        now = clockNow();
        Serving::noteOutcome(this->attempts, sent.outcome);
        const std::string_view against = this->reasonAgainstAnother(sent.outcome, now);
        const bool another = against.empty();
        const NextStep step = Serving::nextStep(this->attempts, sent.outcome, another);
        this->state.log.write(LogLine("send-ended")
                                  .text("request", this->request.id)
                                  .text("endpoint", endpoint.id.value)
                                  .text("outcome", Common::nameOf(sent.outcome))
                                  .text("detail", sent.detail)
                                  .number("reached", this->attempts.reached)
                                  .number("mostAttempts", this->attempts.maxAttempts)
                                  .flag("repeatable", this->attempts.repeatable)
                                  .flag("another", another)
                                  .text("against", against)
                                  .milliseconds("leftMs", this->timeLeft(now)),
                              now);
        if (step == NextStep::TryAnother) {
            this->call = Http::CallHandle();
            continue;
        }
        co_await this->endWithout(step, std::move(sent));
        co_return;
    }
}

Http::Awaitable<void> RequestFlow::endWithout(NextStep step, SendResult last)
{
    if (this->exchange.started()) {
        // The connection closes without the stream's end, so that it does not look whole.
        this->noteEnd("cut", last.detail);
        co_return;
    }
    if (step == NextStep::RelayFailure && last.failure) {
        const unsigned status = last.failure->status;
        co_await this->exchange.respond(std::move(*last.failure));
        this->noteEnd("endpoint-failed", "status " + std::to_string(status));
        co_return;
    }
    if (step == NextStep::Refuse) {
        const auto reason
            = this->attempts.reached > 0 ? RefusalReason::Overloaded : RefusalReason::NoEndpoint;
        co_await this->refuse({reason, true, kRetryAfter}, last.detail);
        co_return;
    }
    const bool late = this->timeLeft(clockNow()) <= Common::Duration(0);
    co_await this->refuse(
        {late ? RefusalReason::DeadlinePassed : RefusalReason::OutcomeUnknown, false, std::nullopt},
        last.detail);
}

Http::Awaitable<void> RequestFlow::refuse(Refusal refusal, std::string_view detail)
{
    this->noteEnd(Common::nameOf(refusal.reason), detail);
    // Within a stream that has begun, an answer would be bytes of the stream; its connection
    // closes.
    if (!this->callerGone && !this->exchange.started())
        co_await this->exchange.respond(
            this->state.dialect.writeRefusal(refusal, this->request.id));
}

void RequestFlow::noteEnd(std::string_view outcome, std::string_view detail)
{
    const Common::Time now = clockNow();
    const Common::Duration took = now - this->request.receivedAt;
    LogLine line("request-ended");
    line.text("request", this->request.id).text("outcome", outcome).text("detail", detail);
    if (this->catalog)
        line.number("catalog", static_cast<std::int64_t>(this->catalog->version));
    if (this->route) {
        line.text("route", this->route->name).text("service", this->service);
        line.milliseconds("objectiveMs", this->route->objective);
    }
    if (!this->lastEndpoint.empty())
        line.text("endpoint", this->lastEndpoint).number("reached", this->attempts.reached);
    if (this->stagedAt)
        line.milliseconds("stagedMs", *this->stagedAt - this->request.receivedAt);
    if (this->firstEventAt) {
        line.milliseconds("firstEventMs", *this->firstEventAt - this->request.receivedAt);
        line.number("events", static_cast<std::int64_t>(this->events.eventCount()));
    }
    line.milliseconds("tookMs", took);
    this->state.log.write(line, now);
    this->state.metrics.count(labelled("requests", "outcome", outcome));
    if (this->route)
        this->state.metrics.time(labelled("request", "route", this->route->name), took);
}

} // namespace Tanagerbay::Entry
