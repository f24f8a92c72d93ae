// Strict allowances: hard limits on how often a workspace may perform an action within a window.
//
// A row of the table service counts the units granted in a window. Instances reserve blocks of
// units in it by guarded transactions and spend them without further calls to the store. The units
// held by an instance that crashes are lost until the next window, so no failure can exceed the
// limit.
#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <map>
#include <optional>
#include <string>

namespace Tanagerbay::Limits {

// The limit on one action of one workspace.
struct AllowanceLimit
{
    std::int64_t count = 0;
    std::chrono::seconds window{0};
};

// Returns the index, counted from the epoch, of the window that contains a wall-clock time.
std::int64_t windowIndex(std::chrono::system_clock::time_point wallTime,
                         std::chrono::seconds window);

// Returns the time from `wallTime` to the start of the next window.
Common::Milliseconds timeUntilNextWindow(std::chrono::system_clock::time_point wallTime,
                                         std::chrono::seconds window);

// The table row that counts the grants of one workspace, action and window.
struct GrantRow
{
    struct Grant
    {
        std::string id;
        std::int64_t size = 0;
    };

    std::int64_t granted = 0;
    // The latest grant of each instance, by which an instance whose reply was lost can tell
    // whether its grant was committed.
    std::map<Common::InstanceId, Grant> latest;
};

std::string encodeGrantRow(const GrantRow &row);
std::optional<GrantRow> decodeGrantRow(std::string_view text);

std::string grantRowKey(const Common::WorkspaceId &workspace, std::string_view action,
                        std::int64_t window);

// The units of one allowance that an instance has been granted and not yet spent.
struct AllowanceBalance
{
    std::int64_t window = -1;
    std::int64_t remaining = 0;
    // True while a grant is being fetched.
    bool fetching = false;
    // Set when the row had no units left in this window.
    bool exhausted = false;
    // After a failed fetch, no other one starts before this time.
    Common::Time retryAt;
    // Units spent since `recentSince`, from which the next block is sized.
    double recentSpends = 0;
    Common::Time recentSince;
};

enum class SpendStep {
    // A unit was spent.
    Spent,
    // No units are held; the caller must fetch a grant first.
    Fetch,
    // Another request is already fetching a grant.
    Wait,
    // The allowance is exhausted for this window.
    RefuseExhausted,
    // No units are held, and the last fetch failed too recently to repeat it.
    RefuseUnreachable,
};

// Tries to spend one unit. Units of an earlier window are discarded.
SpendStep spend(AllowanceBalance &balance, std::int64_t window, Common::Time now);

// Returns one unit whose action did not run, if `window` is still the current one.
void refund(AllowanceBalance &balance, std::int64_t window);

// Returns the number of units to request: enough for a short time at the recent rate, but a small
// part of the remaining units, so that few units are stranded on instances without demand when the
// allowance runs out.
std::int64_t blockSize(std::int64_t remaining, std::size_t instances, double spendsPerSecond);

// Returns the recent rate of spending in units per second.
double recentSpendRate(const AllowanceBalance &balance, Common::Time now);

struct GrantPlan
{
    GrantRow row;
    std::int64_t size = 0;
};

// Adds a grant of at most `wanted` units to the row. Returns nothing if the allowance is exhausted.
std::optional<GrantPlan> planGrant(const GrantRow &row, const AllowanceLimit &limit,
                                   const Common::InstanceId &instance, const std::string &grantId,
                                   std::int64_t wanted);

// Subtracts unspent units from the row's count, for an instance that drains.
GrantRow planReturn(const GrantRow &row, std::int64_t units);

enum class GrantReply { Committed, Conflict, Lost };

// Returns how many units the instance may spend after it wrote a grant. If the reply was lost, the
// row read back afterwards decides (null if that read failed too): a grant that it does not show
// counts as spent, since the write may still be applied.
std::int64_t unitsGranted(GrantReply reply, const GrantRow *readBack,
                          const Common::InstanceId &instance, const std::string &grantId,
                          std::int64_t size);

// Adds granted units to the balance, unless their window has passed.
void receiveGrant(AllowanceBalance &balance, std::int64_t window, std::int64_t units);

} // namespace Tanagerbay::Limits
