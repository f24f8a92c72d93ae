#include "Entry/Gossip.h"

#include "Common/Clock.h"
#include "Entry/PeerMesh.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Number of instances that are told of a change at once.
constexpr std::size_t kAnnounceTargets = 6;
// A datagram with so much news stays below the usual packet size of 1,500 bytes.
constexpr std::size_t kNewsPerMessage = 10;
constexpr std::size_t kNewsBesideAttachment = 2;
constexpr std::size_t kMaxLeavingEndpoints = 8;
// All that another instance knows is asked for at most so often: regularly while many instances
// have failed, and sooner after a failed one has returned, which may be the end of a cut.
constexpr Common::Milliseconds kAskAllInterval{500};
constexpr Common::Milliseconds kAskReturnedInterval{250};
// Strength is measured in thousandths of a core, limited by the bandwidth of the link: the calls of
// a stage queue take about 10 Mbit/s at 0.05 cores.
constexpr double kStrengthPerCore = 1000;
constexpr double kStrengthPerMbps = 5;
constexpr Common::Milliseconds kMinTickDelay{5};

// Positions of the values in a report. Reports are sent very often, so they are encoded as arrays
// without keys.
enum ReportField : std::size_t {
    Id,
    Ip,
    CallerPort,
    PeerPort,
    Domain,
    Incarnation,
    Sequence,
    IsLeaving,
    CatalogVersion,
    Load,
    Strength,
    FieldCount,
    // Written after the fields above only if it is not `Alive`.
    ConditionField = FieldCount
};

json::array toJson(const Membership::MemberNews &news)
{
    const Membership::MemberReport &report = news.report;
    json::array fields{report.id.value,
                       report.peerAddress.ip,
                       report.callerAddress.port,
                       report.peerAddress.port,
                       report.failureDomain.value,
                       report.incarnation,
                       report.sequence,
                       report.state == Membership::MemberState::Leaving ? 1 : 0,
                       report.catalogVersion,
                       report.requestsInProgress,
                       std::llround(report.strength)};
    if (news.condition != Membership::Condition::Alive)
        fields.emplace_back(Common::nameOf(news.condition));
    return fields;
}

std::uint64_t numberAt(const json::array &fields, std::size_t index)
{
    const json::value &value = fields[index];
    if (value.is_uint64())
        return value.get_uint64();
    return value.is_int64() && value.get_int64() > 0 ? static_cast<std::uint64_t>(value.get_int64())
                                                     : 0;
}

std::string textAt(const json::array &fields, std::size_t index)
{
    return fields[index].is_string() ? std::string(fields[index].get_string()) : std::string();
}

// During a rolling update, instances of two versions run side by side: a report of the newer
// version may have further fields after the known ones.
std::optional<Membership::MemberNews> fromJson(const json::value &value)
{
    if (!value.is_array() || value.get_array().size() < FieldCount)
        return std::nullopt;
    const json::array &fields = value.get_array();
    Membership::MemberReport report;
    report.id = Common::InstanceId(textAt(fields, Id));
    const std::string ip = textAt(fields, Ip);
    const std::uint64_t peerPort = numberAt(fields, PeerPort);
    if (report.id.empty()
        || !Common::parseAddress(ip + ":" + std::to_string(peerPort), report.peerAddress))
        return std::nullopt;
    // A report without a caller port (port 0) leaves the caller address unset: that instance is not
    // ready.
    const std::uint64_t callerPort = numberAt(fields, CallerPort);
    Common::parseAddress(ip + ":" + std::to_string(callerPort), report.callerAddress);
    report.failureDomain = Common::FailureDomain(textAt(fields, Domain));
    report.incarnation = numberAt(fields, Incarnation);
    report.sequence = numberAt(fields, Sequence);
    report.state = numberAt(fields, IsLeaving) != 0 ? Membership::MemberState::Leaving
                                                    : Membership::MemberState::Live;
    report.catalogVersion = numberAt(fields, CatalogVersion);
    report.requestsInProgress = static_cast<std::uint32_t>(numberAt(fields, Load));
    report.strength = static_cast<double>(numberAt(fields, Strength));
    Membership::MemberNews news{report, Membership::Condition::Alive};
    if (fields.size() > ConditionField) {
        news.condition = Common::valueNamed<Membership::Condition>(textAt(fields, ConditionField))
                             .value_or(news.condition);
    }
    return news;
}

