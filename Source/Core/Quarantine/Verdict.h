// Decides from the evidence which requests are quarantined: not sent to any endpoint, since they
// would crash it.
#pragma once

#include "Quarantine/CrashEvidence.h"

#include <optional>

namespace Tanagerbay::Quarantine {

// The narrowest property that explains some crashes. Requests that have all of the traits are
// quarantined. More than one trait means that the evidence cannot tell them apart yet: the crashed
// requests had all of them. A content is never joined with another trait: what has crashed so many
// endpoints by itself is not sent again, whatever else was there.
struct Suspicion
{
    // Sorted.
    std::vector<Trait> traits;
    // Number of crashes that it explains.
    std::size_t crashCount = 0;
    Common::Time lastCrashAt;
    // Whether each of its crashes is also explained by something else that is quarantined, so that
    // it may have been there by chance.
    bool isDoubtful = false;

    bool operator==(const Suspicion &) const = default;
};

// Returns what is quarantined. Crashes count once other instances have had time to report answers
// that acquit their suspects.
std::vector<Suspicion> quarantined(const Evidence &evidence, Common::Time now);

// Returns when `quarantined` next has to be asked again although no evidence arrives, if ever.
std::optional<Common::Time> nextDecisionAt(const Evidence &evidence, Common::Time now);

// Returns the suspicion that applies to a request with these traits, or nullptr. Of several, the
// one that holds it back longest.
const Suspicion *findSuspicion(const std::vector<Suspicion> &suspicions,
                               const std::vector<Trait> &traits);

// Returns from when a single request is let through, to find out whether it still crashes its
// endpoint.
Common::Time trialAt(const Suspicion &suspicion);

} // namespace Tanagerbay::Quarantine
