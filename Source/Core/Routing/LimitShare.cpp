#include "Routing/LimitShare.h"

#include "Routing/SendGate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Tanagerbay::Routing {

namespace {

// Without a lower bound, hardly any instance could use an endpoint with a small limit; more senders
// would exceed the allowance when views differ.
constexpr double kMaxSendersOfSmallLimit = 4;
// Of a limit below one a second, each sender has about a quarter of a request a second.
constexpr double kSendersPerUnitBelowOne = 4;
constexpr double kSendersPerUnit = 0.5;
constexpr double kCallsPart = 0.75;
constexpr double kCallsPartBesideRequests = 0.45;
constexpr double kRequestsPartBesideCalls = 0.25;

} // namespace

std::size_t senderCount(double perSecond, std::size_t instances)
{
    const double ofSmall
        = std::clamp(kSendersPerUnitBelowOne * perSecond, 1.0, kMaxSendersOfSmallLimit);
    const double wanted = std::max(ofSmall, kSendersPerUnit * perSecond);
    const auto bounded = std::min(wanted, static_cast<double>(instances));
    return std::max<std::size_t>(static_cast<std::size_t>(bounded), 1);
}

Common::Duration sendInterval(double perSecond, std::size_t senders)
{
    if (perSecond < kMinUsableLimit)
        return kNoSends;
    const double seconds = static_cast<double>(senders) / perSecond;
    const auto interval
        = std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
    // Zero would mean that there is no limit.
    return std::max(interval, Common::Duration(1));
}

StageLimitParts stageLimitParts(double perSecond, bool isOnRoutes)
{
    if (!isOnRoutes)
        return {kCallsPart * perSecond, 0};
    return {kCallsPartBesideRequests * perSecond, kRequestsPartBesideCalls * perSecond};
}

} // namespace Tanagerbay::Routing
