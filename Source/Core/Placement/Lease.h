// Leases on rows of the table service, and when their holder may order an endpoint.
//
// A row's version is the fencing number. The holder counts its time from before the request that
// took or renewed the lease; a watcher counts the old holder's time from after it first read the
// version, so the watcher's estimate ends later.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Tanagerbay::Placement {

struct LeaseRow
{
    Common::InstanceId holder;
    Common::Milliseconds duration{0};
    bool released = false;
};

std::string encodeLeaseRow(const LeaseRow &row);
std::optional<LeaseRow> decodeLeaseRow(std::string_view text);

// What an instance that does not hold the lease has seen of its row.
struct LeaseWatch
{
    std::uint64_t version = 0;
    // When the version was first seen.
    Common::Time seenAt;
    LeaseRow row;
};

// Takes a reading of the row. `version` is zero where it is absent.
void noteReading(LeaseWatch &watch, std::uint64_t version, const LeaseRow &row,
                 Common::Time readAt);

enum class LeaseStep { Claim, Wait };

// Decides whether a watcher may claim the lease.
LeaseStep decideClaim(const LeaseWatch &watch, Common::Time now);

struct HeldLease
{
    // The row's version.
    std::uint64_t fencingNumber = 0;
    // Ends for the holder, counted from before the request that took or renewed it.
    Common::Time expiresAt;
    // Before this time an endpoint that ignores fencing numbers must not be ordered, since an order
    // of the earlier holder may still be under way.
    Common::Time orderUncheckedFrom;
};

// Describes a lease whose claim committed. `askedAt` is from before the request.
HeldLease claimed(const LeaseWatch &watch, std::uint64_t newVersion, Common::Milliseconds duration,
                  Common::Duration longestOrder, Common::Time askedAt, Common::Time now);

// Extends a lease whose renewal committed.
void renewed(HeldLease &held, std::uint64_t newVersion, Common::Milliseconds duration,
             Common::Time askedAt);

struct OrderRules
{
    // The longest that one order may take to act.
    Common::Milliseconds orderTimeout{0};
    Common::Milliseconds margin{0};
};

// True where the holder may send an order now: enough time is left for the order to act before the
// lease ends, and an endpoint that ignores numbers is safe from earlier holders.
bool mayOrder(const HeldLease &held, bool endpointChecksNumbers, const OrderRules &rules,
              Common::Time now);

} // namespace Tanagerbay::Placement
