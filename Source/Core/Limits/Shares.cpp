#include "Limits/Shares.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Limits {

namespace {

// Capacity of the token bucket, in seconds of the rate held.
constexpr double kBurstSeconds = 0.25;
constexpr double kDemandSmoothing = 0.25;
// A holder requests a grant when its demand exceeds this fraction of its base share.
constexpr double kBorrowThreshold = 0.7;
// Demand is reported larger by this factor, so that it can grow before the next request.
constexpr double kDemandHeadroom = 1.15;
constexpr Common::Milliseconds kDemandRetention{3000};
// An instance with fewer requests per second counts as idle.
constexpr double kIdleRatePerSecond = 0.2;
// A lender keeps this fraction of its base share for sudden requests.
constexpr double kLenderReserve = 0.1;

std::uint32_t saturatingSubtract(std::uint32_t left, std::uint32_t right)
{
    return left > right ? left - right : 0;
}

Amount maxPerDimension(const Amount &left, const Amount &right)
{
    return {std::max(left.concurrency, right.concurrency),
            std::max(left.ratePerSecond, right.ratePerSecond)};
}

bool isLessInAnyDimension(const Amount &left, const Amount &right)
{
    return left.concurrency < right.concurrency || left.ratePerSecond < right.ratePerSecond;
}

// Returns `next` without reductions to more than half of `present`. A reduction frees the
// difference only when the larger loan expires, so only large ones are made.
Amount withoutSmallReductions(const Amount &next, const Amount &present)
{
    constexpr double kLargeReductionRatio = 0.5;
    Amount amount = next;
    if (next.concurrency > kLargeReductionRatio * present.concurrency)
        amount.concurrency = std::max(next.concurrency, present.concurrency);
    if (next.ratePerSecond > kLargeReductionRatio * present.ratePerSecond)
        amount.ratePerSecond = std::max(next.ratePerSecond, present.ratePerSecond);
    return amount;
}

Amount currentlyLent(const ShareHolder &holder, Common::Time now)
{
    const Amount current = now < holder.lentUntil ? holder.lent : Amount{};
    const Amount before = now < holder.previousLentUntil ? holder.previousLent : Amount{};
    return maxPerDimension(current, before);
}

double bucketCapacity(double rate)
{
    return std::max(rate * kBurstSeconds, 1.0);
}

void refillTokens(ShareHolder &holder, Common::Time now)
{
    const double rate = usableRate(holder, now);
    const double seconds = std::max(Common::toSeconds(now - holder.tokensUpdatedAt), 0.0);
    // The capacity follows the rate held, so that the total capacity of all holders is bounded by
    // the limit too.
    const double capacity = rate > 0 ? bucketCapacity(rate) : 0;
    holder.tokens = std::min(holder.tokens + seconds * rate, capacity);
    holder.tokensUpdatedAt = now;
}

// Returns the max-min fair share of `total` for the demand at `index`: no demand receives more than
// it asks for, and none receives more than an even split while another is unmet.
double maxMinFairShare(std::vector<double> demands, std::size_t index, double total)
{
    const double own = demands[index];
    std::sort(demands.begin(), demands.end());
    std::size_t left = demands.size();
    for (const double demand : demands) {
        const double even = total / static_cast<double>(left);
        if (demand > even)
            return std::min(own, even);
        if (own <= demand)
            return own;
        total -= demand;
        --left;
    }
    return own;
}

// Returns the max-min fair share of the demand at `index` plus an even split of the amount that no
// demand asks for.
double fairShareWithSpare(const std::vector<double> &demands, std::size_t index, double total)
{
    double totalDemand = 0;
    for (const double demand : demands)
        totalDemand += demand;
    const double spare = std::max(total - totalDemand, 0.0) / static_cast<double>(demands.size());
    return maxMinFairShare(demands, index, total) + spare;
}

// Returns the largest amount, per dimension, of a borrower's grants that may still be in use.
Amount outstandingGrant(const Coordinator::Borrower &borrower, Common::Time now)
{
    Amount largest;
    for (const Coordinator::Borrower::Grant &grant : borrower.grants) {
        if (grant.until <= now)
            continue;
        largest.concurrency = std::max(largest.concurrency, grant.amount.concurrency);
        largest.ratePerSecond = std::max(largest.ratePerSecond, grant.amount.ratePerSecond);
    }
    return largest;
}

} // namespace

Amount baseShare(const Amount &limit, std::size_t slot, std::size_t slots,
                 const Common::WorkspaceId &workspace)
{
    const auto count = static_cast<std::uint32_t>(slots);
    const std::uint32_t even = limit.concurrency / count;
    const std::uint32_t rest = limit.concurrency % count;
    const std::size_t rotatedSlot = (slot + Common::hash64(workspace.value)) % slots;
    Amount amount;
    amount.concurrency = even + (rotatedSlot < rest ? 1 : 0);
    amount.ratePerSecond = limit.ratePerSecond / static_cast<double>(slots);
    return amount;
}

