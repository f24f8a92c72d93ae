// Checks that the events of a stream arrive whole, in order and without a gap, over all endpoints
// that produce it one after another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Tanagerbay::Serving {

enum class SequenceFault {
    None,
    // An event that is missing, comes twice or has no number.
    BrokenOrder,
};

class EventSequence
{
public:
    // Starts after the event that the caller has already, if any.
    explicit EventSequence(std::optional<std::uint64_t> lastEvent = std::nullopt);

    // Takes bytes of the body. Whole events move to `ready`; a torn one is kept back.
    SequenceFault feed(std::string_view bytes);
    // Whole events that were not taken yet.
    std::string takeReady();
    bool hasTornEvent() const;
    // Forgets the torn event: its endpoint is gone.
    void dropTornEvent();
    std::optional<std::uint64_t> lastEvent() const;
    std::uint64_t eventCount() const;

private:
    bool acceptEvent(std::string_view event);

    std::string ready;
    std::string torn;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace Tanagerbay::Serving
