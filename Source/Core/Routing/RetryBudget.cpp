#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Tanagerbay::Routing {

void noteFirstAttempt(RetryBudget &budget)
{
    ++budget.firstAttempts;
    budget.balance = std::min(budget.balance + budget.share, budget.maxBalance);
}

bool takeExtraAttempt(RetryBudget &budget)
{
    if (!budget.unlimited && budget.balance < 1) {
        ++budget.denied;
        return false;
    }
    budget.balance = std::max(budget.balance - 1, 0.0);
    ++budget.extraAttempts;
    return true;
}

} // namespace Tanagerbay::Routing
