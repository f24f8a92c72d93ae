// Accounting of the result memory at the endpoints of a stage service.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Bytes of an endpoint's result memory that calls may fill.
std::uint64_t usableResultMemory(const Catalog::Batching &batching);

// Whether results of this size are large enough to count against the limit on unfetched results.
bool countsTowardUnfetchedLimit(const Catalog::Batching &batching, std::uint64_t resultBytes);

// Limit on unfetched bytes over all endpoints.
std::uint64_t maxUnfetchedBytes(const StageQueue &queue);

// Adjusts the limit on unfetched results to the time that `held` waited until it was fetched.
void recordFetchDelay(StageQueue &queue, const HeldResult &held, Common::Time now);

// Bytes of the endpoint's memory occupied by results or reserved by calls in flight.
std::uint64_t usedResultMemory(const StageEndpoint &endpoint);

void holdResult(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle,
                std::uint64_t bytes, Common::Time now);

// Marks a result as most likely fetched, if it is held.
void markResultEvictable(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle,
                         Common::Time now);

// Returns whether the result was held.
bool dropResult(StageQueue &queue, StageEndpoint &endpoint, const std::string &handle);

void dropExpiredResults(StageQueue &queue, StageEndpoint &endpoint, Common::Time now);

void dropAllResults(StageQueue &queue, StageEndpoint &endpoint);

// Drops evictable results, oldest mark first, until the endpoint has `neededBytes` free. Returns
// their handles.
std::vector<std::string> evictResults(StageQueue &queue, StageEndpoint &endpoint,
                                      std::uint64_t neededBytes);

} // namespace Tanagerbay::Staging
