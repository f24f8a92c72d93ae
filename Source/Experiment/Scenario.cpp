#include "Experiment/Scenario.h"

#include <algorithm>

namespace Tanagerbay::Experiment {

namespace json = boost::json;

namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kMaxRatePerSecond = 1e6;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kMaxCount = 100'000;
constexpr std::int64_t kMaxBytes = std::int64_t(1) << 40;

Common::Milliseconds milliseconds(Common::ObjectReader &reader, std::string_view key)
{
    return Common::Milliseconds(reader.integer(key, 0, kMaxMs));
}

Common::Duration fractionalMilliseconds(Common::ObjectReader &reader, std::string_view key)
{
    const std::chrono::duration<double, std::milli> value(reader.number(key, 0, 1e6));
    return std::chrono::duration_cast<Common::Duration>(value);
}

std::uint32_t count(Common::ObjectReader &reader, std::string_view key,
                    std::optional<std::int64_t> fallback = std::nullopt)
{
    return static_cast<std::uint32_t>(reader.integer(key, 0, kMaxCount, fallback));
}

StageServiceModel readService(const json::value &value, const std::string &path,
                              std::uint32_t failureDomains, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, path, faults);
    StageServiceModel service;
    service.name = reader.text("name");
    service.batching.concurrentCalls = 1;
    service.batching.maxPieces = count(reader, "maxPieces");
    service.batching.callTime = fractionalMilliseconds(reader, "callMs");
    service.batching.pieceTime = fractionalMilliseconds(reader, "pieceMs");
    service.batching.resultMemoryBytes
        = static_cast<std::uint64_t>(reader.integer("roomBytes", 1, kMaxBytes));
    service.batching.resultLifetime = milliseconds(reader, "resultLifetimeMs");
    service.maxWaitingCalls = count(reader, "waitingCalls", 2);
    service.linkBytesPerSecond = reader.number("linkBytesPerSecond", 1, 1e12);
    for (const json::value &number : reader.array("endpoints", true)) {
        const std::int64_t endpoints = number.is_int64() ? number.get_int64() : -1;
        if (endpoints < 0 || endpoints > kMaxCount)
            reader.fault("endpoints", "must contain only integers from 0 to 100000");
        else
            service.endpoints.push_back(static_cast<std::uint32_t>(endpoints));
    }
    if (service.batching.maxPieces == 0)
        reader.fault("maxPieces", "must be above zero");
    if (service.endpoints.size() != failureDomains)
        reader.fault("endpoints", "must contain one number per failure domain");
    reader.finish();
    return service;
}

StageModel readStage(const json::value &value, const std::string &path, std::size_t index,
                     Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, path, faults);
    StageModel model;
    model.stage.service = reader.text("service");
    model.stage.resultBytes
        = static_cast<std::uint64_t>(reader.integer("resultBytes", 0, kMaxBytes));
    for (const json::value &before : reader.array("after", false)) {
        const auto number = before.is_int64() ? before.get_int64() : -1;
        if (number < 0 || static_cast<std::size_t>(number) >= index)
            reader.fault("after", "must contain only indexes of earlier stages");
        else
            model.stage.after.push_back(static_cast<std::size_t>(number));
    }
    model.meanPieces = reader.number("meanPieces", 0.1, 1e4, 1);
    model.pieceSpread = reader.number("pieceSpread", 0, 5, 0);
    model.maxPieces = count(reader, "mostPieces", 1);
    model.share = reader.number("share", 0, 1, 1);
    model.workFactor = reader.number("workFactor", 0, 100, 1);
    reader.finish();
    return model;
}

RequestKindModel readKind(const json::value &value, const std::string &path,
                          Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, path, faults);
    RequestKindModel kind;
    kind.name = reader.text("name");
    kind.arrivalsPerSecond = reader.number("perSecond", 0, kMaxRatePerSecond);
    kind.objective = milliseconds(reader, "objectiveMs");
    kind.callerTimeout = milliseconds(reader, "patienceMs");
    kind.priority = static_cast<int>(reader.integer("priority", 0, 1000));
    kind.worth = reader.number("worth", 0, 1e6);
    kind.lateWorth = reader.number("lateWorth", 0, 1e6);
    kind.endpointTime = milliseconds(reader, "endpointMs");
    kind.deadline = Common::Milliseconds(reader.integer("deadlineMs", 0, kMaxMs, 0));
    kind.retries = count(reader, "retries", 0);
    kind.impatientShare = reader.number("impatientShare", 0, 1, 0);
    const json::array &stages = reader.array("stages", true);
    for (std::size_t i = 0; i < stages.size(); ++i)
        kind.stages.push_back(readStage(stages[i], reader.pathOf("stages", i), i, faults));
    reader.finish();
    return kind;
}

