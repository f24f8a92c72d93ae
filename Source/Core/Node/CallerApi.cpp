#include "Node/CallerApi.h"

#include <boost/json.hpp>

namespace Tanagerbay::Node {

namespace json = boost::json;

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr Common::Milliseconds kUnavailableRetryAfter{100};

std::string_view bearerToken(const Http::Request &request)
{
    constexpr std::string_view kScheme = "Bearer ";
    std::string_view value = request.headers.find("Authorization");
    if (!value.starts_with(kScheme))
        return {};
    return value.substr(kScheme.size());
}

} // namespace

CallerApi::CallerApi(const CallerApiDependencies &dependencies)
    : dependencies(dependencies), shared(dependencies.shared)
{
}

Http::Awaitable<void> CallerApi::handle(Http::Exchange &exchange)
{
    const Http::Request &request = exchange.request();
    const Http::Target target = Http::splitTarget(request.target);
    if (request.method == "GET" && target.path == "/v1/entries") {
        Http::Response response = this->entries(target.query);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const InProgressGuard guard(this->shared.requestsInProgress);
    co_await this->handleAction(exchange);
}

Http::Response CallerApi::entries(std::string_view query) const
{
    const std::string_view requestedDomain = Http::queryValue(query, "failureDomain");
    const Common::FailureDomain domain = requestedDomain.empty()
        ? this->shared.settings.failureDomain
        : Common::FailureDomain(std::string(requestedDomain));
    const auto answers = this->shared.members.with([&](Membership::Members &members) {
        return Membership::entriesFor(members, domain, clockNow());
    });
    json::array list;
    for (const Membership::DirectoryEntry &entry : answers) {
        list.push_back(json::object{{"address", Common::formatAddress(entry.address)},
                                    {"failureDomain", entry.failureDomain.value},
                                    {"weight", entry.weight}});
    }
    return Http::jsonResponse(
        200,
        json::serialize(json::object{{"version", 1},
                                     {"ttlMs", this->shared.settings.caller.entriesTtl.count()},
                                     {"entries", list}}));
}

Common::Result<CallerApi::Route> CallerApi::findRoute(const Http::Request &request) const
{
    const auto segments = Http::pathSegments(Http::splitTarget(request.target).path);
    const bool known = segments.size() >= 3 && segments[0] == "v1"
        && (segments[1] == "pipelines" || segments[1] == "services");
    if (!known)
        return Common::notRun(ErrorCode::NotFound, "there is no resource at this path");
    if (request.method != "POST")
        return Common::notRun(ErrorCode::BadInput, "method not allowed; use POST");
    Route route;
    route.action = std::string(segments[2]);
    if (segments[1] == "pipelines") {
        route.pipeline = this->shared.settings.findPipeline(route.action);
        if (!route.pipeline || segments.size() > 3)
            return Common::notRun(ErrorCode::NotFound, "unknown pipeline");
        return route;
    }
    route.service = this->shared.settings.findService(route.action);
    if (!route.service)
        return Common::notRun(ErrorCode::NotFound, "unknown service");
    for (std::size_t i = 3; i < segments.size(); ++i) {
        if (i > 3)
            route.servicePath.push_back('/');
        route.servicePath.append(segments[i]);
    }
    return route;
}

std::optional<Common::Error> CallerApi::unavailabilityError(Common::Time now) const
{
    const Phase phase = this->shared.phase.load();
    Common::Error error;
    error.retryAfter = kUnavailableRetryAfter;
    if (phase == Phase::Starting) {
        error.code = ErrorCode::Draining;
        error.message = "this instance has not loaded its lists yet; use another entry instance";
        return error;
    }
    if (phase == Phase::Draining) {
        error.code = ErrorCode::Draining;
        error.message = "this instance is draining; use another entry instance";
        return error;
    }
    if (this->shared.isCutOff(now)) {
        error.code = ErrorCode::CutOff;
        error.message = "isolated from the store and its peers; use another entry instance";
        return error;
    }
    return std::nullopt;
}

Common::Result<RequestScope> CallerApi::openScope(Http::Exchange &exchange, const Route &route)
{
    const Http::Request &request = exchange.request();
    Lists::SnapshotPtr lists = this->shared.lists.current();
    auto access = Lists::findAccess(*lists, bearerToken(request));
    if (!access)
        return tl::unexpected(std::move(access.error()));
    const auto &allowed
        = route.pipeline ? access->entitlement->pipelines : access->entitlement->services;
    if (!allowed.contains(route.action))
        return Common::notRun(ErrorCode::NotAllowed,
                              "plan " + access->plan->name.value + " is not entitled to use "
                                  + route.action);
    if (route.pipeline && route.pipeline->streams()
        && !access->entitlement->models.contains(route.pipeline->stages.back().model))
        return Common::notRun(ErrorCode::NotAllowed,
                              "plan " + access->plan->name.value + " is not entitled to use model "
                                  + route.pipeline->stages.back().model);
    const std::string_view requestId = request.headers.find("Request-Id");
    const std::string_view key = request.headers.find("Idempotency-Key");
    if (!Common::isVisibleText(requestId, kMaxIdLength)
        || !Common::isVisibleText(key, kMaxIdLength))
        return Common::notRun(
            ErrorCode::BadInput,
            "Request-Id and Idempotency-Key must be at most 128 visible ASCII characters");
    Worker &worker = *this->dependencies.workers[exchange.contextIndex()];
    RequestScope scope{worker, this->shared, exchange, std::move(lists), *access, route.action};
    scope.requestId
        = Common::RequestId(requestId.empty() ? randomId(worker.random) : std::string(requestId));
    scope.serviceLevel = access->plan->serviceLevelFor(route.action);
    scope.startedAt = clockNow();
    scope.deadline = scope.startedAt + scope.serviceLevel.deadline;
    return scope;
}

// Runs the action within the workspace's share of its limits and its allowance for the action. The
// unit of the allowance is refunded if nothing was sent to an endpoint.
Http::Awaitable<RequestOutcome> CallerApi::runWithinLimits(RequestScope &scope, const Route &route)
{
    const auto share
        = this->dependencies.shares.admit(scope.access, scope.deadline, scope.startedAt);
    if (!share)
        co_return co_await respondWithError(scope, Common::Error(share.error()));
    const Lists::Allowance *allowance = scope.access.entitlement->allowanceFor(scope.action);
    if (!allowance)
        co_return co_await this->runAction(scope, route);
    const auto unit = co_await this->dependencies.allowances.spend(scope, *allowance);
    if (!unit)
        co_return co_await respondWithError(scope, Common::Error(unit.error()));
    const RequestOutcome outcome = co_await this->runAction(scope, route);
    if (!scope.anyBytesSent)
        this->dependencies.allowances.refund(*unit);
    co_return outcome;
}

Http::Awaitable<RequestOutcome> CallerApi::runAction(RequestScope &scope, const Route &route)
{
    if (route.pipeline) {
        const auto gate
            = this->dependencies.admissionGates.find(route.pipeline->stages.back().pool);
        AdmissionGate *admission
            = gate == this->dependencies.admissionGates.end() ? nullptr : gate->second.get();
        co_return co_await handlePipeline(scope, *route.pipeline, admission);
    }
    OutcomeWriter &writer = *this->dependencies.outcomeWriters[scope.worker.index];
    co_return co_await handleService(scope, *route.service, route.servicePath, writer);
}

void CallerApi::recordOutcome(const RequestScope &scope, const RequestOutcome &outcome)
{
    const Common::Time now = clockNow();
    RequestEnd end = RequestEnd::Failed;
    Counter counter = Counter::RequestsFailed;
    if (outcome.answered && now <= scope.deadline) {
        end = RequestEnd::InTime;
        counter = Counter::AnswersWhole;
    } else if (outcome.answered) {
        end = RequestEnd::Late;
        counter = Counter::AnswersLate;
    } else if (outcome.ran == Common::Ran::No) {
        end = RequestEnd::Refused;
        counter = Counter::RequestsRefused;
    }
    if (scope.callerGone)
        this->shared.counters.add(Counter::CallersGone);
    this->shared.counters.add(counter);
    this->shared.metrics.recordRequest(scope.access.plan->name.value, end, now - scope.startedAt);
}

Http::Awaitable<void> CallerApi::handleAction(Http::Exchange &exchange)
{
    this->shared.counters.add(Counter::RequestsReceived);
    std::optional<Common::Error> refusal = this->unavailabilityError(clockNow());
    Route route;
    if (!refusal) {
        auto found = this->findRoute(exchange.request());
        if (found)
            route = std::move(*found);
        else
            refusal = std::move(found.error());
    }
    if (!refusal) {
        auto scope = this->openScope(exchange, route);
        if (scope) {
            exchange.onCallerGone([&scope = *scope] {
                scope.callerGone = true;
                if (scope.cancelCalls)
                    scope.cancelCalls();
            });
            scope->worker.requests.insert(&*scope);
            const RequestOutcome outcome = co_await this->runWithinLimits(*scope, route);
            scope->worker.requests.erase(&*scope);
            exchange.onCallerGone(nullptr);
            this->recordOutcome(*scope, outcome);
            co_return;
        }
        refusal = std::move(scope.error());
    }
    this->shared.counters.add(Counter::RequestsRefused);
    Http::Response response = errorResponse(*refusal);
    co_await exchange.respond(std::move(response));
}

} // namespace Tanagerbay::Node
