// The port for callers: which entry to use, pipelines and services.
#pragma once

#include "Node/AdmissionGate.h"
#include "Node/AllowanceLimiter.h"
#include "Node/ServiceHandler.h"
#include "Node/WorkspaceLimiter.h"

namespace Tanagerbay::Node {

// The gate of each pool of engines, by the pool's name.
using AdmissionGates = std::map<std::string, std::unique_ptr<AdmissionGate>, std::less<>>;

// What the caller port works with. Everything outlives it.
struct CallerParts
{
    std::vector<std::unique_ptr<Worker>> &workers;
    // One writer for each worker.
    std::vector<std::unique_ptr<OutcomeWriter>> &outcomes;
    SharedState &shared;
    WorkspaceLimiter &shares;
    AllowanceLimiter &allowances;
    AdmissionGates &gates;
};

class CallerApi
{
public:
    explicit CallerApi(const CallerParts &parts);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

private:
    // What a target asks for.
    struct Route
    {
        const Pipeline::PipelineDefinition *pipeline = nullptr;
        const Pipeline::ServiceDefinition *service = nullptr;
        std::string servicePath;
        std::string action;
    };

    Http::Response entries(std::string_view query) const;
    Common::Result<Route> routeOf(const Http::Request &request) const;
    Common::Result<RequestScope> openScope(Http::Exchange &exchange, const Route &route);
    std::optional<Common::Error> refusalOf(Common::Time now) const;
    Http::Awaitable<void> handleAction(Http::Exchange &exchange);
    Http::Awaitable<RequestOutcome> runWithinLimits(RequestScope &scope, const Route &route);
    Http::Awaitable<RequestOutcome> runAction(RequestScope &scope, const Route &route);
    void account(const RequestScope &scope, const RequestOutcome &outcome);

    CallerParts parts;
    SharedState &shared;
};

} // namespace Tanagerbay::Node
