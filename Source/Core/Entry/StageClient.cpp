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

// While pieces are handed in, their owner is asked for a sign of life this often, and counts as
// lost when it gives none for `kOwnerTimeout`. Frozen and cut-off machines are found by this; a
// machine that runs six times slower still answers in time.
constexpr Common::Milliseconds kPingInterval{200};
constexpr Common::Milliseconds kOwnerTimeout{600};
// After a start the list of instances is there within some 10 ms.
constexpr Common::Milliseconds kLearnPoll{10};
// Without pieces handed in, the watch sleeps.
constexpr Common::Milliseconds kIdleWatch{60'000};

// The name of work that another instance handed in.
std::string foreignName(const json::object &message)
{
    return textOf(message, "from") + "/" + std::to_string(numberOf(message, "work"));
}

} // namespace

StageClient::StageClient(State &state, PeerMesh &mesh, StageOwner &owner)
    : state(state), mesh(mesh), owner(owner),
      watch(std::make_unique<boost::asio::steady_timer>(state.context))
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

WorkNumber StageClient::submit(StageWork work, StageAction action)
{
    const WorkNumber number = ++this->lastNumber;
    Work &entry = this->open[number];
    entry.work = std::move(work);
    entry.action = std::move(action);
    entry.results.resize(entry.work.pieces.size());
    entry.open = entry.work.pieces.size();
    if (this->mayChooseOwner()) {
        this->handIn(number, entry);
    } else {
        boost::asio::co_spawn(this->state.context, this->handInLater(number),
                              boost::asio::detached);
    }
    return number;
}

Http::Awaitable<void> StageClient::handInLater(WorkNumber number)
{
    while (!this->mayChooseOwner())
        co_await this->state.sleepFor(kLearnPoll);
    const auto found = this->open.find(number);
    if (found != this->open.end())
        this->handIn(number, found->second);
}

void StageClient::handIn(WorkNumber number, Work &work)
{
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < work.results.size(); ++i) {
        if (!work.results[i])
            indexes.push_back(i);
    }
    if (indexes.empty())
        return;
    work.handedTo.clear();
    this->handInTo(this->ownerOf(work.work.service, clockNow()), number, work, indexes);
}

void StageClient::handInTo(const Owner &owner, WorkNumber number, Work &work,
                           const std::vector<std::size_t> &indexes)
{
    if (owner.id == this->state.settings.instance) {
        this->handInHere(number, work, indexes);
        return;
    }
    const Common::Time now = clockNow();
    work.handedTo.push_back({owner, now});
    json::object message = stageToJson(work.work.pieces[indexes.front()], now);
    message["type"] = "submit";
    message["from"] = this->state.settings.instance.value;
    message["work"] = number;
    message["service"] = work.work.service;
    message["pieces"] = json::array(indexes.begin(), indexes.end());
    this->mesh.send(owner.address, message);
    this->watch->cancel();
}

void StageClient::handInHere(WorkNumber number, Work &work, const std::vector<std::size_t> &indexes)
{
    const std::string service = work.work.service;
    for (const std::size_t i : indexes) {
        PieceListener listener;
        listener.settled = [this, number, i](const Staging::SettledPiece &piece) {
            this->takePiece(number, i, piece);
        };
        listener.fetched = [this, number, i] { this->takeFetched(number, i); };
        const auto ticket = this->owner.submit(service, work.work.pieces[i], std::move(listener));
        if (ticket) {
            work.ownTickets[*ticket] = i;
            continue;
        }
        // The catalog has no such stage service; the route that names it is about to change.
        boost::asio::post(this->state.context,
                          [this, number] { this->finish(number, Staging::PieceOutcome::Failed); });
        return;
    }
    this->owner.pump(service);
}

