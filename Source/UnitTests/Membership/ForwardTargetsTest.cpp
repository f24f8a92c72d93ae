#include "Membership/ForwardTargets.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Membership;

namespace {

struct ForwardTargetsFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    std::mt19937_64 random{1};
    Members members;

    ForwardTargetsFixture()
    {
        this->members.self = Common::InstanceId("n0");
        for (int i = 0; i < 4; ++i) {
            Member &member = this->memberOf(i);
            member.report.id = Common::InstanceId("n" + std::to_string(i));
            member.report.callerAddress = {"127.0.0.1", 80};
            member.report.peerAddress = {"127.0.0.1", 81};
            member.lastReportAt = this->now;
        }
    }

    Member &memberOf(int number)
    {
        return this->members.byId[Common::InstanceId("n" + std::to_string(number))];
    }

    std::string choose(const std::vector<Common::InstanceId> &asked = {})
    {
        const Member *chosen = chooseForwardTarget(this->members, asked, this->now, this->random);
        return chosen ? chosen->report.id.value : "";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardTargetChoices, ForwardTargetsFixture)

BOOST_AUTO_TEST_CASE(choice_isSpreadOverTheOthers)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i)
        ++counts[this->choose()];
    BOOST_TEST(counts.size() == 3u);
    for (const auto &[id, count] : counts)
        BOOST_TEST(count > 60);
    BOOST_TEST(!counts.contains("n0"));
}

// Guards against requests that are passed on to an instance that cannot serve them either.
BOOST_AUTO_TEST_CASE(othersLeaveOrFailOrReachNothing_areNotChosen)
{
    this->memberOf(1).report.state = MemberState::Leaving;
    this->memberOf(2).condition = Condition::Suspected;
    this->memberOf(3).report.callerAddress = {};
    BOOST_TEST(this->choose().empty());
}

BOOST_AUTO_TEST_CASE(askedInstance_isNotChosenAgain)
{
    const std::vector<Common::InstanceId> asked{Common::InstanceId("n1"), Common::InstanceId("n2")};
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(this->choose(asked) == "n3");
}

BOOST_AUTO_TEST_SUITE_END()
