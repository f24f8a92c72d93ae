#include "Serving/EventSequence.h"

#include "Common/EventLimits.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Tanagerbay::Serving {

namespace {

constexpr std::string_view kNumberField = "id:";
constexpr std::string_view kDataField = "data:";

// What the `id:` lines of an event hold.
struct EventNumbers
{
    std::size_t lines = 0;
    // The largest number of a line that holds nothing else.
    std::optional<std::uint64_t> largest;
    bool areAllNumbers = true;
};

EventNumbers readNumbers(std::string_view event)
{
    EventNumbers numbers;
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(kNumberField))
            continue;
        line.remove_prefix(kNumberField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const bool hasLeadingZero = line.size() > 1 && line.starts_with('0');
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), value);
        const bool isNumber = !hasLeadingZero && parsed.ec == std::errc()
            && parsed.ptr == line.data() + line.size();
        ++numbers.lines;
        numbers.areAllNumbers = numbers.areAllNumbers && isNumber;
        if (isNumber)
            numbers.largest = std::max(numbers.largest.value_or(value), value);
    }
    return numbers;
}

// Whether a damaged byte may have hidden the beginning of another event: a carriage return alone
// ends a line for some readers, and an `id:` line may begin with a byte that is not its own.
bool mayHideAnother(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const bool isFreeText = line.starts_with(kDataField) || line.starts_with(':');
        const bool hasHiddenNumber = !isFreeText && line.find(kNumberField, 1) != line.npos;
        if (hasHiddenNumber || line.find('\r') != line.npos)
            return true;
    }
    return false;
}

// Returns the number in the event's `id:` line, or nothing unless there is exactly one such line
// and nothing but the number in it. A line break that got lost makes one event of two, and a byte
// that got into the line makes a number that the caller reads differently.
std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    const EventNumbers numbers = readNumbers(event);
    const bool isOneNumber = numbers.lines == 1 && numbers.areAllNumbers;
    return isOneNumber && !mayHideAnother(event) ? numbers.largest : std::nullopt;
}

bool hasData(std::string_view event)
{
    return event.starts_with(kDataField)
        || event.find("\n" + std::string(kDataField)) != std::string_view::npos;
}

// Whether the lines show that there is an event with this number: they have it or a larger one, as
// a damaged digit makes any of it. Data without a number is that of an event whose number stands
// behind it or was damaged.
bool showsEvent(std::uint64_t number, std::string_view lines)
{
    const auto largest = readNumbers(lines).largest;
    return largest ? *largest >= number : hasData(lines);
}

std::string_view completeLines(std::string_view bytes)
{
    const std::size_t end = bytes.rfind('\n');
    return end == std::string_view::npos ? std::string_view() : bytes.substr(0, end);
}

// Returns the offset behind the first complete event from `from` on, including its blank line, or
// zero where there is none.
std::size_t completeEventEnd(std::string_view bytes, std::size_t from)
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

EventSequence::EventSequence(std::optional<std::uint64_t> lastEvent, std::uint64_t firstNumber)
    : firstNumber(firstNumber), last(lastEvent)
{
}

SequenceFault EventSequence::acceptEvent(std::string_view event)
{
    const auto number = eventNumber(event);
    if (!number)
        return SequenceFault::OutOfSequence;
    if (*number != this->nextEvent())
        return this->last ? SequenceFault::OutOfSequence : SequenceFault::NotTheBeginning;
    this->last = number;
    ++this->count;
    return SequenceFault::None;
}

SequenceFault EventSequence::feed(std::string_view bytes)
{
    // The line breaks that end an event may have arrived in part.
    constexpr std::size_t kMaxEndBytes = 3;
    this->partial.append(bytes);
    std::size_t begin = 0;
    while (const std::size_t end
           = completeEventEnd(this->partial, std::max(begin, this->searched))) {
        const std::string_view event = std::string_view(this->partial).substr(begin, end - begin);
        if (event.size() > Common::kMaxEventBytes)
            return this->endWith(SequenceFault::EventTooLong, event);
        if (const SequenceFault fault = this->acceptEvent(event); fault != SequenceFault::None)
            return this->endWith(fault, event);
        this->ready.append(event);
        begin = end;
    }
    this->partial.erase(0, begin);
    this->searched = this->partial.size() - std::min(this->partial.size(), kMaxEndBytes);
    if (this->partial.size() <= Common::kMaxEventBytes)
        return SequenceFault::None;
    return this->endWith(SequenceFault::EventTooLong, completeLines(this->partial));
}

SequenceFault EventSequence::endWith(SequenceFault fault, std::string_view event)
{
    const bool showsNext = showsEvent(this->nextEvent(), event);
    this->discardPartialEvent();
    this->hasFaultShownNext = showsNext;
    return fault;
}

std::string EventSequence::takeReady()
{
    return std::exchange(this->ready, {});
}

bool EventSequence::hasPartialEvent() const
{
    return !this->partial.empty();
}

bool EventSequence::showsNextEvent() const
{
    // A number may be cut, data need not be whole.
    const auto largest = readNumbers(completeLines(this->partial)).largest;
    return this->hasFaultShownNext
        || (largest ? *largest >= this->nextEvent() : hasData(this->partial));
}

void EventSequence::discardPartialEvent()
{
    this->hasFaultShownNext = false;
    this->partial.clear();
    this->searched = 0;
}

std::uint64_t EventSequence::nextEvent() const
{
    return this->last ? *this->last + 1 : this->firstNumber;
}

std::optional<std::uint64_t> EventSequence::lastEvent() const
{
    return this->last;
}

bool EventSequence::hasEvents() const
{
    return this->last && *this->last >= this->firstNumber;
}

std::uint64_t EventSequence::eventCount() const
{
    return this->count;
}

} // namespace Tanagerbay::Serving
