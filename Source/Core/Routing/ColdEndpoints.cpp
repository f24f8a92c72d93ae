#include "Routing/ColdEndpoints.h"

#include "Routing/SendGate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Tanagerbay::Routing {

namespace {

// Share of the bounds that the senders of one view use.
constexpr double kShareOfBounds = 0.5;
// Time in which a sender makes no more sends than its part of a second: longer than the second, as
// sends may follow their permits by different times.
constexpr double kWindowSeconds = 1.1;

ColdChange believe(ColdBeliefs &beliefs, const Common::EndpointId &id, ColdBelief belief)
{
    const auto [known, isNew] = beliefs.try_emplace(id, belief);
    if (isNew)
        return ColdChange::Began;
    const bool isLater = belief.until > known->second.until;
    known->second = belief;
    return isLater ? ColdChange::Prolonged : ColdChange::Shortened;
}

Common::Duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

ColdChange noteEntry(ColdBeliefs &beliefs, const Common::EndpointId &id, ProcessNews process,
                     std::optional<Common::Duration> left, Common::Duration period,
                     Common::Time now)
{
    const auto known = beliefs.find(id);
    const bool isOtherProcess = process != ProcessNews::Known;
    if (!left && process == ProcessNews::Started)
        return presumeCold(beliefs, id, ColdReason::Started, period, now);
    if (!left)
        return ColdChange::None;
    const Common::Time until = now + *left;
    if (known != beliefs.end()) {
        // An entry may have been written before what an answer or a failure has shown, and be read
        // after it. One of another process says all of that process.
        const ColdReason reason = known->second.reason;
        const bool isComparable
            = isOtherProcess || reason == ColdReason::Entry || reason == ColdReason::Started;
        if (until <= known->second.until && !isComparable)
            return ColdChange::None;
    }
    if (until > now)
        return believe(beliefs, id, {until, ColdReason::Entry, now});
    return beliefs.erase(id) > 0 ? ColdChange::Ended : ColdChange::None;
}

ColdChange noteAnswer(ColdBeliefs &beliefs, const Common::EndpointId &id, Common::Duration left,
                      Common::Time sentAt, Common::Time now)
{
    const auto known = beliefs.find(id);
    const Common::Time until = now + left;
    if (known != beliefs.end() && until <= known->second.until && sentAt < known->second.learnedAt)
        return ColdChange::None;
    if (until > now)
        return believe(beliefs, id, {until, ColdReason::Answer, now});
    return beliefs.erase(id) > 0 ? ColdChange::Ended : ColdChange::None;
}

ColdChange presumeCold(ColdBeliefs &beliefs, const Common::EndpointId &id, ColdReason reason,
                       Common::Duration period, Common::Time now)
{
    const auto known = beliefs.find(id);
    const Common::Time until = now + period;
    if (until <= now || (known != beliefs.end() && until <= known->second.until))
        return ColdChange::None;
    return believe(beliefs, id, {until, reason, now});
}

ColdChange noteSameProcess(ColdBeliefs &beliefs, const Common::EndpointId &id, Common::Time askedAt)
{
    const auto known = beliefs.find(id);
    if (known == beliefs.end() || known->second.reason != ColdReason::Failed
        || known->second.learnedAt >= askedAt)
        return ColdChange::None;
    beliefs.erase(known);
    return ColdChange::Ended;
}

std::vector<Common::EndpointId> takeWarm(ColdBeliefs &beliefs, Common::Time now)
{
    std::vector<Common::EndpointId> warm;
    std::erase_if(beliefs, [&warm, now](const auto &entry) {
        if (now < entry.second.until)
            return false;
        warm.push_back(entry.first);
        return true;
    });
    return warm;
}

bool isCold(const ColdBeliefs &beliefs, const Common::EndpointId &id, Common::Time now)
{
    const auto known = beliefs.find(id);
    return known != beliefs.end() && now < known->second.until;
}

ColdShare coldShare(double perSecond, const ColdBounds &bounds, std::size_t instances)
{
    const double allowed = perSecond * bounds.overshoot + bounds.slack;
    if (!(perSecond > 0) || !(allowed >= 1))
        return {0, kNoSends};
    // Whatever the bounds permit, an endpoint is not given more than its rate.
    const double perWindow
        = std::max(std::floor(std::min(kShareOfBounds * allowed, perSecond)), 1.0);
    const double senders
        = std::min(perWindow, static_cast<double>(std::max<std::size_t>(instances, 1)));
    const double sendsOfEach = std::floor(perWindow / senders);
    const double interval = std::max(kWindowSeconds / sendsOfEach, senders / perSecond);
    return {static_cast<std::size_t>(senders), secondsToDuration(interval)};
}

} // namespace Tanagerbay::Routing
