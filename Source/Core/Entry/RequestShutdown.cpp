// How a request ends when its instance shuts down.
#include "Entry/RequestFlow.h"

namespace Tanagerbay::Entry {

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
    this->endedByShutdown = true;
    this->call.cancel();
    if (this->stageRun)
        this->stageRun->cancel();
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
