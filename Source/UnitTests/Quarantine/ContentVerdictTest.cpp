// Requests that come again with the same content: each is judged by its own history.
#include "UnitTests/Quarantine/QuarantineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::QuarantineTests;

namespace {

constexpr std::uint64_t kCaller = 7;
constexpr std::uint64_t kOtherCaller = 8;

// Contents with different numbers differ.
constexpr Trait content(std::uint64_t number, std::uint64_t caller = kCaller)
{
    return contentTrait(number << (kCallerBits + 1), caller);
}

constexpr Trait kDeadlyContent = content(100);
constexpr Trait kSecondContent = content(101);
constexpr Trait kSoundContent = content(102);

struct ContentVerdictFixture : QuarantineFixture
{
    Suspicion suspicionOf(Trait trait) const
    {
        const auto suspicions = quarantined(this->evidence, this->now);
        const Suspicion *found = findSuspicion(suspicions, {trait});
        return found ? *found : Suspicion{};
    }

    Common::Duration untilTrial(Trait trait) const
    {
        return trialAt(this->suspicionOf(trait)) - this->now;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ContentVerdicts, ContentVerdictFixture)

// Guards against contents that are always in flight together and are only held back together, which
// is never.
BOOST_AUTO_TEST_CASE(crashes_twoContentsTogether_eachIsQuarantined)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, kSecondContent});
    BOOST_TEST(this->isQuarantined({kDeadlyContent}));
    BOOST_TEST(this->isQuarantined({kSecondContent}));
    BOOST_TEST(!this->isQuarantined({kSoundContent}));
}

// Guards against a content that is sent on because another one explains its crashes and more.
BOOST_AUTO_TEST_CASE(crashes_otherContentExplainsMore_thirdCrashCountsAllTheSame)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent});
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, kSecondContent});
    BOOST_TEST(this->isQuarantined({kSecondContent}));
}

BOOST_AUTO_TEST_CASE(crashes_contentAndPartTogether_areNotJoined)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly, kDeadlyContent});
    BOOST_TEST(this->isQuarantined({kDeadly}));
    BOOST_TEST(this->isQuarantined({kDeadlyContent}));
}

// Guards against a sound request that is refused for long because it was sent again beside a deadly
// one.
BOOST_AUTO_TEST_CASE(soundContentBesideADeadlyOne_isTriedSoonAndServedAgain)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, kSoundContent});
    BOOST_TEST((this->untilTrial(kSoundContent) <= std::chrono::seconds(10)));
    this->wait(Common::Milliseconds(10'000));
    this->answer({kSoundContent});
    BOOST_TEST(!this->isQuarantined({kSoundContent}));
    BOOST_TEST(this->isQuarantined({kDeadlyContent}));
}

// Guards against the same where no single deadly one was there each time.
BOOST_AUTO_TEST_CASE(soundContentBesideSeveralDeadlyOnes_isTriedSoonAndServedAgain)
{
    this->crash({kDeadlyContent, kSoundContent});
    this->crash({kSecondContent, kSoundContent});
    this->crash({kDeadlyContent, kSoundContent});
    this->crash({kDeadlyContent});
    for (int i = 0; i < 2; ++i)
        this->crash({kSecondContent});
    BOOST_TEST((this->untilTrial(kSoundContent) <= std::chrono::seconds(10)));
    BOOST_TEST((this->untilTrial(kDeadlyContent) > std::chrono::seconds(50)));
    BOOST_TEST((this->untilTrial(kSecondContent) > std::chrono::seconds(50)));
}

BOOST_AUTO_TEST_CASE(deadlyContentWithoutCompany_isNotTriedSoon)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent});
    BOOST_TEST((this->untilTrial(kDeadlyContent) > std::chrono::seconds(50)));
}

// The trial of one of several tells them apart.
BOOST_AUTO_TEST_CASE(trialOfOneOfTwo_crashesItsEndpoint_itIsNotTriedSoonAgain)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, kSecondContent});
    this->crash({kDeadlyContent});
    BOOST_TEST((this->untilTrial(kDeadlyContent) > std::chrono::seconds(100)));
    BOOST_TEST((this->untilTrial(kSecondContent) <= std::chrono::seconds(10)));
}

// Requests of several callers have different contents, but what an endpoint gets may be the same.
BOOST_AUTO_TEST_CASE(crashes_sameContentOfTwoCallers_isNoDoubt)
{
    const Trait other = content(100, kOtherCaller);
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, other});
    BOOST_TEST((this->untilTrial(kDeadlyContent) > std::chrono::seconds(50)));
}

// Guards against a deadly request that reaches endpoints again and again in trials.
BOOST_AUTO_TEST_CASE(deadlyContent_threeTrialsFailed_isNotTriedWhileTheEvidenceLasts)
{
    for (int i = 0; i < 6; ++i)
        this->crash({kDeadlyContent});
    BOOST_TEST((this->untilTrial(kDeadlyContent) > std::chrono::minutes(59)));
}

// Guards against a quarantine of a request that is in flight wherever endpoints are killed.
BOOST_AUTO_TEST_CASE(killsOfAllEndpoints_answeredInBetween_contentIsNotQuarantined)
{
    for (int i = 0; i < 10; ++i) {
        mergeCrash(this->evidence, this->nextCrash({kSoundContent}), this->now);
        mergeCrash(this->evidence, this->nextCrash({kSoundContent}), this->now);
        this->waitUntilCrashesCount();
        this->answer({kSoundContent});
        this->wait(Common::Milliseconds(2000));
    }
    BOOST_TEST(quarantined(this->evidence, this->now).empty());
}

// Guards against acquittals of all requests that were at an endpoint when it ended, which displace
// those of the parts that many requests share.
BOOST_AUTO_TEST_CASE(contentAccusedOnce_isAnswered_nothingIsPassedOn)
{
    this->crash({kSoundContent});
    BOOST_TEST(noteAnswerBegun(this->evidence, {kSoundContent}, this->now).acquittals.empty());
}

// Guards against an acquittal that other instances never learn of.
BOOST_AUTO_TEST_CASE(contentAnsweredBetweenTwoCrashes_acquittalIsPassedOnWithTheSecond)
{
    this->crash({kSoundContent});
    this->answer({kSoundContent});
    this->wait(Common::Milliseconds(5000));
    const News news = mergeCrash(this->evidence, this->nextCrash({kSoundContent}), this->now);
    BOOST_REQUIRE(news.acquittals.size() == 1u);
    BOOST_TEST(news.acquittals.front().trait == kSoundContent);
}

BOOST_AUTO_TEST_CASE(requestWithTwoSuspicions_waitsForTheLaterTrial)
{
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadlyContent, kSoundContent});
    for (int i = 0; i < 3; ++i)
        this->crash({kDeadly});
    const auto suspicions = quarantined(this->evidence, this->now);
    const Suspicion *found = findSuspicion(suspicions, {kDeadly, kSoundContent});
    BOOST_REQUIRE(found);
    BOOST_TEST(found->traits.front() == kDeadly);
}

BOOST_AUTO_TEST_SUITE_END()
