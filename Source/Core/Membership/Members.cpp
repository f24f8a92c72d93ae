#include "Membership/Members.h"

#include <algorithm>

namespace Tanagerbay::Membership {

namespace {

constexpr std::uint32_t kFullWeight = 100;
constexpr std::uint32_t kMinWeight = 50;
// An unlisted instance is removed after this many suspicion periods without a report.
constexpr int kSuspicionPeriodsBeforeRemoval = 4;

Member &memberFor(Members &members, const Common::InstanceId &id, Common::Time now)
{
    const auto [entry, added] = members.byId.try_emplace(id);
    if (added)
        entry->second.firstSeenAt = now;
    return entry->second;
}

bool isNewer(const MemberReport &report, const MemberReport &known)
{
    if (report.incarnation != known.incarnation)
        return report.incarnation > known.incarnation;
    return report.sequence > known.sequence;
}

bool mayServe(const Members &members, const Member &member, Common::Time now)
{
    const bool leaving
        = member.report.state == MemberState::Leaving || member.leavingInPlatformList;
    return !leaving && member.report.callerAddress.isSet() && !isSuspect(members, member, now);
}

double meanLoad(const Members &members, Common::Time now)
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &[id, member] : members.byId) {
        if (!mayServe(members, member, now))
            continue;
        total += member.report.requestsInProgress;
        ++count;
    }
    return count == 0 ? 0 : total / static_cast<double>(count);
}

// Returns full weight up to the mean load and half of it from twice the mean on. For the excess, a
// small mean counts as the minimum reference load.
std::uint32_t weightOf(const Member &member, double mean)
{
    constexpr double kMinReferenceLoad = 8;
    const double load = member.report.requestsInProgress;
    const double excess = (load - mean) / std::max(mean, kMinReferenceLoad);
    const double weight = kFullWeight * (1 - 0.5 * std::clamp(excess, 0.0, 1.0));
    return std::max(static_cast<std::uint32_t>(weight), kMinWeight);
}

} // namespace

bool noteReport(Members &members, const MemberReport &report, Common::Time now)
{
    Member &member = memberFor(members, report.id, now);
    if (member.lastReportAt && !isNewer(report, member.report))
        return false;
    member.report = report;
    member.lastReportAt = now;
    return true;
}

std::uint64_t incarnationAfter(std::uint64_t own, std::uint64_t reported)
{
    return reported > own ? reported + 1 : own;
}

void applyPlatformList(Members &members, const std::vector<ListedMember> &listed, Common::Time now)
{
    members.hasPlatformList = true;
    for (auto &[id, member] : members.byId) {
        member.inPlatformList = false;
        member.leavingInPlatformList = false;
    }
    for (const ListedMember &entry : listed) {
        Member &member = memberFor(members, entry.id, now);
        member.inPlatformList = true;
        member.leavingInPlatformList = entry.leaving;
        // An instance's own report is newer than the list.
        if (member.lastReportAt)
            continue;
        member.report.id = entry.id;
        member.report.callerAddress = entry.callerAddress;
        member.report.peerAddress = entry.peerAddress;
        member.report.failureDomain = entry.failureDomain;
    }
}

bool isSuspect(const Members &members, const Member &member, Common::Time now)
{
    if (member.report.id == members.self)
        return false;
    if (member.condition != Condition::Alive)
        return true;
    if (members.suspectAfter.count() == 0)
        return !member.lastReportAt && now - member.firstSeenAt > members.unheardGrace;
    const Common::Time last = member.lastReportAt.value_or(member.firstSeenAt);
    return now - last > members.suspectAfter;
}

bool isSuspectFor(const Members &members, const Member &member, Common::Duration period,
                  Common::Time now)
{
    if (member.condition == Condition::Suspected && member.report.id != members.self)
        return now - member.conditionSince >= period;
    return isSuspect(members, member, now);
}

void removeLost(Members &members, Common::Time now)
{
    std::erase_if(members.byId, [&members, now](const auto &entry) {
        const Member &member = entry.second;
        if (entry.first == members.self || member.inPlatformList)
            return false;
        const Common::Time last = member.lastReportAt.value_or(member.firstSeenAt);
        const bool wasLeaving = member.report.state == MemberState::Leaving;
        const int factor = wasLeaving ? 1 : kSuspicionPeriodsBeforeRemoval;
        return now - last > members.suspectAfter * factor;
    });
}

std::vector<Common::InstanceId> acceptanceSet(const Members &members, Common::Time now)
{
    std::vector<Common::InstanceId> ids;
    for (const auto &[id, member] : members.byId) {
        if (member.inPlatformList || !isSuspect(members, member, now))
            ids.push_back(id);
    }
    return ids;
}

std::vector<Common::Address> heartbeatTargets(const Members &members, std::size_t count,
                                              std::mt19937_64 &random)
{
    std::vector<Common::Address> all;
    for (const auto &[id, member] : members.byId) {
        if (id != members.self && member.report.peerAddress.isSet())
            all.push_back(member.report.peerAddress);
    }
    if (all.size() <= count)
        return all;
    std::vector<Common::Address> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), count, random);
    return chosen;
}

std::vector<MemberReport> reportsToForward(const Members &members, std::size_t count,
                                           std::mt19937_64 &random)
{
    std::vector<const Member *> reporting;
    for (const auto &[id, member] : members.byId) {
        if (id != members.self && member.lastReportAt)
            reporting.push_back(&member);
    }
    std::vector<const Member *> chosen;
    std::sample(reporting.begin(), reporting.end(), std::back_inserter(chosen), count, random);
    std::vector<MemberReport> reports;
    for (const Member *member : chosen)
        reports.push_back(member->report);
    return reports;
}

bool hasReportSince(const Members &members, Common::Time since)
{
    for (const auto &[id, member] : members.byId) {
        if (id != members.self && member.lastReportAt && *member.lastReportAt >= since)
            return true;
    }
    return false;
}

std::vector<DirectoryEntry> entriesFor(const Members &members,
                                       const Common::FailureDomain &callerDomain, Common::Time now)
{
    const double mean = meanLoad(members, now);
    std::vector<DirectoryEntry> answers;
    for (const auto &[id, member] : members.byId) {
        if (!mayServe(members, member, now))
            continue;
        answers.push_back(
            {member.report.callerAddress, member.report.failureDomain, weightOf(member, mean)});
    }
    std::stable_partition(answers.begin(), answers.end(),
                          [&callerDomain](const DirectoryEntry &entry) {
                              return entry.failureDomain == callerDomain;
                          });
    return answers;
}

} // namespace Tanagerbay::Membership
