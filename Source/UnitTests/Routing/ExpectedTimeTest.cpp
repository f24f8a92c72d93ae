#include "Routing/ExpectedTime.h"

#include <limits>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

struct ExpectedTimeFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Pool pool{1};
    PromptWork work;

    ExpectedTimeFixture()
    {
        std::vector<EndpointEntry> entries;
        for (int i = 0; i < 3; ++i) {
            EndpointEntry entry;
            entry.id = Common::EndpointId("e" + std::to_string(i));
            entry.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
            entry.failureDomain = Common::FailureDomain("a");
            entry.slots = 64;
            entries.push_back(entry);
        }
        applyEntries(this->pool, entries);
        this->work.shared = {{"root", 2000}, {"session", 4000}};
        this->work.ownTokens = 1000;
        this->work.inputDomain = Common::FailureDomain("a");
    }

    void report(std::size_t index, std::uint32_t waiting, std::optional<double> contention)
    {
        LoadReport report;
        report.waiting = waiting;
        report.slots = 64;
        report.contention = contention;
        noteReport(this->pool, this->pool.endpoints[index].id, report, this->now);
    }

    double seconds(std::size_t index, double homeBelief = 0) const
    {
        return Common::toSeconds(expectedFirstEvent(this->pool, this->pool.endpoints[index],
                                                    this->work, this->now, homeBelief));
    }

    double tokens(std::size_t index, double homeBelief = 0) const
    {
        return tokensToRead(this->pool, this->pool.endpoints[index], this->work, homeBelief,
                            this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExpectedTimeSuite, ExpectedTimeFixture)

BOOST_AUTO_TEST_CASE(contention_asTheReportAges_isBelievedLess)
{
    this->report(0, 0, 2.5);
    const Endpoint &endpoint = this->pool.endpoints[0];
    BOOST_TEST(this->pool.reportsContention);
    BOOST_TEST(currentContention(endpoint, this->now) == 2.5);
    BOOST_TEST(currentContention(endpoint, this->now + Common::Milliseconds(300)) == 1.75,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(currentContention(endpoint, this->now + std::chrono::seconds(3)) < 1.01);
    BOOST_TEST(currentContention(this->pool.endpoints[1], this->now) == 1.0);
    // A long piece of work outlasts it.
    BOOST_TEST(meanContention(2.5, Common::Milliseconds(10)) > 2.4);
    BOOST_TEST(meanContention(2.5, std::chrono::seconds(10)) < 1.1);
}

BOOST_AUTO_TEST_CASE(expectedFirstEvent_contentionAndLastingPace_makeItLonger)
{
    const double usual = this->seconds(0);
    this->report(1, 0, 2.5);
    BOOST_TEST(this->seconds(1) > 1.8 * usual);
    this->pool.endpoints[2].lastingPace = {1.7, 10};
    BOOST_TEST(this->seconds(2) == 1.7 * usual, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(expectedFirstEvent_waitingAndOwnSendsSince_countAsWorkAhead)
{
    this->report(0, 0, 1);
    const double idle = this->seconds(0);
    noteSent(this->pool, 0, {}, this->now + Common::Milliseconds(1));
    const double withSend = this->seconds(0);
    BOOST_TEST(withSend > idle + 0.9 * this->pool.rates.meanTokens * secondsPerToken({}));
    this->now += Common::Milliseconds(2);
    // The next report counts the send.
    this->report(0, 1, 1);
    BOOST_TEST(this->seconds(0) == withSend, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->pool.endpoints[0].sendsSinceReport.empty());
}

BOOST_AUTO_TEST_CASE(tokensToRead_cachedPart_savesItsTokensAndNoMore)
{
    BOOST_TEST(this->tokens(0) == 7000.0);
    PromptWork root = this->work;
    root.shared.pop_back();
    noteSent(this->pool, 0, root, this->now);
    BOOST_TEST(this->tokens(0) == 5000.0);
    BOOST_TEST(this->tokens(1) == 7000.0);
    noteSent(this->pool, 0, this->work, this->now);
    BOOST_TEST(this->tokens(0) == 1000.0);
    // A part saves nothing where the one before it is not cached.
    this->work.shared.front().id = "other root";
    BOOST_TEST(this->tokens(0) == 7000.0);
}

BOOST_AUTO_TEST_CASE(tokensToRead_oldSendOrNewProcess_isNotBelieved)
{
    noteSent(this->pool, 0, this->work, this->now);
    this->pool.endpoints[0].incarnation = 7;
    BOOST_TEST(this->tokens(0) == 7000.0);
    this->pool.endpoints[0].incarnation = 0;
    this->now += std::chrono::seconds(31);
    BOOST_TEST(this->tokens(0) == 7000.0);
}

BOOST_AUTO_TEST_CASE(tokensToRead_homeAndCommonParts_areBelievedInPart)
{
    BOOST_TEST(this->tokens(0, 0.5) < 7000.0);
    BOOST_TEST(this->tokens(0, 0.5) > 1000.0);
    // What all instances send often is cached everywhere.
    this->work.senders = 90;
    for (int i = 0; i < 4; ++i)
        noteSent(this->pool, 0, this->work, this->now);
    BOOST_TEST(this->tokens(1) < 1100.0);
}

BOOST_AUTO_TEST_CASE(cachedParts_manyNames_areBounded)
{
    for (int i = 0; i < 20'000; ++i)
        this->pool.cachedParts.noteSent("part" + std::to_string(i), this->pool.endpoints[0],
                                        this->now + std::chrono::microseconds(i));
    BOOST_TEST(this->pool.cachedParts.size() <= 4096u);
    BOOST_TEST(this->pool.cachedParts.wasSent("part19999", this->pool.endpoints[0], this->now));
}

BOOST_AUTO_TEST_CASE(rates_measuredReads_areLearnt)
{
    EngineRates rates;
    for (int i = 0; i < 300; ++i) {
        const double tokens = 500 + 900 * (i % 10);
        noteRead(rates, tokens, 0.05 + tokens / 20'000);
    }
    BOOST_TEST(secondsPerToken(rates) == 1.0 / 20'000, boost::test_tools::tolerance(0.05));
    BOOST_TEST(secondsWithoutTokens(rates) == 0.05, boost::test_tools::tolerance(0.2));
}

// Guards against an estimate that feeds on itself in a burst: the tokens ahead of a prompt are
// reckoned from the mean of what prompts leave to read, not from their own sum.
BOOST_AUTO_TEST_CASE(rates_burstWithManyWaiting_staySound)
{
    constexpr std::uint32_t kWaiting = 20;
    this->report(0, kWaiting, 1.0);
    const Endpoint &endpoint = this->pool.endpoints[0];
    const double before = secondsPerToken(this->pool.rates);
    for (int i = 0; i < 200; ++i) {
        const double own = 4000 + 500 * (i % 5);
        const double ahead = tokensAhead(this->pool, endpoint, this->now);
        notePrompt(this->pool.rates, own);
        noteRead(this->pool.rates, ahead + own, 0.03 + (kWaiting * 5000 + own) * before);
    }
    BOOST_TEST(secondsPerToken(this->pool.rates) > before / 2);
    BOOST_TEST(secondsPerToken(this->pool.rates) < before * 2);
    BOOST_TEST(tokensAhead(this->pool, endpoint, this->now) < 2.0 * kWaiting * 5000);
}

// Guards against a report without sense that overflows the time.
BOOST_AUTO_TEST_CASE(expectedTime_endlessQueue_isBounded)
{
    this->report(0, std::numeric_limits<std::uint32_t>::max(), 20.0);
    BOOST_TEST(this->seconds(0) > this->seconds(1));
    BOOST_TEST(this->seconds(0) <= 3601.0);
}

BOOST_AUTO_TEST_CASE(lastingPace_unevenEngines_areToldApart)
{
    EngineRates rates;
    LastingPace quick;
    LastingPace slow;
    for (int i = 0; i < 40; ++i) {
        noteGap(rates, quick, 0.007);
        noteGap(rates, slow, 0.017);
    }
    BOOST_TEST(slow.relative / quick.relative == 17.0 / 7, boost::test_tools::tolerance(0.1));
    // One stalled stream changes little.
    const double before = quick.relative;
    noteGap(rates, quick, 5);
    BOOST_TEST(quick.relative < 2 * before);
}

BOOST_AUTO_TEST_CASE(mergePace_moreSamples_replaceFewer)
{
    LastingPace known{1.2, 5};
    BOOST_TEST(!mergePace(known, {0.7, 5}));
    BOOST_TEST(!mergePace(known, {std::numeric_limits<double>::quiet_NaN(), 9}));
    BOOST_TEST(!mergePace(known, {-1, 9}));
    BOOST_TEST(mergePace(known, {0.7, 6}));
    BOOST_TEST(known.relative == 0.7);
}

BOOST_AUTO_TEST_CASE(expectedEnd_moreEvents_takesLonger)
{
    noteGap(this->pool.rates, this->pool.endpoints[0].lastingPace, 0.05);
    const Endpoint &endpoint = this->pool.endpoints[0];
    const auto first = expectedFirstEvent(this->pool, endpoint, this->work, this->now);
    const auto end = expectedEnd(this->pool, endpoint, this->work, 11, this->now);
    BOOST_TEST(Common::toSeconds(end - first) == 0.5, boost::test_tools::tolerance(0.01));
    BOOST_TEST((expectedEnd(this->pool, endpoint, this->work, 1, this->now) == first));
}

BOOST_AUTO_TEST_SUITE_END()
