#include "Limits/Shares.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Limits {

namespace {

// Most tokens that are saved up, in seconds of the rate that is held.
constexpr double kBurstSeconds = 0.25;
constexpr double kDemandGain = 0.25;
// A holder asks for a grant when its demand passes this share of its base.
constexpr double kPressure = 0.7;
// Demand is rounded up by this factor, so that growth does not wait for the next round.
constexpr double kHeadroom = 1.15;
constexpr Common::Milliseconds kDemandMemory{3000};
// Below this many requests a second an instance counts as idle.
constexpr double kIdleRate = 0.2;
// A lender keeps this share of its base for requests that come without warning.
constexpr double kReserve = 0.1;

std::uint32_t minus(std::uint32_t left, std::uint32_t right)
{
    return left > right ? left - right : 0;
}

Amount larger(const Amount &left, const Amount &right)
{
    return {std::max(left.concurrency, right.concurrency),
            std::max(left.ratePerSecond, right.ratePerSecond)};
}

bool isLess(const Amount &left, const Amount &right)
{
    return left.concurrency < right.concurrency || left.ratePerSecond < right.ratePerSecond;
}

// Each cut of a loan keeps the larger one for its whole time, so only large cuts are made.
Amount withoutSmallCuts(const Amount &next, const Amount &present)
{
    constexpr double kLargeCut = 0.5;
    Amount amount = next;
    if (next.concurrency > kLargeCut * present.concurrency)
        amount.concurrency = std::max(next.concurrency, present.concurrency);
    if (next.ratePerSecond > kLargeCut * present.ratePerSecond)
        amount.ratePerSecond = std::max(next.ratePerSecond, present.ratePerSecond);
    return amount;
}

Amount lentNow(const ShareHolder &holder, Common::Time now)
{
    const Amount current = now < holder.lentUntil ? holder.lent : Amount{};
    const Amount before = now < holder.lentBeforeUntil ? holder.lentBefore : Amount{};
    return larger(current, before);
}

double tokenDepth(double rate)
{
    return std::max(rate * kBurstSeconds, 1.0);
}

void refill(ShareHolder &holder, Common::Time now)
{
    const double rate = usableRate(holder, now);
    const double seconds = std::max(Common::toSeconds(now - holder.tokensAt), 0.0);
    // The depth is bounded by the rate held, so that the depths of all holders add up too.
    const double depth = rate > 0 ? tokenDepth(rate) : 0;
    holder.tokens = std::min(holder.tokens + seconds * rate, depth);
    holder.tokensAt = now;
}

// Shares out `total` among demands so that nobody gets more than its demand while another has
// less than an even part. Returns the part of the demand at `index`.
double maxMinPart(std::vector<double> demands, std::size_t index, double total)
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

// The part of the demand at `index`, and an even part of what no demand asks for.
double partWithSpare(const std::vector<double> &demands, std::size_t index, double total)
{
    double asked = 0;
    for (const double demand : demands)
        asked += demand;
    const double spare = std::max(total - asked, 0.0) / static_cast<double>(demands.size());
    return maxMinPart(demands, index, total) + spare;
}

// The largest amount of a borrower's grants that may still be in use.
Amount outstanding(const Coordinator::Borrower &borrower, Common::Time now)
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
    const std::size_t turned = (slot + Common::hash64(workspace.value)) % slots;
    Amount amount;
    amount.concurrency = even + (turned < rest ? 1 : 0);
    amount.ratePerSecond = limit.ratePerSecond / static_cast<double>(slots);
    return amount;
}

double usableRate(const ShareHolder &holder, Common::Time now)
{
    const double base
        = std::max(holder.base.ratePerSecond - lentNow(holder, now).ratePerSecond, 0.0);
    const double grant = now < holder.grantUntil ? holder.grant.ratePerSecond : 0;
    return base + grant;
}

