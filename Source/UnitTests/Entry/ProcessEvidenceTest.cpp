#include "Entry/ProcessEvidence.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

constexpr Common::Milliseconds kHeartbeat{1200};
// A row lapses within this time after its last heartbeat.
constexpr Common::Milliseconds kRowLifetime = 4 * kHeartbeat;
constexpr Common::Milliseconds kReadInterval{1200};

struct ProcessEvidenceFixture
{
    Common::Time start = Common::Time(std::chrono::seconds(1000));
    ListedProcess process{Common::EndpointId("e1"), 17};
    ListedProcess other{Common::EndpointId("e1"), 18};
    ProcessEvidence evidence;

    Common::Time at(int milliseconds) const
    {
        return this->start + Common::Milliseconds(milliseconds);
    }

    // Reads the list at the usual interval.
    void readFromTo(Common::Time from, Common::Time to)
    {
        for (Common::Time time = from; time <= to; time += kReadInterval)
            noteReading(this->evidence, time, kHeartbeat);
    }

    bool ranAt(Common::Time time) const
    {
        return hasRunSince(this->evidence, this->process, time, kHeartbeat);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessEvidenceSuite, ProcessEvidenceFixture)

// Guards against a row that is taken for a sign of life, although its process may have ended
// before.
BOOST_AUTO_TEST_CASE(process_rowMayBeOlderThanThat_isNotKnownToHaveRun)
{
    BOOST_TEST(!this->ranAt(this->start));
    for (Common::Time time = this->start; time < this->start + kRowLifetime;
         time += kReadInterval) {
        noteReading(this->evidence, time, kHeartbeat);
        BOOST_TEST(!this->ranAt(this->start));
    }
}

BOOST_AUTO_TEST_CASE(process_rowWouldHaveLapsedSince_hasRun)
{
    this->readFromTo(this->start, this->start + kRowLifetime);
    BOOST_TEST(this->ranAt(this->start));
    BOOST_TEST(!this->ranAt(this->at(1)));
}

// Guards against rows that did not lapse because the store was away.
BOOST_AUTO_TEST_CASE(process_listWasNotReadForAWhile_isKnownLater)
{
    this->readFromTo(this->start, this->at(1200));
    const Common::Time back = this->at(1201 + 2 * 1200);
    this->readFromTo(back, back + kRowLifetime - kReadInterval);
    BOOST_TEST(!this->ranAt(this->start));
    noteReading(this->evidence, back + kRowLifetime, kHeartbeat);
    BOOST_TEST(this->ranAt(this->start));
}

// Guards against rows of an older copy of the store.
BOOST_AUTO_TEST_CASE(process_storeHasReturnedFromACopy_isKnownLater)
{
    this->readFromTo(this->start, this->start + kRowLifetime);
    noteStoreRestored(this->evidence);
    BOOST_TEST(!this->ranAt(this->start));
    const Common::Time back = this->start + kRowLifetime + kReadInterval;
    this->readFromTo(back, back + kRowLifetime);
    BOOST_TEST(this->ranAt(this->start));
}

BOOST_AUTO_TEST_CASE(process_statesItselfLater_hasRun)
{
    noteStated(this->evidence, this->process, this->at(100), this->at(150));
    BOOST_TEST(this->ranAt(this->at(100)));
    // It may have ended after the question was sent.
    BOOST_TEST(!this->ranAt(this->at(101)));
    noteStated(this->evidence, this->process, this->at(300), this->at(310));
    BOOST_TEST(this->ranAt(this->at(300)));
}

// Guards against a row that names the process before for as long as the next one cannot write.
BOOST_AUTO_TEST_CASE(process_anotherOneHasStatedItself_isNotKnownToHaveRun)
{
    this->readFromTo(this->start, this->start + kRowLifetime);
    noteStated(this->evidence, this->process, this->at(100), this->at(150));
    noteStated(this->evidence, this->other, this->at(200), this->at(250));
    BOOST_TEST(!this->ranAt(this->start));
}

BOOST_AUTO_TEST_CASE(process_statedItselfEarlier_hadStated)
{
    noteStated(this->evidence, this->process, this->at(100), this->at(150));
    BOOST_TEST(!hadStated(this->evidence, this->process, this->at(149)));
    BOOST_TEST(hadStated(this->evidence, this->process, this->at(150)));
    noteStated(this->evidence, this->process, this->at(300), this->at(310));
    BOOST_TEST(hadStated(this->evidence, this->process, this->at(150)));
    BOOST_TEST(!hadStated(this->evidence, this->other, this->at(310)));
}

BOOST_AUTO_TEST_CASE(process_isListedLater_wasNotListedBefore)
{
    BOOST_TEST(!wasListed(this->evidence, this->process.endpoint, this->at(0)));
    this->evidence.listedSince[this->process.endpoint] = this->at(100);
    BOOST_TEST(!wasListed(this->evidence, this->process.endpoint, this->at(99)));
    BOOST_TEST(wasListed(this->evidence, this->process.endpoint, this->at(100)));
}

// Guards against a list that is taken for complete although an endpoint has stated a process that
// it does not name.
BOOST_AUTO_TEST_CASE(process_statedAndNotListed_isRememberedUntilTheListNamesIt)
{
    noteStatedBeside(this->evidence, this->process, "app", this->process.incarnation, this->start);
    BOOST_TEST(!hasUnlisted(this->evidence, "app", this->start));
    noteStatedBeside(this->evidence, this->other, "app", this->process.incarnation, this->start);
    BOOST_TEST(hasUnlisted(this->evidence, "app", this->start));
    BOOST_TEST(!hasUnlisted(this->evidence, "other", this->start));
    BOOST_TEST(!hasUnlisted(this->evidence, "app", this->at(1)));
    noteNamed(this->evidence, this->process);
    BOOST_TEST(hasUnlisted(this->evidence, "app", this->start));
    noteNamed(this->evidence, this->other);
    BOOST_TEST(!hasUnlisted(this->evidence, "app", this->start));
}

// Guards against refusals because of a statement that was wrong: the endpoint is the listed process
// all the same. One that replaced the other is no proof of that.
BOOST_AUTO_TEST_CASE(process_statedAndNotListed_isForgottenIfTheListedOneStatesItselfAgain)
{
    noteStatedBeside(this->evidence, this->other, "app", this->process.incarnation, this->start);
    noteStatedBeside(this->evidence, {this->process.endpoint, 19}, "app", 19, this->at(1));
    BOOST_TEST(hasUnlisted(this->evidence, "app", this->start));
    noteStatedBeside(this->evidence, this->process, "app", this->process.incarnation, this->at(2));
    BOOST_TEST(!hasUnlisted(this->evidence, "app", this->start));
}

BOOST_AUTO_TEST_CASE(process_statedLongAgo_isForgotten)
{
    noteStatedBeside(this->evidence, this->other, "app", this->process.incarnation, this->at(1));
    dropUnlistedBefore(this->evidence, this->at(1));
    BOOST_TEST(this->evidence.unlisted.size() == 1u);
    dropUnlistedBefore(this->evidence, this->at(2));
    BOOST_TEST(this->evidence.unlisted.empty());
}

BOOST_AUTO_TEST_SUITE_END()
