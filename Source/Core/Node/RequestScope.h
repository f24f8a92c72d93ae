// State of a caller's request while it is handled: its access rights, its deadline and how to
// cancel it.
#pragma once

#include "Http/Server.h"
#include "Lists/Snapshot.h"
#include "Node/SharedState.h"
#include "Node/Worker.h"

namespace Tanagerbay::Node {

struct RequestScope
{
    Worker &worker;
    SharedState &shared;
    Http::Exchange &exchange;
    // Owns the objects that `access` points to.
    Lists::SnapshotPtr lists;
    Lists::Access access;
    // Name of the pipeline or service.
    std::string action;
    Common::RequestId requestId;
    Lists::ServiceLevel serviceLevel;
    Common::Time startedAt;
    Common::Time deadline;
    // True once the caller has closed the connection.
    bool callerGone = false;
    // Cancels the calls in progress for the request; null if there are none.
    std::function<void()> cancelCalls;
    // True once the drain time-out has passed. Nothing more is sent for the request, so that it is
    // answered before its connection closes.
    bool mustEnd = false;
    // True if any byte of a call for this request may have reached an endpoint.
    bool anyBytesSent = false;
};

// Parses the load report of a reply. Returns nothing if it is missing or malformed.
std::optional<Routing::LoadReport> parseLoadReport(std::string_view text);

// Parses a duration in microseconds. Returns zero if it is missing or malformed.
Common::Duration parseMicros(std::string_view text);

// Returns the error for a run that ended without a result. Whether it ran is derived from
// `anyBytesSent`.
Common::Error runError(const RequestScope &scope, Common::ErrorCode code, std::string message);

// Ends a request because the drain time-out has passed, unless its response has begun.
void endAtDrainTimeout(RequestScope &scope);
// Returns the error for a request that `endAtDrainTimeout` has ended.
Common::Error drainTimeoutError(const RequestScope &scope);

// Returns the body of an error response.
std::string errorBody(const Common::Error &error);
Http::Response errorResponse(const Common::Error &error);

} // namespace Tanagerbay::Node