std::optional<Membership::ProbeMessage> probeFromJson(const json::value *value)
{
    if (!value || !value->is_array() || value->get_array().size() < 2)
        return std::nullopt;
    const json::array &fields = value->get_array();
    const auto kind = Common::valueNamed<Membership::ProbeKind>(textAt(fields, 0));
    if (!kind)
        return std::nullopt;
    Membership::ProbeMessage message;
    message.kind = *kind;
    message.number = numberAt(fields, 1);
    const bool hasSubject
        = fields.size() > 2 && Common::parseAddress(textAt(fields, 2), message.subject);
    if (message.kind == Membership::ProbeKind::Request && !hasSubject)
        return std::nullopt;
    return message;
}

} // namespace

Gossip::Gossip(State &state, PeerDatagrams &datagrams)
    : state(state), datagrams(datagrams), incarnation(Common::unixMilliseconds())
{
}

void Gossip::start()
{
    this->datagrams.on("reports",
                       [this](const json::object &message, const Common::Address &sender) {
                           this->handleDatagram(message, sender);
                       });
    this->raiseSequence(0);
    asio::co_spawn(this->state.context, this->sendLoop(), asio::detached);
}

void Gossip::onReport(std::function<void(const Membership::MemberReport &)> action)
{
    this->reportHandler = std::move(action);
}

void Gossip::publishLeaving(const LeavingEndpoint &leaving)
{
    Membership::publish(this->leavingNews, leaving.id, leaving);
}

void Gossip::onLeavingEndpoint(std::function<void(const LeavingEndpoint &)> action)
{
    this->leavingHandler = std::move(action);
}

void Gossip::onDatagram(std::function<bool(json::object &, std::uint32_t)> attach,
                        std::function<void(const json::object &)> read)
{
    this->attachHandlers.push_back(std::move(attach));
    this->attachmentHandlers.push_back(std::move(read));
}

void Gossip::onAllReports(std::function<void(json::object &)> attach)
{
    this->attachAllHandlers.push_back(std::move(attach));
}

void Gossip::noteListed(const std::vector<ListedInstance> &instances)
{
    std::vector<Membership::MemberReport> reports;
    for (const ListedInstance &instance : instances) {
        Membership::MemberReport &report = reports.emplace_back();
        report.id = instance.id;
        report.peerAddress = instance.peerAddress;
        report.callerAddress = instance.callerAddress;
        report.failureDomain = instance.failureDomain;
        report.strength = instance.strength;
    }
    Membership::noteListed(this->detector, this->state.members, reports, clockNow());
}

Membership::MemberReport Gossip::ownReport() const
{
    const Settings &settings = this->state.settings;
    Membership::MemberReport report;
    report.id = settings.instance;
    // The directory omits instances without a caller address, and nothing is passed on to them.
    if (this->state.isReady() && !this->state.hasLostPaths)
        report.callerAddress = settings.callers;
    report.peerAddress = settings.peers;
    report.failureDomain = settings.failureDomain;
    report.incarnation = this->incarnation;
    report.sequence = this->sequence;
    report.state
        = this->state.leaving ? Membership::MemberState::Leaving : Membership::MemberState::Live;
    report.catalogVersion = this->state.catalog ? this->state.catalog->version : 0;
    report.requestsInProgress = static_cast<std::uint32_t>(this->state.requestsInProgress);
    report.strength = this->strength();
    return report;
}

double Gossip::strength() const
{
    const Settings &settings = this->state.settings;
    return std::round(
        std::min(settings.cores * kStrengthPerCore, settings.linkMbps * kStrengthPerMbps));
}

void Gossip::raiseSequence(std::uint64_t above)
{
    this->sequence = std::max(this->sequence, above) + 1;
    const Membership::MemberReport own = this->ownReport();
    Membership::noteReport(this->state.members, own, clockNow());
    Membership::publishSelf(this->detector, own);
}

void Gossip::raiseIncarnation(std::uint64_t reported)
{
    const std::uint64_t raised = Membership::incarnationAfter(this->incarnation, reported);
    if (raised == this->incarnation)
        return;
    // The time of day has stepped back since an earlier start of this instance.
    this->state.logState(LogLine("start-number-raised")
                             .number("from", static_cast<std::int64_t>(this->incarnation))
                             .number("to", static_cast<std::int64_t>(raised)));
    this->incarnation = raised;
    this->raiseSequence(0);
}

