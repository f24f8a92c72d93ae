// The scenario of an experiment with the stage queues: stage services, request kinds, bursts and
// endpoint degradations.
#pragma once

#include "Catalog/Catalog.h"
#include "Common/JsonReader.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Experiment {

struct StageServiceModel
{
    std::string name;
    Catalog::Batching batching;
    // Number of endpoints in each failure domain.
    std::vector<std::uint32_t> endpoints;
    // Calls that may wait at an endpoint besides the running one; further ones are refused.
    std::uint32_t maxWaitingCalls = 2;
    double linkBytesPerSecond = 0;
};

struct StageModel
{
    Catalog::Stage stage;
    double meanPieces = 1;
    // Standard deviation of the logarithm of the number of pieces.
    double pieceSpread = 0;
    std::uint32_t maxPieces = 1;
    // Fraction of the requests that have pieces of this stage.
    double share = 1;
    // Work of a piece relative to the usual work of the service's pieces.
    double workFactor = 1;
};

struct RequestKindModel
{
    std::string name;
    double arrivalsPerSecond = 0;
    Common::Milliseconds objective{0};
    // Time after arrival at which the caller disconnects.
    Common::Milliseconds callerTimeout{0};
    // Time after its first attempt for which a refused caller comes back; `callerTimeout` if zero.
    Common::Milliseconds deadline{0};
    // How often a refused caller comes back, when it was told to.
    std::uint32_t retries = 0;
    // Share of the callers that come back at once instead, three times over.
    double impatientShare = 0;
    int priority = 0;
    double worth = 1;
    double lateWorth = 0;
    // Time from the last stage result to the model endpoint's first event.
    Common::Milliseconds endpointTime{0};
    std::vector<StageModel> stages;
};

struct Burst
{
    // Index of the request kind; all kinds if unset.
    std::optional<std::size_t> kind;
    double fromSecond = 0;
    double toSecond = 0;
    double factor = 1;
};

// Endpoints of one stage service that are slow or do not answer for a period.
struct EndpointDegradation
{
    std::string service;
    std::uint32_t endpoints = 0;
    double fromSecond = 0;
    double toSecond = 0;
    // Factor on the usual call time; zero denotes endpoints that do not answer.
    double slowness = 0;
};

// Endpoints that are off the list for a period, as the failure domain is evacuated or they are
// lost.
struct Withdrawal
{
    // All services if empty.
    std::string service;
    // Endpoints of this failure domain; unset for the first `endpoints` ones of the list.
    std::optional<Common::FailureDomain> failureDomain;
    std::uint32_t endpoints = 0;
    double fromSecond = 0;
    double toSecond = 0;
    // Whether their results are gone too.
    bool losesResults = false;
};

struct Scenario
{
    double seconds = 0;
    std::uint32_t failureDomains = 1;
    std::uint32_t instances = 1;
    // One-way delay between two instances and between an instance and an endpoint.
    Common::Duration messageDelay{0};
    std::vector<StageServiceModel> services;
    std::vector<RequestKindModel> kinds;
    std::vector<Burst> bursts;
    std::vector<EndpointDegradation> degradations;
    std::vector<Withdrawal> withdrawals;
};

Scenario readScenario(const boost::json::value &document, Common::JsonFaults &faults);

// How pieces are assigned to queues and ordered.
enum class Policy {
    // One queue per service for all instances; pieces that can be on time go first.
    Shared,
    // Like `Shared`, but by what waiting and refusal cost callers.
    LeastCost,
    // One queue per service on each instance.
    PerInstance,
    // One queue per service; pieces go in order of arrival.
    FirstCome,
    // One queue per service; pieces go in a random order.
    Random,
    // Like `Shared`, but no piece is dropped before its caller disconnects.
    NoAdmission,
};

} // namespace Tanagerbay::Experiment

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Experiment::Policy>
{
    using Policy = Experiment::Policy;
    static constexpr NameTable<Policy, 6> table = {{
        {Policy::Shared, "shared"},
        {Policy::LeastCost, "least-cost"},
        {Policy::PerInstance, "per-instance"},
        {Policy::FirstCome, "first-come"},
        {Policy::Random, "random"},
        {Policy::NoAdmission, "no-admission"},
    }};
};
