// One caller of the load generator: one request with its retries, until the answer or a time-out.
#pragma once

#include "Load/EntryDirectory.h"
#include "Load/Report.h"
#include "Load/Workload.h"

namespace Tanagerbay::Load {

// Sends the request to an entry, retries it, if need be at another entry, where the error permits
// that, and verifies the answer.
Http::Awaitable<AnswerRecord> runRequest(Http::Client &client, EntryDirectory &directory,
                                         PlannedRequest planned);

} // namespace Tanagerbay::Load
