// The waiting pieces of a stage queue in scheduling order.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Adds a piece to the waiting ones.
void addWaiting(StageQueue &queue, PieceTicket ticket, const PieceRequest &request);

// Removes a piece from the waiting ones, if it waits.
void removeWaiting(StageQueue &queue, PieceTicket ticket, const PieceRequest &request);

// Moves the groups that can no longer be on time behind those that can, and under
// `QueueOrder::LeastCost` those back that would be refused if they waited on.
void moveLateGroups(StageQueue &queue, Common::Time now);

// Returns the groups whose requests are of no use from `limit` on.
std::vector<GroupId> groupsExpiringBy(const WaitingPieces &waiting, Common::Time limit);

} // namespace Tanagerbay::Staging
