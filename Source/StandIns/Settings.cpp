#include "StandIns/Settings.h"

namespace Tanagerbay::StandIns {

using Common::Milliseconds;
using Common::ObjectReader;

namespace {

constexpr std::int64_t kMaxDurationMs = 600'000;

Common::Address readAddress(ObjectReader &reader, std::string_view key)
{
    Common::Address address;
    const std::string text = reader.text(key);
    if (!text.empty() && !Common::parseAddress(text, address))
        reader.fault(key, "must be ip:port");
    return address;
}

PoolKind readKind(ObjectReader &reader)
{
    const std::string kind = reader.text("kind");
    if (kind == "engine")
        return PoolKind::Engine;
    if (kind == "service")
        return PoolKind::Service;
    if (kind != "stage" && !kind.empty())
        reader.fault("kind", "must be stage, engine or service");
    return PoolKind::Stage;
}

PoolSettings readPool(const boost::json::value &value, std::string path, Common::JsonFaults &faults)
{
    ObjectReader reader(value, std::move(path), faults);
    PoolSettings pool;
    pool.name = reader.text("name");
    pool.kind = readKind(reader);
    pool.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 100'000, 8));
    pool.serviceTime = Milliseconds(reader.integer("serviceMs", 0, kMaxDurationMs, 5));
    pool.tokenInterval = Milliseconds(reader.integer("tokenIntervalMs", 0, kMaxDurationMs, 15));
    pool.batchSlowdown = reader.number("batchSlowdown", 0, 100, 0.5);
    pool.prefillPerBlock
        = std::chrono::microseconds(reader.integer("prefillPerBlockUs", 0, 1'000'000, 500));
    pool.cacheBlocks
        = static_cast<std::uint32_t>(reader.integer("cacheBlocks", 0, 1'000'000, 2000));
    pool.reportLag = Milliseconds(reader.integer("reportLagMs", 0, kMaxDurationMs, 100));
    pool.cacheEventLoss = reader.number("cacheEventLoss", 0, 1, 0.1);
    pool.checksFencing = reader.flag("checksFencing", true);
    const boost::json::array &endpoints = reader.array("endpoints", true);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        ObjectReader entry(endpoints[i], reader.pathOf("endpoints", i), faults);
        EndpointSettings endpoint;
        endpoint.id = entry.text("id");
        endpoint.address = readAddress(entry, "address");
        endpoint.failureDomain = Common::FailureDomain(entry.text("failureDomain"));
        endpoint.version = entry.text("version", "");
        entry.finish();
        pool.endpoints.push_back(std::move(endpoint));
    }
    reader.finish();
    return pool;
}

EntrySettings readEntry(const boost::json::value &value, std::string path,
                        Common::JsonFaults &faults)
{
    ObjectReader reader(value, std::move(path), faults);
    EntrySettings entry;
    entry.id = reader.text("id");
    entry.address = readAddress(reader, "address");
    entry.peerAddress = readAddress(reader, "peerAddress");
    entry.failureDomain = Common::FailureDomain(reader.text("failureDomain"));
    reader.finish();
    return entry;
}

} // namespace

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults)
{
    ObjectReader reader(document, "", faults);
    Settings settings;
    settings.threads = static_cast<std::size_t>(reader.integer("threads", 1, 64, 2));
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    settings.control = readAddress(reader, "controlAddress");
    settings.tableService = readAddress(reader, "tableServiceAddress");
    settings.objectStore = readAddress(reader, "objectStoreAddress");
    settings.instanceList = readAddress(reader, "instanceListAddress");
    settings.weightStore = readAddress(reader, "weightStoreAddress");
    settings.storeLatency = Milliseconds(reader.integer("storeLatencyMs", 0, kMaxDurationMs, 1));
    settings.instanceListLag
        = Milliseconds(reader.integer("instanceListLagMs", 0, kMaxDurationMs, 1000));
    settings.weightBytesPerSecond
        = reader.integer("weightBytesPerSecond", 1, INT64_MAX, 1'000'000'000);
    const boost::json::array &pools = reader.array("pools", true);
    for (std::size_t i = 0; i < pools.size(); ++i)
        settings.pools.push_back(readPool(pools[i], reader.pathOf("pools", i), faults));
    const boost::json::array &entries = reader.array("entries", true);
    for (std::size_t i = 0; i < entries.size(); ++i)
        settings.entries.push_back(readEntry(entries[i], reader.pathOf("entries", i), faults));
    reader.finish();
    return settings;
}

} // namespace Tanagerbay::StandIns
