// One caller's request while it is handled: who asked, until when, and how to cancel it.
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
    // Keeps alive what `access` points to.
    Lists::SnapshotPtr lists;
    Lists::Access access;
    std::string action;
    Common::RequestId requestId;
    Lists::ServiceLevel serviceLevel;
    Common::Time startedAt;
    Common::Time deadline;
    // True once the caller has closed its connection.
    bool callerGone = false;
    // Cancels the calls in progress for the request.
    std::function<void()> cancelCalls;
    // Whether any byte of the request's work reached an endpoint.
    bool anyWritten = false;
};

// Reads the load report of a reply. Returns nothing where it is absent or malformed.
std::optional<Routing::LoadReport> parseLoadReport(std::string_view text);

// Reads a duration in microseconds. Returns zero where it is absent or malformed.
Common::Duration parseMicros(std::string_view text);

// The error of a run that ended without an answer, told truthfully.
Common::Error runError(const RequestScope &scope, Common::ErrorCode code, std::string message);

// Body of an error response.
std::string errorBody(const Common::Error &error);
Http::Response errorResponse(const Common::Error &error);

} // namespace Tanagerbay::Node
