// HTTP API for callers: the list of entry instances, pipelines and services.
#pragma once

#include "Node/AdmissionGate.h"
#include "Node/AllowanceLimiter.h"
#include "Node/ServiceHandler.h"
#include "Node/WorkspaceLimiter.h"

namespace Tanagerbay::Node {

// Admission gates of the engine pools, by pool name.
using AdmissionGates = std::map<std::string, std::unique_ptr<AdmissionGate>, std::less<>>;

// Components that the caller API uses. All of them must outlive it.
struct CallerApiDependencies
{
    std::vector<std::unique_ptr<Worker>> &workers;
    // One writer per worker.
    std::vector<std::unique_ptr<OutcomeWriter>> &outcomeWriters;
    SharedState &shared;
    WorkspaceLimiter &shares;
    AllowanceLimiter &allowances;
    AdmissionGates &admissionGates;
};

class CallerApi
{
public:
    explicit CallerApi(const CallerApiDependencies &dependencies);

    Http::Awaitable<void> handle(Http::Exchange &exchange);

private:
    // The pipeline or service that a request target names.
    struct Route
    {
        const Pipeline::PipelineDefinition *pipeline = nullptr;
        const Pipeline::ServiceDefinition *service = nullptr;
        std::string servicePath;
        // Name of the pipeline or service.
        std::string action;
    };

    Http::Response entries(std::string_view query) const;
    Common::Result<Route> findRoute(const Http::Request &request) const;
    Common::Result<RequestScope> openScope(Http::Exchange &exchange, const Route &route);
    std::optional<Common::Error> unavailabilityError(Common::Time now) const;
    Http::Awaitable<void> handleAction(Http::Exchange &exchange);
    Http::Awaitable<RequestOutcome> runWithinLimits(RequestScope &scope, const Route &route);
    Http::Awaitable<RequestOutcome> runAction(RequestScope &scope, const Route &route);
    void recordOutcome(const RequestScope &scope, const RequestOutcome &outcome);

    CallerApiDependencies dependencies;
    SharedState &shared;
};

} // namespace Tanagerbay::Node
