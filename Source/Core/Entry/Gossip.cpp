#include "Entry/Gossip.h"

#include "Entry/PeerMesh.h"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

namespace {

constexpr Common::Milliseconds kHeartbeatInterval{500};
// Instances that a heartbeat goes to, and reports of others that it carries. A datagram with that
// many reports stays below the usual 1,500 bytes of a packet.
constexpr std::size_t kTargets = 6;
constexpr std::size_t kReportsPassedOn = 6;
constexpr std::size_t kMostDatagramBytes = 8 << 10;

json::object toJson(const Membership::MemberReport &report)
{
    json::object object;
    object["id"] = report.id.value;
    if (report.callerAddress.isSet())
        object["caller"] = Common::formatAddress(report.callerAddress);
    object["peer"] = Common::formatAddress(report.peerAddress);
    object["domain"] = report.failureDomain.value;
    object["born"] = report.incarnation;
    object["seq"] = report.sequence;
    object["state"] = Common::nameOf(report.state);
    object["catalog"] = report.catalogVersion;
    object["load"] = report.requestsInProgress;
    return object;
}

std::optional<Membership::MemberReport> fromJson(const json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    const json::object &object = value.get_object();
    Membership::MemberReport report;
    report.id = Common::InstanceId(textOf(object, "id"));
    if (report.id.empty() || !Common::parseAddress(textOf(object, "peer"), report.peerAddress))
        return std::nullopt;
    Common::parseAddress(textOf(object, "caller"), report.callerAddress);
    report.failureDomain = Common::FailureDomain(textOf(object, "domain"));
    report.incarnation = numberOf(object, "born");
    report.sequence = numberOf(object, "seq");
    report.state = Common::valueNamed<Membership::MemberState>(textOf(object, "state"))
                       .value_or(Membership::MemberState::Live);
    report.catalogVersion = numberOf(object, "catalog");
    report.requestsInProgress = static_cast<std::uint32_t>(numberOf(object, "load"));
    return report;
}

std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

Gossip::Gossip(State &state) : state(state), socket(state.context), incarnation(unixMilliseconds())
{
}

std::string Gossip::start()
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(this->state.settings.peers.ip, error);
    if (!error)
        this->socket.open(udp::v4(), error);
    if (!error)
        this->socket.bind({ip, this->state.settings.peers.port}, error);
    if (error) {
        return "cannot open " + Common::formatAddress(this->state.settings.peers)
            + " for heartbeats: " + error.message();
    }
    this->socket.non_blocking(true, error);
    this->takeReport(this->ownReport());
    asio::co_spawn(this->state.context, this->sendLoop(), asio::detached);
    asio::co_spawn(this->state.context, this->receiveLoop(), asio::detached);
    return "";
}

void Gossip::onReport(std::function<void(const Membership::MemberReport &)> action)
{
    this->reportAction = std::move(action);
}

void Gossip::addListed(const ListedInstance &instance)
{
    const auto [entry, added] = this->state.members.byId.try_emplace(instance.id);
    if (!added)
        return;
    entry->second.report.id = instance.id;
    entry->second.report.peerAddress = instance.peerAddress;
    entry->second.firstSeenAt = clockNow();
}

Membership::MemberReport Gossip::ownReport()
{
    const Settings &settings = this->state.settings;
    Membership::MemberReport report;
    report.id = settings.instance;
    // Without an address for callers the directory leaves this instance out.
    if (this->state.isReady())
        report.callerAddress = settings.callers;
    report.peerAddress = settings.peers;
    report.failureDomain = settings.failureDomain;
    report.incarnation = this->incarnation;
    report.sequence = ++this->sequence;
    report.state
        = this->state.leaving ? Membership::MemberState::Leaving : Membership::MemberState::Live;
    report.catalogVersion = this->state.catalog ? this->state.catalog->version : 0;
    report.requestsInProgress = static_cast<std::uint32_t>(this->state.requestsInProgress);
    return report;
}

void Gossip::send()
{
    const Common::Time now = clockNow();
    Membership::forgetLost(this->state.members, now);
    const Membership::MemberReport own = this->ownReport();
    Membership::noteReport(this->state.members, own, now);
    json::array reports;
    reports.push_back(toJson(own));
    for (const auto &report :
         Membership::reportsToPassOn(this->state.members, kReportsPassedOn, this->state.random))
        reports.push_back(toJson(report));
    json::object message;
    message["reports"] = std::move(reports);
    const std::string datagram = json::serialize(message);
    std::vector<Common::Address> targets
        = Membership::heartbeatTargets(this->state.members, kTargets, this->state.random);
    for (const std::string &seed : this->state.settings.seeds) {
        const Common::Address address{seed, this->state.settings.peers.port};
        const bool known = std::find(targets.begin(), targets.end(), address) != targets.end();
        if (seed != this->state.settings.peers.ip && !known && targets.size() < kTargets)
            targets.push_back(address);
    }
    for (const Common::Address &target : targets) {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(target.ip, error);
        if (!error)
            this->socket.send_to(asio::buffer(datagram), {ip, target.port}, 0, error);
        // A datagram that cannot be sent is like one that is lost: the next one follows soon.
        if (error)
            this->state.metrics.count("heartbeats_unsent");
    }
}

void Gossip::announce()
{
    this->send();
}

Http::Awaitable<void> Gossip::sendLoop()
{
    while (true) {
        this->send();
        co_await this->state.sleepFor(kHeartbeatInterval);
    }
}

Http::Awaitable<void> Gossip::receiveLoop()
{
    std::array<char, kMostDatagramBytes> bytes;
    while (true) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await this->socket.async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !this->socket.is_open())
            co_return;
        if (!error)
            this->take({bytes.data(), size});
    }
}

void Gossip::take(std::string_view datagram)
{
    boost::system::error_code error;
    const json::value message = json::parse({datagram.data(), datagram.size()}, error);
    const json::value *reports
        = !error && message.is_object() ? message.get_object().if_contains("reports") : nullptr;
    if (!reports || !reports->is_array()) {
        this->state.metrics.count("heartbeats_invalid");
        return;
    }
    for (const json::value &value : reports->get_array()) {
        if (const auto report = fromJson(value))
            this->takeReport(*report);
    }
}

void Gossip::takeReport(const Membership::MemberReport &report)
{
    if (report.id == this->state.settings.instance) {
        // The time of day can go back between two starts; the newer process has to win.
        if (report.incarnation > this->incarnation)
            this->incarnation = report.incarnation + 1;
        return;
    }
    const Common::Time now = clockNow();
    const bool known = this->state.members.byId.contains(report.id);
    if (!Membership::noteReport(this->state.members, report, now))
        return;
    if (!known) {
        this->state.logState(LogLine("instance-found")
                                 .text("instance", report.id.value)
                                 .text("peer", Common::formatAddress(report.peerAddress)));
    }
    if (this->reportAction)
        this->reportAction(report);
}

} // namespace Tanagerbay::Entry
