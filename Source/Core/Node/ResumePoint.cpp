#include "Node/ResumePoint.h"

#include "Common/Hash.h"
#include "Pipeline/Wire.h"

#include <charconv>

namespace Tanagerbay::Node {

namespace Wire = Pipeline::Wire;

using Common::ErrorCode;

std::string streamNamePrefix(const Common::WorkspaceId &workspace, const Common::RequestId &request)
{
    return Common::digestOf(std::to_string(workspace.value.size()) + ":" + workspace.value + "/"
                            + request.value);
}

std::string formatStreamId(const Common::EndpointId &engine, std::string_view streamName,
                           std::string_view version)
{
    std::string id = engine.value;
    id.append("/").append(streamName).append("/").append(version);
    return id;
}

Common::Result<std::optional<ResumePoint>> readResumePoint(const RequestScope &scope)
{
    const Http::Headers &headers = scope.exchange.request().headers;
    const std::string_view lastEventId = headers.find("Last-Event-ID");
    const std::string_view streamId = headers.find(Wire::kStreamId);
    if (lastEventId.empty())
        return std::nullopt;
    ResumePoint point;
    std::uint64_t lastToken = 0;
    const auto parsed
        = std::from_chars(lastEventId.data(), lastEventId.data() + lastEventId.size(), lastToken);
    const std::size_t slash = streamId.find('/');
    const bool isValid = parsed.ec == std::errc()
        && parsed.ptr == lastEventId.data() + lastEventId.size() && slash != std::string_view::npos;
    if (!isValid) {
        return Common::notRun(ErrorCode::BadInput,
                              "resuming a stream requires Last-Event-ID, Stream-Id and Request-Id");
    }
    point.engine = Common::EndpointId(std::string(streamId.substr(0, slash)));
    const std::string_view rest = streamId.substr(slash + 1);
    const std::size_t nameEnd = rest.find('/');
    point.streamName = std::string(rest.substr(0, nameEnd));
    if (nameEnd != std::string_view::npos)
        point.version = std::string(rest.substr(nameEnd + 1));
    point.callerTokenCount = lastToken + 1;
    if (!point.streamName.starts_with(streamNamePrefix(scope.access.workspace->id, scope.requestId)
                                      + "-"))
        return Common::notRun(ErrorCode::NotAllowed, "the stream belongs to another request");
    return point;
}

} // namespace Tanagerbay::Node
