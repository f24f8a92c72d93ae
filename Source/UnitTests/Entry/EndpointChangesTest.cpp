// What readers of the store pass on to their followers.
#include "Entry/EndpointChanges.h"
#include "Entry/ReaderMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

struct EndpointChangesFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    ChangeLog log;
    EndpointList list;
    ReportedEndpoints reported;

    static ListedEndpoint entry(const std::string &id, std::uint64_t sequence)
    {
        ListedEndpoint made;
        made.service = "app";
        made.entry.id = Common::EndpointId(id);
        made.entry.address = {"127.0.0.1", 9000};
        made.entry.failureDomain = Common::FailureDomain("a");
        made.entry.incarnation = 7;
        made.entry.slots = 4;
        made.sequence = sequence;
        return made;
    }

    void recordStep(std::uint64_t from, std::uint64_t to, EndpointChanges changes = {})
    {
        changes.from = {1, from};
        changes.to = {1, to};
        record(this->log, std::move(changes), this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointChangeLogs, EndpointChangesFixture)

BOOST_AUTO_TEST_CASE(changesOf_heartbeatsOnly_isEmpty)
{
    applyEntry(this->list, entry("e1", 1));
    BOOST_TEST(changesOf(this->list, this->reported).listed.size() == 1u);
    applyEntry(this->list, entry("e1", 2));
    const EndpointChanges none = changesOf(this->list, this->reported);
    BOOST_TEST(none.listed.empty());
    BOOST_TEST(none.dropped.empty());
}

// Guards against followers that never learn of endpoints that are gone (DRAIN): the first report of
// a reader that has just started claims to hold all changes, where the store states no epoch.
BOOST_AUTO_TEST_CASE(beginOfReport_firstOneOfAProcess_isItsEnd)
{
    for (const std::uint64_t epoch : {0u, 1u}) {
        const StorePosition position{epoch, 40};
        BOOST_TEST((beginOfReport(std::nullopt, position) == position));
        BOOST_TEST((beginOfReport(StorePosition{epoch, 30}, position) == StorePosition{epoch, 30}));
        BOOST_TEST((beginOfReport(StorePosition{epoch + 1, 30}, position) == position));
    }
    const StorePosition first = beginOfReport(std::nullopt, {0, 40});
    const EndpointChanges report{first, {0, 40}, {}, {}};
    BOOST_TEST((useOfChanges({0, 30}, report) == ChangesUse::Gap));
}

// Guards against followers that take a process without a start time for the one before it.
BOOST_AUTO_TEST_CASE(changesOf_processWithoutStartTimeStartsAnew_isReported)
{
    const auto isReported = [this](std::uint64_t sequence) {
        ListedEndpoint made = entry("e1", sequence);
        made.entry.incarnation = 0;
        applyEntry(this->list, made);
        return !changesOf(this->list, this->reported).listed.empty();
    };
    BOOST_TEST(isReported(40));
    BOOST_TEST(!isReported(41));
    BOOST_TEST(isReported(1));
    BOOST_TEST(!isReported(2));
}

// Guards against followers that go on as before when an endpoint turns cold again, and against
// reports at each heartbeat of one that warms.
BOOST_AUTO_TEST_CASE(changesOf_endpointTurnsCold_isReportedOnceUntilItIsWarm)
{
    using Common::Milliseconds;
    std::uint64_t sequence = 0;
    const auto isReported = [this, &sequence](int left) {
        ListedEndpoint made = entry("e1", ++sequence);
        made.coldLeft = Milliseconds(left);
        applyEntry(this->list, made);
        return !changesOf(this->list, this->reported).listed.empty();
    };
    BOOST_TEST(isReported(0));
    BOOST_TEST(isReported(3000));
    BOOST_TEST(!isReported(1800));
    BOOST_TEST(!isReported(600));
    // It has turned cold again before it was warm.
    BOOST_TEST(isReported(2900));
    BOOST_TEST(isReported(0));
    BOOST_TEST(!isReported(0));
    BOOST_TEST(isReported(1));
}

BOOST_AUTO_TEST_CASE(messages_coldEndpointOrUnknown_areTheSame)
{
    EndpointChanges changes{{1, 2}, {1, 3}, {entry("e1", 1), entry("e2", 1)}, {}};
    changes.listed.front().coldLeft = Common::Milliseconds(1234);
    const auto read = changesFromJson(changesToJson(changes));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->listed.front().coldLeft == Common::Milliseconds(1234)));
    BOOST_TEST(!read->listed.back().coldLeft.has_value());
}

