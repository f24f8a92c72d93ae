// Server-sent events: formatting and incremental parsing.
#pragma once

#include <string>
#include <string_view>

namespace Tanagerbay::Http {

struct Event
{
    std::string id;
    // The value of the `event:` field; empty for events without one.
    std::string type;
    std::string data;
};

// Appends an event in wire format. Data of several lines is written as one `data:` field per line.
void appendEvent(std::string &buffer, const Event &event);

// Parses a byte stream into events. After each `feed`, call `next` until it returns false.
class EventParser
{
public:
    void feed(std::string_view bytes);
    // Whether the buffer holds more bytes without the end of an event than an event may have. Asked
    // after `next` has returned false.
    bool isEventTooLong() const;
    bool next(Event &event);
    // Whether the buffer holds bytes of an incomplete event.
    bool hasPartialEvent() const;

private:
    std::string buffer;
    std::size_t offset = 0;
    // Offset before which no event ends.
    std::size_t searched = 0;
};

} // namespace Tanagerbay::Http
