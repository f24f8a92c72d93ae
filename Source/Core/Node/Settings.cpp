#include "Node/Settings.h"

#include <algorithm>
#include <set>

namespace Tanagerbay::Node {

using Common::Milliseconds;
using Common::ObjectReader;

namespace {

constexpr std::int64_t kDayMs = 24 * 3600 * 1000;

Milliseconds readMs(ObjectReader &reader, std::string_view key, std::int64_t minimum,
                    std::int64_t maximum, std::int64_t fallback)
{
    return Milliseconds(reader.integer(key, minimum, maximum, fallback));
}

std::size_t readSize(ObjectReader &reader, std::string_view key, std::int64_t minimum,
                     std::int64_t maximum, std::int64_t fallback)
{
    return static_cast<std::size_t>(reader.integer(key, minimum, maximum, fallback));
}

Common::Address readAddress(ObjectReader &reader, std::string_view key)
{
    Common::Address address;
    const std::string text = reader.text(key);
    if (!text.empty() && !Common::parseAddress(text, address))
        reader.fault(key, "must be ip:port with a port above zero, is " + text);
    return address;
}

// Reader of a section. An absent optional section is read as an empty object.
class Section
{
public:
    Section(ObjectReader &parent, std::string_view key, bool required, Common::JsonFaults &faults)
        : value(valueOf(parent, key, required)), reader(value, parent.pathOf(key), faults)
    {
    }
    ~Section()
    {
        this->reader.finish();
    }
    Section(const Section &) = delete;
    Section &operator=(const Section &) = delete;
    ObjectReader *operator->()
    {
        return &this->reader;
    }
    ObjectReader &operator*()
    {
        return this->reader;
    }

private:
    static const boost::json::value &valueOf(ObjectReader &parent, std::string_view key,
                                             bool required)
    {
        static const boost::json::value kEmpty = boost::json::object();
        const boost::json::value *found = parent.member(key);
        if (!found && required)
            parent.fault(key, "is required");
        return found ? *found : kEmpty;
    }

