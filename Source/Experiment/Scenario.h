// What an experiment with the stage queues plays: stage services, kinds of requests, bursts.
#pragma once

#include "Catalog/Catalog.h"
#include "Common/JsonReader.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Experiment {

struct StageServiceModel
{
    std::string name;
    Catalog::Batching batching;
    // Endpoints in each failure domain.
    std::vector<std::uint32_t> endpoints;
    // Calls that wait at an endpoint; further ones are refused.
    std::uint32_t waitingCalls = 2;
    double linkBytesPerSecond = 0;
};

struct StageModel
{
    Catalog::Stage stage;
    double meanPieces = 1;
    // Standard deviation of the logarithm of the number of pieces.
    double pieceSpread = 0;
    std::uint32_t mostPieces = 1;
    // Share of the requests that have pieces of the stage at all.
    double share = 1;
    // Work of a piece over the usual work of the service's pieces.
    double workFactor = 1;
};

struct KindModel
{
    std::string name;
    double perSecond = 0;
    Common::Milliseconds objective{0};
    // After this the caller leaves.
    Common::Milliseconds patience{0};
    int priority = 0;
    double worth = 1;
    double lateWorth = 0;
    // What the model endpoint needs to its first event.
    Common::Milliseconds endpointTime{0};
    std::vector<StageModel> stages;
};

struct Burst
{
    // Index of the kind; all kinds where unset.
    std::optional<std::size_t> kind;
    double fromSecond = 0;
    double toSecond = 0;
    double factor = 1;
};

// Endpoints of one stage service that are lost or slow for a while.
struct EndpointTrouble
{
    std::string service;
    std::uint32_t endpoints = 0;
    double fromSecond = 0;
    double toSecond = 0;
    // Call time over the usual one; zero where the endpoints answer no more.
    double slowness = 0;
};

struct Scenario
{
    double seconds = 0;
    std::uint32_t domains = 1;
    std::uint32_t instances = 1;
    // One way between two instances, and between an instance and an endpoint.
    Common::Duration messageDelay{0};
    std::vector<StageServiceModel> services;
    std::vector<KindModel> kinds;
    std::vector<Burst> bursts;
    std::vector<EndpointTrouble> troubles;
};

Scenario readScenario(const boost::json::value &document, Common::JsonFaults &faults);

// How pieces are gathered and ordered.
enum class Policy {
    // One queue a service over all instances; what can be on time goes first.
    Shared,
    // Each instance has queues of its own.
    PerInstance,
    // One queue a service; pieces go in the order in which they came.
    FirstCome,
    // One queue a service; pieces go in a random order.
    Random,
    // As `Shared`, but nothing is given up before its caller leaves.
    NoAdmission,
};

} // namespace Tanagerbay::Experiment

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Experiment::Policy>
{
    using Policy = Experiment::Policy;
    static constexpr NameTable<Policy, 5> table = {{
        {Policy::Shared, "shared"},
        {Policy::PerInstance, "per-instance"},
        {Policy::FirstCome, "first-come"},
        {Policy::Random, "random"},
        {Policy::NoAdmission, "no-admission"},
    }};
};
