// Checks that the events of a stream arrive complete, in order and without gaps, across all
// endpoints that produce the stream in succession.
#pragma once

#include "Common/EnumNames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagerbay::Serving {

// Number of a stream's first event, unless a deployment specifies another one.
constexpr std::uint64_t kFirstEventNumber = 1;

enum class SequenceFault {
    None,
    // An event is missing, duplicated or has no number.
    OutOfSequence,
    // A new stream begins with another event than its first one.
    NotTheBeginning,
    // An event exceeds `Common::kMaxEventBytes`.
    EventTooLong,
};

} // namespace Tanagerbay::Serving

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Serving::SequenceFault>
{
    using Fault = Serving::SequenceFault;
    static constexpr NameTable<Fault, 4> table = {{
        {Fault::None, "none"},
        {Fault::OutOfSequence, "events-out-of-sequence"},
        {Fault::NotTheBeginning, "not-the-beginning"},
        {Fault::EventTooLong, "event-too-long"},
    }};
};

namespace Tanagerbay::Serving {

class EventSequence
{
public:
    // `lastEvent` is the number of the last event that the caller already has, if any;
    // `firstNumber` that of a new stream's first event.
    explicit EventSequence(std::optional<std::uint64_t> lastEvent = std::nullopt,
                           std::uint64_t firstNumber = kFirstEventNumber);

    // Processes bytes of the body. Complete events move to `ready`; a partial event is held back.
    SequenceFault feed(std::string_view bytes);
    // Returns the complete events that have not been taken yet, and removes them.
    std::string takeReady();
    bool hasPartialEvent() const;
    // Whether the partial event or the event of the last fault shows that the next event exists: a
    // complete line has its number or a later one, or there is data without a number.
    bool showsNextEvent() const;
    // Discards the partial event after its endpoint has failed.
    void discardPartialEvent();
    // Number of the event that has to follow.
    std::uint64_t nextEvent() const;
    // Number of the last event that the caller has or gets.
    std::optional<std::uint64_t> lastEvent() const;
    // Whether the caller has or gets any event. It may name the number before the first one.
    bool hasEvents() const;
    // Number of events that were fed.
    std::uint64_t eventCount() const;

private:
    SequenceFault acceptEvent(std::string_view event);
    SequenceFault endWith(SequenceFault fault, std::string_view event);

    std::string ready;
    std::string partial;
    bool hasFaultShownNext = false;
    // Offset in `partial` before which no event ends.
    std::size_t searched = 0;
    std::uint64_t firstNumber;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace Tanagerbay::Serving
