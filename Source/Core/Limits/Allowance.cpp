#include "Limits/Allowance.h"

#include "Common/JsonReader.h"

#include <algorithm>

namespace Tanagerbay::Limits {

namespace {

// A block covers about this many seconds of demand at the recent rate.
constexpr double kBlockDemandSeconds = 2;
// A block is at most an even split of the remaining units between the instances, divided by this.
constexpr std::int64_t kEvenSplitDivisor = 4;
constexpr Common::Milliseconds kRateWindow{5000};

void resetForWindow(AllowanceBalance &balance, std::int64_t window)
{
    if (balance.window == window)
        return;
    balance.window = window;
    balance.remaining = 0;
    balance.exhausted = false;
}

void recordSpend(AllowanceBalance &balance, Common::Time now)
{
    if (now - balance.recentSince > kRateWindow) {
        balance.recentSpends /= 2;
        balance.recentSince = now - kRateWindow / 2;
    }
    balance.recentSpends += 1;
}

} // namespace

std::int64_t windowIndex(std::chrono::system_clock::time_point wallTime,
                         std::chrono::seconds window)
{
    const auto seconds
        = std::chrono::duration_cast<std::chrono::seconds>(wallTime.time_since_epoch());
    return seconds / window;
}

Common::Milliseconds timeUntilNextWindow(std::chrono::system_clock::time_point wallTime,
                                         std::chrono::seconds window)
{
    const auto sinceEpoch
        = std::chrono::duration_cast<Common::Milliseconds>(wallTime.time_since_epoch());
    const Common::Milliseconds length = window;
    return length - sinceEpoch % length;
}

std::string encodeGrantRow(const GrantRow &row)
{
    boost::json::object grants;
    for (const auto &[instance, grant] : row.latest)
        grants[instance.value] = boost::json::object{{"id", grant.id}, {"size", grant.size}};
    return boost::json::serialize(
        boost::json::object{{"granted", row.granted}, {"latest", grants}});
}

std::optional<GrantRow> decodeGrantRow(std::string_view text)
{
    Common::JsonFaults faults;
    const auto document = Common::parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    GrantRow row;
    row.granted = reader.integer("granted", 0, INT64_MAX);
    const boost::json::value *latest = reader.member("latest");
    if (!latest || !latest->is_object())
        return std::nullopt;
    for (const auto &entry : latest->get_object()) {
        Common::ObjectReader grant(entry.value(), "latest", faults);
        GrantRow::Grant read{grant.text("id"), grant.integer("size", 0, INT64_MAX)};
        row.latest[Common::InstanceId(std::string(entry.key()))] = std::move(read);
    }
    if (!faults.empty())
        return std::nullopt;
    return row;
}

std::string grantRowKey(const Common::WorkspaceId &workspace, std::string_view action,
                        std::int64_t window)
{
    return std::to_string(workspace.value.size()) + ":" + workspace.value + "/"
        + std::string(action) + "/" + std::to_string(window);
}

SpendStep spend(AllowanceBalance &balance, std::int64_t window, Common::Time now)
{
    resetForWindow(balance, window);
    if (balance.remaining > 0) {
        --balance.remaining;
        recordSpend(balance, now);
        return SpendStep::Spent;
    }
    if (balance.exhausted)
        return SpendStep::RefuseExhausted;
    if (balance.fetching)
        return SpendStep::Wait;
    if (now < balance.retryAt)
        return SpendStep::RefuseUnreachable;
    return SpendStep::Fetch;
}

void refund(AllowanceBalance &balance, std::int64_t window)
{
    if (balance.window == window)
        ++balance.remaining;
}

std::int64_t blockSize(std::int64_t remaining, std::size_t instances, double spendsPerSecond)
{
    const auto parts = static_cast<std::int64_t>(instances) * kEvenSplitDivisor;
    const std::int64_t share = remaining / std::max<std::int64_t>(parts, 1);
    const auto needed = static_cast<std::int64_t>(spendsPerSecond * kBlockDemandSeconds) + 1;
    return std::max<std::int64_t>(std::min(share, needed), 1);
}

double recentSpendRate(const AllowanceBalance &balance, Common::Time now)
{
    const double seconds = std::max(Common::toSeconds(now - balance.recentSince),
                                    Common::toSeconds(kRateWindow) / 5);
    return balance.recentSpends / seconds;
}

std::optional<GrantPlan> planGrant(const GrantRow &row, const AllowanceLimit &limit,
                                   const Common::InstanceId &instance, const std::string &grantId,
                                   std::int64_t wanted)
{
    // An edit of the entitlements may have lowered the limit below the number of units granted.
    const std::int64_t remaining = limit.count - row.granted;
    if (remaining <= 0)
        return std::nullopt;
    GrantPlan plan;
    plan.size = std::min(wanted, remaining);
    plan.row = row;
    plan.row.granted += plan.size;
    plan.row.latest[instance] = {grantId, plan.size};
    return plan;
}

GrantRow planReturn(const GrantRow &row, std::int64_t units)
{
    GrantRow next = row;
    next.granted = std::max<std::int64_t>(row.granted - units, 0);
    return next;
}

std::int64_t unitsGranted(GrantReply reply, const GrantRow *readBack,
                          const Common::InstanceId &instance, const std::string &grantId,
                          std::int64_t size)
{
    if (reply == GrantReply::Committed)
        return size;
    if (reply == GrantReply::Conflict || !readBack)
        return 0;
    const auto found = readBack->latest.find(instance);
    const bool isApplied = found != readBack->latest.end() && found->second.id == grantId;
    return isApplied ? size : 0;
}

void receiveGrant(AllowanceBalance &balance, std::int64_t window, std::int64_t units)
{
    if (balance.window == window)
        balance.remaining += units;
}

} // namespace Tanagerbay::Limits