double usableRate(const ShareHolder &holder, Common::Time now)
{
    const double base
        = std::max(holder.base.ratePerSecond - currentlyLent(holder, now).ratePerSecond, 0.0);
    const double grant = now < holder.grantUntil ? holder.grant.ratePerSecond : 0;
    return base + grant;
}

ShareDecision admit(ShareHolder &holder, Common::Time deadline, Common::Time now)
{
    holder.arrivals += 1;
    refillTokens(holder, now);
    const std::uint32_t base
        = saturatingSubtract(holder.base.concurrency, currentlyLent(holder, now).concurrency);
    const bool grantCoversDeadline = deadline <= holder.grantUntil;
    const std::uint32_t grant = grantCoversDeadline ? holder.grant.concurrency : 0;
    const bool baseFree = holder.baseInUse < base;
    const bool grantFree = holder.grantInUse < grant;
    if (!baseFree && !grantFree) {
        ++holder.refusedConcurrency;
        return {ShareVerdict::OverConcurrency};
    }
    if (holder.tokens < 1) {
        ++holder.refusedRate;
        return {ShareVerdict::OverRate};
    }
    holder.tokens -= 1;
    // Grants expire, so they are used before the base share.
    const ShareSource source = grantFree ? ShareSource::Grant : ShareSource::Base;
    ++(source == ShareSource::Grant ? holder.grantInUse : holder.baseInUse);
    return {ShareVerdict::Admitted, source};
}

void release(ShareHolder &holder, ShareSource source)
{
    std::uint32_t &inUse = source == ShareSource::Grant ? holder.grantInUse : holder.baseInUse;
    inUse = saturatingSubtract(inUse, 1);
}

Demand measureDemand(ShareHolder &holder, Common::Time now)
{
    const double seconds = std::max(Common::toSeconds(now - holder.demandMeasuredAt), 0.05);
    const double rate = holder.arrivals / seconds;
    holder.arrivalRate += kDemandSmoothing * (rate - holder.arrivalRate);
    Demand demand;
    // A short burst is smoothed out and causes no borrowing. Requests refused for their rate do:
    // the rate of this period then counts in full.
    const double wanted
        = holder.refusedRate > 0 ? std::max(rate, holder.arrivalRate) : holder.arrivalRate;
    demand.ratePerSecond = wanted * kDemandHeadroom;
    const double calls
        = holder.baseInUse + holder.grantInUse + static_cast<double>(holder.refusedConcurrency);
    demand.concurrency = static_cast<std::uint32_t>(calls * kDemandHeadroom) + (calls > 0 ? 1 : 0);
    holder.arrivals = 0;
    holder.refusedConcurrency = 0;
    holder.refusedRate = 0;
    holder.demandMeasuredAt = now;
    return demand;
}

bool wantsGrant(const ShareHolder &holder, const Demand &demand, Common::Time now)
{
    const bool anyDemand = demand.concurrency > 0 || demand.ratePerSecond > 0;
    if (now < holder.grantUntil && anyDemand)
        return true;
    const Amount lent = currentlyLent(holder, now);
    const double concurrency = saturatingSubtract(holder.base.concurrency, lent.concurrency);
    const double rate = holder.base.ratePerSecond - lent.ratePerSecond;
    return demand.concurrency > kBorrowThreshold * concurrency
        || demand.ratePerSecond > kBorrowThreshold * rate;
}

Amount lend(ShareHolder &holder, const Amount &requested, Common::Duration period,
            bool sameBorrower, Common::Time now)
{
    if (now < latestLoanEnd(holder) && !sameBorrower)
        return {};
    // Keeps what the instance uses itself, and a reserve.
    auto reservedConcurrency = static_cast<std::uint32_t>(kLenderReserve * holder.base.concurrency);
    if (reservedConcurrency == 0 && holder.arrivalRate > kIdleRatePerSecond)
        reservedConcurrency = 1;
    const double ownRate
        = holder.arrivalRate > kIdleRatePerSecond ? holder.arrivalRate * kDemandHeadroom : 0;
    const double reservedRate = std::max(ownRate, kLenderReserve * holder.base.ratePerSecond);
    // The amount that is lent already is not in use on this instance, so it can be lent again.
    const Amount lentAlready = currentlyLent(holder, now);
    const std::uint32_t keptConcurrency = std::max(reservedConcurrency, holder.baseInUse);
    Amount amount;
    amount.concurrency
        = std::min(requested.concurrency,
                   std::max(saturatingSubtract(holder.base.concurrency, keptConcurrency),
                            lentAlready.concurrency));
    amount.ratePerSecond
        = std::min(requested.ratePerSecond,
                   std::max(holder.base.ratePerSecond - reservedRate, lentAlready.ratePerSecond));
    if (now < holder.lentUntil) {
        amount = withoutSmallReductions(amount, holder.lent);
        // A smaller loan does not end the larger one before that expires.
        if (isLessInAnyDimension(amount, holder.lent)) {
            holder.previousLent = lentAlready;
            holder.previousLentUntil = latestLoanEnd(holder);
        }
    }
    holder.lent = amount;
    holder.lentUntil = now + period;
    return amount;
}