ShareDecision admit(ShareHolder &holder, Common::Time deadline, Common::Time now)
{
    holder.arrivals += 1;
    refill(holder, now);
    const std::uint32_t base = minus(holder.base.concurrency, lentNow(holder, now).concurrency);
    const bool grantLasts = deadline <= holder.grantUntil;
    const std::uint32_t grant = grantLasts ? holder.grant.concurrency : 0;
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
    // Grants run out, so they are used first.
    const ShareSource source = grantFree ? ShareSource::Grant : ShareSource::Base;
    ++(source == ShareSource::Grant ? holder.grantInUse : holder.baseInUse);
    return {ShareVerdict::Admitted, source};
}

void release(ShareHolder &holder, ShareSource source)
{
    std::uint32_t &inUse = source == ShareSource::Grant ? holder.grantInUse : holder.baseInUse;
    inUse = minus(inUse, 1);
}

Demand measureDemand(ShareHolder &holder, Common::Time now)
{
    const double seconds = std::max(Common::toSeconds(now - holder.demandAt), 0.05);
    const double rate = holder.arrivals / seconds;
    holder.arrivalRate += kDemandGain * (rate - holder.arrivalRate);
    Demand demand;
    // A few requests close together are no reason to borrow; requests that were refused are.
    const double wanted
        = holder.refusedRate > 0 ? std::max(rate, holder.arrivalRate) : holder.arrivalRate;
    demand.ratePerSecond = wanted * kHeadroom;
    const double calls
        = holder.baseInUse + holder.grantInUse + static_cast<double>(holder.refusedConcurrency);
    demand.concurrency = static_cast<std::uint32_t>(calls * kHeadroom) + (calls > 0 ? 1 : 0);
    holder.arrivals = 0;
    holder.refusedConcurrency = 0;
    holder.refusedRate = 0;
    holder.demandAt = now;
    return demand;
}

bool wantsGrant(const ShareHolder &holder, const Demand &demand, Common::Time now)
{
    const bool anyDemand = demand.concurrency > 0 || demand.ratePerSecond > 0;
    if (now < holder.grantUntil && anyDemand)
        return true;
    const Amount lent = lentNow(holder, now);
    const double concurrency = minus(holder.base.concurrency, lent.concurrency);
    const double rate = holder.base.ratePerSecond - lent.ratePerSecond;
    return demand.concurrency > kPressure * concurrency || demand.ratePerSecond > kPressure * rate;
}

Amount lend(ShareHolder &holder, const Amount &asked, Common::Duration period, bool sameBorrower,
            Common::Time now)
{
    if (now < lentUntil(holder) && !sameBorrower)
        return {};
    // Keeps what the instance uses itself, and a little more.
    auto keptCalls = static_cast<std::uint32_t>(kReserve * holder.base.concurrency);
    if (keptCalls == 0 && holder.arrivalRate > kIdleRate)
        keptCalls = 1;
    const double ownRate = holder.arrivalRate > kIdleRate ? holder.arrivalRate * kHeadroom : 0;
    const double keptRate = std::max(ownRate, kReserve * holder.base.ratePerSecond);
    // What is out already is not in use here.
    const Amount out = lentNow(holder, now);
    const std::uint32_t keep = std::max(keptCalls, holder.baseInUse);
    Amount amount;
    amount.concurrency = std::min(asked.concurrency,
                                  std::max(minus(holder.base.concurrency, keep), out.concurrency));
    amount.ratePerSecond = std::min(
        asked.ratePerSecond, std::max(holder.base.ratePerSecond - keptRate, out.ratePerSecond));
    if (now < holder.lentUntil) {
        amount = withoutSmallCuts(amount, holder.lent);
        // A smaller loan does not end the larger one before its time.
        if (isLess(amount, holder.lent)) {
            holder.lentBefore = out;
            holder.lentBeforeUntil = lentUntil(holder);
        }
    }
    holder.lent = amount;
    holder.lentUntil = now + period;
    return amount;
}

Common::Time lentUntil(const ShareHolder &holder)
{
    return std::max(holder.lentUntil, holder.lentBeforeUntil);
}

