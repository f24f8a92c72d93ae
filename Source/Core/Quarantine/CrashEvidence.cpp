#include "Quarantine/CrashEvidence.h"

#include <algorithm>
#include <iterator>

namespace Tanagerbay::Quarantine {

namespace {

// A dropped crash is remembered without suspects, so that a late report does not bring it back.
constexpr std::chrono::hours kDroppedMemory{2};
constexpr std::size_t kMaxCrashes = 256;
// An answer that began this long before a crash still acquits its traits: what many requests share
// is answered at other endpoints all the time, also right before this one crashed.
constexpr Common::Milliseconds kAcquittalReach{1000};
// Acquittals of one trait are passed on at most this often.
constexpr Common::Milliseconds kAcquittalInterval{250};
// Crashes that accuse a content before its acquittals are passed on. Nearly all contents are
// accused once, when an endpoint ends with many requests, and their acquittals would displace those
// of parts.
constexpr std::ptrdiff_t kMinContentAccusations = 2;
// An acquittal without a crash is kept this long: the report of the crash may arrive later.
constexpr Common::Milliseconds kAcquittalMemory{10'000};
constexpr std::size_t kMaxAcquittals = 4096;

bool contains(const std::vector<Trait> &sorted, Trait trait)
{
    return std::binary_search(sorted.begin(), sorted.end(), trait);
}

std::ptrdiff_t accusationsOf(const Evidence &evidence, Trait trait)
{
    return std::count_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &entry) {
        return isAccused(evidence, entry.second, trait);
    });
}

// Keeps the suspects that other crashes accuse too: those that a caller has just invented must not
// displace them.
void boundSuspects(const Evidence &evidence, std::vector<Trait> &suspects)
{
    if (suspects.size() <= kMaxSuspects)
        return;
    std::unordered_map<Trait, std::ptrdiff_t> accusations;
    for (const Trait trait : suspects)
        accusations[trait] = accusationsOf(evidence, trait);
    std::stable_sort(suspects.begin(), suspects.end(),
                     [&](Trait a, Trait b) { return accusations.at(a) > accusations.at(b); });
    suspects.resize(kMaxSuspects);
    std::sort(suspects.begin(), suspects.end());
}

void dropOldest(Evidence &evidence)
{
    const auto oldest
        = std::min_element(evidence.crashes.begin(), evidence.crashes.end(),
                           [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
    evidence.crashes.erase(oldest);
}

void indexSuspects(Evidence &evidence)
{
    evidence.lastAccusedAt.clear();
    for (const auto &[process, crash] : evidence.crashes) {
        for (const Trait trait : crash.suspects) {
            const auto [found, added] = evidence.lastAccusedAt.try_emplace(trait, crash.at);
            found->second = std::max(found->second, crash.at);
        }
    }
}

bool isAcquittedSince(const Evidence &evidence, Trait trait, Common::Time crashedAt)
{
    const auto acquittal = evidence.acquittals.find(trait);
    return acquittal != evidence.acquittals.end()
        && acquittal->second + kAcquittalReach >= crashedAt;
}

bool isAccusedByAny(const Evidence &evidence, Trait trait)
{
    const auto accused = evidence.lastAccusedAt.find(trait);
    return accused != evidence.lastAccusedAt.end()
        && !isAcquittedSince(evidence, trait, accused->second);
}

// Whether other instances need to know of acquittals of the trait.
bool mustPassOn(const Evidence &evidence, Trait trait)
{
    if (!isContent(trait))
        return true;
    const auto accusations = std::count_if(
        evidence.crashes.begin(), evidence.crashes.end(),
        [trait](const auto &entry) { return contains(entry.second.suspects, trait); });
    return accusations >= kMinContentAccusations;
}

void raiseAcquittal(Evidence &evidence, const Acquittal &acquittal, News &news)
{
    const auto found = evidence.acquittals.find(acquittal.trait);
    const bool isKnown = found != evidence.acquittals.end();
    if (!isKnown && evidence.acquittals.size() >= kMaxAcquittals)
        return;
    const bool isNews = (!isKnown || acquittal.at >= found->second + kAcquittalInterval)
        && mustPassOn(evidence, acquittal.trait);
    Common::Time &latest = evidence.acquittals[acquittal.trait];
    latest = isKnown ? std::max(latest, acquittal.at) : acquittal.at;
    if (isNews)
        news.acquittals.push_back(acquittal);
}

} // namespace

bool isAccused(const Evidence &evidence, const Crash &crash, Trait trait)
{
    return contains(crash.suspects, trait) && !isAcquittedSince(evidence, trait, crash.at);
}

News mergeCrash(Evidence &evidence, Crash crash, Common::Time now)
{
    News news;
    std::sort(crash.suspects.begin(), crash.suspects.end());
    crash.suspects.erase(std::unique(crash.suspects.begin(), crash.suspects.end()),
                         crash.suspects.end());
    const auto known = evidence.crashes.find(crash.process);
    if (known == evidence.crashes.end()) {
        if (now - crash.at >= kRetention)
            return news;
        boundSuspects(evidence, crash.suspects);
        evidence.crashes[crash.process] = crash;
        news.crashes.push_back(crash);
        if (evidence.crashes.size() > kMaxCrashes)
            dropOldest(evidence);
    } else {
        Crash &merged = known->second;
        // The delay of a message makes a crash look later than it was.
        merged.at = std::min(merged.at, crash.at);
        if (now - merged.at >= kRetention)
            return news;
        std::vector<Trait> all;
        std::set_union(merged.suspects.begin(), merged.suspects.end(), crash.suspects.begin(),
                       crash.suspects.end(), std::back_inserter(all));
        boundSuspects(evidence, all);
        Crash added{merged.process, merged.at, {}};
        std::set_difference(all.begin(), all.end(), merged.suspects.begin(), merged.suspects.end(),
                            std::back_inserter(added.suspects));
        merged.suspects = std::move(all);
        if (added.suspects.empty())
            return news;
        news.crashes.push_back(std::move(added));
    }
    indexSuspects(evidence);
    for (const Trait trait : news.crashes.front().suspects) {
        if (const auto answeredAt = lastAnswerAt(evidence.answers, trait))
            raiseAcquittal(evidence, {trait, *answeredAt}, news);
        // It may not have been passed on before.
        const auto kept = evidence.acquittals.find(trait);
        if (isContent(trait) && kept != evidence.acquittals.end() && mustPassOn(evidence, trait))
            news.acquittals.push_back({trait, kept->second});
    }
    return news;
}

News mergeAcquittal(Evidence &evidence, const Acquittal &acquittal, Common::Time now)
{
    News news;
    const bool isAccused = evidence.lastAccusedAt.contains(acquittal.trait);
    if (isAccused || now - acquittal.at < kAcquittalMemory)
        raiseAcquittal(evidence, acquittal, news);
    return news;
}

News noteAnswerBegun(Evidence &evidence, const std::vector<Trait> &traits, Common::Time now)
{
    News news;
    for (const Trait trait : traits) {
        noteAnswer(evidence.answers, trait, now);
        if (isAccusedByAny(evidence, trait))
            raiseAcquittal(evidence, {trait, now}, news);
    }
    return news;
}

void expire(Evidence &evidence, Common::Time now)
{
    std::erase_if(evidence.crashes,
                  [now](const auto &entry) { return now - entry.second.at >= kDroppedMemory; });
    for (auto &[process, crash] : evidence.crashes) {
        if (now - crash.at >= kRetention)
            crash.suspects.clear();
    }
    indexSuspects(evidence);
    std::erase_if(evidence.acquittals, [&](const auto &entry) {
        return now - entry.second >= kAcquittalMemory
            && !evidence.lastAccusedAt.contains(entry.first);
    });
}

News allEvidence(const Evidence &evidence)
{
    News all;
    for (const auto &[process, crash] : evidence.crashes) {
        if (!crash.suspects.empty())
            all.crashes.push_back(crash);
    }
    for (const auto &[trait, at] : evidence.acquittals)
        all.acquittals.push_back({trait, at});
    return all;
}

} // namespace Tanagerbay::Quarantine
