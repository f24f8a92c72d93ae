#include "Entry/Settings.h"

#include <cmath>

namespace Tanagerbay::Entry {

namespace {

using Common::Milliseconds;
using Common::ObjectReader;

constexpr std::int64_t kMaxTimeMs = 24 * 3600 * 1000;
constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxCores = 4096;
constexpr double kMaxMbps = 1e6;
constexpr double kMaxMemoryMb = 1e7;
constexpr double kBytesPerMb = 1 << 20;
constexpr std::int64_t kMaxDescriptors = 100'000'000;

Common::Address readAddress(ObjectReader &reader, std::string_view key, bool required)
{
    Common::Address address;
    const std::string text = required ? reader.text(key) : reader.text(key, "");
    if (!text.empty() && !Common::parseAddress(text, address))
        reader.fault(key, "must be ip:port with a port above zero, is " + text);
    return address;
}

// Reads a time, which the platform gives as an integer or a fraction in seconds or milliseconds.
Milliseconds readTime(ObjectReader &reader, std::string_view key, Milliseconds unit,
                      Milliseconds fallback)
{
    const double perUnit = static_cast<double>(unit.count());
    const double value = reader.number(key, 0, static_cast<double>(kMaxTimeMs) / perUnit,
                                       static_cast<double>(fallback.count()) / perUnit);
    return Milliseconds(std::llround(value * perUnit));
}

Bounds readBounds(const boost::json::value &value, std::string path, Common::JsonFaults &faults)
{
    constexpr double kMaxRatio = 100;
    constexpr double kMaxSlack = 1e9;
    Bounds bounds;
    ObjectReader reader(value, std::move(path), faults);
    constexpr Milliseconds kMillisecond{1};
    constexpr Milliseconds kSecond{1000};
    bounds.gracePeriod = readTime(reader, "graceSeconds", kSecond, bounds.gracePeriod);
    bounds.leavingDelay = readTime(reader, "leavingDelayMs", kMillisecond, bounds.leavingDelay);
    bounds.endpointHeartbeat
        = readTime(reader, "endpointHeartbeatMs", kMillisecond, bounds.endpointHeartbeat);
    bounds.catalogDelay = readTime(reader, "catalogDelayMs", kMillisecond, bounds.catalogDelay);
    bounds.maxDirectoryTtl
        = readTime(reader, "mostDirectoryTtlSeconds", kSecond, bounds.maxDirectoryTtl);
    bounds.extraSends.ratio = reader.number("extraSendRatio", 0, kMaxRatio, 0.0);
    bounds.extraSends.slack = reader.number("extraSendSlack", 0, kMaxSlack, 0.0);
    bounds.extraSends.window
        = readTime(reader, "extraSendWindowSeconds", kSecond, Milliseconds(10'000));
    const double coldSlack = reader.number("coldSlack", 0, kMaxSlack, 0.0);
    if (reader.member("coldOvershoot"))
        bounds.coldEndpoints = {reader.number("coldOvershoot", 0, kMaxRatio, 0.0), coldSlack};
    reader.finish();
    return bounds;
}

void readListen(const boost::json::value &value, std::string path, Settings &settings,
                Common::JsonFaults &faults)
{
    ObjectReader reader(value, std::move(path), faults);
    settings.callers = readAddress(reader, "callers", true);
    settings.readiness = readAddress(reader, "readiness", true);
    settings.directory = readAddress(reader, "directory", true);
    settings.control = readAddress(reader, "control", false);
    reader.finish();
}

void readPeers(const boost::json::value &value, std::string path, Settings &settings,
               Common::JsonFaults &faults)
{
    ObjectReader reader(value, std::move(path), faults);
    settings.peers.ip = settings.callers.ip;
    settings.peers.port = static_cast<std::uint16_t>(reader.integer("port", 1, kMaxPort));
    settings.forwarding.ip = settings.callers.ip;
    settings.forwarding.port
        = static_cast<std::uint16_t>(reader.integer("forwardPort", 0, kMaxPort, 0));
    settings.connectFrom = reader.text("connectFrom", "");
    Common::Address from;
    if (!settings.connectFrom.empty() && !Common::parseAddress(settings.connectFrom + ":1", from))
        reader.fault("connectFrom", "must be an IP address, is " + settings.connectFrom);
    settings.metrics.ip = settings.callers.ip;
    settings.metrics.port
        = static_cast<std::uint16_t>(reader.integer("metricsPort", 0, kMaxPort, 0));
    for (const std::string &seed : reader.textArray("seeds", false)) {
        Common::Address address;
        if (!Common::parseAddress(seed, address))
            reader.fault("seeds", "must be ip:port with a port above zero, is " + seed);
        else
            settings.seeds.push_back(address.ip);
    }
    reader.finish();
}

} // namespace

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults)
{
    Settings settings;
    ObjectReader reader(document, "", faults);
    reader.text("dialect");
    settings.instance = Common::InstanceId(reader.text("instance"));
    settings.failureDomain = Common::FailureDomain(reader.text("failureDomain"));
    settings.store = readAddress(reader, "store", true);
    settings.maxConnections
        = static_cast<std::size_t>(reader.integer("mostConnections", 1, 1'000'000, 3000));
    settings.cores = reader.number("cores", 0, kMaxCores, 0.0);
    settings.linkMbps = reader.number("linkMbps", 0, kMaxMbps, 0.0);
    settings.memoryBytes
        = static_cast<std::size_t>(reader.number("memoryMb", 0, kMaxMemoryMb, 0.0) * kBytesPerMb);
    settings.maxDescriptors
        = static_cast<std::size_t>(reader.integer("mostDescriptors", 0, kMaxDescriptors, 0));
    constexpr std::int64_t kMaxFirstEvent = 1'000'000;
    settings.firstEvent = static_cast<std::uint64_t>(
        reader.integer("firstEvent", 0, kMaxFirstEvent, Serving::kFirstEventNumber));
    for (std::string &service : reader.textArray("closeDelimitedServices", false))
        settings.closeDelimitedServices.insert(std::move(service));
    const std::string order
        = reader.text("stageOrder", std::string(Common::nameOf(settings.stageOrder)));
    if (const auto named = Common::valueNamed<StageOrder>(order))
        settings.stageOrder = *named;
    else
        reader.fault("stageOrder", "must be least-cost or on-time-first, is " + order);
    static const boost::json::value kEmpty = boost::json::object();
    const auto section = [&reader](std::string_view key) -> const boost::json::value & {
        const boost::json::value *member = reader.member(key);
        if (!member)
            reader.fault(key, "is missing");
        return member ? *member : kEmpty;
    };
    readListen(section("listen"), reader.pathOf("listen"), settings, faults);
    readPeers(section("peers"), reader.pathOf("peers"), settings, faults);
    settings.bounds = readBounds(section("bounds"), reader.pathOf("bounds"), faults);
    reader.finish();
    return settings;
}

} // namespace Tanagerbay::Entry
