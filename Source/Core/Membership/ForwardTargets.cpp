#include "Membership/ForwardTargets.h"

#include <algorithm>

namespace Tanagerbay::Membership {

namespace {

bool isTarget(const Members &members, const Member &member,
              const std::vector<Common::InstanceId> &asked, Common::Time now)
{
    const bool wasAsked = std::find(asked.begin(), asked.end(), member.report.id) != asked.end();
    // An instance without an address for callers is not ready or reaches no endpoint either.
    return member.report.id != members.self && !wasAsked && member.lastReportAt
        && member.report.state == MemberState::Live && member.report.callerAddress.isSet()
        && member.report.peerAddress.isSet() && !isSuspect(members, member, now);
}

} // namespace

const Member *chooseForwardTarget(const Members &members,
                                  const std::vector<Common::InstanceId> &asked, Common::Time now,
                                  std::mt19937_64 &random)
{
    std::vector<const Member *> targets;
    for (const auto &[id, member] : members.byId) {
        if (isTarget(members, member, asked, now))
            targets.push_back(&member);
    }
    return targets.empty() ? nullptr : targets[random() % targets.size()];
}

} // namespace Tanagerbay::Membership
