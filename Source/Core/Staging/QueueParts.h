// What the queue and the composition of its calls share.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// Whether the piece can no longer be on time.
bool isLate(const PieceRequest &request, Common::Time now);

// Whether the endpoint may get calls at all.
bool isUsable(const StageEndpoint &endpoint, Common::Time now);

// Forgets a piece, also where it waits.
void settle(StageQueue &queue, PieceTicket ticket);

} // namespace Tanagerbay::Staging
