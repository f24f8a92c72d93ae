// Sends to endpoints that limit the rate of requests: each takes a permit, and a request that only
// such endpoints can serve waits for one.
#include "Entry/RequestFlow.h"

#include "Routing/LimitShare.h"
#include "Serving/RetryAfter.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace {

// A request that wakes before its turn checks again after at least this time.
constexpr Common::Milliseconds kMinPermitCheckInterval{5};
// Share of the calls of a service whose duration a waiting request still has to have time for.
constexpr double kExpectedCallQuantile = 0.5;

// Removes a waiting request from the queue, also if it is destroyed.
class PermitWait
{
public:
    PermitWait(Serving::PermitQueue &queue, bool isNew, int priority)
        : queue(queue), position(Serving::join(queue, isNew, priority))
    {
    }
    ~PermitWait()
    {
        Serving::leave(this->queue, this->position);
    }
    PermitWait(const PermitWait &) = delete;
    PermitWait &operator=(const PermitWait &) = delete;

    std::size_t countBefore() const
    {
        return Serving::countBefore(this->queue, this->position);
    }

private:
    Serving::PermitQueue &queue;
    Serving::PermitPosition position;
};

Common::Duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
}

// Returns when a request is sent that has so many others before it.
Common::Time turnAt(const Routing::NextSend &next, std::size_t before)
{
    return next.at + secondsToDuration(static_cast<double>(before) / next.perSecond);
}

} // namespace

bool RequestFlow::isNewWork() const
{
    return !this->isResumption() && this->events.eventCount() == 0;
}

std::optional<Routing::NextSend> RequestFlow::nextPermit(Common::Time now) const
{
    const auto found = this->state.pools.find(this->service);
    if (found == this->state.pools.end() || this->isVersionUncertain)
        return std::nullopt;
    Routing::ChoiceRequest choice;
    choice.tried = this->triedEndpoints;
    choice.version = this->requiredVersion;
    const auto next = Routing::nextSend(found->second, choice, now);
    // An endpoint that asked to be left alone is not waited for.
    if (!next || !Routing::isLimited(found->second.endpoints[next->index].gate))
        return std::nullopt;
    return next;
}

Common::Time RequestFlow::latestSend() const
{
    if (!this->isStream()) {
        const Routing::Pool &pool = this->state.poolOf(this->service);
        return this->deadline - pool.durations.quantile(kExpectedCallQuantile, {});
    }
    const Common::Time neededAt
        = this->exchange.started() ? this->deadline : this->expectedAbandonAt();
    return neededAt - this->estimatedEngineTime();
}

bool RequestFlow::mayWaitForPermit(Common::Time now) const
{
    const auto next = this->nextPermit(now);
    if (!next)
        return false;
    const std::size_t before = Serving::countAhead(this->state.permits[this->service],
                                                   this->isNewWork(), this->priority);
    return turnAt(*next, before) <= this->latestSend();
}

bool RequestFlow::mustQueueForPermit(std::size_t chosen, Common::Time now) const
{
    if (!Routing::isLimited(this->state.poolOf(this->service).endpoints[chosen].gate))
        return false;
    const auto next = this->nextPermit(now);
    return next && std::isfinite(next->perSecond)
        && Serving::countAhead(this->state.permits[this->service], this->isNewWork(),
                               this->priority)
        > 0;
}