void receiveGrant(ShareHolder &holder, const Amount &amount, std::uint64_t number,
                  Common::Duration validFor, Common::Time askedAt)
{
    if (number <= holder.grantNumber)
        return;
    refill(holder, askedAt > holder.tokensAt ? askedAt : holder.tokensAt);
    holder.grant = amount;
    holder.grantNumber = number;
    holder.grantUntil = askedAt + validFor;
}

void noteLoan(Coordinator &coordinator, const Common::InstanceId &lender, const Amount &amount,
              Common::Duration period, Common::Time askedAt)
{
    Coordinator::Loan &loan = coordinator.loans[lender];
    const Common::Time until = askedAt + period;
    if (until < loan.until)
        return;
    loan.amount = amount;
    loan.until = until;
}

GrantedShare grantShare(Coordinator &coordinator, const ShareRequest &request, Common::Time now)
{
    expire(coordinator, now);
    Coordinator::Borrower &borrower = coordinator.borrowers[request.from];
    borrower.demand = request.demand;
    borrower.demandAt = now;
    borrower.inUse = request.inUse;
    // Grants before the one that the borrower applied are no longer in use.
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
    Amount others;
    std::vector<double> concurrencyDemands{static_cast<double>(request.demand.concurrency)};
    std::vector<double> rateDemands{request.demand.ratePerSecond};
    for (const auto &[id, other] : coordinator.borrowers) {
        if (id == request.from)
            continue;
        const Amount out = outstanding(other, now);
        others.concurrency += out.concurrency;
        others.ratePerSecond += out.ratePerSecond;
        concurrencyDemands.push_back(other.demand.concurrency);
        rateDemands.push_back(other.demand.ratePerSecond);
    }
    const double fairConcurrency = partWithSpare(concurrencyDemands, 0, total.concurrency);
    const double fairRate = partWithSpare(rateDemands, 0, total.ratePerSecond);
    granted.amount.concurrency
        = std::min(std::max(static_cast<std::uint32_t>(fairConcurrency), request.inUse),
                   minus(total.concurrency, others.concurrency));
    granted.amount.ratePerSecond
        = std::max(std::min(fairRate, total.ratePerSecond - others.ratePerSecond), 0.0);
    // Numbers rise for the borrower even where another coordinator granted before.
    coordinator.lastNumber = std::max(coordinator.lastNumber, request.appliedGrant) + 1;
    granted.number = coordinator.lastNumber;
    granted.validFor = until - now;
    borrower.grants.push_back({granted.number, granted.amount, until});
    return granted;
}

Amount amountToBorrow(const Coordinator &coordinator, std::size_t lenders)
{
    constexpr double kRoom = 1.3;
    double concurrency = 0;
    double rate = 0;
    for (const auto &[id, borrower] : coordinator.borrowers) {
        concurrency += std::max(borrower.demand.concurrency, borrower.inUse);
        rate += borrower.demand.ratePerSecond;
    }
    const auto parts = static_cast<double>(std::max<std::size_t>(lenders, 1));
    return {static_cast<std::uint32_t>(concurrency * kRoom / parts) + 1, rate * kRoom / parts};
}

bool expire(Coordinator &coordinator, Common::Time now)
{
    std::erase_if(coordinator.loans,
                  [now](const auto &entry) { return entry.second.until <= now; });
    for (auto entry = coordinator.borrowers.begin(); entry != coordinator.borrowers.end();) {
        std::erase_if(entry->second.grants, [now](const Coordinator::Borrower::Grant &grant) {
            return grant.until <= now;
        });
        const bool silent = now - entry->second.demandAt > kDemandMemory;
        const bool gone = silent && entry->second.grants.empty();
        entry = gone ? coordinator.borrowers.erase(entry) : std::next(entry);
    }
    return !coordinator.loans.empty() || !coordinator.borrowers.empty();
}

} // namespace Tanagerbay::Limits
