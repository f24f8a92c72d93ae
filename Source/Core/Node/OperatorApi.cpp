#include "Node/OperatorApi.h"

#include "Common/Hash.h"
#include "Node/RequestScope.h"
#include "Node/StateDump.h"

#include <charconv>

namespace Tanagerbay::Node {

namespace json = boost::json;

using Common::ErrorCode;

namespace {

constexpr Common::Milliseconds kDefaultInForceTimeout{10'000};
constexpr std::int64_t kMaxInForceTimeoutMs = 120'000;

Http::Response refuse(ErrorCode code, std::string message)
{
    return errorResponse(Common::Error{code, std::move(message)});
}

// Parses a version from a quoted entity tag. Returns false if the text is not one.
bool parseVersion(std::string_view text, std::uint64_t &version)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return false;
    const std::string_view digits = text.substr(1, text.size() - 2);
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, version);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

std::string quotedVersion(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

json::array toJson(const std::vector<Common::InstanceId> &ids)
{
    json::array list;
    for (const Common::InstanceId &id : ids)
        list.emplace_back(id.value);
    return list;
}

json::array toJson(const std::vector<std::string> &lines)
{
    json::array list;
    for (const std::string &line : lines)
        list.emplace_back(line);
    return list;
}

Http::Response describeEdit(const EditOutcome &outcome)
{
    using Kind = EditOutcome::Kind;
    json::object body{{"version", outcome.version}, {"lines", toJson(outcome.lines)}};
    if (!outcome.editId.empty())
        body["editId"] = outcome.editId;
    unsigned status = 500;
    switch (outcome.kind) {
    case Kind::InForce:
        status = 200;
        body["state"] = "in-force";
        break;
    case Kind::Committed:
        status = 202;
        body["state"] = "committed";
        body["missing"] = toJson(outcome.missing);
        break;
    case Kind::Conflict:
        status = 412;
        body["state"] = "conflict";
        break;
    case Kind::Rejected:
        status = 400;
        body["state"] = "rejected";
        break;
    case Kind::NeedsConfirmation:
        status = 409;
        body["state"] = "needs-confirmation";
        break;
    case Kind::Unknown:
        status = 503;
        body["state"] = "unknown";
        break;
    }
    Http::Response response = Http::jsonResponse(status, json::serialize(body));
    if (outcome.version > 0)
        response.headers.add("ETag", quotedVersion(outcome.version));
    return response;
}

} // namespace

OperatorApi::OperatorApi(SharedState &shared, ListSync &lists, std::function<void()> drain)
    : shared(shared), lists(lists), drain(std::move(drain))
{
}

bool OperatorApi::isAuthorized(const Http::Request &request) const
{
    constexpr std::string_view kScheme = "Bearer ";
    const std::string_view value = request.headers.find("Authorization");
    if (!value.starts_with(kScheme))
        return false;
    return Common::secretDigestOf(value.substr(kScheme.size()))
        == this->shared.settings.operatorPort.tokenSha256;
}

Http::Awaitable<void> OperatorApi::handle(Http::Exchange &exchange)
{
    const InProgressGuard guard(this->shared.operatorRequestsInProgress);
    const Http::Request &request = exchange.request();
    const std::string_view path = Http::splitTarget(request.target).path;
    Http::Response response;
    if (path == "/healthz") {
        response = Http::jsonResponse(200, R"({"ok":true})");
    } else if (path == "/readyz") {
        const bool ready
            = this->shared.phase.load() == Phase::Serving && !this->shared.isCutOff(clockNow());
        response = Http::jsonResponse(ready ? 200 : 503,
                                      ready ? R"({"ready":true})" : R"({"ready":false})");
    } else if (!this->isAuthorized(request)) {
        response = refuse(ErrorCode::Unauthenticated, "the operator's bearer token is required");
    } else {
        response = co_await this->answer(request);
    }
    co_await exchange.respond(std::move(response));
}

Http::Awaitable<Http::Response> OperatorApi::answer(const Http::Request &request)
{
    const Http::Target target = Http::splitTarget(request.target);
    const auto segments = Http::pathSegments(target.path);
    if (target.path == "/metrics") {
        Http::Response response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = renderMetrics(this->shared, clockNow());
        co_return response;
    }
    if (target.path == "/v1/state")
        co_return Http::jsonResponse(200, json::serialize(dumpState(this->shared, clockNow())));
    if (target.path == "/v1/drain" && request.method == "POST") {
        this->drain();
        co_return Http::jsonResponse(202, R"({"draining":true})");
    }
    if (segments.size() >= 3 && segments[1] == "lists")
        co_return co_await this->answerLists(request, target.path, target.query);
    co_return refuse(ErrorCode::NotFound, "no such path");
}

Http::Awaitable<Http::Response> OperatorApi::answerLists(const Http::Request &request,
                                                         std::string_view path,
                                                         std::string_view query)
{
    const auto segments = Http::pathSegments(path);
    const auto kind = Common::valueNamed<Lists::ListKind>(segments[2]);
    if (!kind)
        co_return refuse(ErrorCode::NotFound, "unknown list; the lists are plans and entitlements");
    if (segments.size() == 4 && segments[3] == "status")
        co_return this->listStatus(*kind);
    if (request.method == "GET") {
        co_await this->lists.poll();
        co_return this->getList(*kind);
    }
    if (request.method == "PUT")
        co_return co_await this->putList(request, *kind, query);
    co_return refuse(ErrorCode::BadInput, "the method must be GET or PUT");
}

Http::Response OperatorApi::getList(Lists::ListKind kind) const
{
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const Lists::Document &document = lists->document(kind);
    if (document.version == 0) {
        Http::Response response = refuse(ErrorCode::NotFound, "the list has not been written yet");
        response.headers.add("ETag", quotedVersion(0));
        return response;
    }
    Http::Response response = Http::jsonResponse(200, document.body);
    response.headers.add("ETag", quotedVersion(document.version));
    response.headers.add("Edit-Id", document.editId);
    return response;
}

Http::Response OperatorApi::listStatus(Lists::ListKind kind) const
{
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const std::uint64_t version = lists->document(kind).version;
    Lists::Versions wanted;
    (kind == Lists::ListKind::Plans ? wanted.plans : wanted.entitlements) = version;
    const auto missing = this->lists.missing(wanted);
    return Http::jsonResponse(200,
                              json::serialize(json::object{
                                  {"version", version},
                                  {"state", missing.empty() ? "in-force" : "committed"},
                                  {"missing", toJson(missing)},
                              }));
}

Http::Awaitable<Http::Response> OperatorApi::putList(const Http::Request &request,
                                                     Lists::ListKind kind, std::string_view query)
{
    Edit edit;
    edit.kind = kind;
    edit.body = request.body;
    edit.acceptWarnings = Http::queryValue(query, "acceptWarnings") == "true";
    edit.inForceTimeout = kDefaultInForceTimeout;
    const std::string_view wait = Http::queryValue(query, "waitMs");
    std::int64_t waitMs = 0;
    if (std::from_chars(wait.data(), wait.data() + wait.size(), waitMs).ec == std::errc())
        edit.inForceTimeout
            = Common::Milliseconds(std::clamp<std::int64_t>(waitMs, 0, kMaxInForceTimeoutMs));
    if (!parseVersion(request.headers.find("If-Match"), edit.expectedVersion)) {
        co_return refuse(ErrorCode::BadInput,
                         "If-Match must hold the list's ETag, or \"0\" for the first edit");
    }
    const EditOutcome outcome = co_await this->lists.apply(std::move(edit));
    co_return describeEdit(outcome);
}

} // namespace Tanagerbay::Node
