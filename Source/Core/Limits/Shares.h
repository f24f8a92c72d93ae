// Distributes a workspace's limits on concurrency and rate between instances by demand.
//
// Each instance owns a fixed base share of every limit; the base shares add up to the limit. An
// instance may lend part of its base share to the workspace's coordinator for a limited time. The
// coordinator grants the amounts lent to it to instances with demand, for no longer than the loans
// last. The user of a loan or grant counts its duration from the time before it sent the request,
// the owner from a later time, so it always expires at the user first. Lost messages, crashes and
// differing views of the membership can therefore leave a share unused for a while, but never let
// two instances use it at once.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Tanagerbay::Limits {

// An amount of concurrency (requests in progress) and rate (requests per second) under a
// workspace's limits.
struct Amount
{
    std::uint32_t concurrency = 0;
    double ratePerSecond = 0;
};

// Returns the base share of the given slot. The shares of all slots add up to the limit; the
// remainder of the division goes to different slots for different workspaces.
Amount baseShare(const Amount &limit, std::size_t slot, std::size_t slots,
                 const Common::WorkspaceId &workspace);

// The part of a holder's share that a request is counted against.
enum class ShareSource { Base, Grant };

// One instance's share of one workspace's limits.
struct ShareHolder
{
    Amount base;
    // The amount lent to a coordinator until `lentUntil`.
    Amount lent;
    Common::Time lentUntil;
    // An earlier, larger loan, which its borrower may use until `previousLentUntil`.
    Amount previousLent;
    Common::Time previousLentUntil;
    Amount grant;
    Common::Time grantUntil;
    std::uint64_t grantNumber = 0;
    std::uint32_t baseInUse = 0;
    std::uint32_t grantInUse = 0;
    // Token bucket of the rate limit, refilled at the rate held.
    double tokens = 0;
    Common::Time tokensUpdatedAt;
    // Refusals and arrivals since demand was last measured, and the smoothed arrival rate per
    // second.
    std::uint32_t refusedConcurrency = 0;
    std::uint32_t refusedRate = 0;
    double arrivals = 0;
    double arrivalRate = 0;
    Common::Time demandMeasuredAt;
};

enum class ShareVerdict { Admitted, OverConcurrency, OverRate };

struct ShareDecision
{
    ShareVerdict verdict = ShareVerdict::OverConcurrency;
    ShareSource source = ShareSource::Base;
};

// Tries to admit a request that ends by its deadline. The concurrency of a grant counts only for
// requests whose deadline lies within the grant's validity.
ShareDecision admit(ShareHolder &holder, Common::Time deadline, Common::Time now);
void release(ShareHolder &holder, ShareSource source);

// Returns the rate that the instance may use now, in requests per second.
double usableRate(const ShareHolder &holder, Common::Time now);

struct Demand
{
    std::uint32_t concurrency = 0;
    double ratePerSecond = 0;
};

// Returns the demand since the last call and starts a new period of measurement.
Demand measureDemand(ShareHolder &holder, Common::Time now);

// Returns whether the instance's demand nears its base share less loans, or there is demand while
// a grant is valid.
bool wantsGrant(const ShareHolder &holder, const Demand &demand, Common::Time now);

// Lends as much of the requested amount as the base share can spare, and returns the amount lent.
// While a loan lasts, only its borrower is served; it can extend the loan by another request.
Amount lend(ShareHolder &holder, const Amount &requested, Common::Duration period,
            bool sameBorrower, Common::Time now);

// Returns when the last loan expires.
Common::Time latestLoanEnd(const ShareHolder &holder);

// Applies a grant that was requested at `requestedAt`, unless a newer one was applied already.
void receiveGrant(ShareHolder &holder, const Amount &amount, std::uint64_t number,
                  Common::Duration validFor, Common::Time requestedAt);

// The coordinator's loans and grants for one workspace.
struct Coordinator
{
    struct Loan
    {
        Amount amount;
        Common::Time until;
    };
    struct Borrower
    {
        Demand demand;
        Common::Time demandReceivedAt;
        // Grants that may still be in use: the latest, and earlier ones that the borrower is not
        // known to have replaced.
        struct Grant
        {
            std::uint64_t number = 0;
            Amount amount;
            Common::Time until;
        };
        std::vector<Grant> grants;
        std::uint32_t inUse = 0;
    };

    std::map<Common::InstanceId, Loan> loans;
    std::map<Common::InstanceId, Borrower> borrowers;
    std::uint64_t lastNumber = 0;
};

// Records a loan that was requested at `requestedAt`, unless it ends before the recorded one.
void recordLoan(Coordinator &coordinator, const Common::InstanceId &lender, const Amount &amount,
                Common::Duration period, Common::Time requestedAt);

struct ShareRequest
{
    Common::InstanceId from;
    Demand demand;
    // Requests in progress under the grant; this concurrency cannot be revoked.
    std::uint32_t inUse = 0;
    // The number of the last grant that the borrower applied.
    std::uint64_t appliedGrant = 0;
};

struct GrantedShare
{
    Amount amount;
    std::uint64_t number = 0;
    Common::Duration validFor{0};
};

// Answers a request for a share of the amounts lent, split max-min fairly by demand.
GrantedShare grantShare(Coordinator &coordinator, const ShareRequest &request, Common::Time now);

// Returns the amount to request from each of `lenders` lenders, so that the total covers all demand
// with headroom.
Amount amountToBorrowPerLender(const Coordinator &coordinator, std::size_t lenders);

// Removes expired loans and grants, and borrowers that sent no demand lately. Returns whether any
// loan or borrower is left.
bool removeExpired(Coordinator &coordinator, Common::Time now);

} // namespace Tanagerbay::Limits
