// Checks that the events of a stream arrive complete, in order and without gaps, across all
// endpoints that produce the stream in succession.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagerbay::Serving {

enum class SequenceFault {
    None,
    // An event is missing, duplicated or has no number.
    OutOfSequence,
    // An event exceeds `Common::kMaxEventBytes`.
    EventTooLong,
};

class EventSequence
{
public:
    // `lastEvent` is the number of the last event that the caller already has, if any.
    explicit EventSequence(std::optional<std::uint64_t> lastEvent = std::nullopt);

    // Processes bytes of the body. Complete events move to `ready`; a partial event is held back.
    SequenceFault feed(std::string_view bytes);
    // Returns the complete events that have not been taken yet, and removes them.
    std::string takeReady();
    bool hasPartialEvent() const;
    // Whether the partial event is the next one, as its complete lines tell.
    bool hasBegunNextEvent() const;
    // Discards the partial event after its endpoint has failed.
    void discardPartialEvent();
    // Number of the first event that was fed.
    std::optional<std::uint64_t> firstEvent() const;
    std::optional<std::uint64_t> lastEvent() const;
    std::uint64_t eventCount() const;

private:
    bool acceptEvent(std::string_view event);

    std::string ready;
    std::string partial;
    // Offset in `partial` before which no event ends.
    std::size_t searched = 0;
    std::optional<std::uint64_t> first;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace Tanagerbay::Serving
