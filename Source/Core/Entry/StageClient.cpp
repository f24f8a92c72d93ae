#include "Entry/StageClient.h"

#include "Entry/StageMessages.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// After a start, the list of instances arrives within some 10 ms.
constexpr Common::Milliseconds kMembershipPollInterval{10};

// Returns a number of 62 bits: peers read IDs as signed integers of 64 bits, so no ID counted from
// here may reach 2^63.
WorkId randomFirstId(std::mt19937_64 &random)
{
    return random() >> 2;
}

} // namespace

StageClient::StageClient(State &state, PeerMesh &mesh, StageOwner &owner)
    : state(state), mesh(mesh), owner(owner), lastWorkId(randomFirstId(state.random)),
      watchTimer(std::make_unique<boost::asio::steady_timer>(state.context))
{
}

void StageClient::start()
{
    this->mesh.on("submit", [this](const PeerLinkPtr &link, const json::object &message) {
        this->onSubmit(link, message);
    });
    this->mesh.on("settled", [this](const PeerLinkPtr &, const json::object &message) {
        this->onSettled(message);
    });
    this->mesh.on("pieces", [this](const PeerLinkPtr &, const json::object &message) {
        this->onReports(message);
    });
    this->mesh.on("moved", [this](const PeerLinkPtr &, const json::object &message) {
        this->onMoved(message);
    });
    this->mesh.on("withdraw", [this](const PeerLinkPtr &, const json::object &message) {
        this->onWithdraw(message);
    });
    this->mesh.on("fetched", [this](const PeerLinkPtr &, const json::object &message) {
        this->onFetched(message);
    });
    this->mesh.on("release", [this](const PeerLinkPtr &, const json::object &message) {
        this->onResults(message, false);
    });
    this->mesh.on("spare", [this](const PeerLinkPtr &, const json::object &message) {
        this->onResults(message, true);
    });
    boost::asio::co_spawn(this->state.context, this->watchOwners(), boost::asio::detached);
    boost::asio::co_spawn(this->state.context, this->watchQueues(), boost::asio::detached);
}

void StageClient::onDoubt(std::function<void(const Common::InstanceId &)> action)
{
    this->doubtHandler = std::move(action);
}

WorkId StageClient::submit(StageWork work, StageCallback callback)
{
    const WorkId workId = ++this->lastWorkId;
    Work &entry = this->openWork[workId];
    entry.stage = std::move(work);
    entry.callback = std::move(callback);
    entry.results.resize(entry.stage.pieces.size());
    entry.missingResults = entry.stage.pieces.size();
    if (this->mayChooseOwner()) {
        this->submitMissing(workId, entry);
    } else {
        boost::asio::co_spawn(this->state.context, this->submitWhenOwnersKnown(workId),
                              boost::asio::detached);
    }
    return workId;
}

Http::Awaitable<void> StageClient::submitWhenOwnersKnown(WorkId workId)
{
    while (!this->mayChooseOwner())
        co_await this->state.sleepFor(kMembershipPollInterval);
    const auto found = this->openWork.find(workId);
    if (found != this->openWork.end())
        this->submitMissing(workId, found->second);
}

void StageClient::submitMissing(WorkId workId, Work &work)
{
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < work.results.size(); ++i) {
        if (!work.results[i])
            indexes.push_back(i);
    }
    if (indexes.empty())
        return;
    work.submissions.clear();
    this->submitTo(this->ownerOf(work.stage.service, clockNow()), workId, work, indexes);
}

void StageClient::submitTo(const Owner &owner, WorkId workId, Work &work,
                           const std::vector<std::size_t> &indexes)
{
    if (owner.id == this->state.settings.instance) {
        this->submitLocally(workId, work, indexes);
        return;
    }
    const Common::Time now = clockNow();
    json::object message = stageToJson(work.stage.pieces[indexes.front()], now);
    message["type"] = "submit";
    message["from"] = this->state.settings.instance.value;
    message["work"] = workId;
    message["service"] = work.stage.service;
    message["pieces"] = json::array(indexes.begin(), indexes.end());
    message["batches"] = true;
    this->mesh.send(owner.address, message);
    work.submissions.push_back({owner, now, this->mesh.linkNumber(owner.address)});
    this->watchTimer->cancel();
}

void StageClient::submitLocally(WorkId workId, Work &work, const std::vector<std::size_t> &indexes)
{
    const std::string service = work.stage.service;
    for (const std::size_t i : indexes) {
        PieceListener listener;
        listener.settled = [this, workId, i](const Staging::SettledPiece &piece) {
            this->recordPiece(workId, i, piece);
        };
        listener.fetched = [this, workId, i] { this->recordFetched(workId, i); };
        const auto ticket = this->owner.submit(service, work.stage.pieces[i], std::move(listener));
        if (ticket) {
            work.localTickets[*ticket] = i;
            continue;
        }
        // The catalog has no such stage service. The route that refers to it is about to
        // change with the next catalog.
        boost::asio::post(this->state.context,
                          [this, workId] { this->finish(workId, Staging::PieceOutcome::Failed); });
        return;
    }
    this->owner.dispatch(service);
}

