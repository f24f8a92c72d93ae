// Which failure domains an instance believes evacuated: statements that come late, twice, in
// another order, from readers and other instances, and from a store that returns from an older
// copy.
#include "Entry/EvacuationMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;
using std::chrono::seconds;

namespace {

struct EvacuationsFixture
{
    Common::Time now = Common::Time(seconds(100));
    Common::FailureDomain a{"a"};
    Common::FailureDomain b{"b"};
    Evacuations known;

    bool isA() const
    {
        return isEvacuated(this->known, this->a);
    }

    static EvacuationRow row(const Common::FailureDomain &domain, std::uint64_t version,
                             EvacuationRowState state = EvacuationRowState::Evacuated)
    {
        return {domain, state, version};
    }

    std::size_t read(bool isComplete, const StorePosition &position,
                     std::vector<EvacuationRow> rows = {})
    {
        CatalogUpdate reading;
        reading.isComplete = isComplete;
        reading.evacuations = std::move(rows);
        return applyReading(this->known, reading, position, this->now).size();
    }

    // Returns whether the statement was news.
    bool hear(bool isEvacuated, const StorePosition &position)
    {
        EvacuationReport report;
        report.news.push_back({this->a, isEvacuated, position, this->now});
        return !applyReport(this->known, report, this->now).empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BeliefsInEvacuations, EvacuationsFixture)

BOOST_AUTO_TEST_CASE(rowIsWrittenAndRemoved_beliefFollowsIt)
{
    this->read(true, {1, 10});
    this->read(false, {1, 11}, {this->row(this->a, 11)});
    BOOST_TEST(this->isA());
    BOOST_TEST(!isEvacuated(this->known, this->b));
    this->read(false, {1, 12});
    BOOST_TEST(this->isA());
    this->read(false, {1, 13}, {this->row(this->a, 13, EvacuationRowState::TakenBack)});
    BOOST_TEST(!this->isA());
}

// Two domains are evacuated one after the other, and taken back one after the other.
BOOST_AUTO_TEST_CASE(twoDomains_areIndependent)
{
    this->read(true, {1, 10}, {this->row(this->a, 4)});
    this->read(false, {1, 11}, {this->row(this->b, 11)});
    BOOST_TEST(countEvacuated(this->known) == 2u);
    this->read(true, {1, 12}, {this->row(this->b, 11)});
    BOOST_TEST(!this->isA());
    BOOST_TEST(isEvacuated(this->known, this->b));
}

BOOST_AUTO_TEST_CASE(sameStatementTwice_isNewsOnce)
{
    BOOST_TEST(this->hear(true, {1, 11}));
    BOOST_TEST(!this->hear(true, {1, 11}));
    BOOST_TEST(this->read(false, {1, 11}, {this->row(this->a, 11)}) == 0u);
    // Written once more: the later position is passed on, though the belief is the same.
    EvacuationReport report;
    report.news.push_back({this->a, true, {1, 15}, this->now});
    const auto changes = applyReport(this->known, report, this->now);
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(!changes[0].isTurn);
}

// Guards against an evacuation that comes back with the word of an instance that was frozen while
// it was taken back.
BOOST_AUTO_TEST_CASE(statementsInAnotherOrder_theLaterPositionCounts)
{
    this->hear(false, {1, 13});
    BOOST_TEST(!this->hear(true, {1, 11}));
    BOOST_TEST(!this->isA());
    BOOST_TEST(this->hear(true, {1, 14}));
    BOOST_TEST(!this->hear(false, {1, 13}));
    BOOST_TEST(this->isA());
}

// An instance that was cut off hears a late word of an evacuation after it has read the store,
// which has no such row any more.
BOOST_AUTO_TEST_CASE(heardLate_afterACompleteReadingWithoutTheRow_isNotBelieved)
{
    this->read(true, {1, 20});
    BOOST_TEST(!this->hear(true, {1, 11}));
    BOOST_TEST(!this->isA());
    BOOST_TEST(this->hear(true, {1, 21}));
    BOOST_TEST(this->isA());
}

// The history is gone: the removal is found by its absence from the full state.
BOOST_AUTO_TEST_CASE(completeReadingWithoutTheRow_takesItBack)
{
    this->hear(true, {1, 11});
    this->read(true, {1, 20});
    BOOST_TEST(!this->isA());
    // Another instance that has not heard of it learns from the position.
    BOOST_TEST((this->known.byDomain.at(this->a).position == StorePosition{1, 20}));
}

// Another instance's news may be later than the reading that was under way.
BOOST_AUTO_TEST_CASE(completeReadingOlderThanTheNews_changesNothing)
{
    this->hear(true, {1, 25});
    BOOST_TEST(this->read(true, {1, 20}) == 0u);
    BOOST_TEST(this->isA());
}

// A follower that has missed the removal learns of it from its reader's next report.
BOOST_AUTO_TEST_CASE(readersReport_isCompleteUpToItsPosition)
{
    this->hear(true, {1, 11});
    Evacuations reader;
    CatalogUpdate reading;
    reading.isComplete = true;
    applyReading(reader, reading, {1, 12}, this->now);
    boost::json::object message;
    attachEvacuations(message, reportOf(reader), this->now);
    const auto parsed = boost::json::parse(boost::json::serialize(message)).as_object();
    applyReport(this->known, readEvacuations(parsed, this->now), this->now);
    BOOST_TEST(!this->isA());
}

BOOST_AUTO_TEST_CASE(readersReport_olderThanTheNews_changesNothing)
{
    this->hear(true, {1, 11});
    EvacuationReport report;
    report.completeAt = StorePosition{1, 10};
    BOOST_TEST(applyReport(this->known, report, this->now).empty());
    BOOST_TEST(this->isA());
}

// An instance starts while the store turns it away, and asks another one.
BOOST_AUTO_TEST_CASE(startedInstance_isToldAll)
{
    this->read(true, {1, 20}, {this->row(this->a, 11)});
    boost::json::object message;
    attachEvacuations(message, reportOf(this->known), this->now + seconds(3));
    const auto parsed = boost::json::parse(boost::json::serialize(message)).as_object();
    Evacuations started;
    const Common::Time later = this->now + seconds(5);
    applyReport(started, readEvacuations(parsed, later), later);
    BOOST_TEST(isEvacuated(started, this->a));
    BOOST_TEST((started.byDomain.at(this->a).readAt == later - seconds(3)));
    BOOST_TEST((started.completeAt == StorePosition{1, 20}));
}

// A store that has lost the row by returning from an older copy: the operator writes it again.
BOOST_AUTO_TEST_CASE(olderCopy_withoutTheRow_beliefStaysUntilItIsWrittenAgain)
{
    this->read(true, {1, 20}, {this->row(this->a, 18)});
    // The first changes of the new epoch say nothing of the row.
    this->read(false, {2, 15});
    BOOST_TEST(this->isA());
    this->read(true, {2, 15});
    BOOST_TEST(this->isA());
    this->now += kLostEvacuationMemory - seconds(1);
    BOOST_TEST(endLost(this->known, this->now).empty());
    this->read(false, {2, 16}, {this->row(this->a, 16)});
    this->now += seconds(60);
    BOOST_TEST(endLost(this->known, this->now).empty());
    BOOST_TEST(this->isA());
}

BOOST_AUTO_TEST_CASE(olderCopy_rowIsNotWrittenAgain_beliefEnds)
{
    this->read(true, {1, 20}, {this->row(this->a, 18)});
    this->read(true, {2, 15});
    this->now += kLostEvacuationMemory;
    const auto changes = endLost(this->known, this->now);
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(changes[0].isTurn);
    BOOST_TEST(!this->isA());
    // The word of others that have not ended it yet does not bring it back.
    BOOST_TEST(!this->hear(true, {1, 18}));
    BOOST_TEST(!this->isA());
}

BOOST_AUTO_TEST_CASE(olderCopy_withARowThatWasTakenBack_isBelieved)
{
    this->read(true, {1, 20}, {this->row(this->a, 11)});
    this->read(false, {1, 21}, {this->row(this->a, 21, EvacuationRowState::TakenBack)});
    this->read(true, {2, 15}, {this->row(this->a, 11)});
    BOOST_TEST(this->isA());
}

// An instance has read the new epoch, and hears from one that has not.
BOOST_AUTO_TEST_CASE(olderCopy_evacuationOfTheEarlierEpochIsHeard_isBelievedForAWhile)
{
    this->read(true, {2, 15});
    BOOST_TEST(this->hear(true, {1, 18}));
    BOOST_TEST(this->isA());
    this->now += kLostEvacuationMemory;
    endLost(this->known, this->now);
    BOOST_TEST(!this->isA());
}

BOOST_AUTO_TEST_CASE(unreadableRow_changesNothing)
{
    BOOST_TEST(this->read(true, {1, 10}, {this->row(this->a, 5, EvacuationRowState::Unreadable)})
               == 0u);
    BOOST_TEST(!this->isA());
    this->read(false, {1, 11}, {this->row(this->a, 11)});
    this->read(true, {1, 12}, {this->row(this->a, 12, EvacuationRowState::Unreadable)});
    BOOST_TEST(this->isA());
}

BOOST_AUTO_TEST_CASE(manyDomainsTakenBack_onlyTheLatestAreRemembered)
{
    this->read(true, {1, 1});
    this->read(false, {1, 2}, {this->row(this->a, 2)});
    for (std::uint64_t i = 0; i < 500; ++i) {
        const Common::FailureDomain domain("d" + std::to_string(i));
        this->read(false, {1, 3 + i}, {this->row(domain, 3 + i, EvacuationRowState::TakenBack)});
    }
    BOOST_TEST(this->known.byDomain.size() < 100u);
    BOOST_TEST(this->isA());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(MessagesOfEvacuations, EvacuationsFixture)

BOOST_AUTO_TEST_CASE(nothingKnown_addsNothing)
{
    boost::json::object message;
    attachEvacuations(message, reportOf(this->known), this->now);
    BOOST_TEST(message.empty());
    BOOST_TEST(readEvacuations(message, this->now).news.empty());
}

// A report of which a part cannot be read does not tell what is missing from it.
BOOST_AUTO_TEST_CASE(entriesThatCannotBeRead_areLeftOut_andTheReportIsNotComplete)
{
    const auto parse = [this](const char *text) {
        return readEvacuations(boost::json::parse(text).as_object(), this->now);
    };
    const EvacuationReport report = parse(
        R"({"evacuations":{"at":[1,9],"domains":[7,["a"],["a",1,-1,2,3],["",1,1,2,3],[5,1,1,2,3],["a",1,1,2,3,"later"]]}})");
    BOOST_REQUIRE(report.news.size() == 1u);
    BOOST_TEST(report.news[0].domain.value == "a");
    BOOST_TEST(!report.completeAt.has_value());
    BOOST_TEST(parse(R"({"evacuations":{"at":[1,9]}})").completeAt.has_value());
    BOOST_TEST(!parse(R"({"evacuations":{"at":[1,9],"domains":3}})").completeAt.has_value());
    BOOST_TEST(!parse(R"({"evacuations":{"at":[1]}})").completeAt.has_value());
    BOOST_TEST(!parse(R"({"evacuations":3})").completeAt.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
