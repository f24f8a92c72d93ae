#include "Entry/MemoryWatch.h"

#include <malloc.h>

namespace Tanagerbay::Entry {

namespace {

constexpr Common::Milliseconds kLookInterval{1000};
// Blocks of this size and more are mappings of their own, so that the system gets them back as soon
// as they are freed. Without a fixed value, the allocator raises it with each large block, and what
// a crowd has held stays with the process.
constexpr int kMappedBlockBytes = 128 << 10;
// Free bytes between used blocks that are left to the allocator.
constexpr std::size_t kMaxFreeBytes = 4 << 20;

} // namespace

MemoryWatch::MemoryWatch(State &state) : state(state)
{
}

void MemoryWatch::start()
{
    ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, kMappedBlockBytes);
    this->applyBounds(0);
}

void MemoryWatch::look(Common::Time now)
{
    if (now - this->lookedAt < kLookInterval)
        return;
    this->lookedAt = now;
    const struct ::mallinfo2 heap = ::mallinfo2();
    this->applyBounds(heap.uordblks + heap.hblkhd);
    if (heap.fordblks > kMaxFreeBytes)
        ::malloc_trim(0);
    this->report(now);
}

void MemoryWatch::applyBounds(std::size_t heapBytes)
{
    const Settings &settings = this->state.settings;
    Http::MemoryAccount &memory = this->state.memory;
    if (settings.memoryBytes > 0)
        memory.maxBytes
            = Http::shareForCallers(settings.memoryBytes, heapBytes, Http::heldBytes(memory));
    if (settings.maxDescriptors > 0)
        memory.maxConnections = Http::connectionsForCallers(settings.maxDescriptors);
}

void MemoryWatch::report(Common::Time now)
{
    const Http::MemoryAccount &memory = this->state.memory;
    Metrics &metrics = this->state.metrics;
    for (const auto &[kind, name] : Common::EnumNames<Http::HeldKind>::table)
        metrics.gauges[labelled("caller_bytes_held", "kind", name)]
            = static_cast<double>(memory.held.at(static_cast<std::size_t>(kind)));
    LogLine line("callers-turned-away");
    bool hasNews = false;
    const auto note = [&](std::string_view name, std::string_view reason, std::uint64_t count,
                          std::uint64_t &reported) {
        if (count == reported)
            return;
        hasNews = true;
        metrics.count(labelled(name, "reason", reason), count - reported);
        line.number(std::string(name) + "." + std::string(reason),
                    static_cast<std::int64_t>(count - reported));
        reported = count;
    };
    for (const auto &[reason, name] : Common::EnumNames<Http::EvictionReason>::table) {
        const auto index = static_cast<std::size_t>(reason);
        note("callers_closed", name, memory.evictions.at(index), this->reportedEvictions.at(index));
        note("callers_refused", name, memory.refusals.at(index), this->reportedRefusals.at(index));
    }
    if (!hasNews)
        return;
    line.number("heldBytes", static_cast<std::int64_t>(Http::heldBytes(memory)))
        .number("mostBytes", static_cast<std::int64_t>(memory.maxBytes))
        .number("connections", static_cast<std::int64_t>(memory.holders.size()));
    this->state.log.write(line, now);
}

} // namespace Tanagerbay::Entry