void StageClient::onSubmit(const PeerLinkPtr &link, const json::object &message)
{
    const std::string service = textOf(message, "service");
    const std::uint64_t work = numberOf(message, "work");
    const std::string name = foreignName(message);
    const json::array *pieces = arrayOf(message, "pieces");
    if (!pieces)
        return;
    const Common::Time now = clockNow();
    Staging::PieceRequest piece = stageFromJson(message, now);
    for (const json::value &value : *pieces) {
        if (!value.is_int64() || value.get_int64() < 0)
            continue;
        const auto index = static_cast<std::uint64_t>(value.get_int64());
        piece.piece = static_cast<std::uint32_t>(index);
        PieceListener listener;
        listener.settled = [this, link, work, index, name](const Staging::SettledPiece &piece) {
            json::object answer;
            answer["type"] = "settled";
            answer["work"] = work;
            answer["index"] = index;
            answer["end"] = Common::nameOf(piece.outcome);
            answer["handle"] = piece.handle;
            answer["maker"] = piece.producer.value;
            this->mesh.reply(link, answer);
            this->forgetForeign(name, index);
        };
        listener.fetched = [this, link, work, index] {
            this->mesh.reply(link, {{"type", "fetched"}, {"work", work}, {"index", index}});
        };
        const auto refuse = listener.settled;
        const auto ticket = this->owner.submit(service, piece, std::move(listener));
        if (ticket) {
            ForeignWork &known = this->foreign[name];
            known.link = link;
            known.number = work;
            known.service = service;
            known.tickets[index] = *ticket;
            continue;
        }
        refuse({0, Staging::PieceOutcome::Failed, {}, {}});
    }
    if (this->state.leaving)
        this->handOver(service);
    this->owner.pump(service);
}

void StageClient::forgetForeign(const std::string &name, std::uint64_t index)
{
    const auto known = this->foreign.find(name);
    if (known == this->foreign.end())
        return;
    known->second.tickets.erase(index);
    if (known->second.tickets.empty())
        this->foreign.erase(known);
}

void StageClient::onFetched(const json::object &message)
{
    this->takeFetched(numberOf(message, "work"), numberOf(message, "index"));
}

void StageClient::takeFetched(WorkNumber number, std::size_t index)
{
    const auto found = this->open.find(number);
    if (found == this->open.end() || index >= found->second.results.size())
        return;
    Work &work = found->second;
    work.fetched.insert(index);
    for (std::size_t i = 0; i < work.results.size(); ++i) {
        if (!work.results[i] && !work.fetched.contains(i))
            return;
    }
    if (const auto action = std::exchange(work.work.allFetched, nullptr))
        action();
}

void StageClient::onSettled(const json::object &message)
{
    Staging::SettledPiece piece;
    piece.outcome = Common::valueNamed<Staging::PieceOutcome>(textOf(message, "end"))
                        .value_or(Staging::PieceOutcome::Failed);
    piece.handle = textOf(message, "handle");
    piece.producer = Common::EndpointId(textOf(message, "maker"));
    this->takePiece(numberOf(message, "work"), numberOf(message, "index"), piece);
}

void StageClient::takePiece(WorkNumber number, std::size_t index,
                            const Staging::SettledPiece &piece)
{
    const auto found = this->open.find(number);
    // Late results of work that was handed in twice or given up stay until their lifetime ends.
    if (found == this->open.end() || index >= found->second.results.size()
        || found->second.results[index])
        return;
    Work &work = found->second;
    if (piece.outcome != Staging::PieceOutcome::Made) {
        this->finish(number, piece.outcome);
        return;
    }
    work.results[index] = piece;
    if (--work.open == 0)
        this->finish(number, std::nullopt);
}

void StageClient::finish(WorkNumber number, std::optional<Staging::PieceOutcome> fault)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    const StageAction action = std::move(found->second.action);
    StageOutcome outcome;
    outcome.fault = fault;
    for (auto &result : found->second.results) {
        if (result)
            outcome.results.push_back(std::move(*result));
    }
    if (fault) {
        this->release(found->second.work.service, outcome.results);
        outcome.results.clear();
        for (auto &result : found->second.results)
            result.reset();
        this->cancel(number);
    }
    this->open.erase(number);
    // Later, since whoever submits the work has not its number yet.
    boost::asio::post(this->state.context, [action, outcome] { action(outcome); });
}

