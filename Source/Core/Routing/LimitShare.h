// Divides the limit that an endpoint states between the instances.
//
// Only a few instances send to an endpoint with a limit, each with an even part of it and without a
// burst: with m senders, an endpoint gets up to m + L * T requests in a time T. The number of
// senders follows the limit, so that the allowance of 1.5 * L * T + 5 holds for T = 4 s also while
// the instances' views of each other differ by one, or for a larger limit by a quarter of the
// senders.
#pragma once

#include "Common/Time.h"

#include <cstddef>

namespace Tanagerbay::Routing {

// A lower limit, in requests a second, allows no sends. The end of such a limit is found by a
// question to the endpoint; so is that of a limit which no answer has shown for so long.
constexpr double kMinUsableLimit = 0.1;
constexpr Common::Milliseconds kLimitQuestionInterval{4000};

// Returns how many of `instances` send to an endpoint with this limit.
std::size_t senderCount(double perSecond, std::size_t instances);

// Returns the time between two sends of each of `senders`; `kNoSends` if the limit is too low.
Common::Duration sendInterval(double perSecond, std::size_t senders);

// Parts of the limit of an endpoint that processes stage calls, and where routes lead to it also
// requests. For a moment, two instances may consider themselves the owner of its queue, and each
// sends at the owner's part.
struct StageLimitParts
{
    double calls = 0;
    double requests = 0;
};
StageLimitParts stageLimitParts(double perSecond, bool isOnRoutes);

} // namespace Tanagerbay::Routing
