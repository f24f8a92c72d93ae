#include "Routing/Endpoint.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Routing {

namespace {

constexpr double kSlownessGain = 0.3;
constexpr double kErrorGain = 0.2;
constexpr double kMostSlowness = 50;
// After this time without a sample half of the excess slowness is forgotten.
constexpr Common::Milliseconds kSlownessHalfLife{5000};
constexpr std::uint32_t kErrorsBeforeEjection = 3;
constexpr Common::Milliseconds kFirstEjection{500};
constexpr Common::Milliseconds kLongestEjection{8000};
constexpr std::uint32_t kFirstReturnCap = 1;
constexpr std::uint32_t kLastReturnCap = 64;

void eject(Health &health, Common::Time now)
{
    const std::uint32_t doublings = std::min(health.ejections, 4u);
    const Common::Milliseconds period
        = std::min(kFirstEjection * (1 << doublings), kLongestEjection);
    health.ejectedUntil = now + period;
    ++health.ejections;
    health.consecutiveErrors = 0;
    health.returnCap = kFirstReturnCap;
}

void growReturnCap(Health &health)
{
    if (health.returnCap == 0)
        return;
    health.returnCap *= 2;
    if (health.returnCap < kLastReturnCap)
        return;
    health.returnCap = 0;
    health.ejections = 0;
}

} // namespace

double estimatedOutstanding(const Endpoint &endpoint)
{
    const std::uint32_t reported = endpoint.report.outstanding();
    const std::uint32_t others
        = reported > endpoint.ownAtReport ? reported - endpoint.ownAtReport : 0;
    return static_cast<double>(others) + endpoint.ownInFlight;
}

bool isEligible(const Endpoint &endpoint, Common::Time now)
{
    if (endpoint.state != EndpointState::Live || endpoint.report.leaving)
        return false;
    if (now < endpoint.health.ejectedUntil)
        return false;
    const std::uint32_t cap = endpoint.health.returnCap;
    return cap == 0 || endpoint.ownInFlight < cap;
}

void noteReport(Endpoint &endpoint, const LoadReport &report)
{
    endpoint.report = report;
    endpoint.report.slots = std::max(report.slots, 1u);
    endpoint.ownAtReport = endpoint.ownInFlight;
}

double slownessNow(const Health &health, Common::Time now)
{
    if (now <= health.slownessAt)
        return health.slowness;
    const double halves
        = Common::toSeconds(now - health.slownessAt) / Common::toSeconds(kSlownessHalfLife);
    return 1 + (health.slowness - 1) * std::exp2(-halves);
}

void noteSuccess(Endpoint &endpoint, double relative, Common::Time now)
{
    Health &health = endpoint.health;
    const double sample = std::clamp(relative, 0.1, kMostSlowness);
    const double before = slownessNow(health, now);
    health.slowness = before + kSlownessGain * (sample - before);
    health.slownessAt = now;
    health.errorRate *= 1 - kErrorGain;
    health.consecutiveErrors = 0;
    growReturnCap(health);
}

void noteFailure(Endpoint &endpoint, bool unreachable, Common::Time now)
{
    Health &health = endpoint.health;
    ++endpoint.callsFailed;
    health.errorRate += kErrorGain * (1 - health.errorRate);
    ++health.consecutiveErrors;
    const bool returning = health.returnCap != 0;
    if (unreachable || returning || health.consecutiveErrors >= kErrorsBeforeEjection)
        eject(health, now);
}

} // namespace Tanagerbay::Routing
