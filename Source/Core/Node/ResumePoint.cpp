#include "Node/ResumePoint.h"

#include "Common/Hash.h"
#include "Pipeline/Wire.h"

#include <charconv>

namespace Tanagerbay::Node {

namespace Wire = Pipeline::Wire;

using Common::ErrorCode;

std::string streamOwner(const Common::WorkspaceId &workspace, const Common::RequestId &request)
{
    return Common::digestOf(std::to_string(workspace.value.size()) + ":" + workspace.value + "/"
                            + request.value);
}

Common::Result<std::optional<ResumePoint>> readResumePoint(const RequestScope &scope)
{
    const Http::Headers &headers = scope.exchange.request().headers;
    const std::string_view last = headers.find("Last-Event-ID");
    const std::string_view id = headers.find(Wire::kStreamId);
    if (last.empty())
        return std::nullopt;
    ResumePoint point;
    std::uint64_t lastToken = 0;
    const auto parsed = std::from_chars(last.data(), last.data() + last.size(), lastToken);
    const std::size_t slash = id.find('/');
    const bool readable = parsed.ec == std::errc() && parsed.ptr == last.data() + last.size()
        && slash != std::string_view::npos;
    if (!readable) {
        return Common::notRun(
            ErrorCode::BadInput,
            "to go on with a stream, send Last-Event-ID, Stream-Id and Request-Id");
    }
    point.engine = Common::EndpointId(std::string(id.substr(0, slash)));
    point.streamName = std::string(id.substr(slash + 1));
    point.tokensHeld = lastToken + 1;
    if (!point.streamName.starts_with(streamOwner(scope.access.workspace->id, scope.requestId)
                                      + "-"))
        return Common::notRun(ErrorCode::NotAllowed, "the stream belongs to another request");
    return point;
}

} // namespace Tanagerbay::Node
