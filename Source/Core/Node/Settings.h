// Settings of an entry instance, read from a JSON file.
#pragma once

#include "Common/Address.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"
#include "Pipeline/Definition.h"
#include "Routing/Pool.h"

#include <vector>

namespace Tanagerbay::Node {

struct CallerPortSettings
{
    Common::Address address;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxConnections = 0;
    Common::Milliseconds requestTimeout{0};
    Common::Milliseconds idleTimeout{0};
    // How long callers may cache the response to `GET /v1/entries`.
    Common::Milliseconds entriesTtl{0};
};

struct OperatorPortSettings
{
    Common::Address address;
    // SHA-256 digest of the operator's token.
    std::string tokenSha256;
};

struct PeerSettings
{
    Common::Address address;
    // Instances that receive heartbeats until other instances are known.
    std::vector<Common::Address> seeds;
    Common::Milliseconds heartbeatInterval{0};
    // An instance from which no heartbeat has arrived for this long is suspected to have failed.
    Common::Milliseconds suspectAfter{0};
};

struct PlatformSettings
{
    Common::Address tableService;
    Common::Address objectStore;
    Common::Address instanceList;
    Common::Milliseconds callTimeout{0};
    Common::Milliseconds listPollInterval{0};
    Common::Milliseconds instancePollInterval{0};
    // An instance without contact to the store and to any peer for this long refuses new work.
    Common::Milliseconds cutOffAfter{0};
};

struct PoolSettings
{
    std::string name;
    // Endpoints to use until the instance list names endpoints of the pool.
    std::vector<Routing::EndpointEntry> endpoints;
};

struct OnceSettings
{
    // Maximum time of an attempt from its first claim to its first byte.
    Common::Milliseconds claimTimeout{0};
    // How long ledger rows are kept. Must exceed the time for which callers retry a request.
    Common::Milliseconds retention{0};
    std::size_t maxKeptBodyBytes = 0;
    // Outcomes are batched for this long and written in one transaction.
    Common::Milliseconds finishBatch{0};
};

struct RoutingSettings
{
    Routing::ChoicePolicy policy = Routing::ChoicePolicy::Sampled;
    double retryShare = 0;
    bool retryUnlimited = false;
    // An attempt slower than this quantile of the stage's durations may be hedged. Zero disables
    // hedging.
    double hedgeQuantile = 0;
    Common::Milliseconds connectTimeout{0};
};

struct AdmissionSettings
{
    bool enabled = true;
    // Target for the calls in flight from all instances together, as a fraction of the engines'
    // slots.
    double occupancyTarget = 0;
    std::size_t maxQueued = 0;
};

struct LimitsSettings
{
    // Number of base shares into which each workspace's limits are split: the number of entry
    // instances.
    std::size_t instances = 0;
};

struct Settings
{
    Common::InstanceId instance;
    Common::FailureDomain failureDomain;
    std::size_t threads = 1;
    CallerPortSettings caller;
    OperatorPortSettings operatorPort;
    PeerSettings peer;
    PlatformSettings platform;
    OnceSettings once;
    RoutingSettings routing;
    AdmissionSettings admission;
    LimitsSettings limits;
    // Trade-off from 0 (lowest cost) to 1 (highest attainment of deadlines).
    double attainmentWeight = 0.5;
    std::int64_t defaultMaxTokens = 0;
    Common::Milliseconds drainTimeout{0};
    std::vector<PoolSettings> pools;
    std::vector<Pipeline::PipelineDefinition> pipelines;
    std::vector<Pipeline::ServiceDefinition> services;

    const Pipeline::PipelineDefinition *findPipeline(std::string_view name) const;
    const Pipeline::ServiceDefinition *findService(std::string_view name) const;
};

// Parses and validates settings. Each fault is reported with the path of its key.
Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::Node
