// What is known about endpoints when the store returns from an older copy, when their answers say
// that they leave, and when they restart.
#include "Entry/EndpointList.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;
using Routing::EndpointState;

namespace {

struct EndpointListFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    EndpointList list;
    Common::EndpointId id{"e1"};

    ListedEndpoint entry(std::uint64_t incarnation, std::uint64_t sequence,
                         EndpointState state = EndpointState::Live) const
    {
        ListedEndpoint made;
        made.service = "app";
        made.entry.id = this->id;
        made.entry.address = {"127.0.0.1", 9000};
        made.entry.incarnation = incarnation;
        made.entry.state = state;
        made.sequence = sequence;
        return made;
    }

    EntryChange apply(const ListedEndpoint &listed)
    {
        return applyEntry(this->list, listed);
    }

    ListedEndpoint versionedEntry(const std::string &version, std::uint64_t incarnation,
                                  std::uint64_t sequence) const
    {
        ListedEndpoint made = this->entry(incarnation, sequence);
        made.entry.version = version;
        return made;
    }

    // The version of the process, or "unknown".
    std::string version(std::uint64_t incarnation) const
    {
        return versionOf(this->list, this->id, incarnation).value_or("unknown");
    }

    // Applies what the store lists after it has returned from an older copy.
    EntryChange applyFromCopy(const ListedEndpoint &listed)
    {
        ++this->list.epoch;
        return applyEntry(this->list, listed, EntrySource::FullState);
    }

