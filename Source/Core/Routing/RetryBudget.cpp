#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Tanagerbay::Routing {

void noteFirstAttempt(RetryBudget &budget)
{
    ++budget.firstAttempts;
    budget.saved = std::min(budget.saved + budget.share, budget.maxBalance);
}

bool takeExtraAttempt(RetryBudget &budget)
{
    if (!budget.unlimited && budget.saved < 1) {
        ++budget.denied;
        return false;
    }
    budget.saved = std::max(budget.saved - 1, 0.0);
    ++budget.extraAttempts;
    return true;
}

} // namespace Tanagerbay::Routing
