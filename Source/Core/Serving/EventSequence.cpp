#include "Serving/EventSequence.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Tanagerbay::Serving {

namespace {

// Returns the number of the event's `id:` line.
std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (parsed.ec == std::errc())
            return number;
    }
    return std::nullopt;
}

// Returns the length of the first whole event with its blank line, or zero.
std::size_t wholeEventLength(std::string_view bytes, std::size_t from)
{
    std::size_t line = bytes.find('\n', from);
    while (line != std::string_view::npos) {
        std::size_t next = line + 1;
        if (next < bytes.size() && bytes[next] == '\r')
            ++next;
        if (next < bytes.size() && bytes[next] == '\n')
            return next + 1;
        line = bytes.find('\n', line + 1);
    }
    return 0;
}

} // namespace

EventSequence::EventSequence(std::optional<std::uint64_t> lastEvent) : last(lastEvent)
{
}

bool EventSequence::acceptEvent(std::string_view event)
{
    const auto number = eventNumber(event);
    if (!number || (this->last && *number != *this->last + 1))
        return false;
    this->last = number;
    ++this->count;
    return true;
}

SequenceFault EventSequence::feed(std::string_view bytes)
{
    this->torn.append(bytes);
    std::size_t begin = 0;
    while (const std::size_t end = wholeEventLength(this->torn, begin)) {
        const std::string_view event = std::string_view(this->torn).substr(begin, end - begin);
        if (!this->acceptEvent(event)) {
            this->torn.clear();
            return SequenceFault::BrokenOrder;
        }
        this->ready.append(event);
        begin = end;
    }
    this->torn.erase(0, begin);
    return SequenceFault::None;
}

std::string EventSequence::takeReady()
{
    return std::exchange(this->ready, {});
}

bool EventSequence::hasTornEvent() const
{
    return !this->torn.empty();
}

void EventSequence::dropTornEvent()
{
    this->torn.clear();
}

std::optional<std::uint64_t> EventSequence::lastEvent() const
{
    return this->last;
}

std::uint64_t EventSequence::eventCount() const
{
    return this->count;
}

} // namespace Tanagerbay::Serving
