#include "Routing/PathHealth.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Routing {

namespace {

// Endpoints that cannot be connected to before the paths are probed. One alone has probably ended.
constexpr std::size_t kMinUnreachable = 2;
// Calls that wait so long without an answer of any endpoint are a reason to probe: several times
// what most calls take until the head of their answer.
constexpr Common::Milliseconds kMaxSilence{500};
// Interval of the rounds of probes, while the paths are in doubt and while they are lost.
constexpr Common::Milliseconds kDoubtProbeInterval{1000};
constexpr Common::Milliseconds kLostProbeInterval{500};
// Another instance must have had contact this much later than this one failed: endpoints that end
// are noticed by all instances within about this time.
constexpr Common::Milliseconds kContactMargin{300};
// The report of an instance that has gone since says nothing about now.
constexpr Common::Milliseconds kOtherContactMemory{3000};

bool hasOtherContact(const PathHealth &health, Common::Time since, Common::Time now)
{
    return std::any_of(health.otherContacts.begin(), health.otherContacts.end(),
                       [&](const auto &entry) {
                           return entry.second >= since && now - entry.second < kOtherContactMemory;
                       });
}

} // namespace

void noteAnswer(PathHealth &health, Common::Time now)
{
    health.lastContactAt = now;
}

void noteConnected(PathHealth &health, Common::Time now)
{
    health.lastContactAt = now;
    health.failingSince.reset();
    health.failedEndpoints.clear();
    health.hasProbesFailed = false;
}

void noteUnreachable(PathHealth &health, const Common::EndpointId &endpoint, Common::Time now)
{
    if (!health.failingSince)
        health.failingSince = now;
    if (health.failedEndpoints.size() < kMinUnreachable)
        health.failedEndpoints.insert(endpoint);
}

void noteOtherContact(PathHealth &health, const Common::InstanceId &instance,
                      Common::Time contactAt)
{
    const auto [entry, added] = health.otherContacts.try_emplace(instance, contactAt);
    entry->second = std::max(entry->second, contactAt);
}

void noteAsked(PathHealth &health)
{
    health.isAsked = true;
}

bool needsProbes(const PathHealth &health, std::optional<Common::Time> waitingSince,
                 Common::Time now)
{
    const Common::Duration interval = health.isLost ? kLostProbeInterval : kDoubtProbeInterval;
    if (health.probedAt && now - *health.probedAt < interval)
        return false;
    const bool isSilent = waitingSince && now - *waitingSince >= kMaxSilence;
    // An instance that has nothing to send has no contact to tell of.
    const bool mustTell = health.isAsked
        && (!health.lastContactAt || now - *health.lastContactAt >= kContactMargin);
    return health.isLost || isSilent || mustTell
        || health.failedEndpoints.size() >= kMinUnreachable;
}

void noteProbes(PathHealth &health, std::size_t succeeded, std::size_t failed, Common::Time now)
{
    health.isAsked = false;
    if (succeeded > 0) {
        noteConnected(health, now);
        return;
    }
    health.hasProbesFailed = failed > 0;
}

bool decide(PathHealth &health, Common::Time now)
{
    std::erase_if(health.otherContacts,
                  [now](const auto &entry) { return now - entry.second >= kOtherContactMemory; });
    const bool isFailing = health.hasProbesFailed && health.failingSince;
    // What has been lost stays lost until a probe succeeds, also if the others have no traffic that
    // would show their paths.
    const bool isLost = isFailing
        && (health.isLost || hasOtherContact(health, *health.failingSince + kContactMargin, now));
    return std::exchange(health.isLost, isLost) != isLost;
}

std::vector<ProbeCandidate> drawProbes(std::vector<ProbeCandidate> candidates, std::size_t count,
                                       std::mt19937_64 &random)
{
    std::shuffle(candidates.begin(), candidates.end(), random);
    std::map<std::string, std::size_t> drawnOfService;
    std::vector<std::pair<std::size_t, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        order.emplace_back(drawnOfService[candidates[i].service]++, i);
    std::sort(order.begin(), order.end());
    std::vector<ProbeCandidate> drawn;
    for (std::size_t i = 0; i < order.size() && i < count; ++i)
        drawn.push_back(candidates[order[i].second]);
    return drawn;
}

} // namespace Tanagerbay::Routing
