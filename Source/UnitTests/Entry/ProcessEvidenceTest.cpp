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
    EndpointList list;
    ProcessEvidence evidence;

    ProcessEvidenceFixture()
    {
        this->evidence.listedSince[this->process.endpoint] = this->start;
    }

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

    bool isOnly(Common::Time since) const
    {
        return isOnlyProcess(this->evidence, this->process, since, kHeartbeat);
    }

    // A row of a process without a start time.
    ListedEndpoint unstartedRow(const std::string &version, std::uint64_t sequence) const
    {
        ListedEndpoint made;
        made.service = "app";
        made.entry.id = this->process.endpoint;
        made.entry.version = version;
        made.sequence = sequence;
        return made;
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
    noteStoreRestored(this->evidence, this->start + kRowLifetime);
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
    const Common::EndpointId unlisted("e2");
    BOOST_TEST(!wasListed(this->evidence, unlisted, this->at(0)));
    this->evidence.listedSince[unlisted] = this->at(100);
    BOOST_TEST(!wasListed(this->evidence, unlisted, this->at(99)));
    BOOST_TEST(wasListed(this->evidence, unlisted, this->at(100)));
}

// Guards against a late write of a process that has ended: it brings the row back for a while, and
// the list has been read for long enough.
BOOST_AUTO_TEST_CASE(process_rowWasGoneInBetween_isKnownOnceItIsListedForLongEnough)
{
    this->readFromTo(this->start, this->start + kRowLifetime);
    const Common::Time back = this->at(3700);
    this->evidence.listedSince[this->process.endpoint] = back;
    BOOST_TEST(!this->ranAt(this->start));
    this->readFromTo(this->at(6000), this->at(8400));
    BOOST_TEST(!this->ranAt(this->start));
    this->readFromTo(this->at(9600), this->at(9600));
    BOOST_TEST(this->ranAt(this->start));
}

// Guards against a process without a start time that is taken for the one before, which another
// version had replaced for a while.
BOOST_AUTO_TEST_CASE(processWithoutStartTime_isListedLater_isNeverKnownToHaveRunBefore)
{
    this->process.incarnation = 0;
    this->evidence.listedSince[this->process.endpoint] = this->at(1200);
    this->readFromTo(this->start, this->start + 2 * kRowLifetime);
    BOOST_TEST(!this->ranAt(this->at(1199)));
    BOOST_TEST(this->ranAt(this->at(1200)));
}

// Guards against the same where nothing differs but the sequence of the rows, as no reading has
// shown the process in between.
BOOST_AUTO_TEST_CASE(processWithoutStartTime_sequenceStartsAnew_isListedSinceThen)
{
    const auto apply = [this](const ListedEndpoint &row, EntrySource source, Common::Time now) {
        return noteListed(this->evidence, this->list, row, source, now);
    };
    apply(this->unstartedRow("v1", 40), EntrySource::FullState, this->start);
    apply(this->unstartedRow("v1", 41), EntrySource::Change, this->at(1200));
    BOOST_TEST(wasListed(this->evidence, this->process.endpoint, this->start));
    const EntryChange change
        = apply(this->unstartedRow("v1", 1), EntrySource::Change, this->at(2400));
    BOOST_TEST((change == EntryChange::None));
    BOOST_TEST(!wasListed(this->evidence, this->process.endpoint, this->at(2399)));
    BOOST_TEST(wasListed(this->evidence, this->process.endpoint, this->at(2400)));
}

// Guards against a follower that does not see a restart, as it knows the sequence of the last
// report only: a process without a start time counts as new with each report of it, and with the
// first reading after one. So does one without a sequence with each reading.
BOOST_AUTO_TEST_CASE(processWithoutStartTime_sequenceIsNotKnown_isListedSinceThen)
{
    const auto isNewAt = [this](EntrySource source, std::uint64_t sequence, int time) {
        noteListed(this->evidence, this->list, this->unstartedRow("v1", sequence), source,
                   this->at(time));
        return !wasListed(this->evidence, this->process.endpoint, this->at(time - 1));
    };
    BOOST_TEST(isNewAt(EntrySource::Report, 1, 100));
    BOOST_TEST(isNewAt(EntrySource::Report, 2, 200));
    noteReadAfterReports(this->evidence, this->list, this->at(300));
    BOOST_TEST(isNewAt(EntrySource::Change, 3, 300));
    BOOST_TEST(!isNewAt(EntrySource::Change, 4, 400));
    BOOST_TEST(isNewAt(EntrySource::Change, 0, 500));
    BOOST_TEST(isNewAt(EntrySource::Change, 0, 600));
}

