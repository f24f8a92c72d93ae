// Accounting of the result memory at the endpoints of a stage service.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Bytes of an endpoint's result memory that calls may fill.
std::uint64_t usableResultMemory(const Catalog::Batching &batching);

// Whether results of this size are large enough to count against the limit on unfetched results.
bool countsTowardUnfetchedLimit(const Catalog::Batching &batching, std::uint64_t resultBytes);

// Bytes of unfetched results over all endpoints, including those that open calls will produce.
std::uint64_t unfetchedBytes(const StageQueue &queue);

// Limit on unfetched bytes over all endpoints.
std::uint64_t maxUnfetchedBytes(const StageQueue &queue);

// Adjusts the limit on unfetched results to the time that `held` waited until it was fetched.
void recordFetchDelay(StageQueue &queue, const HeldResult &held, Common::Time now);

// Bytes of the endpoint's memory occupied by results or reserved by calls in flight.
std::uint64_t usedResultMemory(const StageQueue &queue, const StageEndpoint &endpoint);

void dropExpiredResults(StageEndpoint &endpoint, Common::Time now);

} // namespace Tanagerbay::Staging
