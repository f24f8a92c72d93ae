#include "Serving/StreamProgress.h"

#include "Common/EventLimits.h"
#include "Serving/EventSequence.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;

namespace {

constexpr AnswerEnd kFramed{true, true};
constexpr AnswerEnd kClosed{false, true};
constexpr AnswerEnd kClosedOnceOnly{false, false};

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text\n\n";
}

struct StreamProgressFixture
{
    // Feeds the bytes of the next answer.
    void answer(const std::string &bytes)
    {
        this->events.discardPartialEvent();
        this->events.feed(bytes);
        noteEvents(this->progress, this->events);
    }

    // Begins again with a request that resumes the stream after this event.
    void resume(std::uint64_t lastEvent)
    {
        this->events = EventSequence(lastEvent);
        noteEvents(this->progress, this->events);
    }

    void doubtEnd()
    {
        this->progress.doubtedEnd = this->progress.lastEvent;
    }

    EventSequence events;
    StreamProgress progress;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndsOfStreams, StreamProgressFixture)

// Guards against an empty stream that looks complete (ORDER).
BOOST_AUTO_TEST_CASE(newStream_hasNoEvent_isNotComplete)
{
    for (const AnswerEnd &end : {kFramed, kClosed, kClosedOnceOnly, AnswerEnd{true, false}}) {
        this->answer("");
        BOOST_TEST((judgeEnd(this->progress, end) == StreamEnd::WithoutEvent));
    }
    // The number before the first event.
    this->resume(0);
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::WithoutEvent));
}

// Guards against a stream that cannot be taken up behind its last event.
BOOST_AUTO_TEST_CASE(resumedStream_hasNothingLeft_isCompleteIfThatIsKnown)
{
    this->resume(3);
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(answer_endsWithinAnEvent_isNotComplete)
{
    this->answer(event(1) + "id: 2\nda");
    for (const AnswerEnd &end : {kFramed, kClosed, kClosedOnceOnly})
        BOOST_TEST((judgeEnd(this->progress, end) == StreamEnd::WithinEvent));
}

// Guards against a stream that looks complete and lacks its last events (ORDER): no end is one
// before an event that any answer has begun, however it is marked.
BOOST_AUTO_TEST_CASE(answer_endsBeforeAnEventThatHadBegun_isNotComplete)
{
    this->answer(event(1) + "id: 2\nda");
    this->answer("");
    for (const AnswerEnd &end : {kFramed, kClosed, kClosedOnceOnly, AnswerEnd{true, false}})
        BOOST_TEST((judgeEnd(this->progress, end) == StreamEnd::BeforeBegunEvent));
    this->answer(event(2));
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
    // An answer to an earlier request, of which the caller has lost the last event.
    this->resume(1);
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::BeforeBegunEvent));
}

// The same for an event whose number stands behind its data, as the format allows.
BOOST_AUTO_TEST_CASE(answer_endsBeforeAnEventThatHadBegunWithItsData_isNotComplete)
{
    this->answer(event(1) + "data: text\nid: 2");
    this->answer("");
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::BeforeBegunEvent));
    this->answer("data: text\nid: 2\n\n");
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
}

// The same where the data itself was cut.
BOOST_AUTO_TEST_CASE(answer_endsWithinTheDataOfAnEventWithoutItsNumber_isNotComplete)
{
    for (const char *begun : {"data: te", "data:", "event: x\ndata: te"}) {
        this->events = EventSequence();
        this->progress = {};
        this->answer(event(1) + begun);
        this->answer("");
        BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::BeforeBegunEvent), begun);
    }
    this->events = EventSequence();
    this->progress = {};
    this->answer(event(1) + "dat");
    this->answer("");
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
}

