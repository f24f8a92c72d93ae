// Token bucket that limits retries and hedges to a share of the first attempts.
#pragma once

#include <cstdint>

namespace Tanagerbay::Routing {

struct RetryBudget
{
    // Extra attempts earned by each first attempt.
    double share = 0.08;
    // Maximum number of extra attempts that can accumulate.
    double maxBalance = 10;
    double balance = 2;
    std::uint64_t firstAttempts = 0;
    std::uint64_t extraAttempts = 0;
    std::uint64_t denied = 0;
    // Baseline for benchmarks: extra attempts are never denied.
    bool unlimited = false;
};

void noteFirstAttempt(RetryBudget &budget);

// Takes one extra attempt from the budget. Returns false where the budget is exhausted.
bool takeExtraAttempt(RetryBudget &budget);

} // namespace Tanagerbay::Routing
