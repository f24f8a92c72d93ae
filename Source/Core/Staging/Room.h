// The room for results at the endpoints of a stage service, and who takes it.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Bytes of an endpoint's room that calls may fill.
std::uint64_t usableRoom(const Catalog::Batching &batching);

// Whether results of this size are what fills the room.
bool fillsRoom(const Catalog::Batching &batching, std::uint64_t resultBytes);

// Bytes of results that are made or being made and that nobody has fetched yet.
std::uint64_t unfetchedBytes(const StageQueue &queue);

// Most bytes that may be unfetched, over all endpoints.
std::uint64_t mostUnfetchedBytes(const StageQueue &queue);

// Follows how long results wait until they are fetched.
void noteFetchDelay(StageQueue &queue, const HeldResult &held, Common::Time now);

// Bytes that results and calls in progress take at the endpoint.
std::uint64_t usedRoom(const StageQueue &queue, const StageEndpoint &endpoint);

void dropLapsedResults(StageEndpoint &endpoint, Common::Time now);

} // namespace Tanagerbay::Staging