BOOST_AUTO_TEST_CASE(changesOf_droppedEndpoint_namesItsLastSequence)
{
    applyEntry(this->list, entry("e1", 1));
    changesOf(this->list, this->reported);
    applyEntry(this->list, entry("e1", 40));
    dropEndpoint(this->list, Common::EndpointId("e1"), std::nullopt, this->now);
    const EndpointChanges changes = changesOf(this->list, this->reported);
    BOOST_REQUIRE(changes.dropped.size() == 1u);
    BOOST_TEST(changes.dropped.front().sequence == 40u);
}

// A follower that has only heard of the entry with sequence 1 must not believe an older copy of the
// store that lists it with sequence 30.
BOOST_AUTO_TEST_CASE(dropReported_olderCopyListsTheEndpointAgain_isIgnored)
{
    applyEntry(this->list, entry("e1", 1));
    BOOST_TEST(dropReported(this->list, Common::EndpointId("e1"), 7, 40, std::nullopt, this->now));
    BOOST_TEST((applyEntry(this->list, entry("e1", 30)) == EntryChange::Outdated));
    BOOST_TEST((applyEntry(this->list, entry("e1", 41)) == EntryChange::Changed));
}

// The later process may not have written yet since the store returned from an older copy.
BOOST_AUTO_TEST_CASE(dropReported_laterProcessIsKnownOfAnEarlierEpoch_isKeptForTheGracePeriod)
{
    ListedEndpoint later = entry("e1", 1);
    later.entry.incarnation = 8;
    applyEntry(this->list, later);
    ++this->list.epoch;
    const Common::Time graceEnd = this->now + std::chrono::seconds(2);
    const Common::EndpointId id("e1");
    BOOST_TEST(!dropReported(this->list, id, 7, 40, graceEnd, this->now));
    BOOST_TEST(this->list.known.size() == 1u);
    applyExpirations(this->list, graceEnd - Common::Milliseconds(1));
    BOOST_TEST(this->list.known.size() == 1u);
}

// Guards against a follower that keeps an endpoint for good: it left without having written again
// since the store returned from an older copy (DRAIN).
BOOST_AUTO_TEST_CASE(dropReported_laterProcessHasNotWrittenAgain_isDroppedAfterTheGracePeriod)
{
    const Common::Time graceEnd = this->now + std::chrono::seconds(2);
    const Common::EndpointId id("e1");
    for (const bool isOver : {false, true}) {
        ListedEndpoint later = entry("e1", 1);
        later.entry.incarnation = 8;
        applyEntry(this->list, later);
        ++this->list.epoch;
        dropReported(this->list, id, 7, 40, isOver ? std::nullopt : std::optional(graceEnd),
                     isOver ? graceEnd : this->now);
        applyExpirations(this->list, graceEnd);
        BOOST_TEST(this->list.known.empty());
        this->list.dropped.clear();
    }
}

// Guards against a follower that keeps an endpoint that has gone: of its processes, the last one
// that the reader saw stated an earlier start time, because the clock had gone back.
BOOST_AUTO_TEST_CASE(dropReported_processOfEarlierStartTimeHasGone_isDropped)
{
    ListedEndpoint known = entry("e1", 1);
    known.entry.incarnation = 8;
    applyEntry(this->list, known);
    BOOST_TEST(dropReported(this->list, Common::EndpointId("e1"), 7, 3, std::nullopt, this->now));
    BOOST_TEST(this->list.known.empty());
}

