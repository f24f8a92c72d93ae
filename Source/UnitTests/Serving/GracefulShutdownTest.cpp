#include "Serving/GracefulShutdown.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;
using std::chrono::milliseconds;

namespace {

struct GracefulShutdownFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    // Answers are due after 7,600 ms, and the process exits after 7,850 ms.
    GracefulShutdown shutdown{this->now, this->now + milliseconds(7600),
                              this->now + milliseconds(7850), this->now + milliseconds(8400)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GracefulShutdownSuite, GracefulShutdownFixture)

BOOST_AUTO_TEST_CASE(mayAccept_justAfterTheSignal_acceptsAll)
{
    BOOST_TEST(mayAccept(this->shutdown, milliseconds(20'000), this->now + milliseconds(2000)));
}

// Guards against accepting a long request late in the shutdown: a stream accepted 3.3 s after
// SIGTERM was cut off when the process exited.
BOOST_AUTO_TEST_CASE(mayAccept_lateLongStream_isRefused)
{
    BOOST_TEST(!mayAccept(this->shutdown, milliseconds(20'000), this->now + milliseconds(3300)));
}

BOOST_AUTO_TEST_CASE(mayAccept_lateShortCall_isAcceptedIfItFinishesInTime)
{
    BOOST_TEST(mayAccept(this->shutdown, milliseconds(800), this->now + milliseconds(6000)));
    BOOST_TEST(!mayAccept(this->shutdown, milliseconds(800), this->now + milliseconds(7000)));
}

BOOST_AUTO_TEST_CASE(mayAccept_answersAreDue_acceptsNone)
{
    const GracefulShutdown brief = beginShutdown(milliseconds(2000), this->now);
    BOOST_TEST(!mayAccept(brief, milliseconds(1), brief.answersDueAt));
}

BOOST_AUTO_TEST_CASE(beginShutdown_gracePeriod_answersAreDueBeforeTheExitAndTheExitBeforeItsEnd)
{
    const GracefulShutdown begun = beginShutdown(milliseconds(8000), this->now);
    BOOST_TEST((begun.startedAt < begun.answersDueAt));
    BOOST_TEST((begun.answersDueAt < begun.exitsAt));
    BOOST_TEST((begun.exitsAt < begun.latestExitAt));
    BOOST_TEST((begun.latestExitAt < this->now + milliseconds(8000)));
}

// Guards against a request that waits for its stages until the process exits, and gets no answer.
BOOST_AUTO_TEST_CASE(mustEnd_requestCouldNotBeCompletedAnyMore_endsBeforeItIsSent)
{
    const Common::Duration timeToAnswer = milliseconds(2000);
    const Common::Time lastSend = this->shutdown.answersDueAt - timeToAnswer;
    for (const RequestPhase phase : {RequestPhase::Admission, RequestPhase::Stages}) {
        BOOST_TEST(!mustEnd(this->shutdown, phase, timeToAnswer, lastSend - milliseconds(1)));
        BOOST_TEST(mustEnd(this->shutdown, phase, timeToAnswer, lastSend));
    }
}

// Guards against an endpoint's answer that is given up although it may still arrive in time.
BOOST_AUTO_TEST_CASE(mustEnd_requestIsAtItsEndpoint_endsWhenAnswersAreDue)
{
    const Common::Time due = this->shutdown.answersDueAt;
    BOOST_TEST(
        !mustEnd(this->shutdown, RequestPhase::Sent, milliseconds(2000), due - milliseconds(1)));
    BOOST_TEST(mustEnd(this->shutdown, RequestPhase::Sent, milliseconds(2000), due));
}

BOOST_AUTO_TEST_CASE(mustEnd_responseHasBegun_isLeftToFinish)
{
    BOOST_TEST(!mustEnd(this->shutdown, RequestPhase::Responding, milliseconds(2000),
                        this->shutdown.exitsAt));
}

// Guards against an exit while a final answer is being written.
BOOST_AUTO_TEST_CASE(mayExit_requestsInProgress_waitsUntilTheExitIsDue)
{
    const ShutdownActivity busy{this->now, 1, 0};
    BOOST_TEST(!mayExit(this->shutdown, busy, this->shutdown.exitsAt - milliseconds(1)));
    BOOST_TEST(mayExit(this->shutdown, busy, this->shutdown.exitsAt));
}

// Guards against an exit before a request is answered although the platform still gives time.
BOOST_AUTO_TEST_CASE(mayExit_requestHasNoResponseYet_waitsUntilTheLatestExit)
{
    const ShutdownActivity unanswered{this->now, 1, 0, 1};
    BOOST_TEST(!mayExit(this->shutdown, unanswered, this->shutdown.exitsAt));
    BOOST_TEST(!mayExit(this->shutdown, unanswered, this->shutdown.latestExitAt - milliseconds(1)));
    BOOST_TEST(mayExit(this->shutdown, unanswered, this->shutdown.latestExitAt));
}

BOOST_AUTO_TEST_CASE(mayExit_finalAnswersWereGivenAndNoRequestIsLeft_exits)
{
    const ShutdownActivity answered{this->shutdown.answersDueAt, 0, 2};
    const Common::Time answeredAt = this->shutdown.answersDueAt + milliseconds(250);
    BOOST_TEST(!mayExit(this->shutdown, answered, answeredAt - milliseconds(1)));
    BOOST_TEST(mayExit(this->shutdown, answered, answeredAt));
}

// Guards against a process that is kept from its exit by requests that it can only refuse.
BOOST_AUTO_TEST_CASE(mayRead_finalAnswersHadTheirTime_readsNoFurtherRequest)
{
    const Common::Time answeredAt = this->shutdown.answersDueAt + milliseconds(250);
    BOOST_TEST(mayRead(this->shutdown, answeredAt - milliseconds(1)));
    BOOST_TEST(!mayRead(this->shutdown, answeredAt));
}

// Guards against an exit while a request is read whose caller sends it slowly.
BOOST_AUTO_TEST_CASE(mayExit_requestIsBeingRead_waits)
{
    const ShutdownActivity reading{this->now, 0, 0, 1};
    BOOST_TEST(!mayExit(this->shutdown, reading, this->now + milliseconds(6100)));
    BOOST_TEST(!mayExit(this->shutdown, reading, this->shutdown.exitsAt));
}

BOOST_AUTO_TEST_CASE(mayExit_piecesOfOtherInstancesAreOpen_waits)
{
    const ShutdownActivity owner{this->now, 0, 3};
    BOOST_TEST(!mayExit(this->shutdown, owner, this->shutdown.answersDueAt));
}

// Guards against an exit before the answers are written, if a slow instance gives them late.
BOOST_AUTO_TEST_CASE(noteAnswersGiven_late_postponesTheExitWithinTheGracePeriod)
{
    const Common::Time late = this->shutdown.exitsAt + milliseconds(100);
    noteAnswersGiven(this->shutdown, late);
    BOOST_TEST(!mayExit(this->shutdown, {late, 1, 0}, late + milliseconds(200)));
    BOOST_TEST(mayExit(this->shutdown, {late, 1, 0}, late + milliseconds(250)));
    // Only the first time counts.
    noteAnswersGiven(this->shutdown, late + milliseconds(200));
    BOOST_TEST(mayExit(this->shutdown, {late, 1, 0}, late + milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(noteAnswersGiven_veryLate_exitsAtTheLatestTime)
{
    noteAnswersGiven(this->shutdown, this->shutdown.latestExitAt - milliseconds(10));
    BOOST_TEST((this->shutdown.exitsAt == this->shutdown.latestExitAt));
}

// Guards against an instance that cancels its requests and exits without writing their answers.
BOOST_AUTO_TEST_CASE(noteAnswersGiven_afterTheLatestExit_leavesTimeToWriteThem)
{
    const Common::Time late = this->shutdown.latestExitAt + milliseconds(20);
    noteAnswersGiven(this->shutdown, late);
    const ShutdownActivity unanswered{late, 1, 0, 1};
    BOOST_TEST(!mayExit(this->shutdown, unanswered, late + milliseconds(49)));
    BOOST_TEST(mayExit(this->shutdown, unanswered, late + milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(noteAnswersGiven_inTime_leavesTheExit)
{
    const Common::Time exitsAt = this->shutdown.exitsAt;
    noteAnswersGiven(this->shutdown, this->shutdown.answersDueAt);
    BOOST_TEST((this->shutdown.exitsAt == exitsAt));
}

BOOST_AUTO_TEST_CASE(mayExit_callersMayStillHaveTheAddress_waits)
{
    const ShutdownActivity idle{this->now, 0, 0};
    BOOST_TEST(!mayExit(this->shutdown, idle, this->now + milliseconds(5900)));
    BOOST_TEST(mayExit(this->shutdown, idle, this->now + milliseconds(6100)));
    const ShutdownActivity recent{this->now + milliseconds(5500), 0, 0};
    BOOST_TEST(!mayExit(this->shutdown, recent, this->now + milliseconds(6100)));
}

BOOST_AUTO_TEST_SUITE_END()
