// The log lines of a request.
#include "Entry/RequestFlow.h"

namespace Tanagerbay::Entry {

namespace {

// How the process that began a stream is known.
std::string_view processSourceOf(const Serving::StreamOrigin &origin)
{
    if (origin.isStated)
        return origin.isVersionKnown ? "stated" : "stated-unlisted";
    return origin.isVersionKnown ? "listed-confirmed" : "listed";
}

} // namespace

void RequestFlow::addEvidence(LogLine &line) const
{
    if (this->lastFraming)
        line.text("framing", Common::nameOf(*this->lastFraming))
            .text("end", this->lastEnd ? Common::nameOf(*this->lastEnd) : "lost")
            .flag("requestWritten", this->wasLastRequestWritten);
    if (this->progress.lastBegunEvent > 0)
        line.number("lastBegunEvent", static_cast<std::int64_t>(this->progress.lastBegunEvent));
    if (this->sentTo.incarnation != 0)
        line.number("process", static_cast<std::int64_t>(this->sentTo.incarnation));
    if (this->statement != ProcessStatement::None)
        line.text("processAnswer", Common::nameOf(this->statement));
    if (this->statementStatus)
        line.number("processStatus", *this->statementStatus);
    if (this->isConnectionReused)
        line.flag("connectionReused", *this->isConnectionReused);
    if (this->listAge)
        line.milliseconds("listAgeMs", *this->listAge);
    if (this->origin) {
        line.text("begunAt", this->origin->endpoint.value)
            .number("begunProcess", static_cast<std::int64_t>(this->origin->incarnation))
            .text("begunVersion", this->origin->version)
            .text("begunBy", processSourceOf(*this->origin));
    }
}

void RequestFlow::recordSendEnd(const Routing::Endpoint &endpoint, const SendResult &sent,
                                std::string_view denialReason)
{
    const Common::Time now = clockNow();
    LogLine line("send-ended");
    line.text("request", this->request.id)
        .text("endpoint", endpoint.id.value)
        .text("version", endpoint.version)
        .text("outcome", Common::nameOf(sent.outcome))
        .text("detail", sent.detail)
        .number("reached", this->attempts.reached)
        .number("mostAttempts", this->attempts.maxAttempts)
        .flag("repeatable", this->attempts.repeatable)
        .flag("another", denialReason.empty())
        .flag("begun", this->events.eventCount() > 0)
        .flag("hasDoubtfulEnd", sent.hasDoubtfulEnd)
        .text("promptParts", this->sharedPartNames())
        .text("against", denialReason)
        .milliseconds("leftMs", this->timeLeft(now));
    this->addEvidence(line);
    this->state.log.write(line, now);
}

void RequestFlow::recordEnd(std::string_view outcome, std::string_view detail)
{
    this->isEndRecorded = true;
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
    if (!this->forwardedTo.empty())
        line.text("forwardedTo", this->forwardedTo.value);
    if (!this->sentTo.endpoint.empty())
        line.text("endpoint", this->sentTo.endpoint.value)
            .text("version", this->sentTo.version)
            .number("reached", this->attempts.reached);
    if (this->request.lastEvent) {
        line.text("resumes", this->loggedResumedAttempt())
            .number("lastEvent", static_cast<std::int64_t>(*this->request.lastEvent));
    }
    this->addEvidence(line);
    if (this->stagedAt)
        line.milliseconds("stagedMs", *this->stagedAt - this->request.receivedAt);
    if (this->firstEventAt) {
        line.milliseconds("firstEventMs", *this->firstEventAt - this->request.receivedAt);
        line.number("events", static_cast<std::int64_t>(this->events.eventCount()));
    }
    this->addPromptSend(line);
    line.milliseconds("tookMs", took);
    this->state.log.write(line, now);
    this->state.metrics.count(labelled("requests", "outcome", outcome));
    if (this->route)
        this->state.metrics.time(labelled("request", "route", this->route->name), took);
}

} // namespace Tanagerbay::Entry
