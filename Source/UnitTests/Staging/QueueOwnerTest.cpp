// Ownership of a stage service's queue and its hand-over between instances.
#include "Staging/QueueOwner.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Staging;
using std::chrono::milliseconds;

namespace {

struct QueueOwnerFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Common::InstanceId self{"n1"};
    Common::InstanceId other{"n2"};
    OwnerObservation observation;

    bool handsOver(const Common::InstanceId &owner, bool leaving = false)
    {
        return shouldHandOver(this->observation, owner, this->self, leaving, this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QueueOwnerSuite, QueueOwnerFixture)

BOOST_AUTO_TEST_CASE(noCandidates_ownerIsEmpty)
{
    BOOST_TEST(chooseOwner("encode", {}).empty());
}

BOOST_AUTO_TEST_CASE(weakAndStrongCandidates_onlyStrongOnesOwnQueues)
{
    std::vector<OwnerCandidate> candidates;
    for (int i = 0; i < 20; ++i)
        candidates.push_back({Common::InstanceId("weak" + std::to_string(i)), 50});
    candidates.push_back({Common::InstanceId("strong1"), 500});
    candidates.push_back({Common::InstanceId("strong2"), 450});
    for (const char *service : {"a", "b", "c", "d", "e"})
        BOOST_TEST(chooseOwner(service, candidates).value.starts_with("strong"));
}

BOOST_AUTO_TEST_CASE(manyServices_areSpreadOverEqualInstances)
{
    std::vector<OwnerCandidate> candidates;
    for (int i = 0; i < 4; ++i)
        candidates.push_back({Common::InstanceId("n" + std::to_string(i)), 100});
    std::set<std::string> owners;
    for (int i = 0; i < 40; ++i)
        owners.insert(chooseOwner("service" + std::to_string(i), candidates).value);
    BOOST_TEST(owners.size() == 4u);
}

// When all instances start at the same time, each would consider itself the owner of every queue.
BOOST_AUTO_TEST_CASE(allInstancesStart_noPeerDiscovered_noOwnerIsChosen)
{
    BOOST_TEST(!mayChooseOwner({false, false, milliseconds(100)}));
    BOOST_TEST(mayChooseOwner({true, false, milliseconds(100)}));
    BOOST_TEST(mayChooseOwner({false, true, milliseconds(100)}));
}

BOOST_AUTO_TEST_CASE(allInstancesStart_storeAndPeersSilent_ownerIsChosenAfterTimeout)
{
    BOOST_TEST(mayChooseOwner({false, false, std::chrono::seconds(1)}));
}

BOOST_AUTO_TEST_CASE(ownerIsSelf_queueIsKept)
{
    BOOST_TEST(!this->handsOver(this->self));
    BOOST_TEST(!this->handsOver(this->self, true));
}

BOOST_AUTO_TEST_CASE(instanceIsLeaving_queueIsHandedOverAtOnce)
{
    BOOST_TEST(this->handsOver(this->other, true));
}

BOOST_AUTO_TEST_CASE(otherOwner_stableForOneSecond_queueIsHandedOver)
{
    BOOST_TEST(!this->handsOver(this->other));
    this->now += milliseconds(900);
    BOOST_TEST(!this->handsOver(this->other));
    this->now += milliseconds(100);
    BOOST_TEST(this->handsOver(this->other));
}

BOOST_AUTO_TEST_CASE(ownerFlaps_queueIsKept)
{
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(!this->handsOver(i % 2 == 0 ? this->other : this->self));
        this->now += milliseconds(600);
    }
}

BOOST_AUTO_TEST_SUITE_END()
