// Whether the store was away while an instance could not read it.
#include "Entry/StoreContactQuestion.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;
using Common::Milliseconds;

namespace {

constexpr Milliseconds kHeartbeat{1000};
// An entry lapses after it at the earliest.
constexpr Milliseconds kShortestLapse{2000};
constexpr Milliseconds kGracePeriod{2000};
constexpr Milliseconds kLongAbsence{5000};

struct StoreContactFixture
{
    Common::Time start = Common::Time(std::chrono::seconds(100));
    StoreContact contact;

    bool readAt(Milliseconds time)
    {
        return noteReadSucceeded(this->contact, this->start + time, kHeartbeat, this->start + time);
    }

    // Reads, loses the store, and reads again after an absence.
    bool readAgainAfter(Milliseconds absence)
    {
        this->readAt(Milliseconds(0));
        noteReadFailed(this->contact);
        return this->readAt(absence);
    }

    bool hearsOfReadings(Milliseconds since, Milliseconds last)
    {
        return noteOtherRun(this->contact, {this->start + since, this->start + last}, kHeartbeat);
    }

    bool isGraceAt(Milliseconds time) const
    {
        return graceEnd(this->contact, this->start + time).has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreContacts, StoreContactFixture)

BOOST_AUTO_TEST_CASE(absence_longerThanAnEntryLives_removalsArePutOff)
{
    BOOST_TEST(this->readAgainAfter(kLongAbsence));
    BOOST_TEST((graceEnd(this->contact, this->start + kLongAbsence)
                == this->start + kLongAbsence + kGracePeriod));
    BOOST_TEST(!this->isGraceAt(kLongAbsence + kGracePeriod));
}

// Guards against a connection that is reset and counts as an outage of the store (DRAIN).
BOOST_AUTO_TEST_CASE(absence_shorterThanAnEntryLives_removalsTakeEffect)
{
    BOOST_TEST(!this->readAgainAfter(kShortestLapse - Milliseconds(1)));
    BOOST_TEST(!this->isGraceAt(kShortestLapse));
    noteReadFailed(this->contact);
    BOOST_TEST(this->readAt(2 * kShortestLapse));
}

BOOST_AUTO_TEST_CASE(pause_withoutAFailedReading_removalsTakeEffect)
{
    this->readAt(Milliseconds(0));
    BOOST_TEST(!this->readAt(kLongAbsence));
    BOOST_TEST(!this->isGraceAt(kLongAbsence));
}

BOOST_AUTO_TEST_CASE(firstReading_afterFailedOnes_removalsTakeEffect)
{
    noteReadFailed(this->contact);
    BOOST_TEST(!this->readAt(kLongAbsence));
    BOOST_TEST(!this->isGraceAt(kLongAbsence));
}

// Guards against an instance's own cut that counts as an outage of the store (DRAIN).
BOOST_AUTO_TEST_CASE(otherReadOn_allTheTime_removalsTakeEffect)
{
    this->readAgainAfter(kLongAbsence);
    BOOST_TEST(this->hearsOfReadings(-kLongAbsence, kLongAbsence));
    BOOST_TEST(!this->isGraceAt(kLongAbsence));
    // This instance knows of the readings now, too.
    BOOST_TEST((this->contact.run->since == this->start - kLongAbsence));
}

BOOST_AUTO_TEST_CASE(otherReadOn_withGapsInWhichNothingLapses_removalsTakeEffect)
{
    this->readAgainAfter(kLongAbsence);
    BOOST_TEST(this->hearsOfReadings(kShortestLapse - Milliseconds(1),
                                     kLongAbsence - kShortestLapse + Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(otherLostTheStoreToo_removalsArePutOff)
{
    this->readAgainAfter(kLongAbsence);
    // It read until the store went away, or has read since the return.
    BOOST_TEST(!this->hearsOfReadings(-kLongAbsence, kLongAbsence - kShortestLapse));
    BOOST_TEST(!this->hearsOfReadings(kShortestLapse, 2 * kLongAbsence));
    BOOST_TEST(this->isGraceAt(kLongAbsence));
}

// Entries are missing whether or not others could read the store.
BOOST_AUTO_TEST_CASE(storeReturnsFromACopy_otherReadOn_removalsArePutOff)
{
    this->readAt(Milliseconds(0));
    noteReadFailed(this->contact);
    noteRestored(this->contact, this->start + kLongAbsence);
    BOOST_TEST(this->readAt(kLongAbsence));
    BOOST_TEST(!this->hearsOfReadings(-kLongAbsence, kLongAbsence));
    BOOST_TEST(this->isGraceAt(kLongAbsence + kGracePeriod - Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(answer_isWrittenAfterTheQuestion_tellsAtMostOfTheRun)
{
    const ReadingRun run{this->start - kLongAbsence, this->start - kHeartbeat};
    const boost::json::object answer = answerTo({{"readings?", 7}}, run, this->start);
    const Milliseconds delay(300);
    const auto read = readAnswer(answer, 7, this->start - delay, this->start + delay);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->since == run.since + delay));
    BOOST_TEST((read->last == run.last - delay));
}

// Guards against instances that have read for so long that their answers are refused.
BOOST_AUTO_TEST_CASE(answer_runOfManyDays_isBelieved)
{
    const ReadingRun run{this->start - std::chrono::hours(1000), this->start};
    const auto read
        = readAnswer(answerTo({{"readings?", 7}}, run, this->start), 7, this->start, this->start);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->since < this->start - kLongAbsence));
}

BOOST_AUTO_TEST_CASE(answer_toAnEarlierQuestionOrUnreadable_isIgnored)
{
    const boost::json::object answer
        = answerTo({{"readings?", 7}}, {this->start, this->start}, this->start);
    BOOST_TEST(!readAnswer(answer, 8, this->start, this->start));
    for (const char *text :
         {R"({"readings":7})", R"({"readings":7,"sinceMs":5})", R"({"readings":7,"lastMs":5})",
          R"({"readings":7,"sinceMs":5,"lastMs":6})", R"({"readings":"7","sinceMs":6,"lastMs":5})",
          R"({"readings":7,"sinceMs":99999999999,"lastMs":5})"}) {
        const boost::json::value unreadable = boost::json::parse(text);
        BOOST_TEST(!readAnswer(unreadable.get_object(), 7, this->start, this->start), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
