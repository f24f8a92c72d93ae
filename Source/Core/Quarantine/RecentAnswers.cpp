#include "Quarantine/RecentAnswers.h"

#include <utility>

namespace Tanagerbay::Quarantine {

namespace {

// An answer is remembered for one to two generations.
constexpr Common::Milliseconds kGenerationLength{1500};
// Callers choose the traits of their requests, so their number is bounded. What is not remembered
// is learned from the next answer.
constexpr std::size_t kMaxPerGeneration = 4096;

} // namespace

void noteAnswer(RecentAnswers &answers, Trait trait, Common::Time now)
{
    if (now - answers.currentSince >= kGenerationLength) {
        answers.previous = std::exchange(answers.current, {});
        if (now - answers.currentSince >= 2 * kGenerationLength)
            answers.previous.clear();
        answers.currentSince = now;
    }
    const auto found = answers.current.find(trait);
    if (found != answers.current.end())
        found->second = now;
    else if (answers.current.size() < kMaxPerGeneration)
        answers.current.emplace(trait, now);
}

std::optional<Common::Time> lastAnswerAt(const RecentAnswers &answers, Trait trait)
{
    for (const auto *generation : {&answers.current, &answers.previous}) {
        const auto found = generation->find(trait);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace Tanagerbay::Quarantine
