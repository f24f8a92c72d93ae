// Pieces that other instances have submitted to queues of this instance.
#include "Entry/StageClient.h"

#include "Entry/StageMessages.h"

#include <boost/asio/post.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// Returns the key of work that another instance submitted.
std::string remoteWorkKey(const json::object &message)
{
    return textOf(message, "from") + "/" + std::to_string(numberOf(message, "work"));
}

} // namespace

void StageClient::onSubmit(const PeerLinkPtr &link, const json::object &message)
{
    const std::string service = textOf(message, "service");
    const std::uint64_t workId = numberOf(message, "work");
    const std::string key = remoteWorkKey(message);
    const json::array *pieces = arrayOf(message, "pieces");
    if (!pieces)
        return;
    const Common::Time now = clockNow();
    Staging::PieceRequest piece = stageFromJson(message, now);
    const json::value *batches = message.if_contains("batches");
    RemoteWork &remote = this->remoteWork[key];
    remote.link = link;
    remote.workId = workId;
    remote.service = service;
    remote.acceptsBatches = batches && batches->is_bool() && batches->get_bool();
    std::vector<std::uint64_t> refused;
    for (const json::value &value : *pieces) {
        if (!value.is_int64() || value.get_int64() < 0)
            continue;
        const auto index = static_cast<std::uint64_t>(value.get_int64());
        // Submitted again over a new connection: the reports go there.
        if (remote.tickets.contains(index))
            continue;
        piece.piece = static_cast<std::uint32_t>(index);
        PieceListener listener;
        listener.settled = [this, key, index](const Staging::SettledPiece &settled) {
            this->reportSettled(key, index, settled);
        };
        listener.fetched = [this, key, index] { this->reportFetched(key, index); };
        if (const auto ticket = this->owner.submit(service, piece, std::move(listener)))
            remote.tickets[index] = *ticket;
        else
            refused.push_back(index);
    }
    for (const std::uint64_t index : refused)
        this->reportSettled(key, index, {0, Staging::PieceOutcome::Failed, {}, {}, {}});
    if (this->state.leaving)
        this->handOver(service);
    this->owner.dispatch(service);
}

void StageClient::reportSettled(const std::string &key, std::uint64_t index,
                                const Staging::SettledPiece &piece)
{
    const auto found = this->remoteWork.find(key);
    if (found == this->remoteWork.end())
        return;
    const RemoteWork &remote = found->second;
    if (remote.acceptsBatches) {
        json::array report{remote.workId, index, Common::nameOf(piece.outcome), piece.handle,
                           piece.producer.value};
        if (piece.roomIn)
            report.push_back(Common::toMilliseconds(*piece.roomIn));
        this->settledReports[remote.link].push_back(std::move(report));
        this->flushReports();
    } else {
        json::object message{{"type", "settled"},      {"work", remote.workId},
                             {"index", index},         {"end", Common::nameOf(piece.outcome)},
                             {"handle", piece.handle}, {"maker", piece.producer.value}};
        if (piece.roomIn)
            message["roomMs"] = Common::toMilliseconds(*piece.roomIn);
        this->mesh.reply(remote.link, message);
    }
    this->eraseRemotePiece(key, index);
}

void StageClient::reportFetched(const std::string &key, std::uint64_t index)
{
    const auto found = this->remoteWork.find(key);
    if (found == this->remoteWork.end())
        return;
    const RemoteWork &remote = found->second;
    if (remote.acceptsBatches) {
        this->fetchedReports[remote.link].push_back(json::array{remote.workId, index});
        this->flushReports();
    } else {
        this->mesh.reply(remote.link,
                         {{"type", "fetched"}, {"work", remote.workId}, {"index", index}});
    }
}

void StageClient::flushReports()
{
    if (std::exchange(this->isFlushScheduled, true))
        return;
    boost::asio::post(this->state.context, [this] {
        this->isFlushScheduled = false;
        for (auto &[link, reports] : std::exchange(this->settledReports, {})) {
            json::object message{{"type", "pieces"}, {"settled", std::move(reports)}};
            const auto fetched = this->fetchedReports.find(link);
            if (fetched != this->fetchedReports.end()) {
                message["fetched"] = std::move(fetched->second);
                this->fetchedReports.erase(fetched);
            }
            this->mesh.reply(link, message);
        }
        for (auto &[link, reports] : std::exchange(this->fetchedReports, {}))
            this->mesh.reply(link, {{"type", "pieces"}, {"fetched", std::move(reports)}});
    });
}

void StageClient::eraseRemotePiece(const std::string &key, std::uint64_t index)
{
    const auto remote = this->remoteWork.find(key);
    if (remote == this->remoteWork.end())
        return;
    remote->second.tickets.erase(index);
    if (remote->second.tickets.empty())
        this->remoteWork.erase(remote);
}

void StageClient::onWithdraw(const json::object &message)
{
    const auto found = this->remoteWork.find(remoteWorkKey(message));
    if (found == this->remoteWork.end())
        return;
    for (const auto &[index, ticket] : found->second.tickets)
        this->owner.withdraw(found->second.service, ticket);
    this->remoteWork.erase(found);
}

void StageClient::onResults(const json::object &message, bool evictableOnly)
{
    const json::array *results = arrayOf(message, "results");
    if (!results)
        return;
    const std::string service = textOf(message, "service");
    for (const json::value &value : *results) {
        if (!value.is_object())
            continue;
        const Common::EndpointId maker(textOf(value.get_object(), "maker"));
        const std::string handle = textOf(value.get_object(), "handle");
        if (evictableOnly)
            this->owner.markEvictable(service, maker, handle);
        else
            this->owner.release(service, maker, handle);
    }
    if (evictableOnly)
        this->owner.dispatch(service);
}

} // namespace Tanagerbay::Entry
