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

std::uint64_t maxUnfetchedBytes(const StageQueue &queue)
{
    const auto endpoints = static_cast<double>(
        std::count_if(queue.endpoints.begin(), queue.endpoints.end(),
                      [](const auto &entry) { return !entry.second.endpoint.isEvacuated; }));
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

std::uint64_t usedResultMemory(const StageEndpoint &endpoint)
{
    return endpoint.held.bytes + endpoint.reservedBytes;
}

void holdResult(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle,
                std::uint64_t bytes, Time now)
{
    HeldResults &held = endpoint.held;
    if (!held.byHandle.emplace(handle, HeldResult{bytes, now, false}).second)
        return;
    held.byExpiry.emplace_back(now + queue.batching.resultLifetime, handle);
    held.bytes += bytes;
    if (!countsTowardUnfetchedLimit(queue.batching, bytes))
        return;
    held.unfetchedBytes += bytes;
    queue.unfetchedBytes += bytes;
}

namespace {

void subtractUnfetched(StageQueue &queue, HeldResults &held, const HeldResult &result)
{
    if (result.isEvictable || !countsTowardUnfetchedLimit(queue.batching, result.bytes))
        return;
    // The limit by which results count may have changed with the catalog meanwhile.
    const std::uint64_t bytes = std::min(result.bytes, held.unfetchedBytes);
    held.unfetchedBytes -= bytes;
    queue.unfetchedBytes -= std::min(bytes, queue.unfetchedBytes);
}

} // namespace

void markResultEvictable(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle,
                         Time now)
{
    const auto found = endpoint.held.byHandle.find(handle);
    if (found == endpoint.held.byHandle.end() || found->second.isEvictable)
        return;
    recordFetchDelay(queue, found->second, now);
    subtractUnfetched(queue, endpoint.held, found->second);
    found->second.isEvictable = true;
    endpoint.held.evictable.push_back(handle);
}

bool dropResult(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle)
{
    const auto found = endpoint.held.byHandle.find(handle);
    if (found == endpoint.held.byHandle.end())
        return false;
    subtractUnfetched(queue, endpoint.held, found->second);
    endpoint.held.bytes -= found->second.bytes;
    endpoint.held.byHandle.erase(found);
    return true;
}

void dropExpiredResults(StageQueue &queue, StageEndpoint &endpoint, Time now)
{
    auto &byExpiry = endpoint.held.byExpiry;
    while (!byExpiry.empty() && byExpiry.front().first <= now) {
        dropResult(queue, endpoint, byExpiry.front().second);
        byExpiry.pop_front();
    }
}

void dropAllResults(StageQueue &queue, StageEndpoint &endpoint)
{
    queue.unfetchedBytes -= std::min(queue.unfetchedBytes, endpoint.held.unfetchedBytes);
    endpoint.held = {};
}

std::vector<std::string> evictResults(StageQueue &queue, StageEndpoint &endpoint,
                                      std::uint64_t neededBytes)
{
    std::vector<std::string> evicted;
    auto &evictable = endpoint.held.evictable;
    while (!evictable.empty()
           && usedResultMemory(endpoint) + neededBytes > usableResultMemory(queue.batching)) {
        if (dropResult(queue, endpoint, evictable.front()))
            evicted.push_back(evictable.front());
        evictable.pop_front();
    }
    return evicted;
}

} // namespace Tanagerbay::Staging
