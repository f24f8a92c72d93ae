// When answers to requests with a trait last began, for a bounded number of traits.
#pragma once

#include "Common/Time.h"
#include "Quarantine/Trait.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace Tanagerbay::Quarantine {

// Two generations, so that old entries are dropped together and none is searched for.
struct RecentAnswers
{
    std::unordered_map<Trait, Common::Time> current;
    std::unordered_map<Trait, Common::Time> previous;
    Common::Time currentSince;
};

void noteAnswer(RecentAnswers &answers, Trait trait, Common::Time now);

// Returns when the last answer began, if that was recent.
std::optional<Common::Time> lastAnswerAt(const RecentAnswers &answers, Trait trait);

} // namespace Tanagerbay::Quarantine
