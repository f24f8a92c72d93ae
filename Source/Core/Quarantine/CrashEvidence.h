// Evidence about which traits of requests crash the endpoints that answer them.
//
// The crash of an endpoint's process accuses the traits of all requests that were in flight there
// and whose answers had not begun. An answer that begins acquits all traits of its request.
// Instances exchange both; evidence can be merged in any order and repeatedly, and is bounded.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Quarantine/RecentAnswers.h"

#include <compare>
#include <map>
#include <unordered_map>
#include <vector>

namespace Tanagerbay::Quarantine {

// A process of an endpoint.
struct Process
{
    Common::EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Process &) const = default;
};

struct Crash
{
    Process process;
    Common::Time at;
    // Sorted, without duplicates.
    std::vector<Trait> suspects;
};

struct Acquittal
{
    Trait trait = 0;
    // When the answer began.
    Common::Time at;
};

struct Evidence
{
    std::map<Process, Crash> crashes;
    // Time of the last crash that accuses a trait.
    std::unordered_map<Trait, Common::Time> lastAccusedAt;
    // Last acquittal of a trait.
    std::unordered_map<Trait, Common::Time> acquittals;
    // Answers of this instance, also to requests that nothing accuses.
    RecentAnswers answers;
};

// What a change of the evidence adds for other instances.
struct News
{
    // Crashes that are new or have new suspects.
    std::vector<Crash> crashes;
    std::vector<Acquittal> acquittals;
};

// Crashes older than this are dropped.
constexpr std::chrono::hours kRetention{1};
// Maximum number of suspects of one crash.
constexpr std::size_t kMaxSuspects = 256;

// Adds a crash that this instance has seen or that another one reported. The crash may be known
// with other suspects, since each instance knows its own requests only.
News mergeCrash(Evidence &evidence, Crash crash, Common::Time now);

// Adds an acquittal that another instance reported.
News mergeAcquittal(Evidence &evidence, const Acquittal &acquittal, Common::Time now);

// Records that the answer to a request with these traits has begun.
News noteAnswerBegun(Evidence &evidence, const std::vector<Trait> &traits, Common::Time now);

// Drops evidence that is too old.
void expire(Evidence &evidence, Common::Time now);

// Whether a crash accuses the trait and no answer has acquitted it since.
bool isAccused(const Evidence &evidence, const Crash &crash, Trait trait);

// All that this instance knows, for one that has just started.
News allEvidence(const Evidence &evidence);

} // namespace Tanagerbay::Quarantine
