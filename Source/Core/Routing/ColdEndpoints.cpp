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
// What is told of a belief that is known ends later by the time that it took. News that end later
// by less than this say nothing new.
constexpr Common::Milliseconds kTransitMargin{1000};
// An instance that was frozen reads old news when it wakes.
constexpr std::chrono::seconds kEndsKeptFor{30};

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

ColdChange noteTold(ColdBeliefs &beliefs, const ColdEnds &ends, const Common::EndpointId &id,
                    Common::Duration left, Common::Time now)
{
    const auto known = beliefs.find(id);
    // Doubts are not told to others: what comes is no echo of them.
    if (known != beliefs.end() && known->second.reason == ColdReason::Failed
        && known->second.until <= now) {
        beliefs.erase(known);
    } else if (known != beliefs.end() && known->second.reason != ColdReason::Failed) {
        ColdBelief &belief = known->second;
        const Common::Time until = now + left;
        // One whose time is over is about to be forgotten.
        if (belief.until <= now || until < belief.until + kTransitMargin)
            return ColdChange::None;
        belief.until = until;
        belief.learnedAt = now;
        return ColdChange::Prolonged;
    }
    const auto ended = ends.find(id);
    if (!isCold(beliefs, id, now) && ended != ends.end() && now - ended->second < kEndsKeptFor)
        return ColdChange::None;
    return presumeCold(beliefs, id, ColdReason::Told, left, now);
}

void noteEnd(ColdEnds &ends, const Common::EndpointId &id, Common::Time now)
{
    ends[id] = now;
}

void noteEnds(ColdEnds &ends, const ColdBeliefs &beliefs, Common::Time now)
{
    std::erase_if(ends, [now](const auto &entry) { return now - entry.second >= kEndsKeptFor; });
    for (const auto &[id, belief] : beliefs) {
        if (belief.until <= now && belief.reason != ColdReason::Failed)
            noteEnd(ends, id, now);
    }
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
