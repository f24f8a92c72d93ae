// What is believed of cold endpoints, as news come late, twice or in another order.
#include "Routing/ColdEndpoints.h"
#include "Routing/AffinityChoice.h"
#include "Routing/SendGate.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kPeriod{3000};

struct ColdBeliefsFixture
{
    Common::Time now = Common::Time(seconds(100));
    ColdBeliefs beliefs;
    ColdEnds ends;
    Common::EndpointId id{"e1"};

    ColdChange entry(ProcessNews process, std::optional<milliseconds> left)
    {
        return noteEntry(this->beliefs, this->id, process, left, kPeriod, this->now);
    }

    ColdChange answer(milliseconds left, Common::Time sentAt)
    {
        return noteAnswer(this->beliefs, this->id, left, sentAt, this->now);
    }

    ColdChange presume(ColdReason reason, milliseconds period = kPeriod)
    {
        return presumeCold(this->beliefs, this->id, reason, period, this->now);
    }

    ColdChange told(milliseconds left)
    {
        return noteTold(this->beliefs, this->ends, this->id, left, this->now);
    }

    std::size_t dropWarm()
    {
        noteEnds(this->ends, this->beliefs, this->now);
        return takeWarm(this->beliefs, this->now).size();
    }

    bool isColdIn(milliseconds time) const
    {
        return isCold(this->beliefs, this->id, this->now + time);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdEndpointBeliefs, ColdBeliefsFixture)

BOOST_AUTO_TEST_CASE(firstStartOfTheSystem_entriesStateNothingOrZero_isWarm)
{
    BOOST_TEST((this->entry(ProcessNews::FirstReading, std::nullopt) == ColdChange::None));
    BOOST_TEST((this->entry(ProcessNews::FirstReading, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(!this->isColdIn(milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(startDuringTraffic_nothingStated_isColdForThePeriod)
{
    BOOST_TEST((this->entry(ProcessNews::Started, std::nullopt) == ColdChange::Began));
    BOOST_TEST(this->isColdIn(kPeriod - milliseconds(1)));
    BOOST_TEST(!this->isColdIn(kPeriod));
    // The next entry of the process knows better.
    this->now += milliseconds(1000);
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(1500)) == ColdChange::Shortened));
    BOOST_TEST(!this->isColdIn(milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(startDuringTraffic_entryStatesThatItIsWarm_isWarm)
{
    BOOST_TEST((this->entry(ProcessNews::Started, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(!this->isColdIn(milliseconds(0)));
}

// The first reading of a restarted instance, or of one that is added.
BOOST_AUTO_TEST_CASE(firstReading_entryStatesCold_isCold)
{
    BOOST_TEST((this->entry(ProcessNews::FirstReading, milliseconds(700)) == ColdChange::Began));
    BOOST_TEST(this->isColdIn(milliseconds(699)));
    BOOST_TEST(!this->isColdIn(milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(knownProcess_statesColdAgain_isColdAgain)
{
    this->entry(ProcessNews::Started, milliseconds(500));
    this->now += milliseconds(600);
    BOOST_TEST(takeWarm(this->beliefs, this->now).size() == 1u);
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::None));
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(2900)) == ColdChange::Began));
    BOOST_TEST(this->isColdIn(milliseconds(2899)));
}

// Guards against an entry that was written before an answer and is read after it, from a reader
// that is behind.
BOOST_AUTO_TEST_CASE(answerStatesCold_olderEntryIsReadLater_staysCold)
{
    this->answer(milliseconds(2500), this->now);
    this->now += milliseconds(300);
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(this->isColdIn(milliseconds(2199)));
    // An entry that states more is believed.
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(2800)) == ColdChange::Prolonged));
}

BOOST_AUTO_TEST_CASE(answers_askedBeforeAndAfter_onlyTheLaterEndsTheBelief)
{
    const Common::Time before = this->now;
    this->now += milliseconds(100);
    this->answer(milliseconds(2500), this->now);
    this->now += milliseconds(100);
    BOOST_TEST((this->answer(milliseconds(0), before) == ColdChange::None));
    BOOST_TEST(this->isColdIn(milliseconds(0)));
    BOOST_TEST((this->answer(milliseconds(0), this->now) == ColdChange::Ended));
    BOOST_TEST(!this->isColdIn(milliseconds(0)));
}

// Guards against an endpoint that is used as before since its entry is that of the process before.
BOOST_AUTO_TEST_CASE(endpointFails_olderEntryStatesWarm_staysColdUntilANewProcessIsListed)
{
    this->presume(ColdReason::Failed, milliseconds(6000));
    this->now += milliseconds(1000);
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(this->isColdIn(milliseconds(4999)));
    BOOST_TEST((this->entry(ProcessNews::Started, milliseconds(900)) == ColdChange::Shortened));
    BOOST_TEST(!this->isColdIn(milliseconds(900)));
}

// Guards against statements of the process before that end a doubt.
BOOST_AUTO_TEST_CASE(endpointFails_processBeforeStatesWarm_staysColdForThePeriod)
{
    const Common::Time before = this->now;
    this->now += milliseconds(10);
    this->presume(ColdReason::Failed);
    BOOST_TEST((this->answer(milliseconds(0), before) == ColdChange::None));
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(this->isColdIn(kPeriod - milliseconds(1)));
    BOOST_TEST(!this->isColdIn(kPeriod));
    // An answer to what was sent since does end it.
    this->now += milliseconds(10);
    BOOST_TEST((this->answer(milliseconds(0), this->now) == ColdChange::Ended));
}

// Guards against echoes that prolong a belief, which the process's own statement then cannot end.
BOOST_AUTO_TEST_CASE(entryStatesCold_othersTellOfALaterEnd_entryStillEndsTheBelief)
{
    this->entry(ProcessNews::Started, milliseconds(2500));
    for (int echo = 1; echo <= 4; ++echo) {
        this->now += milliseconds(300);
        BOOST_TEST((this->told(milliseconds(2500)) == ColdChange::None)
                   == (echo * milliseconds(300) < seconds(1)));
    }
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::Ended));
}

// Guards against an instance that was frozen and takes news that it finds then for new ones.
BOOST_AUTO_TEST_CASE(beliefHasEnded_othersTellOfIt_onlyFirstHandNewsBeginItAgain)
{
    this->entry(ProcessNews::Started, milliseconds(2500));
    this->now += seconds(60);
    BOOST_TEST((this->told(milliseconds(2400)) == ColdChange::None));
    BOOST_TEST(this->dropWarm() == 1u);
    this->now += milliseconds(29999);
    BOOST_TEST((this->told(milliseconds(2400)) == ColdChange::None));
    BOOST_TEST(!this->isColdIn(milliseconds(0)));
    BOOST_TEST((this->entry(ProcessNews::Started, milliseconds(900)) == ColdChange::Began));
    this->now += milliseconds(900);
    BOOST_TEST(this->dropWarm() == 1u);
    this->now += seconds(30);
    BOOST_TEST((this->told(milliseconds(2400)) == ColdChange::Began));
}

// The process that follows one that failed is news, also if others read of it first.
BOOST_AUTO_TEST_CASE(doubtHasEnded_othersTellThatTheEndpointIsCold_isCold)
{
    this->presume(ColdReason::Failed);
    this->now += kPeriod;
    BOOST_TEST(this->dropWarm() == 1u);
    BOOST_TEST((this->told(milliseconds(2400)) == ColdChange::Began));
    BOOST_TEST(this->isColdIn(milliseconds(2399)));
}

BOOST_AUTO_TEST_CASE(domainReturns_staleEntryStatesWarm_staysColdForThePeriod)
{
    this->presume(ColdReason::Returned);
    BOOST_TEST((this->entry(ProcessNews::Known, milliseconds(0)) == ColdChange::None));
    BOOST_TEST(this->isColdIn(kPeriod - milliseconds(1)));
    BOOST_TEST((this->presume(ColdReason::Failed, milliseconds(1000)) == ColdChange::None));
    BOOST_TEST(!this->isColdIn(kPeriod));
}

BOOST_AUTO_TEST_CASE(serviceThatStartsWarm_startDuringTraffic_isWarm)
{
    BOOST_TEST((noteEntry(this->beliefs, this->id, ProcessNews::Started, std::nullopt,
                          milliseconds(0), this->now)
                == ColdChange::None));
    BOOST_TEST(this->beliefs.empty());
}

BOOST_AUTO_TEST_CASE(boundsPermitNone_orSmallRate_areKept)
{
    BOOST_TEST((coldShare(0.2, {1, 0}, 7).interval == kNoSends));
    BOOST_TEST((coldShare(0, {1.5, 5}, 7).interval == kNoSends));
    const ColdShare small = coldShare(0.5, {1.5, 5}, 7);
    BOOST_TEST(small.senders == 1u);
    BOOST_TEST((small.interval == seconds(2)));
    BOOST_TEST(coldShare(17, {1.5, 5}, 0).senders == 1u);
}

// Guards against requests that wait for a cold endpoint, or all go to one other, while its prompts
// are the hottest.
BOOST_AUTO_TEST_CASE(homeOfAHotPartIsCold_nextInHashOrderTakesIt)
{
    Pool pool{1};
    std::vector<EndpointEntry> entries;
    for (int i = 0; i < 9; ++i) {
        EndpointEntry entry;
        entry.id = Common::EndpointId("e" + std::to_string(i));
        entries.push_back(entry);
    }
    applyEntries(pool, entries);
    const std::size_t home = chooseByAffinity(pool, {"hot", {}}, this->now).value();
    Endpoint &cold = pool.endpoints[home];
    cold.coldPerSecond = 17;
    cold.gate.interval = milliseconds(1100);
    takePermit(cold.gate, this->now);
    BOOST_TEST(isHeldWhileCold(cold, this->now));
    const std::size_t next = chooseByAffinity(pool, {"hot", {}}, this->now).value();
    BOOST_TEST(next != home);
    BOOST_TEST(next == chooseByAffinity(pool, {"hot", {cold.id}}, this->now).value());
    // Its permit comes while it is still cold: it warms by the requests that are its own.
    this->now += milliseconds(1100);
    BOOST_TEST(chooseByAffinity(pool, {"hot", {}}, this->now).value() == home);
    BOOST_TEST(!meanInterval(pool).has_value());
    for (Endpoint &endpoint : pool.endpoints)
        endpoint.coldPerSecond = 10;
    pool.endpoints.front().statedLimit = 20;
    BOOST_TEST((meanInterval(pool).value() - milliseconds(1000) / 90 < milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
