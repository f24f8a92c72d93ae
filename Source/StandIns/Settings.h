// Settings of the stand-ins.
#pragma once

#include "Common/Address.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"

#include <vector>

namespace Tanagerbay::StandIns {

struct EndpointSettings
{
    std::string id;
    Common::Address address;
    Common::FailureDomain failureDomain;
    // Version of the endpoint's software; empty if it states none.
    std::string version;
};

enum class PoolKind { Stage, Engine, Service };

struct PoolSettings
{
    std::string name;
    PoolKind kind = PoolKind::Stage;
    std::vector<EndpointSettings> endpoints;
    std::uint32_t slots = 8;
    // Time that a stage or service works on one call.
    Common::Milliseconds serviceTime{5};
    // Time between two tokens of a sequence that runs alone; `batchSlowdown` adds to it in
    // proportion to the occupied slots.
    Common::Milliseconds tokenInterval{15};
    // Increase of the token interval on an engine with all slots occupied, as a share of it.
    double batchSlowdown = 0.5;
    std::chrono::microseconds prefillPerBlock{500};
    std::uint32_t cacheBlocks = 2000;
    Common::Milliseconds reportLag{100};
    // Share of the cache events that are lost.
    double cacheEventLoss = 0.1;
    bool checksFencing = true;
};

struct EntrySettings
{
    std::string id;
    Common::Address address;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
};

struct Settings
{
    std::size_t threads = 2;
    std::uint64_t seed = 1;
    Common::Address control;
    Common::Address tableService;
    Common::Address objectStore;
    Common::Address instanceList;
    Common::Address weightStore;
    Common::Milliseconds storeLatency{1};
    Common::Milliseconds instanceListLag{1000};
    std::int64_t weightBytesPerSecond = 1'000'000'000;
    std::vector<PoolSettings> pools;
    std::vector<EntrySettings> entries;
};

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::StandIns
