// What an instance believes of the limits that endpoints state.
#include "Routing/StatedLimits.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;
using std::chrono::milliseconds;

namespace {

struct StatedLimitsFixture
{
    Common::Time start = Common::Time(std::chrono::seconds(100));
    ProcessKey process{Common::EndpointId("e"), 7};
    StatedLimits limits;

    Common::Time at(int ms) const
    {
        return this->start + milliseconds(ms);
    }

    bool answer(std::optional<double> stated, int sentAtMs, int nowMs)
    {
        return noteAnswer(this->limits, this->process, stated, this->at(sentAtMs), this->at(nowMs));
    }

    bool merge(std::optional<double> stated, std::uint64_t version, int nowMs)
    {
        return mergeLimit(this->limits, this->process, {stated, version, {}}, this->at(nowMs));
    }

    std::optional<double> limit() const
    {
        const auto found = this->limits.find(this->process);
        return found == this->limits.end() ? std::nullopt : found->second.perSecond;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitsOfEndpoints, StatedLimitsFixture)

BOOST_AUTO_TEST_CASE(answersWithoutLimit_areNotRemembered)
{
    BOOST_TEST(!this->answer(std::nullopt, 0, 10));
    BOOST_TEST(this->limits.empty());
}

BOOST_AUTO_TEST_CASE(limit_risesFallsEndsAndReturns_withLaterAnswers)
{
    BOOST_TEST(this->answer(2, 0, 10));
    BOOST_TEST(this->answer(5, 20, 30));
    BOOST_TEST(this->limit().value() == 5);
    BOOST_TEST(this->answer(1, 40, 50));
    BOOST_TEST(this->limit().value() == 1);
    BOOST_TEST(this->answer(std::nullopt, 60, 70));
    BOOST_TEST(!this->limit());
    BOOST_TEST(this->answer(3, 80, 90));
    BOOST_TEST(this->limit().value() == 3);
    BOOST_TEST(this->limits.at(this->process).version == 5u);
}

// Guards against an answer that was begun before the limit, arrives late and ends it.
BOOST_AUTO_TEST_CASE(answerToEarlierRequest_arrivesLate_doesNotEndTheLimit)
{
    BOOST_TEST(this->answer(1, 10, 20));
    BOOST_TEST(!this->answer(std::nullopt, 0, 500));
    BOOST_TEST(!this->answer(4, 15, 510));
    BOOST_TEST(this->limit().value() == 1);
}

BOOST_AUTO_TEST_CASE(answerToEarlierRequest_statesStricterLimit_isBelieved)
{
    BOOST_TEST(this->answer(4, 10, 20));
    BOOST_TEST(this->answer(1, 0, 30));
    BOOST_TEST(this->limit().value() == 1);
}

BOOST_AUTO_TEST_CASE(confirmedLimit_answerToRequestBeforeConfirmation_doesNotEndIt)
{
    this->answer(1, 0, 10);
    BOOST_TEST(!this->answer(1, 20, 40));
    BOOST_TEST(!this->answer(std::nullopt, 30, 50));
    BOOST_TEST(this->limit().value() == 1);
    BOOST_TEST(this->answer(std::nullopt, 60, 70));
}

BOOST_AUTO_TEST_CASE(restartedProcess_hasNoLimit)
{
    this->answer(1, 0, 10);
    ++this->process.incarnation;
    BOOST_TEST(!this->limit());
}

BOOST_AUTO_TEST_CASE(newsOfOthers_higherVersion_isTaken)
{
    BOOST_TEST(this->merge(2, 1, 0));
    BOOST_TEST(this->merge(std::nullopt, 2, 10));
    BOOST_TEST(!this->limit());
    BOOST_TEST(!this->merge(2, 1, 20));
    BOOST_TEST(!this->limit());
}

// Two instances learn opposite news at nearly the same moment.
BOOST_AUTO_TEST_CASE(newsOfOthers_sameVersion_stricterIsTakenInEitherOrder)
{
    StatedLimitsFixture other = *this;
    this->answer(2, 0, 10);
    this->merge(std::nullopt, 2, 20);
    this->merge(1, 2, 30);
    BOOST_TEST(this->limit().value() == 1);
    other.answer(2, 0, 10);
    other.merge(1, 2, 20);
    BOOST_TEST(!other.merge(std::nullopt, 2, 30));
    BOOST_TEST(other.limit().value() == 1);
}

BOOST_AUTO_TEST_CASE(newsOfOthers_repeated_isNoChange)
{
    BOOST_TEST(this->merge(2, 3, 0));
    BOOST_TEST(!this->merge(2, 3, 10));
}

BOOST_AUTO_TEST_SUITE_END()
