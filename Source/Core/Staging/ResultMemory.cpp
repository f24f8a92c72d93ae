#include "Staging/ResultMemory.h"

#include <algorithm>

namespace Tanagerbay::Staging {

using Common::Time;

namespace {

// Fraction of the result memory that is allocated; the rest is a margin, since result sizes in the
// catalog are approximate.
constexpr double kUsableMemoryFraction = 0.92;
// Results of at least this fraction of the result memory count against the limit on unfetched
// results.
constexpr double kMinCountedResultFraction = 0.01;
// Results should wait no longer than this for the consuming stage: about half of one of its calls
// plus the delay after which inputs count as fetched.
constexpr Common::Milliseconds kFetchDelayTarget{250};
// Relative change of `maxUnfetchedFraction` per fetched result. About twenty results are fetched
// during one call.
constexpr double kUnfetchedFractionStep = 0.01;
constexpr double kMinUnfetchedFraction = 0.25;

} // namespace

std::uint64_t usableResultMemory(const Catalog::Batching &batching)
{
    return static_cast<std::uint64_t>(static_cast<double>(batching.resultMemoryBytes)
                                      * kUsableMemoryFraction);
}

bool countsTowardUnfetchedLimit(const Catalog::Batching &batching, std::uint64_t resultBytes)
{
    return static_cast<double>(resultBytes)
        >= kMinCountedResultFraction * static_cast<double>(batching.resultMemoryBytes);
}

std::uint64_t unfetchedBytes(const StageQueue &queue)
{
    std::uint64_t bytes = 0;
    for (const auto &[id, endpoint] : queue.endpoints) {
        for (const HeldResult &held : endpoint.held)
            bytes += held.isEvictable || !countsTowardUnfetchedLimit(queue.batching, held.bytes)
                ? 0
                : held.bytes;
    }
    for (const auto &[number, call] : queue.calls)
        bytes += call.reservedBytes;
    return bytes;
}

std::uint64_t maxUnfetchedBytes(const StageQueue &queue)
{
    const auto endpoints = static_cast<double>(queue.endpoints.size());
    const auto usableBytes = static_cast<double>(usableResultMemory(queue.batching));
    return static_cast<std::uint64_t>(queue.maxUnfetchedFraction * endpoints * usableBytes);
}

void recordFetchDelay(StageQueue &queue, const HeldResult &held, Time now)
{
    if (held.isEvictable || !countsTowardUnfetchedLimit(queue.batching, held.bytes))
        return;
    const double step
        = now - held.madeAt > kFetchDelayTarget ? -kUnfetchedFractionStep : kUnfetchedFractionStep;
    queue.maxUnfetchedFraction
        = std::clamp(queue.maxUnfetchedFraction * (1 + step), kMinUnfetchedFraction, 1.0);
}

std::uint64_t usedResultMemory(const StageQueue &queue, const StageEndpoint &endpoint)
{
    std::uint64_t bytes = 0;
    for (const HeldResult &result : endpoint.held)
        bytes += result.bytes;
    for (const auto &[number, call] : queue.calls) {
        if (call.endpoint == endpoint.endpoint.id)
            bytes += call.reservedBytes;
    }
    return bytes;
}

void dropExpiredResults(StageEndpoint &endpoint, Time now)
{
    std::erase_if(endpoint.held, [now](const HeldResult &held) { return held.expiresAt <= now; });
}

} // namespace Tanagerbay::Staging