// The same for an answer that was spoiled: what it held behind the fault shows that more follows,
// however the network cuts it.
BOOST_AUTO_TEST_CASE(answer_endsBeforeAnEventOfASpoiledAnswer_isNotComplete)
{
    const std::string merged = "id: 2\ndata: text\nid: 3\ndata: text\n\n";
    for (const std::string &spoiled :
         {event(3), merged, event(7), std::string("id: 2x\nid: 3\ndata\n\n")}) {
        for (const std::size_t cut : {std::size_t(0), std::size_t(1), spoiled.size() - 1}) {
            this->events = EventSequence();
            this->progress = {};
            this->events.feed(event(1) + spoiled.substr(0, cut));
            noteEvents(this->progress, this->events);
            BOOST_TEST((this->events.feed(spoiled.substr(cut)) != SequenceFault::None));
            noteEvents(this->progress, this->events);
            this->answer("");
            BOOST_TEST(this->progress.lastBegunEvent == 2u, spoiled);
            BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::BeforeBegunEvent));
            this->answer(event(2));
            BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
        }
    }
    // The same for one that is broken off, or does not end.
    const std::string endless(Common::kMaxEventBytes, 't');
    for (const std::string &spoiled :
         {std::string("id: 3\nda"), std::string("id: 2\nid: 3\nda"), "id: 9\ndata: " + endless,
          "id: 2\ndata: " + endless + "\n\n"}) {
        this->events = EventSequence();
        this->progress = {};
        this->answer(event(1) + spoiled);
        this->answer("");
        BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::BeforeBegunEvent));
        this->answer(event(2));
    }
    // An event that comes twice shows nothing.
    this->answer(event(3) + event(3));
    this->answer("");
    BOOST_TEST((judgeEnd(this->progress, kFramed) == StreamEnd::Complete));
}

// Guards against an end that is believed or confirmed without evidence (ORDER).
BOOST_AUTO_TEST_CASE(answerWithoutFraming_endIsKnownOnlyByASecondOne)
{
    this->answer(event(1) + event(2));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Unconfirmed));
    this->doubtEnd();
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Complete));
    this->answer("id: 3\nda");
    BOOST_TEST(!isEndInDoubt(this->progress));
    this->answer("");
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::BeforeBegunEvent));
    this->answer(event(3));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Unconfirmed));
}

// Guards against a stream that looks complete and lacks its last events (ORDER): it may run once,
// so that no other answer can confirm its end.
BOOST_AUTO_TEST_CASE(answerWithoutFraming_streamRunsOnce_isNotComplete)
{
    this->progress.maxEvents = eventsOfTokens(3, 1);
    this->answer(event(1) + event(2));
    BOOST_TEST((judgeEnd(this->progress, kClosedOnceOnly) == StreamEnd::Unconfirmed));
    this->answer(event(3));
    BOOST_TEST((judgeEnd(this->progress, kClosedOnceOnly) == StreamEnd::Complete));
}

// Guards against a setting that ends streams which another answer can confirm, or which go on.
BOOST_AUTO_TEST_CASE(answerWithoutFraming_closeIsTrusted_isCompleteIfTheStreamRunsOnce)
{
    constexpr AnswerEnd kTrusted{false, false, true};
    this->answer(event(1));
    BOOST_TEST((judgeEnd(this->progress, kTrusted) == StreamEnd::Complete));
    BOOST_TEST((judgeEnd(this->progress, {false, true, true}) == StreamEnd::Unconfirmed));
    this->answer("id: 2\nda");
    BOOST_TEST((judgeEnd(this->progress, kTrusted) == StreamEnd::WithinEvent));
    this->answer("");
    BOOST_TEST((judgeEnd(this->progress, kTrusted) == StreamEnd::BeforeBegunEvent));
}

// Guards against an end that is taken for known because one more token was not counted (ORDER).
BOOST_AUTO_TEST_CASE(answerWithoutFraming_hasAllTokens_isComplete)
{
    this->progress.maxEvents = eventsOfTokens(6, 3);
    this->answer(event(1));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Unconfirmed));
    this->answer(event(2));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Complete));
    this->answer("id: 3\nda");
    this->answer("");
    BOOST_TEST(!hasAllTokens(this->progress));
    this->answer(event(3));
    BOOST_TEST((judgeEnd(this->progress, kClosed) == StreamEnd::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(eventsOfTokens_anyNumber_isRoundedUp)
{
    BOOST_TEST(eventsOfTokens(0, 3) == 0u);
    BOOST_TEST(eventsOfTokens(1, 3) == 1u);
    BOOST_TEST(eventsOfTokens(6, 3) == 2u);
    BOOST_TEST(eventsOfTokens(7, 3) == 3u);
    BOOST_TEST(eventsOfTokens(4, 0) == 4u);
}

// Guards against an entry for a stream that has not begun.
BOOST_AUTO_TEST_CASE(lastBegunEvent_onlyAnswersCount)
{
    this->answer("id: 1\nda");
    BOOST_TEST(this->progress.lastBegunEvent == 0u);
    this->resume(7);
    BOOST_TEST(this->progress.lastBegunEvent == 0u);
    this->answer("id: 8\nda");
    BOOST_TEST(this->progress.lastBegunEvent == 8u);
}

BOOST_AUTO_TEST_SUITE_END()
