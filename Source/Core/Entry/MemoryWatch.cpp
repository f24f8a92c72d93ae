#include "Entry/MemoryWatch.h"

#include <algorithm>

#include <malloc.h>

namespace Tanagerbay::Entry {

namespace {

constexpr Common::Milliseconds kLookInterval{1000};
// Blocks of this size and more are mappings of their own, so that the system gets them back as soon
// as they are freed. Without a fixed value, the allocator raises it with each large block, and what
// a crowd has held stays with the process.
constexpr int kMappedBlockBytes = 128 << 10;
// By how much the free bytes between used blocks must have grown before they are given back. Those
// given back before still count as free. This alone decides: a share of the memory besides would
// let a process keep what a crowd has held as long as that is less than the share.
constexpr std::size_t kMaxFreeGrowth = 4 << 20;

} // namespace

MemoryWatch::MemoryWatch(State &state) : state(state)
{
}

void MemoryWatch::start()
{
    this->boundAllocator();
    this->applyBounds(0);
}

void MemoryWatch::boundAllocator()
{
    if (this->isAllocatorBound || this->state.settings.memoryBytes == 0)
        return;
    ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, kMappedBlockBytes);
    this->isAllocatorBound = true;
}

void MemoryWatch::look(Common::Time now)
{
    if (now - this->lookedAt < kLookInterval)
        return;
    this->lookedAt = now;
    // The settings may have been read again.
    this->boundAllocator();
    std::size_t usedBytes = 0;
    if (this->state.settings.memoryBytes > 0) {
        const struct ::mallinfo2 heap = ::mallinfo2();
        usedBytes = heap.uordblks + heap.hblkhd;
        this->trim(heap.fordblks);
    }
    this->applyBounds(usedBytes);
    this->report(now);
}

void MemoryWatch::trim(std::size_t freeBytes)
{
    this->leastFreeBytes = std::min(this->leastFreeBytes, freeBytes);
    if (freeBytes <= this->leastFreeBytes + kMaxFreeGrowth)
        return;
    ::malloc_trim(0);
    this->leastFreeBytes = freeBytes;
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
