#include "Membership/Readers.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Membership {

namespace {

// With one reader, its frozen process or silent connection would hide a change from all that follow
// it.
constexpr std::size_t kReaders = 2;
// A failure domain with fewer live instances has no readers of its own.
constexpr std::size_t kMinDomainInstances = 6;

} // namespace

std::vector<Common::InstanceId> readersFor(const Members &members,
                                           const Common::FailureDomain &domain, Common::Time now)
{
    std::vector<const Member *> near;
    std::vector<const Member *> all;
    for (const auto &[id, member] : members.byId) {
        const bool isHeard = id == members.self || member.lastReportAt;
        if (!isHeard || member.report.state != MemberState::Live || isSuspect(members, member, now))
            continue;
        all.push_back(&member);
        if (member.report.failureDomain == domain)
            near.push_back(&member);
    }
    const auto &candidates = near.size() >= kMinDomainInstances ? near : all;
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    for (const Member *member : candidates)
        ranked.emplace_back(Common::hash64(member->report.id.value), member);
    std::sort(ranked.begin(), ranked.end());
    std::vector<Common::InstanceId> readers;
    for (const auto &[rank, member] : ranked) {
        if (readers.size() < kReaders)
            readers.push_back(member->report.id);
    }
    return readers;
}

} // namespace Tanagerbay::Membership