    bool isRouted() const
    {
        const auto entries = routingEntries(this->list);
        const auto found = entries.find("app");
        return found != entries.end() && !found->second.empty()
            && found->second.front().state == EndpointState::Live;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointLists, EndpointListFixture)

BOOST_AUTO_TEST_CASE(isFromSameProcess_startTimeOrSequenceStartsAnew_isAnother)
{
    BOOST_TEST(isFromSameProcess(this->entry(7, 3), this->entry(7, 4)));
    BOOST_TEST(!isFromSameProcess(this->entry(7, 3), this->entry(8, 4)));
    // Entries of one process that are read in another order.
    BOOST_TEST(isFromSameProcess(this->entry(7, 4), this->entry(7, 3)));
    BOOST_TEST(isFromSameProcess(this->entry(0, 3), this->entry(0, 4)));
    BOOST_TEST(!isFromSameProcess(this->entry(0, 30), this->entry(0, 1)));
}

// Guards against a version that stays that of the process before, where processes name no start
// time.
BOOST_AUTO_TEST_CASE(restart_unknownStartTimeAndOtherVersion_changesTheVersion)
{
    ListedEndpoint listed = this->entry(0, 1);
    listed.entry.version = "v1";
    this->apply(listed);
    listed.entry.version = "v2";
    BOOST_TEST((this->apply(listed) == EntryChange::Changed));
    BOOST_TEST(routingEntries(this->list).at("app").front().version == "v2");
}

// Guards against a known version that is lost when a reader of an earlier release reports none.
BOOST_AUTO_TEST_CASE(report_withoutVersion_keepsTheVersion)
{
    ListedEndpoint listed = this->entry(7, 1);
    listed.entry.version = "v1";
    this->apply(listed);
    listed.entry.version.clear();
    listed.sequence = 2;
    BOOST_TEST((this->apply(listed) == EntryChange::None));
    BOOST_TEST(routingEntries(this->list).at("app").front().version == "v1");
}

BOOST_AUTO_TEST_CASE(heartbeat_sameStateAndHigherSequence_changesNothing)
{
    BOOST_TEST((this->apply(this->entry(7, 1)) == EntryChange::Changed));
    BOOST_TEST((this->apply(this->entry(7, 2)) == EntryChange::None));
}

BOOST_AUTO_TEST_CASE(olderCopy_endpointHadDrained_staysOutOfRouting)
{
    this->apply(this->entry(7, 4));
    this->apply(this->entry(7, 5, EndpointState::Leaving));
    BOOST_TEST((this->apply(this->entry(7, 3)) == EntryChange::Outdated));
    BOOST_TEST(!this->isRouted());
}

BOOST_AUTO_TEST_CASE(olderCopy_endpointHadGone_isNotUsedAgain)
{
    this->apply(this->entry(7, 5));
    BOOST_TEST(dropEndpoint(this->list, this->id, std::nullopt, this->now));
    BOOST_TEST((this->apply(this->entry(7, 5)) == EntryChange::Outdated));
    BOOST_TEST((this->apply(this->entry(7, 4)) == EntryChange::Outdated));
    BOOST_TEST(!this->isRouted());
}

BOOST_AUTO_TEST_CASE(lapsedEndpoint_writesAgain_isUsedAgain)
{
    this->apply(this->entry(7, 5));
    dropEndpoint(this->list, this->id, std::nullopt, this->now);
    BOOST_TEST((this->apply(this->entry(7, 6)) == EntryChange::Changed));
    BOOST_TEST(this->isRouted());
}

BOOST_AUTO_TEST_CASE(outage_entryIsMissing_isKeptForTheGracePeriodOnly)
{
    this->apply(this->entry(7, 5));
    const Common::Time until = this->now + std::chrono::seconds(2);
    BOOST_TEST(!dropEndpoint(this->list, this->id, until, this->now));
    BOOST_TEST(!applyExpirations(this->list, until - Common::Milliseconds(1)));
    BOOST_TEST(this->isRouted());
    BOOST_TEST(applyExpirations(this->list, until));
    BOOST_TEST(!this->isRouted());
}

BOOST_AUTO_TEST_CASE(outage_entryIsBackInTime_isKept)
{
    this->apply(this->entry(7, 5));
    const Common::Time until = this->now + std::chrono::seconds(2);
    dropEndpoint(this->list, this->id, until, this->now);
    this->apply(this->entry(7, 6));
    applyExpirations(this->list, until);
    BOOST_TEST(this->isRouted());
}

BOOST_AUTO_TEST_CASE(answerAnnouncesLeaving_storeListsItAsLive_isNotRouted)
{
    this->apply(this->entry(7, 5));
    BOOST_TEST(noteLeaving(this->list, this->id, 7));
    BOOST_TEST(!noteLeaving(this->list, this->id, 7));
    this->apply(this->entry(7, 6));
    BOOST_TEST(!this->isRouted());
}

BOOST_AUTO_TEST_CASE(answerAnnouncesLeaving_endpointRestartsUnderItsId_isRouted)
{
    this->apply(this->entry(7, 5));
    noteLeaving(this->list, this->id, 7);
    this->apply(this->entry(8, 1));
    BOOST_TEST(this->isRouted());
    // A late answer of the earlier process says nothing about the new one.
    BOOST_TEST(!noteLeaving(this->list, this->id, 7));
    BOOST_TEST(this->isRouted());
}

BOOST_AUTO_TEST_CASE(earlierProcess_isListedByAnOlderCopy_isIgnored)
{
    this->apply(this->entry(8, 1));
    BOOST_TEST((this->applyFromCopy(this->entry(7, 90)) == EntryChange::Outdated));
    // Another reading of the same copy says nothing new.
    BOOST_TEST((applyEntry(this->list, this->entry(7, 90), EntrySource::FullState)
                == EntryChange::Outdated));
    BOOST_TEST(this->list.known.at(this->id).listed.entry.incarnation == 8u);
    this->apply(this->entry(8, 2));
    dropEndpoint(this->list, this->id, std::nullopt, this->now);
    BOOST_TEST((this->applyFromCopy(this->entry(7, 90)) == EntryChange::Outdated));
    BOOST_TEST(!this->isRouted());
}

// Guards against a process that stays ignored as one of an older copy, although it writes since the
// store has returned: its clock went back before it started.
BOOST_AUTO_TEST_CASE(olderCopy_processOfEarlierStartTimeWritesAgain_isUsed)
{
    this->apply(this->entry(8, 40));
    BOOST_TEST((this->applyFromCopy(this->entry(7, 1)) == EntryChange::Outdated));
    BOOST_TEST((this->apply(this->entry(7, 2)) == EntryChange::Changed));
    BOOST_TEST(this->list.known.at(this->id).listed.entry.incarnation == 7u);
    dropEndpoint(this->list, this->id, std::nullopt, this->now);
    BOOST_TEST((this->applyFromCopy(this->entry(6, 1)) == EntryChange::Outdated));
    BOOST_TEST((this->apply(this->entry(6, 2)) == EntryChange::Changed));
}

// Guards against a process that stays unlisted for as long as it runs, because its clock went back
// before it started: its version, address and state would be those of the process before.
BOOST_AUTO_TEST_CASE(restart_earlierStartTime_replacesVersionAddressAndState)
{
    ListedEndpoint before = this->entry(8, 40, EndpointState::Leaving);
    before.entry.version = "v1";
    this->apply(before);
    ListedEndpoint after = this->entry(7, 1);
    after.entry.version = "v2";
    after.entry.address.port = 9001;
    BOOST_TEST((this->apply(after) == EntryChange::Changed));
    BOOST_TEST(this->isRouted());
    const Routing::EndpointEntry routed = routingEntries(this->list).at("app").front();
    BOOST_TEST(routed.incarnation == 7u);
    BOOST_TEST(routed.version == "v2");
    BOOST_TEST(routed.address.port == 9001);
}

// Guards against a version that stays that of the process before, where the clock went back by just
// the time between two starts.
BOOST_AUTO_TEST_CASE(restart_sameStartTimeAndOtherVersion_replacesVersionAndState)
{
    ListedEndpoint before = this->entry(7, 40, EndpointState::Leaving);
    before.entry.version = "v1";
    this->apply(before);
    ListedEndpoint after = this->entry(7, 1);
    after.entry.version = "v2";
    BOOST_TEST((this->apply(after) == EntryChange::Changed));
    BOOST_TEST(this->isRouted());
    BOOST_TEST(routingEntries(this->list).at("app").front().version == "v2");
}

// Guards against the version of the process before for one whose clock went back before it started,
// and against a late write of the process before.
BOOST_AUTO_TEST_CASE(versionOf_processesWriteInTurn_isThatOfTheListedOneOnly)
{
    this->apply(this->versionedEntry("v1", 8, 40));
    BOOST_TEST(this->version(8) == "v1");
    BOOST_TEST(this->version(7) == "unknown");
    this->apply(this->versionedEntry("v2", 7, 1));
    BOOST_TEST(this->version(8) == "unknown");
    BOOST_TEST(this->version(7) == "v2");
    this->apply(this->versionedEntry("v1", 8, 41));
    BOOST_TEST(this->version(8) == "v1");
    BOOST_TEST(this->version(7) == "unknown");
    // An older copy, whose process seems to be the later one.
    this->apply(this->versionedEntry("v2", 7, 2));
    this->applyFromCopy(this->versionedEntry("v1", 8, 39));
    BOOST_TEST(this->version(7) == "unknown");
}

// Guards against a version of two processes that state the same start time: the list does not tell
// which of them is behind a connection.
BOOST_AUTO_TEST_CASE(versionOf_twoProcessesOfOneStartTime_isUnknownWhileItIsListed)
{
    this->apply(this->versionedEntry("v1", 7, 40));
    this->apply(this->versionedEntry("v2", 7, 1));
    BOOST_TEST(this->version(7) == "unknown");
    this->apply(this->versionedEntry("v2", 7, 2));
    BOOST_TEST(this->version(7) == "unknown");
    // A late write of the process before, or an older copy.
    this->apply(this->versionedEntry("v1", 7, 41));
    this->applyFromCopy(this->versionedEntry("v1", 7, 39));
    BOOST_TEST(this->version(7) == "unknown");
    this->apply(this->versionedEntry("v2", 9, 1));
    BOOST_TEST(this->version(9) == "v2");
}

// Guards against the same where the row of the first process lapsed before the second one wrote.
BOOST_AUTO_TEST_CASE(versionOf_rowLapsedBetweenTwoProcessesOfOneStartTime_isUnknown)
{
    this->apply(this->versionedEntry("v1", 7, 40));
    dropEndpoint(this->list, this->id, std::nullopt, this->now);
    this->apply(this->versionedEntry("v2", 7, 41));
    BOOST_TEST(this->version(7) == "unknown");
}

// Guards against a start time that is compared where a reading of the full state shows the restart:
// the reading belongs to the epoch of what is known.
BOOST_AUTO_TEST_CASE(restart_fullStateOfTheSameEpoch_isUsed)
{
    this->apply(this->entry(8, 40));
    BOOST_TEST((applyEntry(this->list, this->entry(7, 1), EntrySource::FullState)
                == EntryChange::Changed));
    BOOST_TEST(this->list.known.at(this->id).listed.entry.incarnation == 7u);
}

// Guards against a process that is taken for one that has gone, because its clock went back before
// it started.
BOOST_AUTO_TEST_CASE(droppedEndpoint_startsAgainWithEarlierStartTime_isUsed)
{
    this->apply(this->entry(8, 40));
    dropEndpoint(this->list, this->id, std::nullopt, this->now);
    BOOST_TEST((this->apply(this->entry(7, 1)) == EntryChange::Changed));
    BOOST_TEST(this->isRouted());
}

BOOST_AUTO_TEST_CASE(avoidedEndpoint_periodEnds_isRoutedAgain)
{
    this->apply(this->entry(7, 5));
    BOOST_TEST(avoid(this->list, this->id, this->now + std::chrono::seconds(1)));
    BOOST_TEST(!this->isRouted());
    applyExpirations(this->list, this->now + std::chrono::seconds(1));
    BOOST_TEST(this->isRouted());
}

// An evacuation is no leaving: the process comes back when it is taken back.
BOOST_AUTO_TEST_CASE(domainIsEvacuated_entriesSayThat_andAreNotLeaving)
{
    ListedEndpoint listed = this->entry(7, 1);
    listed.entry.failureDomain = Common::FailureDomain("a");
    this->apply(listed);
    Evacuations evacuations;
    evacuations.byDomain[Common::FailureDomain("a")].isEvacuated = true;
    const auto evacuated = routingEntries(this->list, evacuations).at("app").front();
    BOOST_TEST(evacuated.isEvacuated);
    BOOST_TEST((evacuated.state == EndpointState::Live));
    BOOST_TEST(!routingEntries(this->list).at("app").front().isEvacuated);
}

BOOST_AUTO_TEST_SUITE_END()
