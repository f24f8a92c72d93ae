#include "Routing/ExpectedTime.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Tanagerbay::Routing {

namespace {

// Contention changes many times a second: half of it is believed after this time.
constexpr Common::Milliseconds kContentionHalfLife{300};
// So does the number of waiting requests, as a prompt is read within some hundred milliseconds.
constexpr Common::Milliseconds kWaitingHalfLife{400};
// A send of this instance has been read after this time, if no report tells.
constexpr Common::Milliseconds kSendMemory{1500};
// More requests than this wait at no endpoint.
constexpr double kMaxWaiting = 1000;
// Longer times are not told apart.
constexpr double kMaxExpectedSeconds = 3600;
constexpr double kMinContention = 0.2;
constexpr double kMaxContention = 20;
// Sends of a part from which on it counts as common, so that it is cached in many places; and the
// part of the sends that is not at the part's home.
constexpr std::uint32_t kCommonSends = 3;
constexpr double kSpread = 0.5;
// Time that the path to another failure domain adds, and that stage results take on the links
// between domains, which all requests share.
constexpr double kPathSeconds = 0.002;
constexpr double kInputPathSeconds = 0.03;

double decay(Common::Duration age, Common::Duration halfLife)
{
    return std::exp2(-Common::toSeconds(std::max(age, Common::Duration(0)))
                     / Common::toSeconds(halfLife));
}

Common::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, kMaxExpectedSeconds)));
}

double reportedContention(const Endpoint &endpoint)
{
    return std::clamp(endpoint.report.contention.value_or(1), kMinContention, kMaxContention);
}

// Belief between 0 and 1 that the part is cached at the endpoint.
double cachedBelief(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                    const SharedPart &part, double homeBelief, Common::Time now)
{
    if (pool.cachedParts.wasSent(part.id, endpoint, now))
        return 1;
    const std::uint32_t sends = pool.cachedParts.countSends(part.id, now);
    double belief = homeBelief;
    if (sends >= kCommonSends) {
        const double perEndpoint = kSpread * (sends - 1) * static_cast<double>(work.senders)
            / static_cast<double>(std::max<std::size_t>(pool.endpoints.size(), 1));
        belief = std::max(belief, 1 - std::exp(-perEndpoint));
    }
    return belief;
}

double pathSeconds(const Endpoint &endpoint, const PromptWork &work)
{
    if (endpoint.failureDomain == work.inputDomain)
        return 0;
    return work.hasInputs ? kInputPathSeconds : kPathSeconds;
}

// Seconds of an engine of usual pace without contention.
double usualSeconds(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                    double homeBelief, Common::Time now)
{
    const double tokens
        = tokensAhead(pool, endpoint, now) + tokensToRead(pool, endpoint, work, homeBelief, now);
    // Prompts are read between the tokens of the requests that run.
    const double occupancy = std::min(
        static_cast<double>(endpoint.report.running) / std::max(endpoint.report.slots, 1u), 1.0);
    return secondsWithoutTokens(pool.rates)
        + secondsPerToken(pool.rates) * tokens * (1 + occupancy);
}

} // namespace

double currentContention(const Endpoint &endpoint, Common::Time now)
{
    return 1
        + (reportedContention(endpoint) - 1)
        * decay(now - endpoint.reportedAt, kContentionHalfLife);
}

double meanContention(double contention, Common::Duration period)
{
    const double halves = Common::toSeconds(period) / Common::toSeconds(kContentionHalfLife);
    if (halves <= 0)
        return contention;
    const double part = (1 - std::exp2(-halves)) / (halves * std::numbers::ln2);
    return 1 + (contention - 1) * part;
}

double tokensToRead(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                    double homeBelief, Common::Time now)
{
    double tokens = static_cast<double>(work.ownTokens);
    double belief = 1;
    for (const SharedPart &part : work.shared) {
        belief *= cachedBelief(pool, endpoint, work, part, homeBelief, now);
        tokens += (1 - belief) * static_cast<double>(part.tokens);
    }
    return tokens;
}

double tokensAhead(const Pool &pool, const Endpoint &endpoint, Common::Time now)
{
    const double believed = decay(now - endpoint.reportedAt, kWaitingHalfLife);
    const double waiting = believed * std::min<double>(endpoint.report.waiting, kMaxWaiting)
        + (1 - believed) * std::max(endpoint.usualWaiting, 0.0);
    const auto sends
        = std::count_if(endpoint.sendsSinceReport.begin(), endpoint.sendsSinceReport.end(),
                        [now](Common::Time sentAt) { return now - sentAt < kSendMemory; });
    return (waiting + static_cast<double>(sends)) * pool.rates.meanPromptTokens;
}

Common::Duration expectedFirstEvent(const Pool &pool, const Endpoint &endpoint,
                                    const PromptWork &work, Common::Time now, double homeBelief)
{
    const double usual
        = usualSeconds(pool, endpoint, work, homeBelief, now) * endpoint.lastingPace.relative;
    return toDuration(usual * meanContention(currentContention(endpoint, now), toDuration(usual))
                      + pathSeconds(endpoint, work));
}

Common::Duration expectedEnd(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                             std::uint64_t events, Common::Time now, double homeBelief)
{
    const Common::Duration first = expectedFirstEvent(pool, endpoint, work, now, homeBelief);
    const double gaps = events > 1 ? static_cast<double>(events - 1) : 0;
    const double usual = gaps * pool.rates.meanGapSeconds * endpoint.lastingPace.relative;
    return first
        + toDuration(usual
                     * meanContention(currentContention(endpoint, now + first), toDuration(usual)));
}

void noteSent(Pool &pool, std::size_t index, const PromptWork &work, Common::Time now)
{
    Endpoint &endpoint = pool.endpoints[index];
    for (const SharedPart &part : work.shared)
        pool.cachedParts.noteSent(part.id, endpoint, now);
    std::erase_if(endpoint.sendsSinceReport,
                  [now](Common::Time sentAt) { return now - sentAt >= kSendMemory; });
    endpoint.sendsSinceReport.push_back(now);
}

} // namespace Tanagerbay::Routing
