// Which rows a keeper of records writes and removes, and what it takes from the rows of others.
#include "Entry/StreamRecordRows.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

constexpr std::size_t kMaxEntriesOfCall = 100;
constexpr std::size_t kMaxBytesOfCall = 1 << 20;
constexpr std::size_t kMaxBytesOfRow = 65'536;
constexpr std::uint64_t kEpoch = 3;

struct StreamRecordRowsFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    // The clocks of two processes differ.
    StoreClock clock{Common::Milliseconds(70'000), this->now};
    StreamRecordRows rows;
    std::uint64_t lastRow = 0;

    StreamRecord record(const std::string &attempt, int secondsLeft) const
    {
        StreamRecord made{attempt, {}, false};
        made.origin = {"llm",
                       "v1",
                       Common::EndpointId("e1"),
                       17,
                       this->now - std::chrono::seconds(2),
                       this->now + std::chrono::seconds(secondsLeft)};
        return made;
    }

    std::vector<StreamRecord> records(std::size_t count, int secondsLeft,
                                      const std::string &prefix = "attempt-") const
    {
        std::vector<StreamRecord> made;
        for (std::size_t i = 0; i < count; ++i)
            made.push_back(this->record(prefix + std::to_string(i), secondsLeft));
        return made;
    }

    // Makes rows of all records, as a process that writes them does.
    void addRows(std::vector<StreamRecord> pending, const std::string &prefix = "a-")
    {
        while (!pending.empty()) {
            auto row = makeRow(pending, kEpoch, this->clock, this->now);
            if (row)
                this->rows.emplace(prefix + std::to_string(++this->lastRow), std::move(*row));
        }
    }

    // Confirms changes until there are none left. Returns the number of calls.
    int writeAll()
    {
        int calls = 0;
        for (StreamRowChanges changes = nextChanges(this->rows, this->now);
             !changes.added.empty() || !changes.removed.empty();
             changes = nextChanges(this->rows, this->now)) {
            applyChanges(this->rows, changes);
            ++calls;
        }
        return calls;
    }

    // Reads a row in a process that started later.
    std::optional<StreamRowContent> read(const std::string &value, int secondsLater = 0) const
    {
        const Common::Time readAt = Common::Time(std::chrono::seconds(5));
        const Common::Milliseconds storeTime
            = this->clock.storeTime + std::chrono::seconds(secondsLater);
        return readRow(value, {storeTime, readAt}, readAt);
    }

    std::string valueOf(std::vector<StreamRecord> pending) const
    {
        return makeRow(pending, kEpoch, this->clock, this->now).value().value;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamRecordRowsSuite, StreamRecordRowsFixture)

BOOST_AUTO_TEST_CASE(row_isReadByAProcessWithAnotherClock_holdsTheSame)
{
    std::vector<StreamRecord> made = this->records(2, 9);
    made[1].isConfirmed = true;
    const auto content = this->read(this->valueOf(made), 4);
    BOOST_REQUIRE(content);
    BOOST_TEST(content->epoch == kEpoch);
    BOOST_REQUIRE(content->records.size() == 2u);
    const StreamRecord &first = content->records[0];
    BOOST_TEST(first.attempt == "attempt-0");
    BOOST_TEST(first.origin.service == "llm");
    BOOST_TEST(first.origin.version == "v1");
    BOOST_TEST(first.origin.endpoint.value == "e1");
    BOOST_TEST(first.origin.incarnation == 17u);
    BOOST_TEST((first.origin.expiresAt == Common::Time(std::chrono::seconds(5 + 9 - 4))));
    BOOST_TEST((first.origin.sentAt == Common::Time(std::chrono::seconds(5 - 2 - 4))));
    BOOST_TEST(!first.isConfirmed);
    BOOST_TEST(content->records[1].isConfirmed);
}

// Guards against streams that are taken up again long after their callers have given up.
BOOST_AUTO_TEST_CASE(recordHasExpired_rowIsRead_recordIsLeftOut)
{
    std::vector<StreamRecord> made = this->records(1, 9);
    made.push_back(this->record("longer", 20));
    const auto content = this->read(this->valueOf(made), 10);
    BOOST_REQUIRE(content);
    BOOST_REQUIRE(content->records.size() == 1u);
    BOOST_TEST(content->records[0].attempt == "longer");
}

// Guards against a record that counts as certain because an instance of an earlier release took
// what the list named for it.
BOOST_AUTO_TEST_CASE(record_ofAnEarlierRelease_isNotConfirmed)
{
    const auto records = readStreamRecords(
        boost::json::parse(R"([["a","llm","v1","e1",17,2000,9000,true]])"), this->now);
    BOOST_REQUIRE(records.size() == 1u);
    BOOST_TEST(!records[0].isConfirmed);
    BOOST_TEST(!records[0].origin.isVersionKnown);
    BOOST_TEST(records[0].origin.version == "v1");
    BOOST_TEST(records[0].origin.incarnation == 17u);
}

// Guards against a record whose process is not certain, and that counts as certain at another
// instance: of an earlier release too, which looks up the fields that it knows in the list.
BOOST_AUTO_TEST_CASE(record_notConfirmed_isTheSame)
{
    for (const bool isConfirmed : {false, true}) {
        StreamRecord made = this->record("a", 9);
        made.isConfirmed = isConfirmed;
        const boost::json::array written = toJson({made}, this->now);
        const boost::json::array &fields = written[0].get_array();
        BOOST_TEST((fields[2].get_string() == "v1") == isConfirmed);
        BOOST_TEST((fields[4].to_number<std::uint64_t>() == 17u) == isConfirmed);
        BOOST_TEST(fields[7].get_bool() == isConfirmed);
        const auto read = readStreamRecords(written, this->now);
        BOOST_REQUIRE(read.size() == 1u);
        BOOST_TEST(read[0].isConfirmed == isConfirmed);
        BOOST_TEST(read[0].origin.isVersionKnown == isConfirmed);
        BOOST_TEST(read[0].origin.version == "v1");
        BOOST_TEST(read[0].origin.incarnation == 17u);
    }
}

// Guards against records that live forever because a clock was wrong.
BOOST_AUTO_TEST_CASE(recordNamesAFarExpiry_rowIsRead_lifetimeIsBounded)
{
    const auto content = this->read(this->valueOf(this->records(1, 9)), -100'000);
    BOOST_REQUIRE(content);
    BOOST_TEST((content->expiresAt
                == Common::Time(std::chrono::seconds(5)) + Serving::kMaxStreamOriginLifetime));
}

BOOST_AUTO_TEST_CASE(valueCannotBeRead_nothingIsTaken)
{
    for (const std::string value :
         {"", "x", "{}", "[]", R"({"epoch":1})", R"({"epoch":"x","records":[]})",
          R"({"epoch":1,"records":[[]]})", R"({"epoch":1,"records":[["a","s","v","e",1,2,3]]})",
          R"({"epoch":1,"records":[["a","s","v","e","x",2,3,true]]})",
          R"({"epoch":1,"records":[["","s","v","e",1,2,3,true]]})"})
        BOOST_TEST(!this->read(value));
}

BOOST_AUTO_TEST_CASE(message_someEntriesCannotBeRead_othersAreTaken)
{
    boost::json::array message = toJson(this->records(2, 9), this->now);
    message.emplace_back("x");
    const std::vector<StreamRecord> read = readStreamRecords(message, this->now);
    BOOST_REQUIRE(read.size() == 2u);
    BOOST_TEST(read[1].attempt == "attempt-1");
    BOOST_TEST((read[1].origin.sentAt == this->now - std::chrono::seconds(2)));
    BOOST_TEST((read[1].origin.expiresAt == this->now + std::chrono::seconds(9)));
    BOOST_TEST(readStreamRecords("x", this->now).empty());
}

// Guards against calls that the store rejects because of their size.
BOOST_AUTO_TEST_CASE(manyLongRecords_rowsAndCallsStayWithinTheLimitsOfTheStore)
{
    std::vector<StreamRecord> made = this->records(4000, 9);
    for (StreamRecord &record : made)
        record.origin.endpoint.value += std::string(400, 'x');
    this->addRows(made);
    std::size_t records = 0;
    while (true) {
        const StreamRowChanges changes = nextChanges(this->rows, this->now);
        if (changes.added.empty())
            break;
        std::size_t bytes = 0;
        for (const StoredText &row : changes.added) {
            BOOST_TEST(row.value.size() <= kMaxBytesOfRow);
            bytes += row.value.size() * 4 / 3 + 200;
            records += this->read(row.value)->records.size();
        }
        BOOST_TEST(changes.added.size() + changes.removed.size() <= kMaxEntriesOfCall);
        BOOST_TEST(bytes <= kMaxBytesOfCall);
        applyChanges(this->rows, changes);
    }
    BOOST_TEST(records == made.size());
}

// Guards against calls that the store rejects because they name more rows than it takes.
BOOST_AUTO_TEST_CASE(manyVersionsAndExpiredRows_callsStayWithinTheNumberOfEntries)
{
    for (int i = 0; i < 200; ++i)
        this->addRows(this->records(1, 5));
    this->writeAll();
    this->now += std::chrono::seconds(6);
    std::vector<StreamRecord> made = this->records(3000, 9);
    for (std::size_t i = 0; i < made.size(); ++i)
        made[i].origin.version = "v" + std::to_string(i % 150);
    this->addRows(made);
    std::size_t records = 0;
    for (StreamRowChanges changes = nextChanges(this->rows, this->now); !changes.added.empty();
         changes = nextChanges(this->rows, this->now)) {
        BOOST_TEST(changes.added.size() + changes.removed.size() + changes.versions.size()
                   <= kMaxEntriesOfCall);
        for (const StoredText &row : changes.added)
            records += this->read(row.value)->records.size();
        applyChanges(this->rows, changes);
    }
    BOOST_TEST(records == made.size());
}

// Guards against a record that fits no row and keeps all later ones from being written.
BOOST_AUTO_TEST_CASE(recordIsLongerThanARow_othersAreWritten)
{
    std::vector<StreamRecord> made = this->records(3, 9);
    made[1].origin.version = std::string(kMaxBytesOfRow, 'x');
    const auto content = this->read(this->valueOf(made));
    BOOST_REQUIRE(content);
    BOOST_TEST(content->records.size() == 2u);
}

BOOST_AUTO_TEST_CASE(allPendingRecordsHaveExpired_noRowIsMade)
{
    std::vector<StreamRecord> pending = this->records(3, 0);
    BOOST_TEST(!makeRow(pending, kEpoch, this->clock, this->now));
    BOOST_TEST(pending.empty());
}

// Guards against a call for each row that has expired.
BOOST_AUTO_TEST_CASE(rowsHaveExpired_areRemovedWithTheNextNewRow)
{
    this->addRows(this->records(1, 5));
    this->writeAll();
    this->addRows(this->records(1, 30));
    this->writeAll();
    this->now += std::chrono::seconds(6);
    BOOST_TEST(nextChanges(this->rows, this->now).removed.empty());
    this->addRows(this->records(1, 30));
    const StreamRowChanges changes = nextChanges(this->rows, this->now);
    BOOST_TEST(changes.added.size() == 1u);
    BOOST_REQUIRE(changes.removed.size() == 1u);
    BOOST_TEST(changes.removed[0] == "a-1");
}

// Guards against rows that stay in the store after the last stream.
BOOST_AUTO_TEST_CASE(allRowsHaveExpired_areRemovedTogether)
{
    for (int i = 0; i < 5; ++i)
        this->addRows(this->records(1, 5));
    this->writeAll();
    this->now += std::chrono::seconds(6);
    BOOST_TEST(this->writeAll() == 1);
    BOOST_TEST(this->rows.empty());
}

// Guards against rows of one process that replace or remove those of another.
BOOST_AUTO_TEST_CASE(rowsOfAnotherProcessAreRead_areRemovedOnlyOnceExpired)
{
    this->rows["b-1"] = {"", {}, this->now + std::chrono::seconds(8), true};
    this->addRows(this->records(1, 5));
    this->writeAll();
    this->now += std::chrono::seconds(6);
    BOOST_TEST(this->writeAll() == 0);
    this->now += std::chrono::seconds(6);
    BOOST_TEST(this->writeAll() == 1);
    BOOST_TEST(this->rows.empty());
}

// Guards against records that are missing for good after the store has returned from an older copy.
BOOST_AUTO_TEST_CASE(storeReturnsFromOlderCopy_ownRowsAreWrittenAgain)
{
    this->rows["b-1"] = {"", {}, this->now + std::chrono::seconds(8), true};
    this->addRows(this->records(1, 5));
    this->writeAll();
    forgetStored(this->rows);
    const StreamRowChanges changes = nextChanges(this->rows, this->now);
    BOOST_REQUIRE(changes.added.size() == 1u);
    BOOST_TEST(changes.added[0].key == "a-1");
}

// Guards against a version that is guessed: the endpoint was restarted before the stream began, and
// the list showed that later.
BOOST_AUTO_TEST_CASE(processIsNotListedAnyMore_recordIsCertainOnlyIfConfirmed)
{
    StreamRecord read = this->record("a", 5);
    BOOST_TEST(isCertain(read, kEpoch, kEpoch, true));
    BOOST_TEST(!isCertain(read, kEpoch, kEpoch, false));
    // An older copy of the store lists processes that have ended.
    BOOST_TEST(!isCertain(read, kEpoch, kEpoch + 1, true));
    read.isConfirmed = true;
    BOOST_TEST(isCertain(read, kEpoch, kEpoch, false));
    BOOST_TEST(isCertain(read, kEpoch, kEpoch + 1, false));
}

// Guards against a stream that goes on at the only version that is listed, since nobody knows that
// there was the one that its record names.
BOOST_AUTO_TEST_CASE(rowsAreAdded_changesNameTheirVersions)
{
    std::vector<StreamRecord> made = this->records(2, 9);
    made[1].origin.version = "v2";
    this->addRows(made);
    const StreamRowChanges changes = nextChanges(this->rows, this->now);
    BOOST_TEST((changes.versions == std::set<ServiceVersion>{{"llm", "v1"}, {"llm", "v2"}}));
    applyChanges(this->rows, changes);
    BOOST_TEST(nextChanges(this->rows, this->now).versions.empty());
}

// Guards against calls to the store that grow with the number of instances: a part of the store
// takes 150 changes a second, of which each writer makes up to seven.
BOOST_AUTO_TEST_CASE(numberOfInstancesGrows_numberOfWritersStaysSmall)
{
    constexpr std::size_t kChangesOfWriter = 7;
    constexpr std::size_t kChangesOfPart = 150;
    BOOST_TEST(recordWriterCount(7) == 1u);
    BOOST_TEST(recordWriterCount(24) == 1u);
    for (const std::size_t instances : {1, 7, 24, 295, 400}) {
        BOOST_TEST(recordWriterCount(instances) * kChangesOfWriter <= kChangesOfPart);
        BOOST_TEST(recordKeeperCount(instances) >= recordWriterCount(instances));
        BOOST_TEST(recordKeeperCount(instances) <= 16u);
        BOOST_TEST(recordKeeperCount(instances) >= 3u);
    }
}

// Guards against more rows than the store lists on a few pages, at the rates of 7, 24 and 295
// instances.
BOOST_AUTO_TEST_CASE(streamsBeginForAMinute_rowsStayBounded)
{
    constexpr int kCallsPerSecond = 6;
    constexpr int kLifetimeSeconds = 25;
    constexpr std::size_t kMaxRows = kCallsPerSecond * (kLifetimeSeconds + 1) + 70;
    for (const int streamsPerSecond : {27, 27, 495 / 10}) {
        this->rows.clear();
        std::size_t mostRows = 0;
        for (int call = 0; call < 60 * kCallsPerSecond; ++call) {
            this->now += Common::Milliseconds(1000 / kCallsPerSecond);
            this->addRows(
                this->records(static_cast<std::size_t>(streamsPerSecond) / kCallsPerSecond + 1,
                              kLifetimeSeconds));
            applyChanges(this->rows, nextChanges(this->rows, this->now));
            mostRows = std::max(mostRows, this->rows.size());
        }
        BOOST_TEST(mostRows <= kMaxRows);
    }
}

BOOST_AUTO_TEST_SUITE_END()
