// The life of one caller's request: admitted, staged, sent, relayed, ended.
#pragma once

#include "Entry/CatalogSync.h"
#include "Entry/EndpointDiscovery.h"
#include "Entry/StageRun.h"
#include "Http/Server.h"
#include "Serving/Attempt.h"
#include "Serving/EventSequence.h"

namespace Tanagerbay::Entry {

// The parts of an instance that a request uses.
struct FlowParts
{
    State &state;
    CatalogSync &catalogs;
    EndpointDiscovery &endpoints;
    StageClient &stages;
};

class RequestFlow
{
public:
    RequestFlow(const FlowParts &parts, Http::Exchange &exchange, CallerRequest request);

    // Serves the request to its end.
    Http::Awaitable<void> run();

private:
    // What one send to an endpoint came to.
    struct SendResult
    {
        Serving::SendOutcome outcome = Serving::SendOutcome::Unknown;
        // Set once the caller has its whole answer.
        bool answered = false;
        // The endpoint's own failure, to be relayed where no other endpoint is asked.
        std::optional<Http::Response> failure;
        // The endpoint said that a result of a stage is gone.
        bool inputsGone = false;
        std::string detail;
    };

    Http::Awaitable<bool> admit();
    Http::Awaitable<std::optional<Refusal>> checkRoute();
    std::optional<RefusalReason> findRouteAndWorkspace();
    Http::Awaitable<bool> runStages();
    StagePlan stagePlan(const Routing::Endpoint &home) const;
    // When the caller leaves, by what it said and by what callers of streams bear.
    Common::Time callerLeavesAt() const;
    // When a refused caller should come back, spread so that they don't come together.
    Common::Duration comeBackAfter();
    Http::Awaitable<void> sendUntilAnswered();
    std::optional<std::size_t> chooseEndpoint(Common::Time now);
    // Why a request may not go to another endpoint after a send; empty where it may. Takes an extra
    // send of the service's budget where it needs one.
    std::string_view reasonAgainstAnother(Serving::SendOutcome outcome, Common::Time now);
    bool takeExtraSend(Common::Time now);
    Http::Awaitable<SendResult> sendTo(const Routing::Endpoint &endpoint);
    Http::CallOptions callOptions(Common::Time now);
    Common::Time sendDeadline(Common::Time now) const;
    void noteAnswerHead(const Routing::Endpoint &endpoint, const EndpointAnswer &answer);
    Http::Awaitable<SendResult> takeNotRun(Http::ResponseStream &stream, unsigned status,
                                           bool matches);
    Http::Awaitable<SendResult> relayWhole(Http::ResponseStream &stream,
                                           const EndpointAnswer &answer);
    Http::Awaitable<SendResult> relayEvents(Http::ResponseStream &stream);
    Http::Awaitable<bool> relayReadyEvents(const Http::Headers &headers, unsigned status);
    // Reads the body to its end. Returns nothing where it is not whole.
    Http::Awaitable<std::optional<std::string>> readBody(Http::ResponseStream &stream);
    Http::Awaitable<void> refuse(Refusal refusal, std::string_view detail);
    Http::Awaitable<void> endWithout(Serving::NextStep step, SendResult last);
    void noteEnd(std::string_view outcome, std::string_view detail);
    bool isStream() const;
    std::string_view homeKey() const;
    Common::Duration engineTime() const;
    Common::Duration timeLeft(Common::Time now) const;

    FlowParts parts;
    State &state;
    Http::Exchange &exchange;
    CallerRequest request;
    // The version that the whole request is served by.
    Catalog::CatalogPtr catalog;
    const Catalog::Route *route = nullptr;
    const Catalog::Workspace *workspace = nullptr;
    int priority = 0;
    std::string service;
    Common::Time deadline;
    Serving::AttemptState attempts;
    std::vector<Common::EndpointId> tried;
    Serving::EventSequence events;
    std::unique_ptr<StageRun> stageRun;
    std::vector<std::string> stageResults;
    // Whether the results were released; a further send needs new ones.
    bool stageResultsReleased = false;
    Http::CallHandle call;
    bool callerGone = false;
    std::optional<Common::Time> firstEventAt;
    std::optional<Common::Time> stagedAt;
    std::string lastEndpoint;
};

} // namespace Tanagerbay::Entry
