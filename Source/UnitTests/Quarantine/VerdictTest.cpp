#include "UnitTests/Quarantine/QuarantineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::QuarantineTests;

BOOST_FIXTURE_TEST_SUITE(QuarantineVerdicts, QuarantineFixture)

// Guards against sound requests being quarantined with the deadly ones: several are in flight at
// each engine that crashes, with the same first part and other parts.
BOOST_AUTO_TEST_CASE(crashes_companyOfSoundRequests_onlyTheDeadlyPartIsQuarantined)
{
    this->crash({kFirst, kSession, kDeadly, 11, 12});
    this->answer({kFirst, kSession});
    this->crash({kFirst, kDeadly, 21, 22, 11});
    this->answer({kFirst, 21});
    this->crash({kFirst, kDeadly, kOther, 31});
    BOOST_TEST(this->isQuarantined({kFirst, kSession, kDeadly}));
    BOOST_TEST(this->isQuarantined({kOther, kDeadly}));
    BOOST_TEST(!this->isQuarantined({kFirst, kSession}));
    BOOST_TEST(!this->isQuarantined({kFirst, 11}));
    BOOST_TEST(!this->isQuarantined({kOther, 31}));
}

BOOST_AUTO_TEST_CASE(crashes_fewerThanThree_quarantineNothing)
{
    this->crash({kDeadly});
    this->crash({kDeadly});
    BOOST_TEST(!this->isQuarantined({kDeadly}));
}

// Guards against a quarantine of what nearly every request shares, when a third of the engines is
// killed at once.
BOOST_AUTO_TEST_CASE(crashes_ofManyEnginesAtOnce_partOfNearlyEveryRequestIsNotQuarantined)
{
    this->answer({kFirst, 5});
    this->wait(Common::Milliseconds(400));
    for (Trait session = 10; session < 40; ++session)
        mergeCrash(this->evidence, this->nextCrash({kFirst, session}), this->now);
    this->waitUntilCrashesCount();
    BOOST_TEST(!this->isQuarantined({kFirst, 10}));
    BOOST_TEST(quarantined(this->evidence, this->now).empty());
}

// The same where the acquittal comes after the crashes, from another instance.
BOOST_AUTO_TEST_CASE(crashes_ofManyEnginesAtOnce_laterAcquittalOfAnotherInstanceCounts)
{
    for (int i = 0; i < 30; ++i)
        mergeCrash(this->evidence, this->nextCrash({kFirst}), this->now);
    BOOST_TEST(!this->isQuarantined({kFirst}));
    this->wait(Common::Milliseconds(100));
    mergeAcquittal(this->evidence, {kFirst, this->now}, this->now);
    this->waitUntilCrashesCount();
    BOOST_TEST(!this->isQuarantined({kFirst}));
}

// Engines are replaced one after the other while sound requests are answered in between.
BOOST_AUTO_TEST_CASE(crashes_oneAfterTheOther_answeredPartsAreNotQuarantined)
{
    for (int i = 0; i < 20; ++i) {
        this->crash({kFirst, kSession, kOther});
        this->answer({kFirst, kSession});
        this->answer({kOther});
        this->wait(Common::Milliseconds(700));
    }
    BOOST_TEST(quarantined(this->evidence, this->now).empty());
}

BOOST_AUTO_TEST_CASE(crashes_twoDeadlyPartsAtOnce_bothAreQuarantined)
{
    for (int i = 0; i < 3; ++i) {
        this->crash({kFirst, kDeadly});
        this->crash({kFirst, kSecondDeadly});
        this->answer({kFirst});
    }
    BOOST_TEST(this->isQuarantined({kFirst, kDeadly}));
    BOOST_TEST(this->isQuarantined({kFirst, kSecondDeadly}));
    BOOST_TEST(!this->isQuarantined({kFirst}));
}

// A part that was in the crashed requests only by chance is told apart by an answer, or by the next
// crash. Until then only requests with both parts are held back.
BOOST_AUTO_TEST_CASE(crashes_twoPartsAlwaysTogether_onlyRequestsWithBothAreQuarantined)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kSession, kDeadly});
    BOOST_TEST(this->isQuarantined({kSession, kDeadly}));
    BOOST_TEST(!this->isQuarantined({kSession}));
    BOOST_TEST(!this->isQuarantined({kOther, kDeadly}));
    this->answer({kSession});
    BOOST_TEST(this->isQuarantined({kOther, kDeadly}));
}

BOOST_AUTO_TEST_CASE(crashes_twoPartsAlwaysTogether_nextCrashTellsThemApart)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kSession, kDeadly});
    this->crash({kOther, kDeadly});
    BOOST_TEST(this->isQuarantined({5, kDeadly}));
    BOOST_TEST(!this->isQuarantined({5, kSession}));
}

// A part that was sound until its engines were replaced becomes deadly.
BOOST_AUTO_TEST_CASE(crashes_partWasAnsweredBefore_isQuarantinedAfterwards)
{
    this->answer({kFirst, kDeadly});
    this->wait(Common::Milliseconds(1200));
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly});
    BOOST_TEST(this->isQuarantined({kDeadly}));
}

BOOST_AUTO_TEST_CASE(trial_ofAPartThatIsSoundNow_endsTheQuarantine)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly});
    const Suspicion suspicion = quarantined(this->evidence, this->now).front();
    BOOST_TEST((trialAt(suspicion) - this->now >= std::chrono::seconds(50)));
    this->now = trialAt(suspicion);
    this->answer({kFirst, kDeadly});
    BOOST_TEST(!this->isQuarantined({kDeadly}));
}

BOOST_AUTO_TEST_CASE(trial_thatCrashesItsEngine_postponesTheNextOneForLonger)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly});
    const Suspicion first = quarantined(this->evidence, this->now).front();
    const Common::Duration firstDelay = trialAt(first) - first.lastCrashAt;
    this->now = trialAt(first);
    this->crash({kDeadly});
    const Suspicion second = quarantined(this->evidence, this->now).front();
    BOOST_TEST((trialAt(second) - second.lastCrashAt == 2 * firstDelay));
    BOOST_TEST(this->isQuarantined({kDeadly}));
}

// Guards against a quarantine that a part returns from by the passing of time alone.
BOOST_AUTO_TEST_CASE(quarantine_withoutTrial_lastsUntilTheEvidenceIsOld)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly});
    this->now += std::chrono::minutes(50);
    expire(this->evidence, this->now);
    BOOST_TEST(this->isQuarantined({kDeadly}));
    this->now += std::chrono::minutes(20);
    expire(this->evidence, this->now);
    BOOST_TEST(!this->isQuarantined({kDeadly}));
}

BOOST_AUTO_TEST_CASE(nextDecision_crashHasNotSettled_isWhenItCounts)
{
    mergeCrash(this->evidence, this->nextCrash({kDeadly}), this->now);
    const auto next = nextDecisionAt(this->evidence, this->now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((*next > this->now));
    BOOST_TEST((*next - this->now <= Common::Milliseconds(300)));
    this->waitUntilCrashesCount();
    BOOST_TEST(!nextDecisionAt(this->evidence, this->now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
