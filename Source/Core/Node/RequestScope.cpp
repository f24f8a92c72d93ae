#include "Node/RequestScope.h"

#include <charconv>

#include <boost/json.hpp>

namespace Tanagerbay::Node {

namespace json = boost::json;

namespace {

constexpr Common::Milliseconds kDrainingRetryAfter{100};

std::uint32_t numberOf(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains({key.data(), key.size()});
    if (!member || !member->is_int64() || member->get_int64() < 0)
        return 0;
    return static_cast<std::uint32_t>(member->get_int64());
}

} // namespace

std::optional<Routing::LoadReport> parseLoadReport(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    boost::system::error_code error;
    const json::value document = json::parse({text.data(), text.size()}, error);
    if (error || !document.is_object())
        return std::nullopt;
    const json::object &object = document.get_object();
    Routing::LoadReport report;
    report.running = numberOf(object, "running");
    report.waiting = numberOf(object, "waiting");
    report.slots = numberOf(object, "slots");
    const json::value *leaving = object.if_contains("leaving");
    report.leaving = leaving && leaving->is_bool() && leaving->get_bool();
    return report;
}

Common::Duration parseMicros(std::string_view text)
{
    std::int64_t micros = 0;
    std::from_chars(text.data(), text.data() + text.size(), micros);
    return std::chrono::microseconds(micros);
}

Common::Error runError(const RequestScope &scope, Common::ErrorCode code, std::string message)
{
    Common::Error error;
    error.code = code;
    error.message = std::move(message);
    error.ran = scope.anyBytesSent ? Common::Ran::Maybe : Common::Ran::No;
    return error;
}

void endAtDrainTimeout(RequestScope &scope)
{
    if (scope.exchange.started())
        return;
    scope.mustEnd = true;
    if (scope.cancelCalls)
        scope.cancelCalls();
}

Common::Error drainTimeoutError(const RequestScope &scope)
{
    if (scope.anyBytesSent) {
        return runError(scope, Common::ErrorCode::EndpointFailed,
                        "this instance's drain time-out passed before the endpoint had replied");
    }
    return {Common::ErrorCode::Draining, "this instance is draining; use another entry instance",
            Common::Ran::No, kDrainingRetryAfter};
}

std::string errorBody(const Common::Error &error)
{
    json::object entry{
        {"code", Common::nameOf(error.code)},
        {"message", error.message},
        {"ran", Common::nameOf(error.ran)},
    };
    if (error.retryAfter)
        entry["retryAfterMs"] = error.retryAfter->count();
    return json::serialize(json::object{{"error", entry}});
}

Http::Response errorResponse(const Common::Error &error)
{
    Http::Response response
        = Http::jsonResponse(Common::httpStatusOf(error.code), errorBody(error));
    if (error.retryAfter) {
        // The header holds whole seconds; rounded up so that no caller retries too early.
        const std::int64_t seconds = (error.retryAfter->count() + 999) / 1000;
        response.headers.add("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace Tanagerbay::Node
