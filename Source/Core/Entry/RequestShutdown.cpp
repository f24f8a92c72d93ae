// How a request in progress ends early: when its instance shuts down, or when it is quarantined.
#include "Entry/RequestFlow.h"

namespace Tanagerbay::Entry {

namespace {

// Retry delay of a quarantined request once its trial is due, which may take place at another
// instance.
constexpr Common::Milliseconds kMinQuarantineRetryAfter{5000};

} // namespace

Serving::RequestPhase RequestFlow::phase() const
{
    return this->exchange.started() ? Serving::RequestPhase::Responding : this->lastPhase;
}

bool RequestFlow::mustEnd(const Serving::GracefulShutdown &shutdown, Common::Time now) const
{
    return Serving::mustEnd(shutdown, this->phase(), this->estimatedResponseTime(), now);
}

bool RequestFlow::isRefusedByShutdown(Common::Duration timeout, Common::Time now) const
{
    if (!this->state.leaving)
        return false;
    return !Serving::mayAccept(*this->state.leaving, timeout, now)
        || this->mustEnd(*this->state.leaving, now);
}

bool RequestFlow::cannotConfirmBeforeExit(Common::Time now) const
{
    return this->state.leaving
        && now + CatalogSync::kMaxConfirmDuration >= this->state.leaving->answersDueAt;
}

void RequestFlow::endForShutdown()
{
    this->endEarly(EarlyEnd::Shutdown);
}

void RequestFlow::endForQuarantine()
{
    this->endEarly(EarlyEnd::Quarantine);
}

std::string_view RequestFlow::earlyEndName() const
{
    switch (*this->earlyEnd) {
    case EarlyEnd::Shutdown:
        return "shutdown";
    case EarlyEnd::Quarantine:
        return "quarantine";
    case EarlyEnd::Doubt:
        return "doubt";
    }
    return "";
}

void RequestFlow::endEarly(EarlyEnd reason)
{
    this->earlyEnd = reason;
    this->call.cancel();
    this->permitTimer.cancel();
    if (this->stageRun)
        this->stageRun->cancel();
}

bool RequestFlow::hasAnswerBegun() const
{
    return this->events.eventCount() > this->eventsBeforeSend;
}

bool RequestFlow::isQuarantined() const
{
    return !this->trialTraits && !this->hasAnswerBegun() && !this->isEndRecorded
        && this->dependencies.crashWatch.find(this->traits);
}

bool RequestFlow::isHeldBackByQuarantine()
{
    const Quarantine::Suspicion *suspicion = this->dependencies.crashWatch.find(this->traits);
    if (!suspicion || this->trialTraits)
        return false;
    if (!this->dependencies.crashWatch.beginTrial(*suspicion))
        return true;
    this->trialTraits = suspicion->traits;
    // Its retries would crash further endpoints.
    this->attempts.maxAttempts = this->attempts.reached + 1;
    return false;
}

void RequestFlow::noteSend(const SendResult &sent)
{
    // An endpoint that did not run the request has told nothing about it.
    const bool wasRun = sent.outcome != Serving::SendOutcome::NotSent
        && sent.outcome != Serving::SendOutcome::NotRun && !sent.isTurnedBack
        && !sent.isOtherProcess;
    this->isTrialMade = this->isTrialMade || (this->trialTraits && wasRun);
}

void RequestFlow::endTrial()
{
    if (this->trialTraits && !this->isTrialMade)
        this->dependencies.crashWatch.cancelTrial(*this->trialTraits);
}

Refusal RequestFlow::refusalForQuarantine() const
{
    if (this->attempts.mayHaveRun)
        return {RefusalReason::Quarantined, false, std::nullopt};
    // A repetition before the next trial would be refused again.
    Common::Duration untilTrial{0};
    if (const auto *suspicion = this->dependencies.crashWatch.find(this->traits))
        untilTrial = Quarantine::trialAt(*suspicion) - clockNow();
    return {RefusalReason::Quarantined, true,
            std::max<Common::Duration>(untilTrial, kMinQuarantineRetryAfter)};
}

Refusal RequestFlow::refusalForEarlyEnd() const
{
    return this->earlyEnd == EarlyEnd::Quarantine ? this->refusalForQuarantine()
                                                  : this->refusalForShutdown();
}

Refusal RequestFlow::refusalForShutdown() const
{
    if (this->attempts.mayHaveRun)
        return {RefusalReason::OutcomeUnknown, false, std::nullopt};
    return {RefusalReason::Leaving, true, Common::Milliseconds(0)};
}

void RequestFlow::recordCutByExit()
{
    if (this->isEndRecorded)
        return;
    this->recordEnd("cut",
                    "the process exits, phase " + std::string(Common::nameOf(this->phase())));
}

} // namespace Tanagerbay::Entry
