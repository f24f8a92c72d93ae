// Keeps the memory account's bound in line with what the process really uses, gives freed memory
// back to the system, and tells the operator about callers that were turned away.
#pragma once

#include "Entry/State.h"

namespace Tanagerbay::Entry {

class MemoryWatch
{
public:
    explicit MemoryWatch(State &state);

    // Before the servers start.
    void start();
    // Looks at the heap, once a second at most.
    void look(Common::Time now);

private:
    // Has the allocator give freed memory back, if the memory is bounded.
    void boundAllocator();
    void trim(std::size_t freeBytes);
    void applyBounds(std::size_t heapBytes);
    void report(Common::Time now);

    State &state;
    Common::Time lookedAt;
    bool isAllocatorBound = false;
    // The fewest bytes that lay free between used blocks since they were last given back.
    std::size_t leastFreeBytes = 0;
    std::array<std::uint64_t, 2> reportedEvictions{};
    std::array<std::uint64_t, 2> reportedRefusals{};
};

} // namespace Tanagerbay::Entry