// Guards against a follower that refuses a process whose clock had gone back before it started,
// after a report that the process before has gone.
BOOST_AUTO_TEST_CASE(dropReported_nextProcessStatesEarlierStartTime_isUsed)
{
    BOOST_TEST(!dropReported(this->list, Common::EndpointId("e1"), 8, 40, std::nullopt, this->now));
    BOOST_TEST((applyEntry(this->list, entry("e1", 1)) == EntryChange::Changed));
    BOOST_TEST(this->list.known.size() == 1u);
}

// Guards against the start time of one process beside the sequence of another, where an endpoint
// restarted and left between two reports.
BOOST_AUTO_TEST_CASE(changesOf_restartedAndDroppedBetweenReports_namesTheLastProcess)
{
    applyEntry(this->list, entry("e1", 40));
    changesOf(this->list, this->reported);
    ListedEndpoint later = entry("e1", 2);
    later.entry.incarnation = 9;
    applyEntry(this->list, later);
    dropEndpoint(this->list, Common::EndpointId("e1"), std::nullopt, this->now);
    const EndpointChanges changes = changesOf(this->list, this->reported);
    BOOST_REQUIRE(changes.dropped.size() == 1u);
    BOOST_TEST(changes.dropped.front().incarnation == 9u);
    BOOST_TEST(changes.dropped.front().sequence == 2u);
}

// A reader on a lossy link loses the store for a moment, while an endpoint leaves. The reader keeps
// the entry for two seconds; its followers must not.
BOOST_AUTO_TEST_CASE(mayReport_entryIsKeptAfterAnOutage_notUntilItIsDecided)
{
    applyEntry(this->list, entry("e1", 1));
    changesOf(this->list, this->reported);
    BOOST_TEST(mayReport(this->list));
    const Common::Time until = this->now + std::chrono::seconds(2);
    dropEndpoint(this->list, Common::EndpointId("e1"), until, this->now);
    BOOST_TEST(!mayReport(this->list));
    applyExpirations(this->list, until);
    BOOST_TEST(mayReport(this->list));
    // The report after that names the endpoint, though its removal lies before that reading.
    BOOST_TEST(changesOf(this->list, this->reported).dropped.size() == 1u);
}

// An endpoint registers and leaves between two readings of a reader; a follower that has read the
// store itself in between knows it.
BOOST_AUTO_TEST_CASE(addRemoved_endpointCameAndWentBetweenReports_isDroppedByTheFollower)
{
    applyEntry(this->list, entry("e1", 1));
    changesOf(this->list, this->reported);
    EndpointChanges changes = changesOf(this->list, this->reported);
    addRemoved(changes, this->list, {Common::EndpointId("e2"), Common::EndpointId("e1")});
    BOOST_REQUIRE(changes.dropped.size() == 1u);
    EndpointList follower;
    applyEntry(follower, entry("e2", 4));
    const DroppedEntry &dropped = changes.dropped.front();
    BOOST_TEST(dropReported(follower, dropped.id, dropped.incarnation, dropped.sequence,
                            std::nullopt, this->now));
    BOOST_TEST((applyEntry(follower, entry("e2", 4)) == EntryChange::Outdated));
}

BOOST_AUTO_TEST_CASE(changesSince_positionInTheLog_returnsTheLastOfEachEndpoint)
{
    EndpointChanges first;
    first.listed = {entry("e1", 1), entry("e2", 1)};
    this->recordStep(10, 20, first);
    EndpointChanges second;
    second.listed = {entry("e2", 5)};
    second.dropped = {{Common::EndpointId("e1"), 7, 9}};
    this->recordStep(20, 30, second);
    const auto all = changesSince(this->log, {1, 15});
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST((all->to == StorePosition{1, 30}));
    BOOST_REQUIRE(all->listed.size() == 1u);
    BOOST_TEST(all->listed.front().sequence == 5u);
    BOOST_TEST(all->dropped.size() == 1u);
    BOOST_TEST(changesSince(this->log, {1, 30})->listed.empty());
}

