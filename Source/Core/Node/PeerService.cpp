#include "Node/PeerService.h"

#include "Common/Clock.h"
#include "Peer/Generated/Peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace wire = ::tanagerbay::peer;

namespace {

// Number of instances to which each heartbeat is sent. With no more other instances than this,
// every instance receives heartbeats directly from every other one.
constexpr std::size_t kHeartbeatFanout = 6;
// Maximum number of other instances' reports in a heartbeat.
constexpr std::size_t kMaxForwardedReports = 6;
constexpr std::size_t kListRequestFanout = 2;

void encodeReport(const Membership::MemberReport &report, wire::MemberRecord &record)
{
    record.set_instance(report.id.value);
    record.set_caller_address(Common::formatAddress(report.callerAddress));
    record.set_peer_address(Common::formatAddress(report.peerAddress));
    record.set_failure_domain(report.failureDomain.value);
    record.set_incarnation(report.incarnation);
    record.set_sequence(report.sequence);
    record.set_leaving(report.state == Membership::MemberState::Leaving);
    record.set_plans_version(report.plansVersion);
    record.set_entitlements_version(report.entitlementsVersion);
    record.set_requests_in_progress(report.requestsInProgress);
    if (report.slot) {
        record.set_slot_plus_one(static_cast<std::uint32_t>(*report.slot + 1));
        record.set_slot_version(report.slotVersion);
    }
}

// Returns false if the record has no instance or an invalid address.
bool decodeReport(const wire::MemberRecord &record, Membership::MemberReport &report)
{
    report.id = Common::InstanceId(record.instance());
    report.failureDomain = Common::FailureDomain(record.failure_domain());
    report.incarnation = record.incarnation();
    report.sequence = record.sequence();
    report.state
        = record.leaving() ? Membership::MemberState::Leaving : Membership::MemberState::Live;
    report.plansVersion = record.plans_version();
    report.entitlementsVersion = record.entitlements_version();
    report.requestsInProgress = record.requests_in_progress();
    if (record.slot_plus_one() > 0)
        report.slot = record.slot_plus_one() - 1;
    report.slotVersion = record.slot_version();
    return !report.id.empty() && Common::parseAddress(record.caller_address(), report.callerAddress)
        && Common::parseAddress(record.peer_address(), report.peerAddress);
}

std::uint64_t startTimeMicros()
{
    const auto sinceEpoch = Common::timeOfDay().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

PeerService::PeerService(Worker &worker, SharedState &shared)
    : worker(worker), shared(shared), incarnation(startTimeMicros())
{
    const auto receive = [this](std::unique_ptr<Peer::Envelope> message) {
        asio::post(this->worker.context, [this, message = std::move(message)]() mutable {
            this->receive(std::move(message));
        });
    };
    this->link
        = std::make_unique<Peer::Link>(shared.settings.peer.address, shared.counters, receive);
}

PeerService::~PeerService() = default;

std::string PeerService::start()
{
    const std::string problem = this->link->start();
    if (!problem.empty())
        return problem;
    asio::co_spawn(this->worker.context, this->heartbeatLoop(), asio::detached);
    return "";
}

void PeerService::stop()
{
    this->stopping = true;
}

void PeerService::closeLink()
{
    this->link.reset();
}

void PeerService::onShareMessage(ShareReceiver receiver)
{
    this->shareReceiver = std::move(receiver);
}

std::size_t PeerService::openPeerCount() const
{
    return this->link->openPeerCount();
}

void PeerService::send(const Common::Address &peer, Peer::Envelope &message)
{
    message.set_from_instance(this->shared.settings.instance.value);
    message.set_from_address(Common::formatAddress(this->shared.settings.peer.address));
    if (this->link)
        this->link->send(peer, message);
}

void PeerService::updateOwnReport(Common::Time now)
{
    const Settings &settings = this->shared.settings;
    const Lists::Versions versions = this->shared.lists.current()->versions();
    Membership::MemberReport report;
    report.id = settings.instance;
    report.callerAddress = settings.caller.address;
    report.peerAddress = settings.peer.address;
    report.failureDomain = settings.failureDomain;
    report.incarnation = this->incarnation;
    report.sequence = ++this->sequence;
    report.state = this->shared.phase.load() == Phase::Serving ? Membership::MemberState::Live
                                                               : Membership::MemberState::Leaving;
    report.plansVersion = versions.plans;
    report.entitlementsVersion = versions.entitlements;
    report.requestsInProgress = this->shared.requestsInProgress.load();
    report.slot = this->ownSlot;
    report.slotVersion = this->ownSlotVersion;
    this->sentHeartbeats[this->sequence % kHeartbeatHistorySize] = {this->sequence, now};
    this->shared.members.with(
        [&](Membership::Members &members) { Membership::noteReport(members, report, now); });
}

void PeerService::setSlot(std::optional<std::size_t> slot, std::uint64_t version)
{
    this->ownSlot = slot;
    this->ownSlotVersion = version;
}

// Sends a heartbeat that acknowledges the last one received from its receiver, which can tell by it
// that it is not cut off.
void PeerService::sendHeartbeat(const Common::Address &peer, Peer::Envelope &message)
{
    wire::Heartbeat &body = *message.mutable_heartbeat();
    this->shared.members.with([&](Membership::Members &members) {
        body.set_heard_sequence(0);
        for (const auto &[id, member] : members.byId) {
            if (member.report.peerAddress != peer || !member.lastReportAt)
                continue;
            body.set_heard_sequence(member.report.sequence);
            body.set_heard_incarnation(member.report.incarnation);
        }
    });
    this->send(peer, message);
}

// An acknowledgement proves contact at the time when the acknowledged heartbeat was sent, not when
// the acknowledgement is read: it may have waited in a buffer while this process was paused.
void PeerService::handleAcknowledgement(std::uint64_t incarnation, std::uint64_t heardSequence)
{
    if (incarnation != this->incarnation) {
        this->incarnation = Membership::incarnationAfter(this->incarnation, incarnation);
        return;
    }
    const SentHeartbeat &sent = this->sentHeartbeats[heardSequence % kHeartbeatHistorySize];
    if (sent.sequence == heardSequence)
        this->shared.recordContact(sent.sentAt);
}

Peer::Envelope PeerService::heartbeatMessage(bool announce)
{
    Peer::Envelope message;
    wire::Heartbeat &body = *message.mutable_heartbeat();
    body.set_announce(announce);
    this->shared.members.with([&](Membership::Members &members) {
        encodeReport(members.byId.at(members.self).report, *body.mutable_self());
        const auto others
            = Membership::reportsToForward(members, kMaxForwardedReports, this->worker.random);
        for (const Membership::MemberReport &report : others)
            encodeReport(report, *body.add_others());
    });
    return message;
}

void PeerService::sendHeartbeats(bool announce)
{
    this->updateOwnReport(clockNow());
    Peer::Envelope message = this->heartbeatMessage(announce);
    std::vector<Common::Address> targets;
    this->shared.members.with([&](Membership::Members &members) {
        targets = Membership::heartbeatTargets(members, kHeartbeatFanout, this->worker.random);
    });
    // The seeds are used until other instances are known.
    if (targets.empty())
        targets = this->shared.settings.peer.seeds;
    for (const Common::Address &target : targets) {
        if (target != this->shared.settings.peer.address)
            this->sendHeartbeat(target, message);
    }
}

std::vector<Common::Address> PeerService::knownPeers() const
{
    std::vector<Common::Address> peers;
    this->shared.members.with([&](Membership::Members &members) {
        for (const auto &[id, member] : members.byId) {
            if (id != members.self && member.report.peerAddress.isSet())
                peers.push_back(member.report.peerAddress);
        }
    });
    return peers;
}

Http::Awaitable<void> PeerService::heartbeatLoop()
{
    while (!this->stopping && !this->worker.ending) {
        this->sendHeartbeats(false);
        this->shared.members.with(
            [](Membership::Members &members) { Membership::removeLost(members, clockNow()); });
        this->link->closeAllExcept(this->knownPeers());
        co_await this->worker.sleepFor(
            withJitter(this->shared.settings.peer.heartbeatInterval, this->worker.random));
    }
}

Peer::Envelope PeerService::documentMessage(Lists::ListKind kind,
                                            const Lists::Document &document) const
{
    Peer::Envelope message;
    wire::ListDocument &body = *message.mutable_list_document();
    body.set_kind(static_cast<std::uint32_t>(kind));
    body.set_version(document.version);
    body.set_edit_id(document.editId);
    body.set_body(document.body);
    return message;
}

void PeerService::pushList(Lists::ListKind kind, const Lists::Document &document)
{
    Peer::Envelope message = this->documentMessage(kind, document);
    for (const Common::Address &peer : this->knownPeers())
        this->send(peer, message);
}

void PeerService::requestLists()
{
    const Lists::Versions versions = this->shared.lists.current()->versions();
    Peer::Envelope message;
    message.mutable_list_request()->set_plans_version(versions.plans);
    message.mutable_list_request()->set_entitlements_version(versions.entitlements);
    std::vector<Common::Address> targets;
    this->shared.members.with([&](Membership::Members &members) {
        targets = Membership::heartbeatTargets(members, kListRequestFanout, this->worker.random);
    });
    if (targets.empty())
        targets = this->shared.settings.peer.seeds;
    for (const Common::Address &target : targets)
        this->send(target, message);
}

void PeerService::receive(std::unique_ptr<Peer::Envelope> message)
{
    switch (message->body_case()) {
    case wire::Envelope::kHeartbeat:
        this->handleHeartbeat(*message);
        break;
    case wire::Envelope::kListDocument:
        this->handleListDocument(*message);
        break;
    case wire::Envelope::kListRequest:
        this->handleListRequest(*message);
        break;
    case wire::Envelope::kLendRequest:
    case wire::Envelope::kLendReply:
    case wire::Envelope::kShareRequest:
    case wire::Envelope::kShareReply:
        if (this->shareReceiver)
            this->shareReceiver(*message);
        break;
    case wire::Envelope::BODY_NOT_SET:
        // A message type that a newer version added.
        this->shared.counters.add(Common::Counter::PeerMessagesBad);
        break;
    }
}

void PeerService::handleHeartbeat(const Peer::Envelope &message)
{
    const Common::Time now = clockNow();
    Membership::MemberReport report;
    const wire::Heartbeat &body = message.heartbeat();
    if (!decodeReport(body.self(), report) || report.id == this->shared.settings.instance) {
        this->shared.counters.add(Common::Counter::PeerMessagesBad);
        return;
    }
    Lists::Versions newest{report.plansVersion, report.entitlementsVersion};
    this->shared.members.with([&](Membership::Members &members) {
        Membership::noteReport(members, report, now);
        for (const wire::MemberRecord &record : body.others()) {
            Membership::MemberReport other;
            if (decodeReport(record, other) && other.id != members.self)
                Membership::noteReport(members, other, now);
        }
    });
    const bool isBehind = !this->shared.lists.current()->versions().isAtLeast(newest);
    // An instance that was cut off may serve again only with lists that are in force, so a
    // heartbeat that shows newer versions does not count as contact.
    if (!isBehind)
        this->handleAcknowledgement(body.heard_incarnation(), body.heard_sequence());
    if (isBehind) {
        Peer::Envelope request;
        const Lists::Versions own = this->shared.lists.current()->versions();
        request.mutable_list_request()->set_plans_version(own.plans);
        request.mutable_list_request()->set_entitlements_version(own.entitlements);
        this->send(report.peerAddress, request);
    }
    if (!body.announce())
        return;
    this->updateOwnReport(now);
    Peer::Envelope answer = this->heartbeatMessage(false);
    this->sendHeartbeat(report.peerAddress, answer);
}

void PeerService::handleListDocument(const Peer::Envelope &message)
{
    const wire::ListDocument &body = message.list_document();
    Lists::Document document{body.version(), body.edit_id(), body.body()};
    const auto kind = body.kind() == static_cast<std::uint32_t>(Lists::ListKind::Plans)
        ? Lists::ListKind::Plans
        : Lists::ListKind::Entitlements;
    this->shared.applyList(kind, document);
    // Reports at once to the sender which versions are applied here.
    Common::Address sender;
    if (!Common::parseAddress(message.from_address(), sender))
        return;
    this->updateOwnReport(clockNow());
    Peer::Envelope answer = this->heartbeatMessage(false);
    this->sendHeartbeat(sender, answer);
}

void PeerService::handleListRequest(const Peer::Envelope &message)
{
    Common::Address sender;
    if (!Common::parseAddress(message.from_address(), sender))
        return;
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const wire::ListRequest &body = message.list_request();
    const Lists::Versions asked{body.plans_version(), body.entitlements_version()};
    for (const auto &[kind, name] : Common::EnumNames<Lists::ListKind>::table) {
        if (lists->document(kind).version <= asked.of(kind))
            continue;
        Peer::Envelope answer = this->documentMessage(kind, lists->document(kind));
        this->send(sender, answer);
    }
}

} // namespace Tanagerbay::Node
