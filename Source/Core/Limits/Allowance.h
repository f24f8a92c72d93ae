// Strict allowances: no more than so many actions of a workspace within a window.
//
// A row of the table service counts what was granted in a window. Instances take blocks from it by
// guarded transactions and spend them without asking again. What a crashed instance held is lost
// until the next window, so the limit holds whatever fails.
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

// Returns the number of the window that a wall-clock time falls into.
std::int64_t windowOf(std::chrono::system_clock::time_point wallTime, std::chrono::seconds window);

// Returns how long it takes until the next window begins.
Common::Milliseconds untilNextWindow(std::chrono::system_clock::time_point wallTime,
                                     std::chrono::seconds window);

// The row of one workspace, action and window.
struct GrantRow
{
    struct Grant
    {
        std::string id;
        std::int64_t size = 0;
    };

    std::int64_t granted = 0;
    // The latest grant of each instance, by which a lost reply is resolved.
    std::map<Common::InstanceId, Grant> latest;
};

std::string encodeGrantRow(const GrantRow &row);
std::optional<GrantRow> decodeGrantRow(std::string_view text);

std::string grantRowKey(const Common::WorkspaceId &workspace, std::string_view action,
                        std::int64_t window);

// What one instance holds of one allowance.
struct Holding
{
    std::int64_t window = -1;
    std::int64_t left = 0;
    // Set while a grant is being fetched.
    bool fetching = false;
    // Set once the row had nothing left in this window.
    bool exhausted = false;
    // No fetch before this time, after one that failed.
    Common::Time retryAt;
    // Units spent since the holding began to be watched, for sizing the next block.
    double recentSpends = 0;
    Common::Time recentSince;
};

enum class SpendStep {
    // One unit was spent.
    Spent,
    // A grant must be fetched first.
    Fetch,
    // Another request fetches a grant already.
    Wait,
    // Nothing is left in this window.
    RefuseExhausted,
    // Nothing is in hand and the store cannot be asked now.
    RefuseUnreachable,
};

// Tries to spend one unit. Units of an earlier window are dropped.
SpendStep spend(Holding &holding, std::int64_t window, Common::Time now);

// Gives back one unit whose action did not run.
void refund(Holding &holding, std::int64_t window);

// Sizes a block: large enough for a short time at the recent rate, small against what remains, so
// that little is stranded when the allowance runs out.
std::int64_t blockSize(std::int64_t remaining, std::size_t instances, double spendsPerSecond);

// Recent spends a second of a holding.
double recentRate(const Holding &holding, Common::Time now);

struct GrantPlan
{
    GrantRow row;
    std::int64_t size = 0;
};

// Adds a grant to the row. Returns nothing where the allowance is exhausted.
std::optional<GrantPlan> planGrant(const GrantRow &row, const AllowanceLimit &limit,
                                   const Common::InstanceId &instance, const std::string &grantId,
                                   std::int64_t wanted);

// Takes unspent units out of the row again, on drain.
GrantRow planReturn(const GrantRow &row, std::int64_t units);

enum class GrantReply { Committed, Conflict, Lost };

// Decides how many units the instance may spend after a grant's write. After a lost reply the row
// that was read back decides (null where that failed too): a grant that it does not show counts as
// spent, since it may still land.
std::int64_t unitsGranted(GrantReply reply, const GrantRow *readBack,
                          const Common::InstanceId &instance, const std::string &grantId,
                          std::int64_t size);

// Takes units into the holding, unless their window has passed.
void receiveGrant(Holding &holding, std::int64_t window, std::int64_t units);

} // namespace Tanagerbay::Limits
