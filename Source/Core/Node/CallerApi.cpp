#include "Node/CallerApi.h"

#include <algorithm>

#include <boost/json.hpp>

namespace Tanagerbay::Node {

namespace json = boost::json;

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr std::size_t kMostIdLength = 128;
constexpr Common::Milliseconds kOtherEntryRetryAfter{100};

std::string_view bearerOf(const Http::Request &request)
{
    constexpr std::string_view kScheme = "Bearer ";
    std::string_view value = request.headers.find("Authorization");
    if (!value.starts_with(kScheme))
        return {};
    return value.substr(kScheme.size());
}

// Identifiers go into headers and logs, so only plain characters are taken.
bool isPlain(std::string_view text)
{
    return text.size() <= kMostIdLength && std::all_of(text.begin(), text.end(), [](char letter) {
               return letter > ' ' && letter < 127;
           });
}

// Counts a request as in progress for as long as it lives.
class ProgressGuard
{
public:
    explicit ProgressGuard(std::atomic<std::uint32_t> &count) : count(count)
    {
        this->count.fetch_add(1);
    }
    ~ProgressGuard()
    {
        this->count.fetch_sub(1);
    }
    ProgressGuard(const ProgressGuard &) = delete;
    ProgressGuard &operator=(const ProgressGuard &) = delete;

private:
    std::atomic<std::uint32_t> &count;
};

} // namespace

CallerApi::CallerApi(const CallerParts &parts) : parts(parts), shared(parts.shared)
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
    const ProgressGuard guard(this->shared.requestsInProgress);
    co_await this->handleAction(exchange);
}