void StageClient::onReports(const json::object &message)
{
    const auto unsignedAt = [](const json::array &fields, std::size_t at) -> std::uint64_t {
        return fields[at].is_int64() && fields[at].get_int64() >= 0
            ? static_cast<std::uint64_t>(fields[at].get_int64())
            : 0;
    };
    const auto textAt = [](const json::array &fields, std::size_t at) {
        return fields[at].is_string() ? std::string(fields[at].get_string()) : std::string();
    };
    if (const json::array *fetched = arrayOf(message, "fetched")) {
        for (const json::value &value : *fetched) {
            if (value.is_array() && value.get_array().size() >= 2)
                this->recordFetched(unsignedAt(value.get_array(), 0),
                                    unsignedAt(value.get_array(), 1));
        }
    }
    const json::array *settled = arrayOf(message, "settled");
    if (!settled)
        return;
    for (const json::value &value : *settled) {
        if (!value.is_array() || value.get_array().size() < 5)
            continue;
        const json::array &fields = value.get_array();
        Staging::SettledPiece piece;
        piece.outcome = Common::valueNamed<Staging::PieceOutcome>(textAt(fields, 2))
                            .value_or(Staging::PieceOutcome::Failed);
        piece.handle = textAt(fields, 3);
        piece.producer = Common::EndpointId(textAt(fields, 4));
        // Owners of earlier builds do not say it.
        if (fields.size() > 5)
            piece.roomIn = Common::Milliseconds(unsignedAt(fields, 5));
        this->recordPiece(unsignedAt(fields, 0), unsignedAt(fields, 1), piece);
    }
}

void StageClient::onFetched(const json::object &message)
{
    this->recordFetched(numberOf(message, "work"), numberOf(message, "index"));
}

void StageClient::recordFetched(WorkId workId, std::size_t index)
{
    const auto found = this->openWork.find(workId);
    if (found == this->openWork.end() || index >= found->second.results.size())
        return;
    Work &work = found->second;
    work.fetchedPieces.insert(index);
    for (std::size_t i = 0; i < work.results.size(); ++i) {
        if (!work.results[i] && !work.fetchedPieces.contains(i))
            return;
    }
    if (const auto callback = std::exchange(work.stage.onInputsFetched, nullptr))
        callback();
}

void StageClient::onSettled(const json::object &message)
{
    Staging::SettledPiece piece;
    piece.outcome = Common::valueNamed<Staging::PieceOutcome>(textOf(message, "end"))
                        .value_or(Staging::PieceOutcome::Failed);
    piece.handle = textOf(message, "handle");
    piece.producer = Common::EndpointId(textOf(message, "maker"));
    if (message.contains("roomMs"))
        piece.roomIn = Common::Milliseconds(numberOf(message, "roomMs"));
    this->recordPiece(numberOf(message, "work"), numberOf(message, "index"), piece);
}

void StageClient::recordPiece(WorkId workId, std::size_t index, const Staging::SettledPiece &piece)
{
    const auto found = this->openWork.find(workId);
    // Late results of work that was submitted twice or cancelled are not released; they expire
    // after their lifetime.
    if (found == this->openWork.end() || index >= found->second.results.size()
        || found->second.results[index])
        return;
    Work &work = found->second;
    if (piece.outcome != Staging::PieceOutcome::Made) {
        this->finish(workId, piece.outcome, piece.roomIn);
        return;
    }
    work.results[index] = piece;
    if (--work.missingResults == 0)
        this->finish(workId, std::nullopt);
}

void StageClient::finish(WorkId workId, std::optional<Staging::PieceOutcome> fault,
                         std::optional<Common::Duration> roomIn)
{
    const auto found = this->openWork.find(workId);
    if (found == this->openWork.end())
        return;
    const StageCallback callback = std::move(found->second.callback);
    StageOutcome outcome;
    outcome.fault = fault;
    outcome.roomIn = roomIn;
    for (auto &result : found->second.results) {
        if (result)
            outcome.results.push_back(std::move(*result));
    }
    if (fault) {
        this->release(found->second.stage.service, outcome.results);
        outcome.results.clear();
        for (auto &result : found->second.results)
            result.reset();
        this->cancel(workId);
    }
    this->openWork.erase(workId);
    // Posted, since the submitter may not have received the work's ID yet.
    boost::asio::post(this->state.context, [callback, outcome] { callback(outcome); });
}

void StageClient::cancel(WorkId workId)
{
    const auto found = this->openWork.find(workId);
    if (found == this->openWork.end())
        return;
    Work &work = found->second;
    for (const auto &[ticket, index] : work.localTickets)
        this->owner.withdraw(work.stage.service, ticket);
    for (const Submission &submission : work.submissions) {
        this->mesh.send(submission.owner.address,
                        {{"type", "withdraw"},
                         {"from", this->state.settings.instance.value},
                         {"work", workId}});
    }
    std::vector<Staging::SettledPiece> madeResults;
    for (const auto &result : work.results) {
        if (result)
            madeResults.push_back(*result);
    }
    this->release(work.stage.service, madeResults);
    this->openWork.erase(found);
}

void StageClient::release(const std::string &service,
                          const std::vector<Staging::SettledPiece> &results)
{
    this->sendResults("release", service, results);
}

void StageClient::markEvictable(const std::string &service,
                                const std::vector<Staging::SettledPiece> &results)
{
    this->sendResults("spare", service, results);
}

void StageClient::sendResults(const std::string &type, const std::string &service,
                              const std::vector<Staging::SettledPiece> &results)
{
    if (results.empty())
        return;
    json::array resultList;
    for (const Staging::SettledPiece &piece : results)
        resultList.push_back({{"maker", piece.producer.value}, {"handle", piece.handle}});
    json::object message;
    message["type"] = type;
    message["service"] = service;
    message["results"] = std::move(resultList);
    const Owner owner = this->ownerOf(service, clockNow());
    if (owner.id == this->state.settings.instance)
        this->onResults(message, type == "spare");
    else
        this->mesh.send(owner.address, message);
}

} // namespace Tanagerbay::Entry
