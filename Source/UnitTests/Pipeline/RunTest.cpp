#include "Pipeline/Run.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Pipeline;

namespace {

struct RunFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Run run;

    RunFixture()
    {
        this->run.id = Common::RunId("run:with:colons");
        this->run.deadline = this->now + std::chrono::seconds(7);
        this->run.stageCount = 4;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PipelineRun, RunFixture)

BOOST_AUTO_TEST_CASE(reply_ofOpenAttempt_isAccepted)
{
    const AttemptTag tag = beginAttempt(this->run, "n1", false);
    BOOST_TEST((classifyReply(this->run, formatTag(tag)) == ReplyVerdict::Accept));
}

BOOST_AUTO_TEST_CASE(reply_withoutTag_isForeign)
{
    beginAttempt(this->run, "n1", false);
    BOOST_TEST((classifyReply(this->run, "") == ReplyVerdict::Foreign));
}

BOOST_AUTO_TEST_CASE(reply_ofAnotherRun_isForeign)
{
    AttemptTag tag = beginAttempt(this->run, "n1", false);
    tag.runId = "other";
    BOOST_TEST((classifyReply(this->run, formatTag(tag)) == ReplyVerdict::Foreign));
}

BOOST_AUTO_TEST_CASE(reply_withOtherNonce_isNotAccepted)
{
    AttemptTag tag = beginAttempt(this->run, "n1", false);
    tag.nonce = "n2";
    BOOST_TEST((classifyReply(this->run, formatTag(tag)) != ReplyVerdict::Accept));
}

BOOST_AUTO_TEST_CASE(reply_ofReplacedAttempt_isSuperseded)
{
    const AttemptTag first = beginAttempt(this->run, "n1", false);
    beginAttempt(this->run, "n2", false);
    BOOST_TEST((classifyReply(this->run, formatTag(first)) == ReplyVerdict::Superseded));
}

BOOST_AUTO_TEST_CASE(reply_ofEitherHedgedAttempt_isAccepted)
{
    const AttemptTag first = beginAttempt(this->run, "n1", false);
    const AttemptTag second = beginAttempt(this->run, "n2", true);
    BOOST_TEST((classifyReply(this->run, formatTag(first)) == ReplyVerdict::Accept));
    BOOST_TEST((classifyReply(this->run, formatTag(second)) == ReplyVerdict::Accept));
}

BOOST_AUTO_TEST_CASE(reply_afterStageCompleted_isSuperseded)
{
    const AttemptTag tag = beginAttempt(this->run, "n1", false);
    completeStage(this->run);
    BOOST_TEST((classifyReply(this->run, formatTag(tag)) == ReplyVerdict::Superseded));
}

BOOST_AUTO_TEST_CASE(stageDeadline_laterStagesExpected_reservesTheirTime)
{
    const std::vector<Common::Duration> expected(4, std::chrono::seconds(1));
    BOOST_TEST((stageDeadline(this->run, this->now, expected)
                == this->run.deadline - std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(stageDeadline_noTimeLeft_isDeadlineOfRun)
{
    const std::vector<Common::Duration> expected(4, std::chrono::seconds(60));
    BOOST_TEST((stageDeadline(this->run, this->now, expected) == this->run.deadline));
}

BOOST_AUTO_TEST_CASE(cannotMeetDeadline_fastestStagesTooSlow_isTrue)
{
    BOOST_TEST(cannotMeetDeadline(this->run, this->now,
                                  {std::chrono::seconds(4), std::chrono::seconds(4)}));
    BOOST_TEST(!cannotMeetDeadline(this->run, this->now,
                                   {std::chrono::seconds(1), std::chrono::seconds(4)}));
}

BOOST_AUTO_TEST_SUITE_END()