void StageClient::cancel(WorkNumber number)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
        return;
    Work &work = found->second;
    for (const auto &[ticket, index] : work.ownTickets)
        this->owner.withdraw(work.work.service, ticket);
    for (const HandIn &handIn : work.handedTo) {
        this->mesh.send(handIn.owner.address,
                        {{"type", "withdraw"},
                         {"from", this->state.settings.instance.value},
                         {"work", number}});
    }
    std::vector<Staging::SettledPiece> made;
    for (const auto &result : work.results) {
        if (result)
            made.push_back(*result);
    }
    this->release(work.work.service, made);
    this->open.erase(found);
}

void StageClient::onWithdraw(const json::object &message)
{
    const auto found = this->foreign.find(foreignName(message));
    if (found == this->foreign.end())
        return;
    for (const auto &[index, ticket] : found->second.tickets)
        this->owner.withdraw(found->second.service, ticket);
    this->foreign.erase(found);
}

void StageClient::release(const std::string &service,
                          const std::vector<Staging::SettledPiece> &results)
{
    this->sendResults("release", service, results);
}

void StageClient::markSpare(const std::string &service,
                            const std::vector<Staging::SettledPiece> &results)
{
    this->sendResults("spare", service, results);
}

void StageClient::sendResults(const std::string &type, const std::string &service,
                              const std::vector<Staging::SettledPiece> &results)
{
    if (results.empty())
        return;
    json::array named;
    for (const Staging::SettledPiece &piece : results)
        named.push_back({{"maker", piece.producer.value}, {"handle", piece.handle}});
    json::object message;
    message["type"] = type;
    message["service"] = service;
    message["results"] = std::move(named);
    const Owner owner = this->ownerOf(service, clockNow());
    if (owner.id == this->state.settings.instance)
        this->onResults(message, type == "spare");
    else
        this->mesh.send(owner.address, message);
}

void StageClient::onResults(const json::object &message, bool spareOnly)
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
        if (spareOnly)
            this->owner.markSpare(service, maker, handle);
        else
            this->owner.release(service, maker, handle);
    }
    if (spareOnly)
        this->owner.pump(service);
}

void StageClient::suspect(const Common::InstanceId &id, const Common::Address &address)
{
    const Common::Time now = clockNow();
    this->avoid(id, now);
    this->mesh.disconnect(address);
    std::vector<WorkNumber> numbers;
    for (const auto &[number, work] : this->open) {
        const bool has = std::any_of(work.handedTo.begin(), work.handedTo.end(),
                                     [&id](const HandIn &handIn) { return handIn.owner.id == id; });
        if (has)
            numbers.push_back(number);
    }
    this->state.logState(LogLine("stage-owner-lost")
                             .text("instance", id.value)
                             .number("works", static_cast<std::int64_t>(numbers.size())));
    for (const WorkNumber number : numbers) {
        // Handing one in may settle pieces of another that have expired.
        const auto found = this->open.find(number);
        if (found != this->open.end())
            this->handIn(number, found->second);
    }
}

Http::Awaitable<void> StageClient::watchOwners()
{
    while (true) {
        std::map<Common::InstanceId, std::pair<Common::Address, Common::Time>> owners;
        for (const auto &[number, work] : this->open) {
            for (const HandIn &handIn : work.handedTo) {
                const auto [entry, added]
                    = owners.emplace(handIn.owner.id, std::pair(handIn.owner.address, handIn.at));
                if (!added)
                    entry->second.second = std::min(entry->second.second, handIn.at);
            }
        }
        const Common::Time now = clockNow();
        for (const auto &[id, owner] : owners) {
            const auto &[address, handedAt] = owner;
            const auto lastReceivedAt = this->mesh.lastReceivedAt(address);
            const Common::Time last = std::max(lastReceivedAt.value_or(handedAt), handedAt);
            if (now - last > kOwnerTimeout)
                this->suspect(id, address);
            else
                this->mesh.send(address, {{"type", "ping"}});
        }
        this->watch->expires_after(owners.empty() ? kIdleWatch : kPingInterval);
        boost::system::error_code ignored;
        co_await this->watch->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        // Woken by new work: the first sign of life is asked for a little later.
        if (ignored)
            co_await this->state.sleepFor(kPingInterval);
    }
}

} // namespace Tanagerbay::Entry
