#include "Membership/Holders.h"

#include "Common/Hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Tanagerbay::Membership {

namespace {

struct Candidate
{
    const Member *member = nullptr;
    std::uint64_t score = 0;
    // Number of instances of the same failure domain that come before.
    std::size_t rankInDomain = 0;
};

bool isDoubtful(const Members &members, const Member &member, Common::Time now)
{
    return member.report.state == MemberState::Leaving || isSuspect(members, member, now);
}

// Sorts by rendezvous hashing, one of each failure domain before a second one of any.
void sortByRendezvous(std::vector<Candidate> &candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
    std::map<Common::FailureDomain, std::size_t> countByDomain;
    for (Candidate &candidate : candidates)
        candidate.rankInDomain = countByDomain[candidate.member->report.failureDomain]++;
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const Candidate &a, const Candidate &b) { return a.rankInDomain < b.rankInDomain; });
}

// Ranks those that are not leaving and that `counts` accepts.
template <typename Predicate>
DutyRank rankAmong(const Members &members, std::string_view key, Predicate counts)
{
    const std::uint64_t seed = Common::hash64(key);
    std::vector<Candidate> candidates;
    for (const auto &[id, member] : members.byId) {
        if (member.report.state != MemberState::Leaving && counts(member))
            candidates.push_back({&member, Common::hash64(id.value, seed), 0});
    }
    sortByRendezvous(candidates);
    DutyRank rank{candidates.size(), std::nullopt};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].member->report.id == members.self)
            rank.own = i;
    }
    return rank;
}

} // namespace

std::vector<const Member *> holdersOf(const Members &members, std::string_view key,
                                      std::size_t count, bool includesDoubtful, Common::Time now)
{
    const std::uint64_t seed = Common::hash64(key);
    std::vector<Candidate> candidates;
    for (const auto &[id, member] : members.byId) {
        if (id == members.self || !member.report.peerAddress.isSet())
            continue;
        candidates.push_back({&member, Common::hash64(id.value, seed), 0});
    }
    sortByRendezvous(candidates);
    std::vector<const Member *> holders;
    for (const Candidate &candidate : candidates) {
        if (holders.size() >= count)
            break;
        if (includesDoubtful || !isDoubtful(members, *candidate.member, now))
            holders.push_back(candidate.member);
    }
    return holders;
}

std::vector<const Member *> keepersOf(const Members &members, std::string_view duty,
                                      std::size_t count, Common::Time now)
{
    const std::uint64_t seed = Common::hash64(duty);
    std::vector<Candidate> candidates;
    for (const auto &[id, member] : members.byId) {
        const bool isReachable = id == members.self || member.report.peerAddress.isSet();
        if (isReachable && !isDoubtful(members, member, now))
            candidates.push_back({&member, Common::hash64(id.value, seed), 0});
    }
    sortByRendezvous(candidates);
    std::vector<const Member *> keepers;
    for (const Candidate &candidate : candidates) {
        if (keepers.size() < count)
            keepers.push_back(candidate.member);
    }
    return keepers;
}

DutyRank rankFor(const Members &members, std::string_view key)
{
    return rankAmong(members, key, [&members](const Member &member) {
        const bool isKnown = member.report.id == members.self || member.lastReportAt;
        return isKnown && member.condition != Condition::Failed;
    });
}

DutyRank rankAmongKnown(const Members &members, std::string_view key, Common::Time now)
{
    return rankAmong(members, key, [&members, now](const Member &member) {
        return member.report.id == members.self || member.lastReportAt
            || now - member.firstSeenAt <= members.unheardGrace;
    });
}

} // namespace Tanagerbay::Membership