void Gossip::noteOwnState()
{
    const bool isReady = this->state.isReady();
    const bool isLeaving = this->state.leaving.has_value();
    const bool hasLostPaths = this->state.hasLostPaths;
    if (isReady == this->wasReady && isLeaving == this->wasLeaving
        && hasLostPaths == this->hadLostPaths)
        return;
    this->wasReady = isReady;
    this->wasLeaving = isLeaving;
    this->hadLostPaths = hasLostPaths;
    this->raiseSequence(0);
}

json::object Gossip::datagramFor(const Membership::ProbeMessage &message)
{
    const std::uint32_t repeats = Membership::newsRepeats(this->state.members.byId.size());
    json::object datagram;
    // What is attached has been announced to that many instances at once before it spreads by
    // probes.
    bool hasAttachment = false;
    for (const auto &attach : this->attachHandlers)
        hasAttachment = attach(datagram, repeats + static_cast<std::uint32_t>(kAnnounceTargets))
            || hasAttachment;
    json::array probe{Common::nameOf(message.kind), message.number};
    if (message.subject.isSet())
        probe.emplace_back(Common::formatAddress(message.subject));
    json::array reports;
    reports.push_back(toJson({this->ownReport(), Membership::Condition::Alive}));
    if (const auto news = Membership::newsForSubject(this->state.members, message.to))
        reports.push_back(toJson(*news));
    const std::size_t newsCount = hasAttachment ? kNewsBesideAttachment : kNewsPerMessage;
    for (const Membership::MemberNews &news :
         Membership::takeNews(this->detector.news, newsCount, repeats))
        reports.push_back(toJson(news));
    datagram["probe"] = std::move(probe);
    datagram["reports"] = std::move(reports);
    json::array leavingEndpoints;
    for (const LeavingEndpoint &leaving :
         Membership::takeNews(this->leavingNews, kMaxLeavingEndpoints, repeats))
        leavingEndpoints.push_back(json::array{leaving.id.value, leaving.incarnation});
    if (!leavingEndpoints.empty())
        datagram["leavingEndpoints"] = std::move(leavingEndpoints);
    return datagram;
}

void Gossip::send(const std::vector<Membership::ProbeMessage> &messages)
{
    for (const Membership::ProbeMessage &message : messages)
        this->datagrams.send(message.to, this->datagramFor(message));
}

void Gossip::announce()
{
    this->noteOwnState();
    std::vector<Common::Address> targets
        = Membership::heartbeatTargets(this->state.members, kAnnounceTargets, this->state.random);
    for (const std::string &seed : this->state.settings.seeds) {
        const Common::Address address{seed, this->state.settings.peers.port};
        const bool known = std::find(targets.begin(), targets.end(), address) != targets.end();
        if (seed != this->state.settings.peers.ip && !known && targets.size() < kAnnounceTargets)
            targets.push_back(address);
    }
    std::vector<Membership::ProbeMessage> messages;
    for (const Common::Address &target : targets)
        messages.push_back({Membership::ProbeKind::Probe, target, ++this->detector.lastNumber, {}});
    this->send(messages);
}

void Gossip::check(const Common::InstanceId &instance)
{
    this->send(Membership::probeNow(this->detector, this->state.members, instance, clockNow()));
}

void Gossip::onAskAll(std::function<void(const Common::Address &)> action)
{
    this->askAllHandler = std::move(action);
}

void Gossip::askAll(const Common::Address &peer, Common::Duration minInterval)
{
    const Common::Time now = clockNow();
    if (!this->askAllHandler || (this->askedAllAt && now - *this->askedAllAt < minInterval))
        return;
    this->askedAllAt = now;
    this->askAllHandler(peer);
}

void Gossip::askForAll(const Common::InstanceId &instance)
{
    const auto found = this->state.members.byId.find(instance);
    if (found != this->state.members.byId.end())
        this->askAll(found->second.report.peerAddress, kAskReturnedInterval);
}

json::object Gossip::allReports()
{
    this->noteOwnState();
    json::array reports;
    for (const Membership::MemberNews &news : Membership::allNews(this->state.members))
        reports.push_back(toJson(news));
    json::object message;
    message["reports"] = std::move(reports);
    for (const auto &attach : this->attachAllHandlers)
        attach(message);
    return message;
}

void Gossip::applyAll(const json::object &message)
{
    std::vector<Membership::MemberNews> all;
    if (const json::array *reports = arrayOf(message, "reports")) {
        for (const json::value &value : *reports) {
            if (const auto news = fromJson(value))
                all.push_back(*news);
        }
    }
    Membership::applyAllNews(this->detector, this->state.members, all, clockNow());
    for (const Membership::MemberNews &news : all) {
        if (news.report.id == this->state.settings.instance)
            this->raiseIncarnation(news.report.incarnation);
    }
    for (const auto &read : this->attachmentHandlers)
        read(message);
}

