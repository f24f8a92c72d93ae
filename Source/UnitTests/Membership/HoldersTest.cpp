#include "Membership/Holders.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Membership;

namespace {

struct HoldersFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Members members;

    HoldersFixture()
    {
        this->members.self = Common::InstanceId("i0");
        this->members.suspectAfter = Common::Milliseconds(3000);
        for (int i = 0; i < 12; ++i)
            noteReport(this->members, report(i), this->now);
    }

    static MemberReport report(int number)
    {
        MemberReport made;
        made.id = Common::InstanceId("i" + std::to_string(number));
        made.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(7300 + number)};
        made.failureDomain
            = Common::FailureDomain(std::string(1, static_cast<char>('a' + number % 3)));
        made.incarnation = 1;
        made.sequence = 1;
        return made;
    }

    std::vector<std::string> holders(const std::string &key, std::size_t count, bool all) const
    {
        std::vector<std::string> ids;
        for (const Member *member : holdersOf(this->members, key, count, all, this->now))
            ids.push_back(member->report.id.value);
        return ids;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HoldersOfKeys, HoldersFixture)

BOOST_AUTO_TEST_CASE(holders_threeOfThreeDomains_areInDifferentDomainsAndOthers)
{
    for (int key = 0; key < 50; ++key) {
        std::set<std::string> domains;
        for (const Member *member :
             holdersOf(this->members, std::to_string(key), 3, false, this->now)) {
            domains.insert(member->report.failureDomain.value);
            BOOST_TEST(member->report.id.value != "i0");
        }
        BOOST_TEST(domains.size() == 3u);
    }
}

// Guards against a look-up that asks other instances than those that hold the key, because the two
// instances disagree on which ones are down.
BOOST_AUTO_TEST_CASE(holders_oneDoubted_theOthersKeepTheirOrder)
{
    for (int key = 0; key < 50; ++key) {
        const std::vector<std::string> before = this->holders(std::to_string(key), 8, true);
        Member &doubted = this->members.byId.at(Common::InstanceId(before[1]));
        doubted.condition = Condition::Suspected;
        const std::vector<std::string> written = this->holders(std::to_string(key), 3, false);
        BOOST_TEST(written == (std::vector<std::string>{before[0], before[2], before[3]}));
        BOOST_TEST(this->holders(std::to_string(key), 8, true) == before);
        doubted.condition = Condition::Alive;
    }
}

BOOST_AUTO_TEST_CASE(holders_manyKeys_areSpreadOverAllInstances)
{
    std::map<std::string, int> counts;
    for (int key = 0; key < 1100; ++key) {
        for (const std::string &id : this->holders(std::to_string(key), 3, false))
            ++counts[id];
    }
    BOOST_TEST(counts.size() == 11u);
    for (const auto &[id, count] : counts)
        BOOST_TEST(count < 600, id);
}

// Guards against a duty that each instance takes for that of others, or all take for their own.
BOOST_AUTO_TEST_CASE(instancesKnowTheSameMembers_allNameTheSameKeepersOfEachDomain)
{
    std::set<std::vector<std::string>> views;
    for (int self = 0; self < 12; ++self) {
        this->members.self = Common::InstanceId("i" + std::to_string(self));
        std::vector<std::string> ids;
        std::set<std::string> domains;
        for (const Member *member : keepersOf(this->members, "duty", 3, this->now)) {
            ids.push_back(member->report.id.value);
            domains.insert(member->report.failureDomain.value);
        }
        BOOST_TEST(domains.size() == 3u);
        views.insert(ids);
    }
    BOOST_TEST(views.size() == 1u);
}

// Guards against instances that are cut off from the others and take their duties.
BOOST_AUTO_TEST_CASE(rankAmongKnown_othersHaveFailed_theyKeepTheirPlaces)
{
    this->now += Common::Milliseconds(1);
    const DutyRank before = rankAmongKnown(this->members, "duty", this->now);
    BOOST_TEST(before.instances == 12u);
    for (auto &[id, member] : this->members.byId) {
        if (id != this->members.self)
            member.condition = Condition::Failed;
    }
    BOOST_TEST(rankFor(this->members, "duty").instances == 1u);
    const DutyRank cut = rankAmongKnown(this->members, "duty", this->now);
    BOOST_TEST(cut.instances == before.instances);
    BOOST_TEST((cut.own == before.own));
}

BOOST_AUTO_TEST_CASE(rankAmongKnown_listedButNeverHeardOf_countsForAWhile)
{
    Member listed;
    listed.report = report(12);
    listed.firstSeenAt = this->now;
    this->members.byId[listed.report.id] = listed;
    this->members.unheardGrace = Common::Milliseconds(1000);
    BOOST_TEST(rankAmongKnown(this->members, "duty", this->now).instances == 13u);
    this->now += Common::Milliseconds(1001);
    BOOST_TEST(rankAmongKnown(this->members, "duty", this->now).instances == 12u);
    this->members.byId[Common::InstanceId("i3")].report.state = MemberState::Leaving;
    BOOST_TEST(rankAmongKnown(this->members, "duty", this->now).instances == 11u);
}

BOOST_AUTO_TEST_CASE(keeperLeaves_anotherTakesItsPlace)
{
    const auto first = keepersOf(this->members, "duty", 3, this->now);
    const Common::InstanceId left = first[0]->report.id;
    this->members.byId[left].report.state = MemberState::Leaving;
    const auto next = keepersOf(this->members, "duty", 3, this->now);
    BOOST_REQUIRE(next.size() == 3u);
    for (const Member *member : next)
        BOOST_TEST(member->report.id.value != left.value);
    BOOST_TEST(keepersOf(this->members, "duty", 20, this->now).size() == 11u);
}

BOOST_AUTO_TEST_SUITE_END()
