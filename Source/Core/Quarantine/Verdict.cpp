#include "Quarantine/Verdict.h"

#include "Common/Hash.h"

#include <algorithm>
#include <set>

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
// Delay for what may have been there by chance. That of each differs, up to twice as much,
// so that one is not lost in the trial of another.
constexpr Common::Milliseconds kDoubtfulTrialDelay{5000};
constexpr std::uint64_t kDelaySteps = 64;
// Crashes from which on a content is not tried again before its evidence is dropped.
constexpr std::size_t kMaxContentCrashes = 2 * kMinCrashes;

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

Suspicion makeSuspicion(const std::vector<const Crash *> &crashes, const CrashIndexes &explained)
{
    Suspicion suspicion;
    suspicion.crashCount = explained.size();
    suspicion.lastCrashAt = crashes[explained.front()]->at;
    for (const std::size_t index : explained)
        suspicion.lastCrashAt = std::max(suspicion.lastCrashAt, crashes[index]->at);
    return suspicion;
}

// The trait that explains most crashes comes first; others must explain the remaining ones.
void addPartSuspicions(const std::vector<const Crash *> &crashes, Accusations accusations,
                       std::vector<Suspicion> &suspicions)
{
    std::erase_if(accusations, [](const auto &entry) { return isContent(entry.first); });
    while (!accusations.empty()) {
        const auto best = std::max_element(
            accusations.begin(), accusations.end(),
            [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
        const CrashIndexes explained = best->second;
        Suspicion suspicion = makeSuspicion(crashes, explained);
        for (const auto &[trait, indexes] : accusations) {
            if (indexes == explained)
                suspicion.traits.push_back(trait);
        }
        suspicions.push_back(std::move(suspicion));
        removeExplained(accusations, explained);
    }
}

// Returns for each crash how many suspects would explain it. A content counts once, whoever its
// callers are.
std::vector<std::size_t> countExplanations(std::size_t crashCount, const Accusations &accusations)
{
    std::vector<std::set<Trait>> explanations(crashCount);
    for (const auto &[trait, explained] : accusations) {
        for (const std::size_t crash : explained)
            explanations[crash].insert(withoutCaller(trait));
    }
    std::vector<std::size_t> counts;
    for (const std::set<Trait> &each : explanations)
        counts.push_back(each.size());
    return counts;
}

// Each content counts by itself. Several are often in flight together, as they are sent again and
// again to the few endpoints that are left, and more than one of them may be deadly.
void addContentSuspicions(const std::vector<const Crash *> &crashes, const Accusations &accusations,
                          std::vector<Suspicion> &suspicions)
{
    const std::vector<std::size_t> explanations = countExplanations(crashes.size(), accusations);
    for (const auto &[trait, explained] : accusations) {
        if (!isContent(trait))
            continue;
        Suspicion suspicion = makeSuspicion(crashes, explained);
        suspicion.traits = {trait};
        // A sound request may have been beside a different deadly one each time.
        suspicion.isDoubtful
            = std::all_of(explained.begin(), explained.end(),
                          [&](std::size_t crash) { return explanations[crash] > 1; });
        suspicions.push_back(std::move(suspicion));
    }
}

// Returns a fraction that is the same at all instances.
double delayFraction(Trait trait)
{
    return static_cast<double>(Common::hash64(std::to_string(trait)) % kDelaySteps) / kDelaySteps;
}

} // namespace

std::vector<Suspicion> quarantined(const Evidence &evidence, Common::Time now)
{
    std::vector<const Crash *> crashes;
    for (const auto &[process, crash] : evidence.crashes) {
        if (hasSettled(crash, now))
            crashes.push_back(&crash);
    }
    const Accusations accusations = accusationsIn(evidence, crashes);
    std::vector<Suspicion> suspicions;
    addPartSuspicions(crashes, accusations, suspicions);
    addContentSuspicions(crashes, accusations, suspicions);
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
    const auto applies = [&traits](const Suspicion &suspicion) {
        return std::all_of(suspicion.traits.begin(), suspicion.traits.end(), [&](Trait trait) {
            return std::find(traits.begin(), traits.end(), trait) != traits.end();
        });
    };
    const Suspicion *longest = nullptr;
    for (const Suspicion &suspicion : suspicions) {
        if (applies(suspicion) && (!longest || trialAt(suspicion) > trialAt(*longest)))
            longest = &suspicion;
    }
    return longest;
}

Common::Time trialAt(const Suspicion &suspicion)
{
    const Trait first = suspicion.traits.front();
    if (isContent(first) && suspicion.crashCount >= kMaxContentCrashes)
        return suspicion.lastCrashAt + kRetention;
    if (suspicion.isDoubtful) {
        return suspicion.lastCrashAt
            + std::chrono::duration_cast<Common::Duration>(kDoubtfulTrialDelay
                                                           * (1 + delayFraction(first)));
    }
    const std::size_t doublings = std::min(suspicion.crashCount - kMinCrashes, kMaxDoublings);
    return suspicion.lastCrashAt + kFirstTrialDelay * (1 << doublings);
}

} // namespace Tanagerbay::Quarantine