Http::Awaitable<void> Gossip::sendLoop()
{
    // Before another instance is known, the seeds are asked in each period.
    while (true) {
        this->noteOwnState();
        const Common::Time now = clockNow();
        const bool isAlone
            = !Membership::hasReportSince(this->state.members, this->state.startedAt);
        if (isAlone)
            this->announce();
        this->send(Membership::tick(this->detector, this->state.members, now, this->state.random));
        if (Membership::shouldRaiseSequence(this->detector, this->state.members))
            this->raiseSequence(0);
        if (const auto peer
            = Membership::peerToAsk(this->detector, this->state.members, this->state.random))
            this->askAll(*peer, kAskAllInterval);
        const Common::Time nextAt = Membership::nextTickAt(this->detector, now);
        co_await this->state.sleepFor(
            std::max<Common::Duration>(nextAt - clockNow(), kMinTickDelay));
    }
}

void Gossip::handleDatagram(const json::object &message, const Common::Address &sender)
{
    const json::array *reports = arrayOf(message, "reports");
    if (!reports) {
        this->state.metrics.count("datagrams_invalid");
        return;
    }
    for (const json::value &value : *reports) {
        if (const auto news = fromJson(value))
            this->handleNews(*news, sender);
    }
    if (const json::array *leaving = arrayOf(message, "leavingEndpoints"))
        this->handleLeaving(*leaving);
    for (const auto &read : this->attachmentHandlers)
        read(message);
    // Instances of an earlier version send reports only.
    if (const auto probe = probeFromJson(message.if_contains("probe")))
        this->send(Membership::onProbeMessage(this->detector, *probe, sender, clockNow()));
}

void Gossip::handleNews(const Membership::MemberNews &news, const Common::Address &sender)
{
    const Common::Time now = clockNow();
    const Membership::MemberReport &report = news.report;
    const bool known = this->state.members.byId.contains(report.id);
    const Membership::NewsEffect effect
        = Membership::applyNews(this->detector, this->state.members, news, now);
    if (report.peerAddress == sender)
        Membership::noteStatedStart(this->state.members, report);
    if (effect == Membership::NewsEffect::AboutSelf) {
        this->raiseIncarnation(report.incarnation);
        if (news.condition == Membership::Condition::Alive)
            return;
        if (Membership::isDoubtCurrent(this->ownReport(), report)) {
            this->state.metrics.count("suspicions_refuted");
            this->raiseSequence(report.sequence);
        } else {
            Membership::publishSelf(this->detector, this->ownReport());
        }
        return;
    }
    if (!known) {
        this->state.logState(LogLine("instance-found")
                                 .text("instance", report.id.value)
                                 .text("peer", Common::formatAddress(report.peerAddress)));
        // A stranger's list of instances completes this one's.
        if (report.peerAddress == sender)
            this->askAll(sender, kAskReturnedInterval);
    } else if (effect == Membership::NewsEffect::Changed
               && news.condition != Membership::Condition::Alive) {
        this->state.log.write(LogLine("instance-doubted")
                                  .text("instance", report.id.value)
                                  .text("condition", Common::nameOf(news.condition)),
                              now);
    } else if (effect == Membership::NewsEffect::Returned && report.peerAddress == sender) {
        this->askAll(sender, kAskReturnedInterval);
    }
    if (news.condition == Membership::Condition::Alive && this->reportHandler)
        this->reportHandler(report);
}

std::optional<Common::InstanceId> senderOf(const json::object &message)
{
    const json::array *reports = arrayOf(message, "reports");
    if (!reports || reports->empty())
        return std::nullopt;
    const auto own = fromJson(reports->front());
    return own ? std::optional(own->report.id) : std::nullopt;
}

void Gossip::handleLeaving(const json::array &endpoints)
{
    for (const json::value &value : endpoints) {
        if (!value.is_array() || value.get_array().size() < 2)
            continue;
        const LeavingEndpoint leaving{Common::EndpointId(textAt(value.get_array(), 0)),
                                      numberAt(value.get_array(), 1)};
        if (this->leavingHandler)
            this->leavingHandler(leaving);
    }
}

} // namespace Tanagerbay::Entry