Http::Response CallerApi::entries(std::string_view query) const
{
    const std::string_view asked = Http::queryValue(query, "failureDomain");
    const Common::FailureDomain domain = asked.empty() ? this->shared.settings.failureDomain
                                                       : Common::FailureDomain(std::string(asked));
    const auto answers = this->shared.members.with([&](Membership::Members &members) {
        return Membership::entriesFor(members, domain, clockNow());
    });
    json::array list;
    for (const Membership::EntryAnswer &entry : answers) {
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

Common::Result<CallerApi::Route> CallerApi::routeOf(const Http::Request &request) const
{
    const auto segments = Http::pathSegments(Http::splitTarget(request.target).path);
    const bool known = segments.size() >= 3 && segments[0] == "v1"
        && (segments[1] == "pipelines" || segments[1] == "services");
    if (!known)
        return Common::notRun(ErrorCode::NotFound, "there is nothing at this path");
    if (request.method != "POST")
        return Common::notRun(ErrorCode::BadInput, "use POST");
    Route route;
    route.action = std::string(segments[2]);
    if (segments[1] == "pipelines") {
        route.pipeline = this->shared.settings.findPipeline(route.action);
        if (!route.pipeline || segments.size() > 3)
            return Common::notRun(ErrorCode::NotFound, "there is no such pipeline");
        return route;
    }
    route.service = this->shared.settings.findService(route.action);
    if (!route.service)
        return Common::notRun(ErrorCode::NotFound, "there is no such service");
    for (std::size_t i = 3; i < segments.size(); ++i) {
        if (i > 3)
            route.servicePath.push_back('/');
        route.servicePath.append(segments[i]);
    }
    return route;
}

std::optional<Common::Error> CallerApi::refusalOf(Common::Time now) const
{
    const Phase phase = this->shared.phase.load();
    Common::Error error;
    error.retryAfter = kOtherEntryRetryAfter;
    if (phase == Phase::Starting) {
        error.code = ErrorCode::Draining;
        error.message = "this instance has not read the lists yet; use another entry";
        return error;
    }
    if (phase == Phase::Draining) {
        error.code = ErrorCode::Draining;
        error.message = "this instance is leaving; use another entry";
        return error;
    }
    if (this->shared.isCutOff(now)) {
        error.code = ErrorCode::CutOff;
        error.message = "this instance is cut off from the store and its peers; use another entry";
        return error;
    }
    return std::nullopt;
}

Common::Result<RequestScope> CallerApi::openScope(Http::Exchange &exchange, const Route &route)
{
    const Http::Request &request = exchange.request();
    Lists::SnapshotPtr lists = this->shared.lists.current();
    auto access = Lists::findAccess(*lists, bearerOf(request));
    if (!access)
        return tl::unexpected(std::move(access.error()));
    const auto &allowed
        = route.pipeline ? access->entitlement->pipelines : access->entitlement->services;
    if (!allowed.contains(route.action))
        return Common::notRun(ErrorCode::NotAllowed,
                              "plan " + access->plan->name.value + " may not use " + route.action);
    if (route.pipeline && route.pipeline->streams()
        && !access->entitlement->models.contains(route.pipeline->stages.back().model))
        return Common::notRun(ErrorCode::NotAllowed,
                              "plan " + access->plan->name.value + " may not use model "
                                  + route.pipeline->stages.back().model);
    const std::string_view requestId = request.headers.find("Request-Id");
    const std::string_view key = request.headers.find("Idempotency-Key");
    if (!isPlain(requestId) || !isPlain(key))
        return Common::notRun(ErrorCode::BadInput,
                              "Request-Id and Idempotency-Key take up to 128 visible characters");
    Worker &worker = *this->parts.workers[exchange.contextIndex()];
    RequestScope scope{worker, this->shared, exchange, std::move(lists), *access, route.action};
    scope.requestId
        = Common::RequestId(requestId.empty() ? randomId(worker.random) : std::string(requestId));
    scope.serviceLevel = access->plan->serviceLevelFor(route.action);
    scope.startedAt = clockNow();
    scope.deadline = scope.startedAt + scope.serviceLevel.deadline;
    return scope;
}

// Takes what the limits demand before the action begins.
Http::Awaitable<RequestOutcome> CallerApi::runWithinLimits(RequestScope &scope, const Route &route)
{
    const auto share = this->parts.shares.admit(scope.access, scope.deadline, scope.startedAt);
    if (!share)
        co_return co_await answerError(scope, Common::Error(share.error()));
    const Lists::Allowance *allowance = scope.access.entitlement->allowanceFor(scope.action);
    if (!allowance)
        co_return co_await this->runAction(scope, route);
    const auto unit = co_await this->parts.allowances.spend(scope, *allowance);
    if (!unit)
        co_return co_await answerError(scope, Common::Error(unit.error()));
    const RequestOutcome outcome = co_await this->runAction(scope, route);
    if (!scope.anyWritten)
        this->parts.allowances.refund(*unit);
    co_return outcome;
}

Http::Awaitable<RequestOutcome> CallerApi::runAction(RequestScope &scope, const Route &route)
{
    if (route.pipeline) {
        const auto gate = this->parts.gates.find(route.pipeline->stages.back().pool);
        AdmissionGate *admission = gate == this->parts.gates.end() ? nullptr : gate->second.get();
        co_return co_await handlePipeline(scope, *route.pipeline, admission);
    }
    OutcomeWriter &writer = *this->parts.outcomes[scope.worker.index];
    co_return co_await handleService(scope, *route.service, route.servicePath, writer);
}

void CallerApi::account(const RequestScope &scope, const RequestOutcome &outcome)
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
    std::optional<Common::Error> refusal = this->refusalOf(clockNow());
    Route route;
    if (!refusal) {
        auto found = this->routeOf(exchange.request());
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
            const RequestOutcome outcome = co_await this->runWithinLimits(*scope, route);
            exchange.onCallerGone(nullptr);
            this->account(*scope, outcome);
            co_return;
        }
        refusal = std::move(scope.error());
    }
    this->shared.counters.add(Counter::RequestsRefused);
    Http::Response response = errorResponse(*refusal);
    co_await exchange.respond(std::move(response));
}

} // namespace Tanagerbay::Node
