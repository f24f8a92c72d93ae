// Leases on rows of the table service, and the rule when a holder may send a command to an
// endpoint.
//
// The version of the row is the fencing number. The holder measures the duration of the lease from
// before the request that claimed or renewed it. A watcher measures it from after it first read the
// version, so that the lease ends later for the watcher than for the holder.
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

// State that an instance without the lease keeps of its row.
struct LeaseWatch
{
    std::uint64_t version = 0;
    // When the version was first seen.
    Common::Time seenAt;
    LeaseRow row;
};

// Records a read of the row. `version` is zero where the row is absent.
void noteReading(LeaseWatch &watch, std::uint64_t version, const LeaseRow &row,
                 Common::Time readAt);

enum class LeaseStep { Claim, Wait };

// Decides whether a watcher may claim the lease.
LeaseStep decideClaim(const LeaseWatch &watch, Common::Time now);

struct HeldLease
{
    // The row's version.
    std::uint64_t fencingNumber = 0;
    // End of the lease for the holder, measured from before the request that claimed or renewed it.
    Common::Time expiresAt;
    // Before this time no command may be sent to an endpoint that ignores fencing numbers, since a
    // command of the previous holder may still be in progress.
    Common::Time unfencedCommandsFrom;
};

// Returns the lease after its claim has committed. `askedAt` is the time before the request was
// sent.
HeldLease leaseAfterClaim(const LeaseWatch &watch, std::uint64_t newVersion,
                          Common::Milliseconds duration, Common::Duration maxCommandDuration,
                          Common::Time askedAt, Common::Time now);

// Extends the lease after its renewal has committed. `askedAt` is the time before the request was
// sent.
void extendLease(HeldLease &held, std::uint64_t newVersion, Common::Milliseconds duration,
                 Common::Time askedAt);

struct CommandRules
{
    // Maximum time until a command has taken effect.
    Common::Milliseconds commandTimeout{0};
    Common::Milliseconds margin{0};
};

// Returns whether the holder may send a command now: the command takes effect before the lease
// ends, and where the endpoint ignores fencing numbers, no command of a previous holder is in
// progress.
bool mayCommand(const HeldLease &held, bool endpointChecksFencing, const CommandRules &rules,
                Common::Time now);

} // namespace Tanagerbay::Placement
