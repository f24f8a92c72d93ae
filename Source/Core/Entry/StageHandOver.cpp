// Chooses the owner of a stage service's queue from this instance's view of the membership, and
// moves pieces between owners.
#include "Entry/StageClient.h"

#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// A lost owner is excluded for this long: the time that probes need to show its state.
constexpr Common::Milliseconds kOwnerExclusionPeriod{2000};
// An owner that is only suspected keeps its queues for so long: a busy one refutes the suspicion,
// and moving a queue loses what its owner knows of the endpoints.
constexpr Common::Milliseconds kOwnerSuspicionPeriod{800};
// Queues with pieces are checked for a new owner at this interval; a stage call takes 200 ms.
constexpr Common::Milliseconds kOwnerCheckInterval{250};

} // namespace

void StageClient::excludeOwner(const Common::InstanceId &id, Common::Time now)
{
    this->excludedOwners[id] = now + kOwnerExclusionPeriod;
}

bool StageClient::isOwnerCandidate(const Membership::Member &member, Common::Time now) const
{
    const auto excludedUntil = this->excludedOwners.find(member.report.id);
    if (excludedUntil != this->excludedOwners.end() && now < excludedUntil->second)
        return false;
    if (Membership::isSuspectFor(this->state.members, member, kOwnerSuspicionPeriod, now)
        || member.report.state != Membership::MemberState::Live)
        return false;
    // After a start of all instances, the list contains them before their probes arrive. An
    // instance without a catalog does not know the service.
    return member.lastReportAt ? member.report.catalogVersion > 0 : member.report.strength > 0;
}

StageClient::Owner StageClient::ownerOf(const std::string &service, Common::Time now) const
{
    std::vector<Staging::OwnerCandidate> candidates;
    std::vector<Staging::OwnerCandidate> reaching;
    for (const auto &[id, member] : this->state.members.byId) {
        if (!this->isOwnerCandidate(member, now))
            continue;
        candidates.push_back({id, member.report.strength});
        // An instance without an address for callers reaches no endpoint, or is not ready.
        if (member.report.callerAddress.isSet())
            reaching.push_back(candidates.back());
    }
    if (!reaching.empty())
        candidates = std::move(reaching);
    const Common::InstanceId owner = Staging::chooseOwner(service, candidates);
    if (owner.empty())
        return {this->state.settings.instance, this->state.settings.peers};
    return {owner, this->state.members.byId.at(owner).report.peerAddress};
}

bool StageClient::mayChooseOwner() const
{
    Staging::DiscoveryState known;
    known.hasReadInstanceList = this->state.instancesWereListed;
    known.hasReceivedHeartbeat
        = Membership::hasReportSince(this->state.members, this->state.startedAt);
    known.sinceStart = clockNow() - this->state.startedAt;
    return Staging::mayChooseOwner(known);
}

void StageClient::handOver()
{
    for (const std::string &service : this->owner.servicesWithPieces())
        this->handOver(service);
}

void StageClient::handOver(const std::string &service)
{
    const Common::Time now = clockNow();
    const Owner owner = this->ownerOf(service, now);
    const bool leaving = this->state.leaving.has_value();
    if (Staging::shouldHandOver(this->ownerWatches[service], owner.id,
                                this->state.settings.instance, leaving, now))
        this->movePieces(service, owner);
}

void StageClient::movePieces(const std::string &service, const Owner &owner)
{
    const std::vector<Staging::PieceTicket> tickets = this->owner.takeWaiting(service);
    if (tickets.empty())
        return;
    this->state.logState(LogLine("stage-queue-moved")
                             .text("service", service)
                             .text("to", owner.id.value)
                             .number("pieces", static_cast<std::int64_t>(tickets.size())));
    const std::set<Staging::PieceTicket> taken(tickets.begin(), tickets.end());
    std::vector<std::string> emptyKeys;
    for (auto &[key, work] : this->remoteWork) {
        // Each queue numbers its tickets itself.
        if (work.service != service)
            continue;
        json::array indexes;
        std::erase_if(work.tickets, [&taken, &indexes](const auto &entry) {
            const bool moves = taken.contains(entry.second);
            if (moves)
                indexes.emplace_back(entry.first);
            return moves;
        });
        if (indexes.empty())
            continue;
        json::object message{{"type", "moved"}, {"work", work.workId}};
        message["pieces"] = std::move(indexes);
        message["from"] = this->state.settings.instance.value;
        message["leaving"] = this->state.leaving.has_value();
        message["owner"] = owner.id.value;
        message["address"] = Common::formatAddress(owner.address);
        this->mesh.reply(work.link, message);
        if (work.tickets.empty())
            emptyKeys.push_back(key);
    }
    for (const std::string &key : emptyKeys)
        this->remoteWork.erase(key);
    for (auto &[workId, work] : this->openWork) {
        if (work.stage.service != service)
            continue;
        std::vector<std::size_t> indexes;
        std::erase_if(work.localTickets, [&taken, &indexes](const auto &entry) {
            const bool moves = taken.contains(entry.first);
            if (moves)
                indexes.push_back(entry.second);
            return moves;
        });
        if (!indexes.empty())
            this->submitTo(owner, workId, work, indexes);
    }
}

void StageClient::onMoved(const json::object &message)
{
    const auto found = this->openWork.find(numberOf(message, "work"));
    const json::array *pieces = arrayOf(message, "pieces");
    Owner owner;
    owner.id = Common::InstanceId(textOf(message, "owner"));
    if (found == this->openWork.end() || !pieces
        || !Common::parseAddress(textOf(message, "address"), owner.address))
        return;
    const json::value *leaving = message.if_contains("leaving");
    if (leaving && leaving->is_bool() && leaving->get_bool())
        this->excludeOwner(Common::InstanceId(textOf(message, "from")), clockNow());
    Work &work = found->second;
    std::vector<std::size_t> indexes;
    for (const json::value &value : *pieces) {
        const auto index = value.is_int64() && value.get_int64() >= 0
            ? static_cast<std::size_t>(value.get_int64())
            : work.results.size();
        if (index >= work.results.size() || work.results[index])
            continue;
        ++work.stage.pieces[index].handOverCount;
        indexes.push_back(index);
    }
    if (!indexes.empty())
        this->submitTo(owner, found->first, work, indexes);
}

Http::Awaitable<void> StageClient::watchQueues()
{
    while (true) {
        co_await this->state.sleepFor(kOwnerCheckInterval);
        this->handOver();
    }
}

} // namespace Tanagerbay::Entry
