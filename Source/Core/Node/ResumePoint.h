// The position at which a caller resumes a stream after its connection was lost.
#pragma once

#include "Node/RequestScope.h"

namespace Tanagerbay::Node {

struct ResumePoint
{
    Common::EndpointId engine;
    // The engine's name for the stream.
    std::string streamName;
    // Version of the software of the engine that began the stream, empty if the engine states none.
    // Unset if the stream id does not contain it, as ids of earlier releases.
    std::optional<std::string> version;
    // Number of tokens that the caller already has.
    std::uint64_t callerTokenCount = 0;
};

// Returns the prefix of the names of a request's streams. It binds a stream to its workspace and
// request, so that no other request can resume it.
std::string streamNamePrefix(const Common::WorkspaceId &workspace,
                             const Common::RequestId &request);

// Returns the `Stream-Id` that a caller sends back to resume a stream.
std::string formatStreamId(const Common::EndpointId &engine, std::string_view streamName,
                           std::string_view version);

// Reads `Stream-Id` and `Last-Event-ID`. Returns nothing if the caller sent no `Last-Event-ID`, and
// an error if the headers are malformed or belong to another request.
Common::Result<std::optional<ResumePoint>> readResumePoint(const RequestScope &scope);

} // namespace Tanagerbay::Node
