#include "Membership/Members.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Membership;

namespace {

struct MembersFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Members members;

    MembersFixture()
    {
        this->members.self = Common::InstanceId("i0");
        this->members.suspectAfter = Common::Milliseconds(3000);
        for (int i = 0; i < 3; ++i)
            noteReport(this->members, report(i, 1), this->now);
    }

    static MemberReport report(int number, std::uint64_t sequence)
    {
        MemberReport made;
        made.id = Common::InstanceId("i" + std::to_string(number));
        made.callerAddress = {"127.0.0.1", static_cast<std::uint16_t>(7100 + number)};
        made.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(7300 + number)};
        made.failureDomain = Common::FailureDomain(number == 0 ? "a" : "b");
        made.incarnation = 1;
        made.sequence = sequence;
        return made;
    }

    std::vector<ListedMember> listOf(int count) const
    {
        std::vector<ListedMember> listed;
        for (int i = 0; i < count; ++i) {
            const MemberReport made = report(i, 1);
            listed.push_back({made.id, made.callerAddress, made.peerAddress, made.failureDomain});
        }
        return listed;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryMembers, MembersFixture)

BOOST_AUTO_TEST_CASE(heartbeat_olderSequence_isIgnored)
{
    MemberReport stale = report(1, 1);
    stale.plansVersion = 9;
    BOOST_TEST(!noteReport(this->members, stale, this->now));
    BOOST_TEST(this->members.byId.at(stale.id).report.plansVersion == 0u);
}

BOOST_AUTO_TEST_CASE(heartbeat_newIncarnation_replacesTheOldReport)
{
    MemberReport restarted = report(1, 1);
    restarted.incarnation = 2;
    BOOST_TEST(noteReport(this->members, restarted, this->now));
}

BOOST_AUTO_TEST_CASE(restart_afterClockStepBack_isAcceptedOnceItRaisesItsIncarnation)
{
    constexpr std::uint64_t kBeforeStep = 1'000;
    constexpr std::uint64_t kAfterStep = 400;
    MemberReport old = report(1, 9);
    old.incarnation = kBeforeStep;
    noteReport(this->members, old, this->now);
    MemberReport restarted = report(1, 1);
    restarted.incarnation = kAfterStep;
    BOOST_TEST(!noteReport(this->members, restarted, this->now));
    // Other instances forward the last report that they have of it.
    restarted.incarnation = incarnationAfter(kAfterStep, kBeforeStep);
    BOOST_TEST(noteReport(this->members, restarted, this->now));
    BOOST_TEST(incarnationAfter(kBeforeStep, kAfterStep) == kBeforeStep);
}

BOOST_AUTO_TEST_CASE(entries_callersDomain_comesFirst)
{
    const auto entries = entriesFor(this->members, Common::FailureDomain("b"), this->now);
    BOOST_REQUIRE(entries.size() == 3u);
    BOOST_TEST(entries[0].failureDomain.value == "b");
    BOOST_TEST(entries[2].failureDomain.value == "a");
}

BOOST_AUTO_TEST_CASE(entries_leavingInstance_isAbsent)
{
    MemberReport leaving = report(1, 2);
    leaving.state = MemberState::Leaving;
    noteReport(this->members, leaving, this->now);
    BOOST_TEST(entriesFor(this->members, Common::FailureDomain("a"), this->now).size() == 2u);
}

BOOST_AUTO_TEST_CASE(entries_silentInstance_isAbsent)
{
    const Common::Time later = this->now + std::chrono::seconds(4);
    noteReport(this->members, report(2, 2), later);
    BOOST_TEST(entriesFor(this->members, Common::FailureDomain("a"), later).size() == 2u);
}

BOOST_AUTO_TEST_CASE(entries_busyInstance_getsLessWeight)
{
    MemberReport busy = report(1, 2);
    busy.requestsInProgress = 100;
    noteReport(this->members, busy, this->now);
    for (const DirectoryEntry &entry :
         entriesFor(this->members, Common::FailureDomain("a"), this->now)) {
        const bool isBusy = entry.address == busy.callerAddress;
        BOOST_TEST((entry.weight < 100) == isBusy);
    }
}

BOOST_AUTO_TEST_CASE(acceptance_silentButListed_isIncluded)
{
    applyPlatformList(this->members, this->listOf(3), this->now);
    const Common::Time later = this->now + std::chrono::seconds(60);
    BOOST_TEST(acceptanceSet(this->members, later).size() == 3u);
}

BOOST_AUTO_TEST_CASE(acceptance_silentAndUnlisted_isExcluded)
{
    applyPlatformList(this->members, this->listOf(2), this->now);
    const Common::Time later = this->now + std::chrono::seconds(60);
    BOOST_TEST(acceptanceSet(this->members, later).size() == 2u);
}

BOOST_AUTO_TEST_CASE(acceptance_reportingButNotYetListed_isIncluded)
{
    applyPlatformList(this->members, this->listOf(2), this->now);
    BOOST_TEST(acceptanceSet(this->members, this->now).size() == 3u);
}

BOOST_AUTO_TEST_CASE(removal_silentInstances_removesOnlyTheUnlisted)
{
    applyPlatformList(this->members, this->listOf(2), this->now);
    removeLost(this->members, this->now + std::chrono::seconds(60));
    BOOST_TEST(this->members.byId.size() == 2u);
}

// A busy owner of a queue is suspected in a burst and refutes that; its queue stays.
BOOST_AUTO_TEST_CASE(duty_ownerIsSuspectedBriefly_isKept)
{
    this->members.suspectAfter = Common::Milliseconds(0);
    Member &owner = this->members.byId.at(Common::InstanceId("i1"));
    const Common::Milliseconds period(800);
    owner.condition = Condition::Suspected;
    owner.conditionSince = this->now;
    BOOST_TEST(isSuspect(this->members, owner, this->now));
    BOOST_TEST(!isSuspectFor(this->members, owner, period, this->now));
    BOOST_TEST(isSuspectFor(this->members, owner, period, this->now + period));
    owner.condition = Condition::Failed;
    BOOST_TEST(isSuspectFor(this->members, owner, period, this->now));
    owner.condition = Condition::Alive;
    BOOST_TEST(!isSuspectFor(this->members, owner, period, this->now));
}

BOOST_AUTO_TEST_SUITE_END()
