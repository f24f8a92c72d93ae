#include "Serving/EventSequence.h"

#include "Common/EventLimits.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Serving;

namespace {

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text\n\n";
}

struct EventSequenceFixture
{
    EventSequence events;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventSequenceSuite, EventSequenceFixture)

BOOST_AUTO_TEST_CASE(feed_singleBytes_returnsCompleteEventsOnly)
{
    const std::string whole = event(1) + event(2);
    for (const char byte : whole.substr(0, whole.size() - 1))
        BOOST_TEST((this->events.feed({&byte, 1}) == SequenceFault::None));
    BOOST_TEST(this->events.takeReady() == event(1));
    BOOST_TEST(this->events.hasPartialEvent());
    BOOST_TEST((this->events.feed("\n") == SequenceFault::None));
    BOOST_TEST(this->events.takeReady() == event(2));
    BOOST_TEST(!this->events.hasPartialEvent());
}

// Guards against a stream that callers get without its first events (ORDER).
BOOST_AUTO_TEST_CASE(feed_newStreamBeginsLate_isNotItsBeginning)
{
    for (const int first : {0, 2, 3}) {
        EventSequence late;
        BOOST_TEST((late.feed(event(first) + event(first + 1)) == SequenceFault::NotTheBeginning));
        BOOST_TEST(late.takeReady().empty());
        BOOST_TEST(!late.lastEvent());
        // The next endpoint is asked from the start.
        BOOST_TEST((late.feed(event(1) + event(2)) == SequenceFault::None));
        BOOST_TEST(late.takeReady() == event(1) + event(2));
    }
}

// Guards against two events that are taken for one, since a byte between them is damaged: callers
// miss the second one or, where a lone carriage return ends a line for them, get it twice.
BOOST_AUTO_TEST_CASE(feed_byteBetweenTwoEventsIsDamaged_isOutOfSequence)
{
    for (const std::string between : {"\nX", "\n\r", "X\n", "\r\n", "\n "}) {
        EventSequence sequence;
        const std::string merged = "id: 2\ndata: x" + between + "id: 3\ndata: y\n\n";
        BOOST_TEST((sequence.feed(event(1) + merged) == SequenceFault::OutOfSequence), between);
        BOOST_TEST(sequence.takeReady() == event(1), between);
        BOOST_TEST(sequence.showsNextEvent(), between);
    }
}

// Guards against sound events that are taken for damaged ones.
BOOST_AUTO_TEST_CASE(feed_dataNamesTheFieldOfNumbers_isTaken)
{
    const std::string sound = "id: 1\r\n: id: 7\r\ndata: {\"id:\": \"id: 3\"}\r\n\r\n";
    EventSequence sequence;
    BOOST_TEST((sequence.feed(sound) == SequenceFault::None));
    BOOST_TEST(sequence.takeReady() == sound);
}

// Guards against a first event whose number the caller reads differently.
BOOST_AUTO_TEST_CASE(feed_newStreamBeginsWithoutNumber_isOutOfSequence)
{
    BOOST_TEST((this->events.feed("id: 1x\ndata: text\n\n") == SequenceFault::OutOfSequence));
    BOOST_TEST(this->events.takeReady().empty());
}

// Guards against streams that are all rejected where a platform counts from another number.
BOOST_AUTO_TEST_CASE(feed_eventsAreCountedFromAnotherNumber_isAccepted)
{
    EventSequence fromZero(std::nullopt, 0);
    BOOST_TEST((fromZero.feed(event(0) + event(1)) == SequenceFault::None));
    BOOST_TEST(fromZero.lastEvent().value() == 1u);
    EventSequence resumed(4, 0);
    BOOST_TEST((resumed.feed(event(5)) == SequenceFault::None));
}

// Guards against an event without end that is kept and searched again with each read.
BOOST_AUTO_TEST_CASE(feed_eventWithoutEnd_isTooLong)
{
    const std::string line = "data: " + std::string(4000, 'a') + "\n";
    std::size_t fed = 0;
    auto fault = SequenceFault::None;
    while (fault == SequenceFault::None && fed < 4 * Tanagerbay::Common::kMaxEventBytes) {
        fault = this->events.feed(line);
        fed += line.size();
    }
    BOOST_TEST((fault == SequenceFault::EventTooLong));
    BOOST_TEST(fed <= Tanagerbay::Common::kMaxEventBytes + line.size());
}

BOOST_AUTO_TEST_CASE(feed_endOfAnEventInPieces_isFound)
{
    const std::string whole = "id: 1\r\ndata: text\r\n\r\n";
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        EventSequence sequence;
        BOOST_TEST((sequence.feed(whole.substr(0, cut)) == SequenceFault::None));
        BOOST_TEST((sequence.feed(whole.substr(cut)) == SequenceFault::None));
        BOOST_TEST(sequence.takeReady() == whole);
    }
}

BOOST_AUTO_TEST_CASE(feed_gap_isOutOfSequence)
{
    BOOST_TEST((this->events.feed(event(1) + event(3)) == SequenceFault::OutOfSequence));
    BOOST_TEST(this->events.takeReady() == event(1));
}

BOOST_AUTO_TEST_CASE(feed_duplicateEvent_isOutOfSequence)
{
    BOOST_TEST((this->events.feed(event(1) + event(1)) == SequenceFault::OutOfSequence));
}