// Guards against two processes of one start time, one of which the list has named before.
BOOST_AUTO_TEST_CASE(process_otherVersionWithTheSameStartTime_isListedSinceThen)
{
    ListedEndpoint row = this->unstartedRow("v1", 40);
    row.entry.incarnation = this->process.incarnation;
    noteListed(this->evidence, this->list, row, EntrySource::Change, this->at(100));
    row.entry.version = "v2";
    row.sequence = 1;
    noteListed(this->evidence, this->list, row, EntrySource::Change, this->at(200));
    BOOST_TEST(!wasListed(this->evidence, this->process.endpoint, this->at(199)));
}

// Guards against a start time of zero, which is none, that two processes state.
BOOST_AUTO_TEST_CASE(processWithoutStartTime_statesZero_isNotKnownToHaveRun)
{
    this->process.incarnation = 0;
    noteStated(this->evidence, this->process, this->at(100), this->at(150));
    BOOST_TEST(!this->ranAt(this->at(100)));
}

// Guards against two processes behind one address: what one states says nothing about a connection
// that was made before the other one answered.
BOOST_AUTO_TEST_CASE(process_statesItselfAgainAfterAnother_hasRunSinceThenOnly)
{
    noteStated(this->evidence, this->process, this->at(100), this->at(150));
    noteStated(this->evidence, this->other, this->at(200), this->at(250));
    noteStated(this->evidence, this->process, this->at(300), this->at(350));
    BOOST_TEST(!this->ranAt(this->at(100)));
    BOOST_TEST(!this->ranAt(this->at(250)));
    BOOST_TEST(this->ranAt(this->at(251)));
    BOOST_TEST(!hadStated(this->evidence, this->process, this->at(349)));
}

// Guards against an answer of the process before that arrives late, and hides that of the next one:
// its row would be believed for as long as the next one cannot write.
BOOST_AUTO_TEST_CASE(process_answersAnEarlierQuestionAfterAnother_isNotKnownToHaveRun)
{
    this->readFromTo(this->start, this->start + kRowLifetime);
    noteStated(this->evidence, this->other, this->at(200), this->at(250));
    noteStated(this->evidence, this->process, this->at(150), this->at(260));
    BOOST_TEST(!this->ranAt(this->start));
    BOOST_TEST(!this->ranAt(this->at(150)));
}

// Guards against rows of an older copy that lapse a lifetime after the store has returned, not
// after the begin of the reading that showed it.
BOOST_AUTO_TEST_CASE(process_readingSawTheStoreReturnLate_isKnownALifetimeAfterItsEnd)
{
    noteStoreRestored(this->evidence, this->at(1000));
    this->readFromTo(this->start, this->start + kRowLifetime);
    BOOST_TEST(!this->ranAt(this->start));
    this->readFromTo(this->at(6000), this->at(6000));
    BOOST_TEST(this->ranAt(this->start));
}

// Guards against a reading that overtakes a later one, of another reader: the history goes on.
BOOST_AUTO_TEST_CASE(reading_beganBeforeAnEarlierOne_neitherProvesNorLosesAnything)
{
    this->readFromTo(this->start, this->at(3600));
    noteReading(this->evidence, this->at(1000), kHeartbeat);
    BOOST_TEST(!this->ranAt(this->start));
    noteReading(this->evidence, this->at(4800), kHeartbeat);
    BOOST_TEST(this->ranAt(this->start));
}