    const boost::json::value &value;
    ObjectReader reader;
};

void readCaller(ObjectReader &root, CallerPortSettings &caller, Common::JsonFaults &faults)
{
    Section section(root, "caller", true, faults);
    caller.address = readAddress(*section, "address");
    caller.maxBodyBytes = readSize(*section, "maxBodyBytes", 1024, 256 << 20, 1 << 20);
    caller.maxHeaderBytes = readSize(*section, "maxHeaderBytes", 1024, 1 << 20, 16 << 10);
    caller.maxConnections = readSize(*section, "maxConnections", 1, 1'000'000, 10'000);
    caller.requestTimeout = readMs(*section, "requestTimeoutMs", 10, kDayMs, 5000);
    caller.idleTimeout = readMs(*section, "idleTimeoutMs", 10, kDayMs, 60'000);
    caller.entriesTtl = readMs(*section, "entriesTtlMs", 100, 600'000, 2000);
}

void readOperator(ObjectReader &root, OperatorPortSettings &port, Common::JsonFaults &faults)
{
    Section section(root, "operator", true, faults);
    port.address = readAddress(*section, "address");
    port.tokenSha256 = section->text("tokenSha256");
    constexpr std::size_t kDigestLength = 64;
    if (!port.tokenSha256.empty() && port.tokenSha256.size() != kDigestLength)
        section->fault("tokenSha256", "must be a SHA-256 digest of 64 hexadecimal digits");
}

void readPeer(ObjectReader &root, PeerSettings &peer, Common::JsonFaults &faults)
{
    Section section(root, "peer", true, faults);
    peer.address = readAddress(*section, "address");
    const std::vector<std::string> seeds = section->textArray("seeds", false);
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        Common::Address seed;
        if (Common::parseAddress(seeds[i], seed))
            peer.seeds.push_back(seed);
        else
            faults.push_back({section->pathOf("seeds", i), "must be ip:port, is " + seeds[i]});
    }
    peer.heartbeatInterval = readMs(*section, "heartbeatIntervalMs", 20, 60'000, 500);
    peer.suspectAfter = readMs(*section, "suspectAfterMs", 100, 600'000, 3000);
    if (peer.suspectAfter < 3 * peer.heartbeatInterval)
        section->fault("suspectAfterMs", "must be at least three times heartbeatIntervalMs");
}

void readPlatform(ObjectReader &root, PlatformSettings &platform, Common::JsonFaults &faults)
{
    Section section(root, "platform", true, faults);
    platform.tableService = readAddress(*section, "tableServiceAddress");
    platform.objectStore = readAddress(*section, "objectStoreAddress");
    platform.instanceList = readAddress(*section, "instanceListAddress");
    platform.callTimeout = readMs(*section, "callTimeoutMs", 10, 60'000, 500);
    platform.listPollInterval = readMs(*section, "listPollIntervalMs", 50, 600'000, 2000);
    platform.instancePollInterval = readMs(*section, "instancePollIntervalMs", 50, 600'000, 1000);
    platform.cutOffAfter = readMs(*section, "cutOffAfterMs", 500, kDayMs, 8000);
    if (platform.cutOffAfter < 2 * platform.listPollInterval)
        section->fault("cutOffAfterMs", "must be at least twice listPollIntervalMs");
}

void readOnce(ObjectReader &root, OnceSettings &once, Common::JsonFaults &faults)
{
    Section section(root, "once", false, faults);
    once.claimTimeout = readMs(*section, "claimTimeoutMs", 50, 600'000, 3000);
    once.retention = readMs(*section, "retentionMs", 60'000, 400 * kDayMs, 7 * kDayMs);
    once.maxKeptBodyBytes = readSize(*section, "maxKeptBodyBytes", 0, 1 << 20, 32 << 10);
    once.finishBatch = readMs(*section, "finishBatchMs", 0, 1000, 250);
    if (once.retention < 2 * once.claimTimeout)
        section->fault("retentionMs", "must be at least twice claimTimeoutMs");
}

void readRouting(ObjectReader &root, RoutingSettings &routing, Common::JsonFaults &faults)
{
    Section section(root, "routing", false, faults);
    const std::string policy = section->text("policy", "sampled");
    const auto named = Common::valueNamed<Routing::ChoicePolicy>(policy);
    if (!named)
        section->fault("policy", "must be sampled, random, round-robin or least-in-flight");
    routing.policy = named.value_or(Routing::ChoicePolicy::Sampled);
    routing.retryShare = section->number("retryShare", 0, 1, 0.08);
    routing.retryUnlimited = section->flag("retryUnlimited", false);
    routing.hedgeQuantile = section->number("hedgeQuantile", 0, 0.999, 0.97);
    routing.connectTimeout = readMs(*section, "connectTimeoutMs", 10, 60'000, 500);
}

void readAdmission(ObjectReader &root, AdmissionSettings &admission, Common::JsonFaults &faults)
{
    Section section(root, "admission", false, faults);
    admission.enabled = section->flag("enabled", true);
    admission.occupancyTarget = section->number("occupancyTarget", 0.1, 100, 1.0);
    admission.maxQueued = readSize(*section, "maxQueued", 1, 1'000'000, 2000);
}

void readPools(ObjectReader &root, Settings &settings, Common::JsonFaults &faults)
{
    const boost::json::array &pools = root.array("pools", true);
    std::set<std::string> names;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        ObjectReader reader(pools[i], root.pathOf("pools", i), faults);
        PoolSettings pool;
        pool.name = reader.text("name");
        if (!names.insert(pool.name).second)
            reader.fault("name", "is used more than once: " + pool.name);
        const boost::json::array &endpoints = reader.array("endpoints", false);
        for (std::size_t k = 0; k < endpoints.size(); ++k) {
            ObjectReader entry(endpoints[k], reader.pathOf("endpoints", k), faults);
            Routing::EndpointEntry endpoint;
            endpoint.id = Common::EndpointId(entry.text("id"));
            endpoint.address = readAddress(entry, "address");
            endpoint.failureDomain = Common::FailureDomain(entry.text("failureDomain"));
            endpoint.version = entry.text("version", "");
            if (!Common::isVisibleText(endpoint.version, Common::kMaxVersionLength))
                entry.fault("version", "must be at most 128 visible ASCII characters");
            entry.finish();
            pool.endpoints.push_back(std::move(endpoint));
        }
        reader.finish();
        settings.pools.push_back(std::move(pool));
    }
}

bool hasPool(const Settings &settings, const std::string &name)
{
    return std::any_of(settings.pools.begin(), settings.pools.end(),
                       [&name](const PoolSettings &pool) { return pool.name == name; });
}

std::string readPoolName(ObjectReader &reader, const Settings &settings)
{
    const std::string pool = reader.text("pool");
    if (!pool.empty() && !hasPool(settings, pool))
        reader.fault("pool", "is not the name of a pool in these settings: " + pool);
    return pool;
}

Pipeline::StageDefinition readStage(ObjectReader &reader, const Settings &settings)
{
    Pipeline::StageDefinition stage;
    const std::string kind = reader.text("kind");
    const auto named = Common::valueNamed<Pipeline::StageKind>(kind);
    if (!named && !kind.empty())
        reader.fault("kind", "must be encoding, retrieval, reranking or generation, is " + kind);
    stage.kind = named.value_or(Pipeline::StageKind::Encoding);
    stage.pool = readPoolName(reader, settings);
    const bool generates = stage.kind == Pipeline::StageKind::Generation;
    stage.model = generates ? reader.text("model") : reader.text("model", "");
    if (!generates && !stage.model.empty())
        reader.fault("model", "is allowed only in generation stages");
    reader.finish();
    return stage;
}

void readPipelines(ObjectReader &root, Settings &settings, Common::JsonFaults &faults)
{
    const boost::json::array &pipelines = root.array("pipelines", false);
    for (std::size_t i = 0; i < pipelines.size(); ++i) {
        ObjectReader reader(pipelines[i], root.pathOf("pipelines", i), faults);
        Pipeline::PipelineDefinition pipeline;
        pipeline.name = reader.text("name");
        if (settings.findPipeline(pipeline.name))
            reader.fault("name", "is used more than once: " + pipeline.name);
        const boost::json::array &stages = reader.array("stages", true);
        if (stages.empty())
            reader.fault("stages", "must have at least one stage");
        for (std::size_t k = 0; k < stages.size(); ++k) {
            ObjectReader entry(stages[k], reader.pathOf("stages", k), faults);
            pipeline.stages.push_back(readStage(entry, settings));
            const bool generates = pipeline.stages.back().kind == Pipeline::StageKind::Generation;
            if (generates && k + 1 < stages.size())
                entry.fault("kind", "a generation stage must be the last one");
        }
        reader.finish();
        settings.pipelines.push_back(std::move(pipeline));
    }
}

void readServices(ObjectReader &root, Settings &settings, Common::JsonFaults &faults)
{
    const boost::json::array &services = root.array("services", false);
    for (std::size_t i = 0; i < services.size(); ++i) {
        ObjectReader reader(services[i], root.pathOf("services", i), faults);
        Pipeline::ServiceDefinition service;
        service.name = reader.text("name");
        if (settings.findService(service.name))
            reader.fault("name", "is used more than once: " + service.name);
        if (settings.findPipeline(service.name))
            reader.fault("name", "is also the name of a pipeline: " + service.name);
        service.pool = readPoolName(reader, settings);
        service.idempotent = reader.flag("idempotent");
        reader.finish();
        settings.services.push_back(std::move(service));
    }
}

void checkPorts(const Settings &settings, Common::JsonFaults &faults)
{
    if (settings.caller.address == settings.operatorPort.address)
        faults.push_back({"operator.address", "must differ from caller.address"});
    if (settings.peer.address == settings.caller.address
        || settings.peer.address == settings.operatorPort.address)
        faults.push_back({"peer.address", "must differ from caller.address and operator.address"});
}

} // namespace

const Pipeline::PipelineDefinition *Settings::findPipeline(std::string_view name) const
{
    for (const Pipeline::PipelineDefinition &pipeline : this->pipelines) {
        if (pipeline.name == name)
            return &pipeline;
    }
    return nullptr;
}

const Pipeline::ServiceDefinition *Settings::findService(std::string_view name) const
{
    for (const Pipeline::ServiceDefinition &service : this->services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults)
{
    ObjectReader root(document, "", faults);
    Settings settings;
    {
        Section section(root, "instance", true, faults);
        settings.instance = Common::InstanceId(section->text("id"));
        settings.failureDomain = Common::FailureDomain(section->text("failureDomain"));
    }
    settings.threads = readSize(root, "threads", 1, 64, 2);
    settings.attainmentWeight = root.number("attainmentWeight", 0, 1, 0.5);
    settings.defaultMaxTokens = root.integer("defaultMaxTokens", 1, 1'000'000, 128);
    settings.drainTimeout = readMs(root, "drainTimeoutMs", 100, kDayMs, 120'000);
    readCaller(root, settings.caller, faults);
    readOperator(root, settings.operatorPort, faults);
    readPeer(root, settings.peer, faults);
    readPlatform(root, settings.platform, faults);
    readOnce(root, settings.once, faults);
    readRouting(root, settings.routing, faults);
    readAdmission(root, settings.admission, faults);
    {
        Section section(root, "limits", false, faults);
        settings.limits.instances = readSize(*section, "instances", 1, 10'000, 7);
    }
    readPools(root, settings, faults);
    readPipelines(root, settings, faults);
    readServices(root, settings, faults);
    root.finish();
    checkPorts(settings, faults);
    return settings;
}

} // namespace Tanagerbay::Node
