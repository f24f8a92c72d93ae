// Who reads the store on behalf of the others.
#include "Membership/Readers.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Membership;

namespace {

struct ReadersFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Members members;

    void add(int number, const std::string &domain)
    {
        Member &member = this->members.byId[idOf(number)];
        member.report.id = idOf(number);
        member.report.failureDomain = Common::FailureDomain(domain);
        member.lastReportAt = this->now;
    }

    static Common::InstanceId idOf(int number)
    {
        return Common::InstanceId("i" + std::to_string(number));
    }

    std::vector<Common::InstanceId> readersOf(const std::string &domain) const
    {
        return readersFor(this->members, Common::FailureDomain(domain), this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreReaders, ReadersFixture)

BOOST_AUTO_TEST_CASE(hundredsOfInstances_twoOfEachDomainRead)
{
    for (int i = 0; i < 295; ++i)
        this->add(i, std::string(1, static_cast<char>('a' + i % 5)));
    std::set<Common::InstanceId> readers;
    for (const char *domain : {"a", "b", "c", "d", "e"}) {
        const auto chosen = this->readersOf(domain);
        BOOST_TEST(chosen.size() == 2u);
        for (const Common::InstanceId &id : chosen) {
            BOOST_TEST(this->members.byId.at(id).report.failureDomain.value == domain);
            readers.insert(id);
        }
    }
    BOOST_TEST(readers.size() == 10u);
}

BOOST_AUTO_TEST_CASE(fewInstancesInADomain_twoOfAllRead)
{
    for (int i = 0; i < 9; ++i)
        this->add(i, std::string(1, static_cast<char>('a' + i % 4)));
    BOOST_TEST((this->readersOf("a") == this->readersOf("d")));
}

BOOST_AUTO_TEST_CASE(readerIsDoubted_leaving_orUnheard_isReplaced)
{
    for (int i = 0; i < 12; ++i)
        this->add(i, "a");
    const auto before = this->readersOf("a");
    Member &first = this->members.byId.at(before.front());
    first.condition = Condition::Suspected;
    BOOST_TEST((this->readersOf("a").front() == before.back()));
    first.condition = Condition::Alive;
    first.report.state = MemberState::Leaving;
    BOOST_TEST((this->readersOf("a").front() == before.back()));
    first.report.state = MemberState::Live;
    first.lastReportAt.reset();
    BOOST_TEST((this->readersOf("a").front() == before.back()));
    first.lastReportAt = this->now;
    BOOST_TEST((this->readersOf("a") == before));
}

BOOST_AUTO_TEST_SUITE_END()
