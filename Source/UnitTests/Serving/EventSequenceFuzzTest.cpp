// Properties of `EventSequence` that hold for each input: streams that are spoiled and cut by seed.
// What cannot be told: a changed byte within data, a line break within an event's end that became
// another byte (the next event's number is then that of no field), events missing at either end,
// and a number that became the one expected.
#include "Serving/EventSequence.h"

#include "Common/EventLimits.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Serving;

namespace {

using Random = std::mt19937_64;

constexpr std::uint64_t kSeeds = 10000;

std::size_t below(Random &random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

std::vector<std::string> makeEvents(Random &random, std::uint64_t first)
{
    const std::string lineEnd = below(random, 3) == 0 ? "\r\n" : "\n";
    const bool hasVersion = below(random, 3) == 0;
    std::vector<std::string> events;
    const std::uint64_t end = first + 1 + below(random, 8);
    for (std::uint64_t number = first; number < end; ++number) {
        std::string event = hasVersion ? "weight-versions: 7" + lineEnd : "";
        event += "id: " + std::to_string(number) + lineEnd;
        for (std::size_t lines = 1 + below(random, 3); lines > 0; --lines)
            event += "data: " + std::string(below(random, 6), 't') + lineEnd;
        events.push_back(event + lineEnd);
    }
    return events;
}

std::string joined(const std::vector<std::string> &events)
{
    std::string bytes;
    for (const std::string &event : events)
        bytes += event;
    return bytes;
}

// Bytes that matter to a reader of events come more often than others.
char spoiledByte(Random &random)
{
    constexpr std::string_view kBytes = "\n\r :0123456789idx";
    return below(random, 4) == 0 ? static_cast<char>(below(random, 256))
                                 : kBytes[below(random, kBytes.size())];
}

// Returns the stream with one to three faults.
std::string spoiled(Random &random, std::vector<std::string> events)
{
    constexpr std::string_view kSecondAnswer
        = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nid: 1\n\n";
    if (below(random, 4) == 0)
        events.erase(events.begin() + static_cast<std::ptrdiff_t>(below(random, events.size())));
    if (!events.empty() && below(random, 4) == 0) {
        const std::string copy = events[below(random, events.size())];
        events.insert(events.begin() + static_cast<std::ptrdiff_t>(below(random, events.size())),
                      copy);
    }
    std::string bytes = joined(events);
    for (std::size_t faults = below(random, 3); faults > 0 && !bytes.empty(); --faults) {
        const std::size_t at = below(random, bytes.size());
        switch (below(random, 5)) {
        case 0:
            bytes[at] = spoiledByte(random);
            break;
        case 1:
            bytes.erase(at, 1 + below(random, 3));
            break;
        case 2:
            bytes.insert(at, 1, spoiledByte(random));
            break;
        case 3:
            bytes.resize(at);
            break;
        default:
            bytes += kSecondAnswer;
        }
    }
    return bytes;
}

struct Result
{
    SequenceFault fault = SequenceFault::None;
    std::string taken;
    bool hasPartialEvent = false;
    std::uint64_t last = 0;
    std::uint64_t count = 0;

    bool operator==(const Result &) const = default;
};

// Feeds pieces of up to this size until the first fault, as a relay does.
Result feedPieces(Random &random, std::string_view bytes, std::size_t maxPiece,
                  std::optional<std::uint64_t> after = std::nullopt)
{
    Result result;
    EventSequence sequence(after);
    while (!bytes.empty() && result.fault == SequenceFault::None) {
        const std::size_t count = std::min(bytes.size(), 1 + below(random, maxPiece));
        result.fault = sequence.feed(bytes.substr(0, count));
        bytes.remove_prefix(count);
        if (below(random, 2) == 0)
            result.taken += sequence.takeReady();
    }
    result.taken += sequence.takeReady();
    result.hasPartialEvent = sequence.hasPartialEvent();
    result.last = sequence.lastEvent().value_or(0);
    result.count = sequence.eventCount();
    return result;
}

// What a caller makes of the bytes: the text of each `id` line of each event that is ended.
std::vector<std::vector<std::string>> readAsCaller(std::string_view bytes)
{
    std::vector<std::vector<std::string>> events;
    std::vector<std::string> ids;
    bool isEmpty = true;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos)
            break;
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty() && !isEmpty)
            events.push_back(std::exchange(ids, {}));
        isEmpty = line.empty();
        if (line.starts_with("id:"))
            ids.emplace_back(line.substr(line.starts_with("id: ") ? 4 : 3));
    }
    return events;
}

