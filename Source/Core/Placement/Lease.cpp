#include "Placement/Lease.h"

#include "Common/JsonReader.h"

namespace Tanagerbay::Placement {

namespace {

constexpr std::int64_t kMaxDurationMs = 3'600'000;

} // namespace

std::string encodeLeaseRow(const LeaseRow &row)
{
    return boost::json::serialize(boost::json::object{
        {"holder", row.holder.value},
        {"durationMs", row.duration.count()},
        {"released", row.released},
    });
}

std::optional<LeaseRow> decodeLeaseRow(std::string_view text)
{
    Common::JsonFaults faults;
    const auto document = Common::parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    LeaseRow row;
    row.holder = Common::InstanceId(reader.text("holder"));
    row.duration = Common::Milliseconds(reader.integer("durationMs", 0, kMaxDurationMs));
    row.released = reader.flag("released");
    if (!faults.empty())
        return std::nullopt;
    return row;
}

void noteReading(LeaseWatch &watch, std::uint64_t version, const LeaseRow &row, Common::Time readAt)
{
    // A read that arrives out of order, or one of a known version, is discarded.
    if (version < watch.version || (version == watch.version && version != 0))
        return;
    watch.version = version;
    watch.seenAt = readAt;
    watch.row = row;
}

LeaseStep decideClaim(const LeaseWatch &watch, Common::Time now)
{
    if (watch.version == 0 || watch.row.released)
        return LeaseStep::Claim;
    return now >= watch.seenAt + watch.row.duration ? LeaseStep::Claim : LeaseStep::Wait;
}

HeldLease leaseAfterClaim(const LeaseWatch &watch, std::uint64_t newVersion,
                          Common::Milliseconds duration, Common::Duration maxCommandDuration,
                          Common::Time askedAt, Common::Time now)
{
    HeldLease held;
    held.fencingNumber = newVersion;
    held.expiresAt = askedAt + duration;
    const bool hadNoHolder = watch.version == 0 || watch.row.released;
    // The previous lease has ended, but its last command may have been sent just before the end.
    held.unfencedCommandsFrom = hadNoHolder ? now : now + maxCommandDuration;
    return held;
}

void extendLease(HeldLease &held, std::uint64_t newVersion, Common::Milliseconds duration,
                 Common::Time askedAt)
{
    held.fencingNumber = newVersion;
    held.expiresAt = askedAt + duration;
}

bool mayCommand(const HeldLease &held, bool endpointChecksFencing, const CommandRules &rules,
                Common::Time now)
{
    if (held.expiresAt - now <= rules.commandTimeout + rules.margin)
        return false;
    return endpointChecksFencing || now >= held.unfencedCommandsFrom;
}

} // namespace Tanagerbay::Placement
