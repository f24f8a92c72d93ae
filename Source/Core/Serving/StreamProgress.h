// What is known of a stream while endpoints answer, and whether it may end where an answer has
// ended.
//
// A stream looks complete only if that is known. Its answers are those to this request and, as far
// as it was told, to the requests that it resumes.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"

#include <cstdint>
#include <optional>

namespace Tanagerbay::Serving {

class EventSequence;

struct StreamProgress
{
    // Number of the last event that the caller has or gets; unset if it has none.
    std::optional<std::uint64_t> lastEvent;
    // Whether it has any event.
    bool hasEvents = false;
    // Events that this request has brought.
    std::uint64_t eventCount = 0;
    // The current answer holds bytes of an event that has not ended.
    bool hasPartialEvent = false;
    // Number of the last event that any answer has begun.
    std::uint64_t lastBegunEvent = 0;
    // Number of the event after which an answer without framing ended in order, unless an endpoint
    // has shown since that more follows.
    std::optional<std::uint64_t> doubtedEnd;
    // The endpoint that wrote this answer.
    Common::EndpointId doubtedEndpoint;
    // Events that the most tokens of the request make; zero if not known, or if the request does
    // not begin the stream.
    std::uint64_t maxEvents = 0;
};

// How an answer has ended, without a fault of its connection.
struct AnswerEnd
{
    // By its length or its last chunk. Otherwise its connection was closed in order, which is also
    // what the system does for a process that was killed.
    bool isFramed = false;
    // Whether the stream may be resumed, so that another answer can tell.
    bool isResumable = false;
    // Whether the service is trusted to close the connection of a stream that runs once only behind
    // its last event.
    bool isCloseTrusted = false;
};

enum class StreamEnd {
    // The caller has all events.
    Complete,
    // Nothing tells whether an answer without framing was broken off.
    Unconfirmed,
    // More follows: the answer was broken off or spoiled.
    WithinEvent,
    // A new stream has at least one event.
    WithoutEvent,
    BeforeBegunEvent,
};

// Takes over how far the events have come, with the answers of this request.
void noteEvents(StreamProgress &progress, const EventSequence &events);

// Returns the number of events that hold this many tokens; zero if there are none.
std::uint64_t eventsOfTokens(std::uint64_t tokens, std::uint64_t tokensPerEvent);

// Whether the events hold the most tokens that the request allows, so that nothing can follow.
bool hasAllTokens(const StreamProgress &progress);

// Whether any answer has begun an event after the caller's last one.
bool hasLaterEventBegun(const StreamProgress &progress);

// Whether an answer without framing has ended after the caller's last event, and no endpoint has
// shown since that more follows.
bool isEndInDoubt(const StreamProgress &progress);

// Returns what the end of an answer tells of the stream.
StreamEnd judgeEnd(const StreamProgress &progress, const AnswerEnd &end);

} // namespace Tanagerbay::Serving

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Serving::StreamEnd>
{
    using End = Serving::StreamEnd;
    static constexpr NameTable<End, 5> table = {{
        {End::Complete, "complete"},
        {End::Unconfirmed, "unconfirmed"},
        {End::WithinEvent, "within-an-event"},
        {End::WithoutEvent, "without-an-event"},
        {End::BeforeBegunEvent, "before-an-event-that-had-begun"},
    }};
};
