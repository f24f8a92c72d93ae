#include "Node/EndpointDiscovery.h"

#include "Node/RequestScope.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Interval between two polls of a pool. Replies to calls carry load reports in between.
constexpr Common::Milliseconds kPollInterval{1000};
// Number of endpoints of a pool that an instance samples for each poll, so that the polling load
// does not grow with the size of the pool.
constexpr std::size_t kEndpointsPerPoll = 16;
constexpr Common::Milliseconds kPollTimeout{300};

struct SampledEndpoint
{
    Common::EndpointId id;
    Common::Address address;
};

std::vector<SampledEndpoint> sampleEndpoints(PoolShard &shard, std::mt19937_64 &random)
{
    const std::lock_guard<std::mutex> guard(shard.lock);
    std::vector<SampledEndpoint> all;
    for (const Routing::Endpoint &endpoint : shard.pool.endpoints)
        all.push_back({endpoint.id, endpoint.address});
    std::vector<SampledEndpoint> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), kEndpointsPerPoll, random);
    return chosen;
}

struct CacheEvent
{
    std::uint64_t number = 0;
    bool added = false;
    std::uint64_t block = 0;
};

std::vector<CacheEvent> decodeCacheEvents(const std::string &body)
{
    Common::JsonFaults faults;
    const auto document = Common::parseJson(body, faults);
    std::vector<CacheEvent> events;
    if (!document)
        return events;
    Common::ObjectReader reader(*document, "", faults);
    for (const json::value &value : reader.array("events", true)) {
        Common::ObjectReader entry(value, "", faults);
        CacheEvent event;
        event.number = static_cast<std::uint64_t>(entry.integer("number", 0, INT64_MAX));
        event.added = entry.flag("added");
        const std::string block = entry.text("block");
        std::from_chars(block.data(), block.data() + block.size(), event.block);
        events.push_back(event);
    }
    // Events are only hints, so a malformed answer is discarded as a whole.
    if (!faults.empty())
        events.clear();
    return events;
}

} // namespace

EndpointDiscovery::EndpointDiscovery(Worker &worker, SharedState &shared)
    : worker(worker), shared(shared)
{
}

void EndpointDiscovery::start()
{
    asio::co_spawn(this->worker.context, this->instanceLoop(), asio::detached);
    std::map<std::string, bool> hasCache;
    for (const PoolSettings &pool : this->shared.settings.pools)
        hasCache[pool.name] = false;
    for (const Pipeline::PipelineDefinition &pipeline : this->shared.settings.pipelines) {
        for (const Pipeline::StageDefinition &stage : pipeline.stages)
            hasCache[stage.pool] |= stage.kind == Pipeline::StageKind::Generation;
    }
    for (const auto &[pool, cached] : hasCache)
        asio::co_spawn(this->worker.context, this->endpointPollLoop(pool, cached), asio::detached);
}

void EndpointDiscovery::stop()
{
    this->stopping = true;
}

void EndpointDiscovery::applyEndpoints(const std::vector<Storage::ListedInstance> &instances)
{
    std::map<std::string, std::vector<Routing::EndpointEntry>> entries;
    for (const Storage::ListedInstance &instance : instances) {
        if (instance.pool.empty())
            continue;
        Routing::EndpointEntry entry;
        entry.id = Common::EndpointId(instance.id.value);
        entry.address = instance.address;
        entry.failureDomain = instance.failureDomain;
        entry.version = instance.version;
        entry.state = instance.state == Storage::InstanceState::Live
            ? Routing::EndpointState::Live
            : Routing::EndpointState::Leaving;
        entries[instance.pool].push_back(std::move(entry));
    }
    for (const auto &[name, shard] : this->shared.pools) {
        const auto found = entries.find(name);
        // A pool without entries in the list keeps its current endpoints, initially those of the
        // settings.
        if (found == entries.end())
            continue;
        const std::lock_guard<std::mutex> guard(shard->lock);
        Routing::applyEntries(shard->pool, found->second);
    }
}

void EndpointDiscovery::applyMembers(const std::vector<Storage::ListedInstance> &instances)
{
    std::vector<Membership::ListedMember> listed;
    for (const Storage::ListedInstance &instance : instances) {
        if (!instance.pool.empty())
            continue;
        listed.push_back({instance.id, instance.address, instance.peerAddress,
                          instance.failureDomain,
                          instance.state == Storage::InstanceState::Leaving});
    }
    this->shared.members.with([&](Membership::Members &members) {
        Membership::applyPlatformList(members, listed, clockNow());
    });
}

Http::Awaitable<bool> EndpointDiscovery::readInstances()
{
    const auto instances = co_await this->worker.instanceList.read();
    if (!instances)
        co_return false;
    this->applyEndpoints(*instances);
    this->applyMembers(*instances);
    co_return true;
}

Http::Awaitable<void> EndpointDiscovery::instanceLoop()
{
    while (!this->stopping && !this->worker.ending) {
        co_await this->readInstances();
        co_await this->worker.sleepFor(
            withJitter(this->shared.settings.platform.instancePollInterval, this->worker.random));
    }
}

Http::Awaitable<void> EndpointDiscovery::pollEndpoint(std::string pool, Common::EndpointId id,
                                                      Common::Address address, bool hasCache)
{
    Http::CallOptions options;
    options.deadline = clockNow() + kPollTimeout;
    Http::Request loadRequest{"GET", "/v1/load", {}, ""};
    const auto load = co_await this->worker.client.call(address, std::move(loadRequest), options);
    PoolShard &shard = this->shared.poolNamed(pool);
    const auto report = load && load->status == 200 ? parseLoadReport(load->body) : std::nullopt;
    if (report) {
        const std::lock_guard<std::mutex> guard(shard.lock);
        const auto found = shard.pool.indexById.find(id);
        if (found != shard.pool.indexById.end())
            Routing::noteReport(shard.pool.endpoints[found->second], *report);
    }
    if (!hasCache || !report)
        co_return;
    std::uint64_t &last = this->lastEventNumber[id];
    Http::Request eventRequest{"GET", "/v1/cache-events?since=" + std::to_string(last), {}, ""};
    options.deadline = clockNow() + kPollTimeout;
    const auto events
        = co_await this->worker.client.call(address, std::move(eventRequest), options);
    if (!events || events->status != 200)
        co_return;
    const std::lock_guard<std::mutex> guard(shard.lock);
    for (const CacheEvent &event : decodeCacheEvents(events->body)) {
        last = std::max(last, event.number);
        if (event.added)
            shard.pool.prefixes.noteCached(event.block, id);
        else
            shard.pool.prefixes.noteEvicted(event.block, id);
    }
}

Http::Awaitable<void> EndpointDiscovery::endpointPollLoop(std::string pool, bool hasCache)
{
    while (!this->stopping && !this->worker.ending) {
        const std::vector<SampledEndpoint> sampled
            = sampleEndpoints(this->shared.poolNamed(pool), this->worker.random);
        for (const SampledEndpoint &endpoint : sampled) {
            asio::co_spawn(this->worker.context,
                           this->pollEndpoint(pool, endpoint.id, endpoint.address, hasCache),
                           asio::detached);
        }
        co_await this->worker.sleepFor(withJitter(kPollInterval, this->worker.random));
    }
}

} // namespace Tanagerbay::Node