BOOST_AUTO_TEST_CASE(changesSince_beforeTheLogOrAnotherEpoch_isNothing)
{
    BOOST_TEST(!changesSince(this->log, {1, 5}).has_value());
    this->recordStep(10, 20);
    BOOST_TEST(!changesSince(this->log, {1, 5}).has_value());
    BOOST_TEST(!changesSince(this->log, {2, 15}).has_value());
    // A reading that does not continue the log begins a new one.
    this->recordStep(25, 30);
    BOOST_TEST(!changesSince(this->log, {1, 15}).has_value());
    BOOST_TEST(changesSince(this->log, {1, 25}).has_value());
}

BOOST_AUTO_TEST_CASE(record_oldChanges_areForgotten)
{
    this->recordStep(10, 20);
    this->now += std::chrono::seconds(16);
    this->recordStep(20, 30);
    BOOST_TEST(!changesSince(this->log, {1, 10}).has_value());
    BOOST_TEST(changesSince(this->log, {1, 20}).has_value());
}

BOOST_AUTO_TEST_CASE(useOfChanges_twoReadersOverlap_nothingIsMissedOrTurnedBack)
{
    EndpointChanges changes;
    changes.from = {1, 10};
    changes.to = {1, 20};
    BOOST_TEST((useOfChanges({1, 9}, changes) == ChangesUse::Gap));
    BOOST_TEST((useOfChanges({1, 10}, changes) == ChangesUse::Apply));
    BOOST_TEST((useOfChanges({1, 15}, changes) == ChangesUse::Apply));
    BOOST_TEST((useOfChanges({1, 20}, changes) == ChangesUse::Known));
    BOOST_TEST((useOfChanges({2, 1}, changes) == ChangesUse::Gap));
}

BOOST_AUTO_TEST_CASE(messages_writtenAndRead_areTheSame)
{
    EndpointChanges changes;
    changes.from = {1, 10};
    changes.to = {1, 20};
    changes.listed = {entry("e1", 3)};
    changes.listed.front().entry.state = Routing::EndpointState::Leaving;
    changes.listed.front().entry.version = "v1.1";
    changes.dropped = {{Common::EndpointId("e2"), 7, 9}};
    const auto read
        = changesFromJson(boost::json::parse(boost::json::serialize(changesToJson(changes))));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->from == changes.from && read->to == changes.to));
    BOOST_REQUIRE(read->listed.size() == 1u);
    const ListedEndpoint &endpoint = read->listed.front();
    BOOST_TEST(endpoint.service == "app");
    BOOST_TEST(endpoint.sequence == 3u);
    BOOST_TEST(endpoint.entry.id.value == "e1");
    BOOST_TEST((endpoint.entry.address == Common::Address{"127.0.0.1", 9000}));
    BOOST_TEST(endpoint.entry.failureDomain.value == "a");
    BOOST_TEST(endpoint.entry.incarnation == 7u);
    BOOST_TEST(endpoint.entry.version == "v1.1");
    BOOST_TEST(endpoint.entry.slots == 4u);
    BOOST_TEST((endpoint.entry.state == Routing::EndpointState::Leaving));
    BOOST_REQUIRE(read->dropped.size() == 1u);
    BOOST_TEST(read->dropped.front().sequence == 9u);
    for (const char *invalid :
         {"1", "{}", R"({"from":[1],"to":[1,2]})", R"({"from":[1,1],"to":[1,2],"listed":[{}]})",
          R"({"from":[1,1],"to":[1,2],"dropped":["e"]})"})
        BOOST_TEST(!changesFromJson(boost::json::parse(invalid)).has_value(), invalid);
}

BOOST_AUTO_TEST_SUITE_END()