Burst readBurst(const json::value &value, const std::string &path,
                const std::vector<RequestKindModel> &kinds, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, path, faults);
    Burst burst;
    const std::string kind = reader.text("kind", "");
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i].name == kind)
            burst.kind = i;
    }
    if (!kind.empty() && !burst.kind)
        reader.fault("kind", "is not the name of a request kind");
    burst.fromSecond = reader.number("fromSecond", 0, kMaxSeconds);
    burst.toSecond = reader.number("toSecond", 0, kMaxSeconds);
    burst.factor = reader.number("factor", 0, 1000);
    reader.finish();
    return burst;
}

// Adds a fault for each stage or degradation that refers to an unknown service.
void checkServices(const Scenario &scenario, Common::JsonFaults &faults)
{
    const auto check = [&](const std::string &name, const std::string &path) {
        const bool known = std::any_of(
            scenario.services.begin(), scenario.services.end(),
            [&name](const StageServiceModel &service) { return service.name == name; });
        if (!known)
            faults.push_back({path, "is not the name of a service"});
    };
    for (std::size_t i = 0; i < scenario.kinds.size(); ++i) {
        for (std::size_t j = 0; j < scenario.kinds[i].stages.size(); ++j) {
            check(scenario.kinds[i].stages[j].stage.service,
                  "kinds[" + std::to_string(i) + "].stages[" + std::to_string(j) + "].service");
        }
    }
    for (std::size_t i = 0; i < scenario.degradations.size(); ++i)
        check(scenario.degradations[i].service, "troubles[" + std::to_string(i) + "].service");
}

EndpointDegradation readDegradation(const json::value &value, const std::string &path,
                                    Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, path, faults);
    EndpointDegradation degradation;
    degradation.service = reader.text("service");
    degradation.endpoints = count(reader, "endpoints");
    degradation.fromSecond = reader.number("fromSecond", 0, kMaxSeconds);
    degradation.toSecond = reader.number("toSecond", 0, kMaxSeconds);
    degradation.slowness = reader.number("slowness", 0, 1000);
    reader.finish();
    return degradation;
}

} // namespace

Scenario readScenario(const json::value &document, Common::JsonFaults &faults)
{
    Common::ObjectReader reader(document, "", faults);
    Scenario scenario;
    scenario.seconds = reader.number("seconds", 1, kMaxSeconds);
    scenario.failureDomains = count(reader, "failureDomains");
    scenario.instances = count(reader, "instances");
    scenario.messageDelay = fractionalMilliseconds(reader, "messageDelayMs");
    const json::array &services = reader.array("services", true);
    for (std::size_t i = 0; i < services.size(); ++i) {
        scenario.services.push_back(readService(services[i], reader.pathOf("services", i),
                                                scenario.failureDomains, faults));
    }
    const json::array &kinds = reader.array("kinds", true);
    for (std::size_t i = 0; i < kinds.size(); ++i)
        scenario.kinds.push_back(readKind(kinds[i], reader.pathOf("kinds", i), faults));
    const json::array &bursts = reader.array("bursts", false);
    for (std::size_t i = 0; i < bursts.size(); ++i) {
        scenario.bursts.push_back(
            readBurst(bursts[i], reader.pathOf("bursts", i), scenario.kinds, faults));
    }
    const json::array &degradations = reader.array("troubles", false);
    for (std::size_t i = 0; i < degradations.size(); ++i)
        scenario.degradations.push_back(
            readDegradation(degradations[i], reader.pathOf("troubles", i), faults));
    reader.finish();
    checkServices(scenario, faults);
    if (scenario.failureDomains == 0)
        faults.push_back({"failureDomains", "must be above zero"});
    if (scenario.instances == 0)
        faults.push_back({"instances", "must be above zero"});
    return scenario;
}

} // namespace Tanagerbay::Experiment
