// The limits that endpoints state in their answers: how many requests a second the endpoint's
// process takes from all instances together.
//
// A limit holds until an answer shows that the process states it no longer. Instances pass on what
// they learn; of two items of news, the higher version is used, and of equal versions, which arise
// when two instances learn something at the same time, the stricter one.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace Tanagerbay::Routing {

// A process of an endpoint. One that is restarted has no limit.
struct ProcessKey
{
    Common::EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ProcessKey &) const = default;
};

struct StatedLimit
{
    // Requests a second; unset once the limit has ended.
    std::optional<double> perSecond;
    std::uint64_t version = 0;
    // When this instance learned of it, or had it confirmed.
    Common::Time learnedAt;
};

using StatedLimits = std::map<ProcessKey, StatedLimit>;

// Records what the head of an answer states. The answer may have begun before what is known was
// learned, if its request was sent before: then only a stricter limit is believed. Returns whether
// the limit changed.
bool noteAnswer(StatedLimits &limits, const ProcessKey &process, std::optional<double> stated,
                Common::Time sentAt, Common::Time now);

// Merges what another instance passed on. Returns whether the limit changed.
bool mergeLimit(StatedLimits &limits, const ProcessKey &process, StatedLimit news,
                Common::Time now);

} // namespace Tanagerbay::Routing