Common::Time latestLoanEnd(const ShareHolder &holder)
{
    return std::max(holder.lentUntil, holder.previousLentUntil);
}

void receiveGrant(ShareHolder &holder, const Amount &amount, std::uint64_t number,
                  Common::Duration validFor, Common::Time requestedAt)
{
    if (number <= holder.grantNumber)
        return;
    refillTokens(holder,
                 requestedAt > holder.tokensUpdatedAt ? requestedAt : holder.tokensUpdatedAt);
    holder.grant = amount;
    holder.grantNumber = number;
    holder.grantUntil = requestedAt + validFor;
}

void recordLoan(Coordinator &coordinator, const Common::InstanceId &lender, const Amount &amount,
                Common::Duration period, Common::Time requestedAt)
{
    Coordinator::Loan &loan = coordinator.loans[lender];
    const Common::Time until = requestedAt + period;
    if (until < loan.until)
        return;
    loan.amount = amount;
    loan.until = until;
}

GrantedShare grantShare(Coordinator &coordinator, const ShareRequest &request, Common::Time now)
{
    removeExpired(coordinator, now);
    Coordinator::Borrower &borrower = coordinator.borrowers[request.from];
    borrower.demand = request.demand;
    borrower.demandReceivedAt = now;
    borrower.inUse = request.inUse;
    // The borrower has replaced the grants older than the one it applied last.
    std::erase_if(borrower.grants, [&request](const Coordinator::Borrower::Grant &grant) {
        return grant.number < request.appliedGrant;
    });
    GrantedShare granted;
    if (coordinator.loans.empty())
        return granted;
    Common::Time until = Common::Time::max();
    Amount total;
    for (const auto &[lender, loan] : coordinator.loans) {
        until = std::min(until, loan.until);
        total.concurrency += loan.amount.concurrency;
        total.ratePerSecond += loan.amount.ratePerSecond;
    }
    Amount outstandingToOthers;
    std::vector<double> concurrencyDemands{static_cast<double>(request.demand.concurrency)};
    std::vector<double> rateDemands{request.demand.ratePerSecond};
    for (const auto &[id, other] : coordinator.borrowers) {
        if (id == request.from)
            continue;
        const Amount out = outstandingGrant(other, now);
        outstandingToOthers.concurrency += out.concurrency;
        outstandingToOthers.ratePerSecond += out.ratePerSecond;
        concurrencyDemands.push_back(other.demand.concurrency);
        rateDemands.push_back(other.demand.ratePerSecond);
    }
    const double fairConcurrency = fairShareWithSpare(concurrencyDemands, 0, total.concurrency);
    const double fairRate = fairShareWithSpare(rateDemands, 0, total.ratePerSecond);
    granted.amount.concurrency
        = std::min(std::max(static_cast<std::uint32_t>(fairConcurrency), request.inUse),
                   saturatingSubtract(total.concurrency, outstandingToOthers.concurrency));
    granted.amount.ratePerSecond = std::max(
        std::min(fairRate, total.ratePerSecond - outstandingToOthers.ratePerSecond), 0.0);
    // A borrower ignores numbers not above its last one, so the numbers must rise for it also after
    // grants of another coordinator.
    coordinator.lastNumber = std::max(coordinator.lastNumber, request.appliedGrant) + 1;
    granted.number = coordinator.lastNumber;
    granted.validFor = until - now;
    borrower.grants.push_back({granted.number, granted.amount, until});
    return granted;
}

Amount amountToBorrowPerLender(const Coordinator &coordinator, std::size_t lenders)
{
    constexpr double kBorrowHeadroom = 1.3;
    double concurrency = 0;
    double rate = 0;
    for (const auto &[id, borrower] : coordinator.borrowers) {
        concurrency += std::max(borrower.demand.concurrency, borrower.inUse);
        rate += borrower.demand.ratePerSecond;
    }
    const auto parts = static_cast<double>(std::max<std::size_t>(lenders, 1));
    return {static_cast<std::uint32_t>(concurrency * kBorrowHeadroom / parts) + 1,
            rate * kBorrowHeadroom / parts};
}

bool removeExpired(Coordinator &coordinator, Common::Time now)
{
    std::erase_if(coordinator.loans,
                  [now](const auto &entry) { return entry.second.until <= now; });
    for (auto entry = coordinator.borrowers.begin(); entry != coordinator.borrowers.end();) {
        std::erase_if(entry->second.grants, [now](const Coordinator::Borrower::Grant &grant) {
            return grant.until <= now;
        });
        const bool demandExpired = now - entry->second.demandReceivedAt > kDemandRetention;
        const bool isRemovable = demandExpired && entry->second.grants.empty();
        entry = isRemovable ? coordinator.borrowers.erase(entry) : std::next(entry);
    }
    return !coordinator.loans.empty() || !coordinator.borrowers.empty();
}

} // namespace Tanagerbay::Limits