BOOST_AUTO_TEST_CASE(feed_eventWithoutNumber_isOutOfSequence)
{
    BOOST_TEST((this->events.feed("data: text\n\n") == SequenceFault::OutOfSequence));
}

// Guards against an event that the caller misses (ORDER): a line break got lost, and two events
// look like one that has the number of the first.
BOOST_AUTO_TEST_CASE(feed_lineBreakBetweenTwoEventsIsLost_isOutOfSequence)
{
    const std::string merged = "id: 2\ndata: text\nid: 3\ndata: text\n\n";
    BOOST_TEST((this->events.feed(event(1) + merged) == SequenceFault::OutOfSequence));
    BOOST_TEST(this->events.takeReady() == event(1));
    BOOST_TEST(this->events.lastEvent().value() == 1u);
}

// Guards against a number that the caller reads differently (ORDER): bytes got into its line.
BOOST_AUTO_TEST_CASE(feed_numberWithOtherBytes_isOutOfSequence)
{
    for (const char *line : {"id: 2x", "id: 2 3", "id: 2data: text", "id: 02", "id:  2", "id: 2 ",
                             "id: 2\r\r", "id: 2\rdata: text", "id: +2", "id: "}) {
        BOOST_TEST_CONTEXT(line)
        {
            EventSequence sequence;
            const std::string spoiled = std::string(line) + "\ndata: text\n\n";
            BOOST_TEST((sequence.feed(event(1) + spoiled) == SequenceFault::OutOfSequence));
            BOOST_TEST(sequence.takeReady() == event(1));
        }
    }
}

BOOST_AUTO_TEST_CASE(feed_secondEndpointResumes_continuesWithoutThePartialEvent)
{
    BOOST_TEST((this->events.feed(event(1) + "id: 2\nda") == SequenceFault::None));
    this->events.discardPartialEvent();
    BOOST_TEST(this->events.lastEvent().value() == 1u);
    BOOST_TEST((this->events.feed(event(2)) == SequenceFault::None));
    BOOST_TEST(this->events.takeReady() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(feed_secondEndpointRepeatsAnEvent_isOutOfSequence)
{
    BOOST_TEST((this->events.feed(event(1) + event(2)) == SequenceFault::None));
    BOOST_TEST((this->events.feed(event(2)) == SequenceFault::OutOfSequence));
}

BOOST_AUTO_TEST_CASE(feed_callerHasEvents_continuesAfterThem)
{
    EventSequence resumed(12);
    BOOST_TEST((resumed.feed(event(13)) == SequenceFault::None));
    EventSequence wrong(12);
    BOOST_TEST((wrong.feed(event(1)) == SequenceFault::OutOfSequence));
}

BOOST_AUTO_TEST_CASE(feed_weightVersionBeforeId_findsTheNumber)
{
    BOOST_TEST(
        (this->events.feed("weight-versions: 2\nid: 1\ndata: x\n\n") == SequenceFault::None));
    BOOST_TEST(this->events.lastEvent().value() == 1u);
}

// Guards against streams that are cut since an endpoint writes its lines in another way, and
// against one that is read differently when each byte comes alone.
BOOST_AUTO_TEST_CASE(feed_linesInAnotherOrderOrWithComments_areForwardedUnchanged)
{
    for (const std::string &text : {std::string("data: x\nid: 1\n\ndata: x\nid: 2\n\n"),
                                    std::string("retry: 100\nid: 1\n: id: 7\ndata: x\n\n"),
                                    std::string("weight-versions: 3\r\nid: 1\r\ndata: x\r\n\r\n"),
                                    std::string("id:1\r\ndata:x\n\r\nid:2\ndata:x\r\n\n")}) {
        EventSequence whole;
        BOOST_TEST((whole.feed(text) == SequenceFault::None), text);
        BOOST_TEST(whole.takeReady() == text);
        EventSequence byBytes;
        std::string ready;
        for (const char &byte : text) {
            BOOST_TEST((byBytes.feed({&byte, 1}) == SequenceFault::None), text);
            ready += byBytes.takeReady();
        }
        BOOST_TEST(ready == text);
        BOOST_TEST(!byBytes.hasPartialEvent());
    }
}

// Guards against a number that is taken for another one, since its line has arrived in part.
BOOST_AUTO_TEST_CASE(showsNextEvent_partialEvent_isToldByItsCompleteLines)
{
    EventSequence resumed(1);
    for (const auto &[bytes, hasBegun] : std::vector<std::pair<std::string, bool>>{
             {"", false},
             {"id: 2", false},
             {"id: 2\n", true},
             {"weight-versions: 2\nid: 2\nda", true},
             // It exists too if a later one does.
             {"id: 3\nda", true},
             {"id: 2\nid: 3\nda", true},
             {"id: 1\nda", false},
             {"id: 2x\nda", false},
             {"no event", false},
         }) {
        BOOST_TEST((resumed.feed(bytes) == SequenceFault::None));
        BOOST_TEST(resumed.showsNextEvent() == hasBegun, bytes);
        resumed.discardPartialEvent();
    }
    BOOST_TEST((this->events.feed("id: 1\nda") == SequenceFault::None));
    BOOST_TEST(this->events.showsNextEvent());
}

BOOST_AUTO_TEST_SUITE_END()
