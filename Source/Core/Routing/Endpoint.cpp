#include "Routing/Endpoint.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Routing {

namespace {

constexpr double kSlownessGain = 0.3;
constexpr double kErrorGain = 0.2;
constexpr double kMaxSlowness = 50;
// Without new samples, the excess of the slowness over 1 halves in each such period.
constexpr Common::Milliseconds kSlownessHalfLife{5000};
constexpr std::uint32_t kErrorsBeforeEjection = 3;
constexpr Common::Milliseconds kInitialEjectionPeriod{500};
constexpr Common::Milliseconds kMaxEjectionPeriod{8000};
// A longer hold is not believed; the endpoint can ask again.
constexpr Common::Milliseconds kMaxHold{60'000};
constexpr std::uint32_t kInitialSlowStartLimit = 1;
constexpr std::uint32_t kSlowStartEndThreshold = 64;

void eject(Health &health, Common::Time now)
{
    const std::uint32_t doublings = std::min(health.ejections, 4u);
    const Common::Milliseconds period
        = std::min(kInitialEjectionPeriod * (1 << doublings), kMaxEjectionPeriod);
    health.ejectedUntil = now + period;
    ++health.ejections;
    health.consecutiveErrors = 0;
    health.slowStartLimit = kInitialSlowStartLimit;
}

void raiseSlowStartLimit(Health &health)
{
    if (health.slowStartLimit == 0)
        return;
    health.slowStartLimit *= 2;
    if (health.slowStartLimit < kSlowStartEndThreshold)
        return;
    health.slowStartLimit = 0;
    health.ejections = 0;
}

} // namespace

double estimatedOutstanding(const Endpoint &endpoint)
{
    const std::uint32_t reported = endpoint.report.outstanding();
    const std::uint32_t others
        = reported > endpoint.ownInFlightAtReport ? reported - endpoint.ownInFlightAtReport : 0;
    return static_cast<double>(others) + endpoint.ownInFlight;
}

bool isLeaving(const Endpoint &endpoint)
{
    return endpoint.state != EndpointState::Live || endpoint.report.leaving;
}

bool takesNoNewWork(const Endpoint &endpoint)
{
    return isLeaving(endpoint) || endpoint.isEvacuated;
}

bool hasVersion(const Endpoint &endpoint, const std::optional<std::string> &required)
{
    return !required || endpoint.version == *required;
}

Common::Time sendableFrom(const Endpoint &endpoint)
{
    return std::max(endpoint.heldUntil, opensAt(endpoint.gate));
}

bool isHeld(const Endpoint &endpoint, Common::Time now)
{
    return now < sendableFrom(endpoint);
}

bool isHeldWhileCold(const Endpoint &endpoint, Common::Time now)
{
    return endpoint.coldPerSecond && now < opensAt(endpoint.gate);
}

std::optional<double> takenPerSecond(const Endpoint &endpoint)
{
    if (!endpoint.statedLimit || !endpoint.coldPerSecond)
        return endpoint.statedLimit ? endpoint.statedLimit : endpoint.coldPerSecond;
    return std::min(*endpoint.statedLimit, *endpoint.coldPerSecond);
}

void holdBack(Endpoint &endpoint, Common::Duration period, Common::Time now)
{
    const Common::Duration bounded = std::clamp<Common::Duration>(period, {}, kMaxHold);
    endpoint.heldUntil = std::max(endpoint.heldUntil, now + bounded);
}

bool isEjected(const Endpoint &endpoint, Common::Time now)
{
    return now < endpoint.health.ejectedUntil;
}

bool isEligible(const Endpoint &endpoint, Common::Time now)
{
    if (takesNoNewWork(endpoint) || isHeld(endpoint, now) || isEjected(endpoint, now))
        return false;
    const std::uint32_t cap = endpoint.health.slowStartLimit;
    return cap == 0 || endpoint.ownInFlight < cap;
}

void noteReport(Endpoint &endpoint, const LoadReport &report, Common::Time madeAt)
{
    endpoint.report = report;
    endpoint.report.slots = std::max(report.slots, 1u);
    endpoint.ownInFlightAtReport = endpoint.ownInFlight;
    endpoint.reportedAt = madeAt;
    std::erase_if(endpoint.sendsSinceReport,
                  [madeAt](Common::Time sentAt) { return sentAt <= madeAt; });
}

double currentSlowness(const Health &health, Common::Time now)
{
    if (now <= health.slownessUpdatedAt)
        return health.slowness;
    const double halves
        = Common::toSeconds(now - health.slownessUpdatedAt) / Common::toSeconds(kSlownessHalfLife);
    return 1 + (health.slowness - 1) * std::exp2(-halves);
}

void noteSuccess(Endpoint &endpoint, double relative, Common::Time now)
{
    Health &health = endpoint.health;
    const double sample = std::clamp(relative, 0.1, kMaxSlowness);
    const double before = currentSlowness(health, now);
    health.slowness = before + kSlownessGain * (sample - before);
    health.slownessUpdatedAt = now;
    health.errorRate *= 1 - kErrorGain;
    health.consecutiveErrors = 0;
    raiseSlowStartLimit(health);
}

void noteFailure(Endpoint &endpoint, bool unreachable, Common::Time now)
{
    Health &health = endpoint.health;
    ++endpoint.callsFailed;
    health.errorRate += kErrorGain * (1 - health.errorRate);
    ++health.consecutiveErrors;
    const bool isInSlowStart = health.slowStartLimit != 0;
    if (unreachable || isInSlowStart || health.consecutiveErrors >= kErrorsBeforeEjection)
        eject(health, now);
}

} // namespace Tanagerbay::Routing
