// Where a caller whose stream was cut off goes on with it.
#pragma once

#include "Node/RequestScope.h"

namespace Tanagerbay::Node {

struct ResumePoint
{
    Common::EndpointId engine;
    // The engine's name for the stream.
    std::string streamName;
    // Tokens that the caller holds.
    std::uint64_t tokensHeld = 0;
};

// The first part of the names of a request's streams. It ties a stream to the workspace and the
// request, so that nobody can take up another's.
std::string streamOwner(const Common::WorkspaceId &workspace, const Common::RequestId &request);

// Reads `Stream-Id` and `Last-Event-ID`. Returns nothing where the caller sent none, and an error
// where they do not belong to the request.
Common::Result<std::optional<ResumePoint>> readResumePoint(const RequestScope &scope);

} // namespace Tanagerbay::Node
