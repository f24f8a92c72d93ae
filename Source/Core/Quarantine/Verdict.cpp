#include "Quarantine/Verdict.h"

#include <algorithm>

namespace Tanagerbay::Quarantine {

namespace {

// Crashes that a suspicion must explain. Two happen to one request that is in flight at two
// endpoints which crash for other reasons.
constexpr std::size_t kMinCrashes = 3;
// Age from which a crash counts: acquittals of other instances arrive within a few 10 ms.
constexpr Common::Milliseconds kSettleDelay{100};
// Delay of the first trial after the last crash; doubles with each further crash.
constexpr std::chrono::seconds kFirstTrialDelay{60};
constexpr std::size_t kMaxDoublings = 5;

// Crashes that accuse a trait, as sorted indexes.
using CrashIndexes = std::vector<std::size_t>;
using Accusations = std::map<Trait, CrashIndexes>;

bool hasSettled(const Crash &crash, Common::Time now)
{
    return now - crash.at >= kSettleDelay;
}

Accusations accusationsIn(const Evidence &evidence, const std::vector<const Crash *> &crashes)
{
    Accusations accusations;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        for (const Trait trait : crashes[i]->suspects) {
            if (isAccused(evidence, *crashes[i], trait))
                accusations[trait].push_back(i);
        }
    }
    std::erase_if(accusations, [](const auto &entry) { return entry.second.size() < kMinCrashes; });
    return accusations;
}

// Removes crashes that have been explained.
void removeExplained(Accusations &accusations, const CrashIndexes &explained)
{
    for (auto &[trait, indexes] : accusations) {
        std::erase_if(indexes, [&](std::size_t index) {
            return std::binary_search(explained.begin(), explained.end(), index);
        });
    }
    std::erase_if(accusations, [](const auto &entry) { return entry.second.size() < kMinCrashes; });
}

} // namespace

std::vector<Suspicion> quarantined(const Evidence &evidence, Common::Time now)
{
    std::vector<const Crash *> crashes;
    for (const auto &[process, crash] : evidence.crashes) {
        if (hasSettled(crash, now))
            crashes.push_back(&crash);
    }
    Accusations accusations = accusationsIn(evidence, crashes);
    std::vector<Suspicion> suspicions;
    // The trait that explains most crashes comes first; others must explain the remaining ones.
    while (!accusations.empty()) {
        const auto best = std::max_element(
            accusations.begin(), accusations.end(),
            [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
        const CrashIndexes explained = best->second;
        Suspicion suspicion;
        suspicion.crashCount = explained.size();
        suspicion.lastCrashAt = crashes[explained.front()]->at;
        for (const std::size_t index : explained)
            suspicion.lastCrashAt = std::max(suspicion.lastCrashAt, crashes[index]->at);
        for (const auto &[trait, indexes] : accusations) {
            if (indexes == explained)
                suspicion.traits.push_back(trait);
        }
        suspicions.push_back(std::move(suspicion));
        removeExplained(accusations, explained);
    }
    return suspicions;
}

std::optional<Common::Time> nextDecisionAt(const Evidence &evidence, Common::Time now)
{
    std::optional<Common::Time> next;
    for (const auto &[process, crash] : evidence.crashes) {
        if (!hasSettled(crash, now))
            next = std::min(next.value_or(crash.at + kSettleDelay), crash.at + kSettleDelay);
    }
    return next;
}

const Suspicion *findSuspicion(const std::vector<Suspicion> &suspicions,
                               const std::vector<Trait> &traits)
{
    const auto found = std::find_if(
        suspicions.begin(), suspicions.end(), [&](const Suspicion &suspicion) {
            return std::all_of(suspicion.traits.begin(), suspicion.traits.end(), [&](Trait trait) {
                return std::find(traits.begin(), traits.end(), trait) != traits.end();
            });
        });
    return found == suspicions.end() ? nullptr : &*found;
}

Common::Time trialAt(const Suspicion &suspicion)
{
    const std::size_t doublings = std::min(suspicion.crashCount - kMinCrashes, kMaxDoublings);
    return suspicion.lastCrashAt + kFirstTrialDelay * (1 << doublings);
}

} // namespace Tanagerbay::Quarantine