Http::Awaitable<void> RequestFlow::waitForPermit()
{
    const Common::Time startedAt = clockNow();
    PermitWait wait(this->state.permits[this->service], this->isNewWork(), this->priority);
    this->state.metrics.count(labelled("permit_waits", "service", this->service));
    while (!this->callerGone && !this->earlyEnd) {
        const Common::Time now = clockNow();
        const auto next = this->nextPermit(now);
        const std::size_t before = wait.countBefore();
        if (!next || (before == 0 && next->at <= now) || turnAt(*next, before) > this->latestSend())
            break;
        this->permitTimer.expires_at(std::max(next->at, now + kMinPermitCheckInterval));
        boost::system::error_code ignored;
        co_await this->permitTimer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    const Common::Time now = clockNow();
    this->state.metrics.time(labelled("permit_wait", "service", this->service), now - startedAt);
    this->state.log.write(LogLine("permit-awaited")
                              .text("request", this->request.id)
                              .text("service", this->service)
                              .flag("permitted", this->chooseEndpoint(now).has_value())
                              .milliseconds("waitedMs", now - startedAt),
                          now);
}

std::optional<std::size_t> RequestFlow::chooseSoonest(Common::Time now)
{
    const auto chosen = this->chooseEndpoint(now);
    if (chosen || !this->mayWaitForPermit(now))
        return chosen;
    const auto next = this->nextPermit(now);
    return next ? std::optional(next->index) : std::nullopt;
}

void RequestFlow::takePermit(const Common::EndpointId &id, int sends, Common::Time now)
{
    Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(id);
    if (found == pool.indexById.end())
        return;
    Routing::Endpoint &endpoint = pool.endpoints[found->second];
    this->hasPermit = Routing::isLimited(endpoint.gate);
    Routing::takePermit(endpoint.gate, now, sends);
    if (!this->hasPermit)
        return;
    if (endpoint.coldPerSecond)
        this->state.metrics.count(labelled("sends_to_cold_endpoints", "service", this->service),
                                  static_cast<std::uint64_t>(sends));
    this->state.metrics.count(labelled("permits_taken", "service", this->service),
                              static_cast<std::uint64_t>(sends));
    this->state.log.write(LogLine("permit-taken")
                              .text("request", this->request.id)
                              .text("endpoint", id.value)
                              .number("sends", sends)
                              .milliseconds("intervalMs", endpoint.gate.interval),
                          now);
}

void RequestFlow::countColdHold(Common::Time now)
{
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(this->service).endpoints;
    const bool isAnyHeld = std::any_of(
        endpoints.begin(), endpoints.end(), [this, now](const Routing::Endpoint &each) {
            return Routing::isHeldWhileCold(each, now) && !Routing::takesNoNewWork(each)
                && Routing::hasVersion(each, this->requiredVersion);
        });
    if (isAnyHeld)
        this->state.metrics.count(
            labelled("sends_beside_cold_endpoints", "service", this->service));
}

bool RequestFlow::maySendNow(const Common::EndpointId &id)
{
    const Routing::Pool &pool = this->state.poolOf(this->service);
    const auto found = pool.indexById.find(id);
    const Routing::Endpoint *endpoint
        = found == pool.indexById.end() ? nullptr : &pool.endpoints[found->second];
    const bool isEvacuated = endpoint && endpoint->isEvacuated;
    this->isTurnedBack
        = isEvacuated || (endpoint && !this->hasPermit && Routing::isLimited(endpoint->gate));
    if (this->isTurnedBack)
        this->state.metrics.count(
            labelled(isEvacuated ? "sends_turned_back_by_evacuation" : "sends_turned_back",
                     "service", this->service));
    return !this->isTurnedBack;
}

bool RequestFlow::isRateLimited(Common::Time now) const
{
    const auto found = this->state.pools.find(this->service);
    if (found == this->state.pools.end())
        return false;
    const std::vector<Routing::Endpoint> &endpoints = found->second.endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [this, now](const Routing::Endpoint &each) {
                           return Routing::isLimited(each.gate) && Routing::isHeld(each, now)
                               && !Routing::takesNoNewWork(each)
                               && Routing::hasVersion(each, this->requiredVersion);
                       });
}

Common::Duration RequestFlow::retryAfterLimit(Common::Time now)
{
    const Routing::Pool &pool = this->state.poolOf(this->service);
    const std::size_t waiting = this->state.permits[this->service].waiting.size();
    Common::Duration untilPermit = Routing::kLimitQuestionInterval;
    if (const auto next = this->nextPermit(now))
        untilPermit = turnAt(*next, waiting) - now;
    else if (const auto mean = Routing::meanInterval(pool, this->requiredVersion))
        // Another instance may have a permit.
        untilPermit = *mean;
    std::uniform_real_distribution<double> draw(0, 1);
    return Serving::retryAfterHold(untilPermit, draw(this->state.random));
}

} // namespace Tanagerbay::Entry