// Draws the event after which the bytes go on; none for a new stream.
std::optional<std::uint64_t> drawLastEvent(Random &random)
{
    constexpr std::size_t kMaxLastEvent = 11;
    if (below(random, 2) == 0)
        return std::nullopt;
    return below(random, kMaxLastEvent + 1);
}

std::uint64_t nextAfter(const std::optional<std::uint64_t> &lastEvent)
{
    return lastEvent.value_or(0) + 1;
}

// `after` is the event after which the bytes go on.
void checkTaken(const Result &result, std::string_view bytes,
                const std::optional<std::uint64_t> &after)
{
    BOOST_TEST(bytes.starts_with(result.taken));
    const auto events = readAsCaller(result.taken);
    BOOST_TEST(events.size() == result.count);
    std::uint64_t expected = nextAfter(after);
    for (const auto &ids : events) {
        BOOST_TEST(ids == std::vector<std::string>{std::to_string(expected)},
                   boost::test_tools::per_element());
        ++expected;
    }
    BOOST_TEST((events.empty() || expected == result.last + 1));
    // Nothing is kept behind a fault, and nothing is lost without one.
    const bool isPartial
        = result.fault == SequenceFault::None && result.taken.size() < bytes.size();
    BOOST_TEST(result.hasPartialEvent == isPartial);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventSequenceFuzz)

BOOST_AUTO_TEST_CASE(feed_soundStreamInAnyPieces_isTakenWhole)
{
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            const auto after = drawLastEvent(random);
            const std::vector<std::string> events = makeEvents(random, nextAfter(after));
            const std::string bytes = joined(events);
            const Result result = feedPieces(random, bytes, 1 + below(random, 40), after);
            BOOST_TEST((result.fault == SequenceFault::None));
            BOOST_TEST(result.taken == bytes);
            BOOST_TEST(result.count == events.size());
            checkTaken(result, bytes, after);
        }
    }
}

// Guards against a caller that misses the first events, or sees an event twice, out of order,
// without its number or with the number of another one (ORDER).
BOOST_AUTO_TEST_CASE(feed_spoiledStreamInAnyPieces_takesConsecutiveWholeEventsOnly)
{
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            const auto after = drawLastEvent(random);
            const std::string bytes = spoiled(random, makeEvents(random, nextAfter(after)));
            const Result whole = feedPieces(random, bytes, 1 + bytes.size(), after);
            checkTaken(whole, bytes, after);
            // How the network cuts the bytes does not matter.
            BOOST_TEST((feedPieces(random, bytes, 1, after) == whole));
            BOOST_TEST((feedPieces(random, bytes, 1 + below(random, 20), after) == whole));
        }
    }
}

// Guards against a stream that cannot go on: the next endpoint sends the events after those taken.
BOOST_AUTO_TEST_CASE(feed_anotherEndpointAfterAnyFault_goesOnAfterTheLastEvent)
{
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            EventSequence sequence;
            sequence.feed(spoiled(random, makeEvents(random, 1)));
            std::string taken = sequence.takeReady();
            sequence.discardPartialEvent();
            const std::uint64_t last = sequence.lastEvent().value_or(0);
            const std::string rest = joined(makeEvents(random, last + 1));
            BOOST_TEST((sequence.feed(rest) == SequenceFault::None));
            BOOST_TEST(sequence.takeReady() == rest);
            BOOST_TEST(readAsCaller(taken + rest).size() == sequence.eventCount());
        }
    }
}

// Guards against an event whose size is accepted or not by how the network cuts it.
BOOST_AUTO_TEST_CASE(feed_eventAroundTheLimit_isAcceptedUpToItInAnyPieces)
{
    constexpr std::size_t kLimit = Tanagerbay::Common::kMaxEventBytes;
    const std::string head = "id: 1\ndata: ";
    for (const std::size_t size : {kLimit - 1, kLimit, kLimit + 1}) {
        const std::string bytes = head + std::string(size - head.size() - 2, 't') + "\n\n";
        for (const std::size_t maxPiece : {bytes.size(), std::size_t(4096), std::size_t(1) << 19}) {
            Random random(maxPiece);
            const Result result = feedPieces(random, bytes, maxPiece);
            BOOST_TEST((result.fault
                        == (size > kLimit ? SequenceFault::EventTooLong : SequenceFault::None)));
            BOOST_TEST(result.count == (size > kLimit ? 0u : 1u));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
