// Goes on with a request at another instance while this one has lost its paths to the endpoints.
//
// The other instance serves the request as if its caller had sent it there; this one relays the
// response. A request that came from another instance is not passed on again.
#include "Entry/RequestFlow.h"

#include "Membership/ForwardTargets.h"

namespace Tanagerbay::Entry {

using Serving::SendOutcome;

namespace {

constexpr Common::Milliseconds kConnectTimeout{250};
// Instances that are asked to serve one request. Another is asked if the one before has certainly
// not run it.
constexpr std::size_t kMaxInstances = 2;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;

} // namespace

bool RequestFlow::mustForward() const
{
    return this->state.hasLostPaths && this->source == RequestSource::Caller
        && this->state.settings.forwarding.isSet() && this->attempts.reached == 0
        && !this->attempts.mayHaveRun && this->events.eventCount() == 0;
}

Http::CallOptions RequestFlow::forwardOptions(Common::Time now)
{
    Http::CallOptions options = this->callOptions(now);
    // The other instance watches the progress of the endpoint.
    options.deadline = this->deadline;
    options.connectTimeout = kConnectTimeout;
    options.maxIdleConnections = Http::CallOptions().maxIdleConnections;
    return options;
}

Http::Awaitable<RequestFlow::SendResult>
RequestFlow::sendToInstance(const Membership::Member &instance)
{
    const Common::Time now = clockNow();
    const Common::Address address{instance.report.peerAddress.ip,
                                  this->state.settings.forwarding.port};
    this->forwardedTo = instance.report.id;
    this->lastPhase = Serving::RequestPhase::Sent;
    Http::Request request = this->state.dialect.writeForwarded(
        this->request, this->timeLeft(now),
        this->events.eventCount() > 0 ? this->events.lastEvent() : std::nullopt);
    auto opened
        = co_await this->state.client.open(address, std::move(request), this->forwardOptions(now));
    SendResult result;
    if (!opened) {
        const Http::CallError &error = opened.error();
        result.outcome = error.written ? SendOutcome::Unknown : SendOutcome::NotSent;
        result.detail = std::string(Common::nameOf(error.failure)) + ": " + error.message;
        result.duration = clockNow() - now;
        co_return result;
    }
    const EndpointResponseHead answer
        = this->state.dialect.readResponseHead(opened->status(), opened->headers());
    if (answer.requestId != this->request.id) {
        opened->close();
        result.detail = "the response is for another request";
        co_return result;
    }
    const bool isRefused = !answer.isSigned
        && (answer.status == kStatusUnavailable || answer.status == kStatusTooManyRequests);
    result = co_await this->relayAnswer(*opened, answer, nullptr);
    if (isRefused && result.failure)
        result.outcome = SendOutcome::NotRun;
    co_return result;
}

Http::Awaitable<bool> RequestFlow::forward()
{
    std::vector<Common::InstanceId> asked;
    SendResult last;
    while (asked.size() < kMaxInstances && !this->callerGone && !this->earlyEnd) {
        const Common::Time now = clockNow();
        if (this->timeLeft(now) <= Common::Duration(0))
            break;
        const Membership::Member *instance
            = Membership::chooseForwardTarget(this->state.members, asked, now, this->state.random);
        if (!instance)
            break;
        const Common::InstanceId id = instance->report.id;
        asked.push_back(id);
        last = co_await this->sendToInstance(*instance);
        this->noteSend(last);
        this->state.metrics.count(
            labelled("requests_forwarded", "outcome",
                     last.isAnswered ? "answered" : Common::nameOf(last.outcome)));
        if (last.isAnswered)
            co_return true;
        this->state.log.write(LogLine("forward-ended")
                                  .text("request", this->request.id)
                                  .text("instance", id.value)
                                  .text("outcome", Common::nameOf(last.outcome))
                                  .text("detail", last.detail)
                                  .milliseconds("leftMs", this->timeLeft(clockNow())),
                              clockNow());
        Serving::noteOutcome(this->attempts, last.outcome, last.duration);
        // The other instance may have used all attempts.
        const bool isCertainlyNotRun
            = last.outcome == SendOutcome::NotSent || last.outcome == SendOutcome::NotRun;
        if (!isCertainlyNotRun)
            break;
        this->call = Http::CallHandle();
    }
    if (asked.empty())
        co_return false;
    // Nobody has sent the request. An endpoint may be reached from here by now.
    if (!last.failure && !this->attempts.mayHaveRun && !this->callerGone && !this->earlyEnd) {
        this->call = Http::CallHandle();
        this->forwardedTo = {};
        co_return false;
    }
    const Serving::NextStep step
        = last.failure ? Serving::NextStep::RelayFailure : Serving::NextStep::Fail;
    co_await this->endUnanswered(step, std::move(last));
    co_return true;
}

} // namespace Tanagerbay::Entry