// Guards against a process that never states itself and is not known for good, because the one
// before it had stated itself.
BOOST_AUTO_TEST_CASE(process_earlierOneHadStatedItself_isKnownByItsRow)
{
    noteStated(this->evidence, this->other, this->at(100), this->at(150));
    this->evidence.listedSince[this->process.endpoint] = this->at(1000);
    this->readFromTo(this->at(1000), this->at(1000) + kRowLifetime);
    BOOST_TEST(this->ranAt(this->at(1000)));
    noteStated(this->evidence, this->other, this->at(2000), this->at(2050));
    BOOST_TEST(!this->ranAt(this->at(1000)));
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

// Guards against a listed process that is taken for the only one, though nothing has shown it.
BOOST_AUTO_TEST_CASE(onlyProcess_hasNotStatedItself_isKnownOnceItsRowWouldHaveLapsed)
{
    BOOST_TEST(!this->isOnly(this->start));
    this->readFromTo(this->start, this->start + kRowLifetime);
    BOOST_TEST(this->isOnly(this->start));
}

BOOST_AUTO_TEST_CASE(onlyProcess_hasStatedItselfSinceItWasListed_isKnown)
{
    noteStated(this->evidence, this->process, this->start - kHeartbeat, this->start);
    BOOST_TEST(!this->isOnly(this->start));
    noteStated(this->evidence, this->process, this->at(1), this->at(2));
    BOOST_TEST(this->isOnly(this->start));
}

// Guards against two processes that run side by side and state themselves in turn.
BOOST_AUTO_TEST_CASE(onlyProcess_otherOneHasStatedItselfSince_isNotKnownUntilThatIsLongAgo)
{
    noteStated(this->evidence, this->other, this->at(1), this->at(2));
    BOOST_TEST(!this->isOnly(this->start));
    noteStated(this->evidence, this->process, this->at(3), this->at(4));
    BOOST_TEST(!this->isOnly(this->start));
    BOOST_TEST(!this->isOnly(this->at(2)));
    BOOST_TEST(this->isOnly(this->at(3)));
}

BOOST_AUTO_TEST_CASE(process_statedLongAgo_isForgotten)
{
    noteStatedBeside(this->evidence, this->other, "app", this->process.incarnation, this->at(1));
    dropUnlistedBefore(this->evidence, this->at(1));
    BOOST_TEST(this->evidence.unlisted.size() == 1u);
    dropUnlistedBefore(this->evidence, this->at(2));
    BOOST_TEST(this->evidence.unlisted.empty());
}

// Guards against a process that counts as one that was never listed, as its row came and went
// before it was heard.
BOOST_AUTO_TEST_CASE(process_wasListedBefore_itsVersionIsKnownForAWhile)
{
    const auto listed = [this](const ListedProcess &each, const std::string &version) {
        ListedEndpoint made = this->unstartedRow(version, 1);
        made.entry.incarnation = each.incarnation;
        return made;
    };
    noteListed(this->evidence, this->list, listed(this->process, "v1"), EntrySource::Change,
               this->at(0));
    noteListedVersions(this->evidence, this->list, this->at(50'000));
    noteListed(this->evidence, this->list, listed(this->other, "v2"), EntrySource::Change,
               this->at(50'001));
    BOOST_TEST(namedVersion(this->evidence, this->process).value_or("") == "v1");
    BOOST_TEST(namedVersion(this->evidence, this->other).value_or("") == "v2");
    noteListedVersions(this->evidence, this->list, this->at(120'000));
    BOOST_TEST(!namedVersion(this->evidence, this->process).has_value());
    BOOST_TEST(namedVersion(this->evidence, this->other).value_or("") == "v2");
}

// Guards against a version that is believed although two processes have the same start time.
BOOST_AUTO_TEST_CASE(process_listedWithTwoVersions_itsVersionIsNotKnown)
{
    for (const char *version : {"v1", "v2"}) {
        ListedEndpoint made = this->unstartedRow(version, 1);
        made.entry.incarnation = this->process.incarnation;
        noteListed(this->evidence, this->list, made, EntrySource::Change, this->at(0));
    }
    BOOST_TEST(!namedVersion(this->evidence, this->process).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
