#include "UnitTests/Quarantine/QuarantineFixture.h"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::QuarantineTests;

namespace {

// A piece of evidence as an instance receives it.
struct Message
{
    std::optional<Crash> crash;
    std::optional<Acquittal> acquittal;
};

void apply(Evidence &evidence, const Message &message, Common::Time now)
{
    if (message.crash)
        mergeCrash(evidence, *message.crash, now);
    if (message.acquittal)
        mergeAcquittal(evidence, *message.acquittal, now);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashEvidences, QuarantineFixture)

// Guards against evidence that depends on which message arrives first or twice.
BOOST_AUTO_TEST_CASE(merge_anyOrderAndRepeats_resultsInTheSameVerdict)
{
    std::vector<Message> messages;
    for (int i = 0; i < 4; ++i) {
        const Crash crash = this->nextCrash({kDeadly, kFirst, kSession, Trait(i) + 50});
        // Each of two instances knows some of the requests.
        messages.push_back({Crash{crash.process, crash.at, {kDeadly, kFirst}}, std::nullopt});
        messages.push_back(
            {Crash{crash.process, crash.at + Common::Milliseconds(i), {kSession, Trait(i) + 50}},
             std::nullopt});
        this->wait(Common::Milliseconds(100));
    }
    messages.push_back({std::nullopt, Acquittal{kFirst, this->now}});
    messages.push_back({std::nullopt, Acquittal{kSession, this->now}});
    this->waitUntilCrashesCount();
    std::mt19937_64 random(5);
    for (int order = 0; order < 50; ++order) {
        std::shuffle(messages.begin(), messages.end(), random);
        Evidence merged;
        for (const Message &message : messages)
            apply(merged, message, this->now);
        for (const Message &message : messages)
            apply(merged, message, this->now);
        const auto suspicions = quarantined(merged, this->now);
        BOOST_REQUIRE(suspicions.size() == 1u);
        BOOST_TEST(suspicions.front().traits == std::vector<Trait>{kDeadly});
        BOOST_TEST(suspicions.front().crashCount == 4u);
    }
}

BOOST_AUTO_TEST_CASE(merge_knownEvidence_isNoNews)
{
    const Crash crash = this->nextCrash({kDeadly});
    BOOST_TEST(mergeCrash(this->evidence, crash, this->now).crashes.size() == 1u);
    BOOST_TEST(mergeCrash(this->evidence, crash, this->now).crashes.empty());
    BOOST_TEST(mergeAcquittal(this->evidence, {kDeadly, this->now}, this->now).acquittals.size()
               == 1u);
    BOOST_TEST(mergeAcquittal(this->evidence, {kDeadly, this->now}, this->now).acquittals.empty());
}

BOOST_AUTO_TEST_CASE(merge_otherSuspectsOfAKnownCrash_onlyTheseAreNews)
{
    Crash crash = this->nextCrash({kDeadly, kFirst});
    mergeCrash(this->evidence, crash, this->now);
    crash.suspects = {kFirst, kSession};
    const News news = mergeCrash(this->evidence, crash, this->now);
    BOOST_REQUIRE(news.crashes.size() == 1u);
    BOOST_TEST(news.crashes.front().suspects == std::vector<Trait>{kSession});
}

// Guards against an instance that was silent, or is just restarted, bringing back what the others
// have dropped.
BOOST_AUTO_TEST_CASE(merge_crashThatWasDropped_isNotBroughtBack)
{
    std::vector<Crash> old;
    for (int i = 0; i < 3; ++i) {
        old.push_back(this->nextCrash({kDeadly}));
        mergeCrash(this->evidence, old.back(), this->now);
    }
    this->now += std::chrono::minutes(61);
    expire(this->evidence, this->now);
    for (Crash &crash : old) {
        // A message that was delayed for long makes the crash look recent.
        crash.at = this->now;
        BOOST_TEST(mergeCrash(this->evidence, crash, this->now).crashes.empty());
    }
    this->waitUntilCrashesCount();
    BOOST_TEST(!this->isQuarantined({kDeadly}));
}

// An instance learns of a crash whose suspects it has answered at other endpoints.
BOOST_AUTO_TEST_CASE(mergeCrash_suspectWasJustAnsweredHere_isAcquittedForAll)
{
    this->answer({kFirst, kSession});
    this->wait(Common::Milliseconds(500));
    const News news = mergeCrash(this->evidence, this->nextCrash({kFirst, kDeadly}), this->now);
    BOOST_REQUIRE(news.acquittals.size() == 1u);
    BOOST_TEST(news.acquittals.front().trait == kFirst);
}

BOOST_AUTO_TEST_CASE(answerBegun_accusedTrait_isAcquittedOnceInAWhile)
{
    this->crash({kFirst});
    std::size_t newsCount = 0;
    for (int i = 0; i < 1000; ++i) {
        newsCount
            += noteAnswerBegun(this->evidence, {kFirst, kSession}, this->now).acquittals.size();
        this->wait(Common::Milliseconds(1));
    }
    BOOST_TEST(newsCount == 1u);
}

// Guards against a caller who invents parts to displace the evidence against a deadly one.
BOOST_AUTO_TEST_CASE(mergeCrash_manyInventedTraits_doNotDisplaceTheDeadlyOne)
{
    std::mt19937_64 random(3);
    for (int i = 0; i < 4; ++i) {
        std::vector<Trait> suspects{kDeadly};
        // The first report has room for it.
        const std::size_t invented = i == 0 ? kMaxSuspects / 2 : 20 * kMaxSuspects;
        for (std::size_t k = 0; k < invented; ++k)
            suspects.push_back(random());
        this->crash(std::move(suspects));
    }
    for (const auto &[process, crash] : this->evidence.crashes)
        BOOST_TEST(crash.suspects.size() <= kMaxSuspects);
    BOOST_TEST(this->isQuarantined({kDeadly}));
}

BOOST_AUTO_TEST_CASE(evidence_manyCrashesAndAnswers_staysBounded)
{
    for (Trait i = 0; i < 20'000; ++i) {
        mergeCrash(this->evidence, this->nextCrash({i, i + 1}), this->now);
        noteAnswerBegun(this->evidence, {i, i + 7}, this->now);
        mergeAcquittal(this->evidence, {i + 13, this->now}, this->now);
    }
    BOOST_TEST(this->evidence.crashes.size() <= 256u);
    BOOST_TEST(this->evidence.acquittals.size() <= 4096u);
    BOOST_TEST(this->evidence.answers.current.size() <= 4096u);
    this->now += std::chrono::hours(3);
    expire(this->evidence, this->now);
    BOOST_TEST(this->evidence.crashes.empty());
    BOOST_TEST(this->evidence.acquittals.empty());
}

BOOST_AUTO_TEST_SUITE_END()
