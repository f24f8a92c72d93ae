// Shares of a workspace's limits on concurrency and rate, moved between instances by demand.
//
// Each instance owns a fixed base share of every limit; the base shares add up to the limit. An
// instance may lend its base share to the workspace's coordinator for a time, and the coordinator
// grants what it was lent to those with demand, for no longer than it was lent. Every duration is
// counted from before the message that started it, so an interval always ends at its user before
// it ends at its owner. Lost messages, crashes and differing views of the membership can therefore
// strand a share for a while but never use it twice.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Tanagerbay::Limits {

// An amount of a workspace's limits.
struct Amount
{
    std::uint32_t concurrency = 0;
    double ratePerSecond = 0;
};

// Returns the base share of the instance in the given slot. The shares of all slots add up to the
// limit; what does not divide evenly goes to different slots for different workspaces.
Amount baseShare(const Amount &limit, std::size_t slot, std::size_t slots,
                 const Common::WorkspaceId &workspace);

// Which part of a holder's share a request is counted against.
enum class ShareSource { Base, Grant };

// One instance's share of one workspace's limits.
struct ShareHolder
{
    Amount base;
    // What is lent out until `lentUntil`.
    Amount lent;
    Common::Time lentUntil;
    // A larger loan from before, which its borrower may still use until then.
    Amount lentBefore;
    Common::Time lentBeforeUntil;
    Amount grant;
    Common::Time grantUntil;
    std::uint64_t grantNumber = 0;
    std::uint32_t baseInUse = 0;
    std::uint32_t grantInUse = 0;
    // Tokens of the rate, refilled at the rate that is held.
    double tokens = 0;
    Common::Time tokensAt;
    // Demand since the last request for a share.
    std::uint32_t refusedConcurrency = 0;
    std::uint32_t refusedRate = 0;
    double arrivals = 0;
    double arrivalRate = 0;
    Common::Time demandAt;
};

enum class ShareVerdict { Admitted, OverConcurrency, OverRate };

struct ShareDecision
{
    ShareVerdict verdict = ShareVerdict::OverConcurrency;
    ShareSource source = ShareSource::Base;
};

// Tries to admit a request that ends by its deadline. A grant counts only for requests that end
// while it is valid.
ShareDecision admit(ShareHolder &holder, Common::Time deadline, Common::Time now);
void release(ShareHolder &holder, ShareSource source);

// The rate that may be used now.
double usableRate(const ShareHolder &holder, Common::Time now);

struct Demand
{
    std::uint32_t concurrency = 0;
    double ratePerSecond = 0;
};

// Closes the period of measurement and returns the demand in it.
Demand measureDemand(ShareHolder &holder, Common::Time now);

// True where the instance is near the end of its own base share, or uses a grant.
bool wantsGrant(const ShareHolder &holder, const Demand &demand, Common::Time now);

// Lends what is asked for, as far as it is free of the base share. A share that is lent already
// stays with its borrower, who may have it for longer by asking again.
Amount lend(ShareHolder &holder, const Amount &asked, Common::Duration period, bool sameBorrower,
            Common::Time now);

// When the last of what is lent comes back.
Common::Time lentUntil(const ShareHolder &holder);

// Takes a grant that was asked for at `askedAt`.
void receiveGrant(ShareHolder &holder, const Amount &amount, std::uint64_t number,
                  Common::Duration validFor, Common::Time askedAt);

// The coordinator's view of one workspace.
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
        Common::Time demandAt;
        // Grants that may still be in use: the latest, and larger ones not known to be replaced.
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

void noteLoan(Coordinator &coordinator, const Common::InstanceId &lender, const Amount &amount,
              Common::Duration period, Common::Time askedAt);

struct ShareRequest
{
    Common::InstanceId from;
    Demand demand;
    // Concurrency of the grant that is in use, which cannot be taken back.
    std::uint32_t inUse = 0;
    // The number of the last grant that arrived.
    std::uint64_t appliedGrant = 0;
};

struct GrantedShare
{
    Amount amount;
    std::uint64_t number = 0;
    Common::Duration validFor{0};
};

// Answers a request for a share: max-min fair by demand over what was lent.
GrantedShare grantShare(Coordinator &coordinator, const ShareRequest &request, Common::Time now);

// What each of so many lenders should lend, so that all demand is met with some room.
Amount amountToBorrow(const Coordinator &coordinator, std::size_t lenders);

// Drops what has run out. Returns whether anything is left.
bool expire(Coordinator &coordinator, Common::Time now);

} // namespace Tanagerbay::Limits
