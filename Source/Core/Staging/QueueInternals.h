// Functions shared by the stage queue and batch composition.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Whether the piece can no longer meet the objective of its request.
bool isLate(const PieceRequest &request, Common::Time now);

// Whether the endpoint may get calls at all: it is listed as live, has no overdue call and is
// eligible for routing. It may still be busy.
bool isUsable(const StageEndpoint &endpoint, Common::Time now);

// Time from which the call is overdue.
Common::Time overdueTime(const OpenCall &call);

// Removes a piece from the queue's pieces and from the waiting list.
void erasePiece(StageQueue &queue, PieceTicket ticket);

} // namespace Tanagerbay::Staging
