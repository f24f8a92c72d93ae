#include "Node/ServiceHandler.h"

#include "Node/OnceCall.h"
#include "Node/StageCall.h"

namespace Tanagerbay::Node {

namespace {

std::string contentTypeOf(const Http::Request &request)
{
    const std::string_view type = request.headers.find("Content-Type");
    return type.empty() ? "application/octet-stream" : std::string(type);
}

Http::Awaitable<RequestOutcome>
handleIdempotent(RequestScope &scope, const Pipeline::ServiceDefinition &service, std::string path)
{
    Pipeline::Run run;
    run.id = Common::RunId(randomId(scope.worker.random));
    run.startedAt = scope.startedAt;
    run.deadline = scope.deadline;
    run.stageCount = 1;
    StageCall call;
    call.pool = service.pool;
    call.target = "/v1/call/" + path;
    call.body = scope.exchange.request().body;
    call.contentType = contentTypeOf(scope.exchange.request());
    call.deadline = scope.deadline;
    auto reply = co_await callStage(scope, run, std::move(call));
    if (!reply)
        co_return co_await respondWithError(scope, std::move(reply.error()));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    Http::Response response;
    response.status = reply->status;
    response.headers.add("Content-Type", reply->headers.find("Content-Type"));
    response.headers.add("Request-Id", scope.requestId.value);
    response.body = std::move(reply->body);
    outcome.answered = co_await scope.exchange.respond(std::move(response));
    co_return outcome;
}

Http::Awaitable<RequestOutcome> handleAtMostOnce(RequestScope &scope,
                                                 const Pipeline::ServiceDefinition &service,
                                                 std::string path, OutcomeWriter &outcomeWriter)
{
    const std::string_view key = scope.exchange.request().headers.find("Idempotency-Key");
    if (key.empty()) {
        Common::Error error{Common::ErrorCode::BadInput,
                            "an Idempotency-Key is required because the service is not idempotent"};
        co_return co_await respondWithError(scope, std::move(error));
    }
    OnceRequest request;
    request.pool = service.pool;
    request.service = service.name;
    request.path = std::move(path);
    request.key = Common::IdempotencyKey(std::string(key));
    request.contentType = contentTypeOf(scope.exchange.request());
    auto answer = co_await callOnce(scope, std::move(request), outcomeWriter);
    if (!answer)
        co_return co_await respondWithError(scope, std::move(answer.error()));
    RequestOutcome outcome;
    outcome.ran = Common::Ran::Yes;
    answer->headers.add("Request-Id", scope.requestId.value);
    outcome.answered = co_await scope.exchange.respond(std::move(*answer));
    co_return outcome;
}

} // namespace

Http::Awaitable<RequestOutcome> handleService(RequestScope &scope,
                                              const Pipeline::ServiceDefinition &service,
                                              std::string path, OutcomeWriter &outcomeWriter)
{
    if (service.idempotent)
        co_return co_await handleIdempotent(scope, service, std::move(path));
    co_return co_await handleAtMostOnce(scope, service, std::move(path), outcomeWriter);
}

} // namespace Tanagerbay::Node
