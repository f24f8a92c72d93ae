#include "Staging/Room.h"

#include <algorithm>

namespace Tanagerbay::Staging {

using Common::Time;

namespace {

// Results are of about the size that the catalog names; this part of the room is filled by it.
constexpr double kUsableRoom = 0.92;
// Results from this part of the room on are what fills it.
constexpr double kNoticeableResult = 0.01;
// Results should wait no longer than this for the stage that uses them, about half a call of it,
// with the time after which they count as fetched.
constexpr Common::Milliseconds kFetchDelayTarget{250};
// Change of the share for one result; some twenty results are fetched in the time of a call.
constexpr double kShareStep = 0.01;
constexpr double kLeastUnfetchedShare = 0.25;

} // namespace

std::uint64_t usableRoom(const Catalog::Batching &batching)
{
    return static_cast<std::uint64_t>(static_cast<double>(batching.resultMemoryBytes)
                                      * kUsableRoom);
}

bool fillsRoom(const Catalog::Batching &batching, std::uint64_t resultBytes)
{
    return static_cast<double>(resultBytes)
        >= kNoticeableResult * static_cast<double>(batching.resultMemoryBytes);
}

std::uint64_t unfetchedBytes(const StageQueue &queue)
{
    std::uint64_t bytes = 0;
    for (const auto &[id, endpoint] : queue.endpoints) {
        for (const HeldResult &held : endpoint.held)
            bytes += held.isSpare || !fillsRoom(queue.batching, held.bytes) ? 0 : held.bytes;
    }
    for (const auto &[number, call] : queue.calls)
        bytes += call.reservedBytes;
    return bytes;
}

std::uint64_t mostUnfetchedBytes(const StageQueue &queue)
{
    const auto endpoints = static_cast<double>(queue.endpoints.size());
    const auto room = static_cast<double>(usableRoom(queue.batching));
    return static_cast<std::uint64_t>(queue.unfetchedShare * endpoints * room);
}

void noteFetchDelay(StageQueue &queue, const HeldResult &held, Time now)
{
    if (held.isSpare || !fillsRoom(queue.batching, held.bytes))
        return;
    const double step = now - held.madeAt > kFetchDelayTarget ? -kShareStep : kShareStep;
    queue.unfetchedShare = std::clamp(queue.unfetchedShare * (1 + step), kLeastUnfetchedShare, 1.0);
}

std::uint64_t usedRoom(const StageQueue &queue, const StageEndpoint &endpoint)
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

void dropLapsedResults(StageEndpoint &endpoint, Time now)
{
    std::erase_if(endpoint.held, [now](const HeldResult &held) { return held.until <= now; });
}

} // namespace Tanagerbay::Staging
