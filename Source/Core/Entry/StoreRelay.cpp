#include "Entry/StoreRelay.h"

#include "Entry/EvacuationMessages.h"
#include "Entry/ReaderMessages.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// A follower renews at this interval; a reader drops it after three intervals.
constexpr Common::Milliseconds kFollowInterval{2000};
constexpr Common::Milliseconds kFollowerTimeout{6000};
// Before other instances are known, there is nobody to follow.
constexpr Common::Milliseconds kFirstFollowDelay{300};

} // namespace

StoreRelay::StoreRelay(State &state, PeerMesh &mesh) : state(state), mesh(mesh)
{
}

void StoreRelay::start()
{
    this->mesh.on("follow", [this](const PeerLinkPtr &link, const json::object &message) {
        this->onFollow(link, message);
    });
    this->mesh.on("reading", [this](const PeerLinkPtr &, const json::object &message) {
        this->onReaderReport(message);
    });
    this->mesh.on("confirm?", [this](const PeerLinkPtr &link, const json::object &) {
        this->answerConfirm(link);
    });
    boost::asio::co_spawn(this->state.context, this->followReaders(), boost::asio::detached);
}

void StoreRelay::onReport(std::function<void(const ReaderReport &)> action)
{
    this->reportHandler = std::move(action);
}

void StoreRelay::setConfirm(
    std::function<Http::Awaitable<std::optional<Common::Time>>()> confirmCatalog)
{
    this->confirm = std::move(confirmCatalog);
}

void StoreRelay::setPosition(const StorePosition &newPosition)
{
    this->position = newPosition;
}

bool StoreRelay::isReader() const
{
    if (!this->followers.empty())
        return true;
    const auto readers = Membership::readersFor(this->state.members,
                                                this->state.settings.failureDomain, clockNow());
    return std::find(readers.begin(), readers.end(), this->state.settings.instance)
        != readers.end();
}

std::vector<Common::Address> StoreRelay::readerAddresses() const
{
    std::vector<Common::Address> addresses;
    for (const Common::InstanceId &id : Membership::readersFor(
             this->state.members, this->state.settings.failureDomain, clockNow())) {
        if (id != this->state.settings.instance)
            addresses.push_back(this->state.members.byId.at(id).report.peerAddress);
    }
    return addresses;
}

Http::Awaitable<void> StoreRelay::followReaders()
{
    co_await this->state.sleepFor(kFirstFollowDelay);
    while (!this->state.leaving) {
        this->dropFollowers(clockNow());
        if (!this->isReader()) {
            for (const Common::Address &address : this->readerAddresses())
                this->mesh.send(address,
                                {{"type", "follow"},
                                 {"epoch", this->position.epoch},
                                 {"version", this->position.version}});
        }
        co_await this->state.sleepFor(kFollowInterval);
    }
}

void StoreRelay::dropFollowers(Common::Time now)
{
    std::erase_if(this->followers, [now](const auto &entry) { return entry.second < now; });
}

void StoreRelay::onFollow(const PeerLinkPtr &link, const json::object &message)
{
    if (this->state.leaving)
        return;
    const Common::Time now = clockNow();
    this->followers[link] = now + kFollowerTimeout;
    const StorePosition from{numberOf(message, "epoch"), numberOf(message, "version")};
    const auto changes = changesSince(this->log, from);
    // A follower that cannot be told what it lacks sees that from the next reading's report.
    if (changes)
        this->sendReport(link, changes);
}

json::object StoreRelay::reportMessage(Common::Time now) const
{
    json::object message{{"type", "reading"}};
    message["reader"] = this->state.settings.instance.value;
    message["address"] = Common::formatAddress(this->state.settings.peers);
    if (this->endpointsReadAt)
        message["ageMs"] = Common::toMilliseconds(now - *this->endpointsReadAt);
    message["watching"] = this->isWatchingCatalog;
    message["catalog"] = this->state.catalog ? this->state.catalog->version : 0;
    if (this->catalogConfirmedAt)
        message["confirmedMs"] = Common::toMilliseconds(now - *this->catalogConfirmedAt);
    attachEvacuations(message, reportOf(this->state.evacuations), now);
    return message;
}

void StoreRelay::sendReport(const PeerLinkPtr &link, const std::optional<EndpointChanges> &changes)
{
    json::object message = this->reportMessage(clockNow());
    if (changes)
        message["changes"] = changesToJson(*changes);
    this->mesh.reply(link, message);
}

void StoreRelay::reportEndpoints(EndpointChanges changes, Common::Time readAt)
{
    const Common::Time now = clockNow();
    this->endpointsReadAt = readAt;
    record(this->log, changes, now);
    this->dropFollowers(now);
    if (this->followers.empty())
        return;
    json::object message = this->reportMessage(now);
    message["changes"] = changesToJson(changes);
    for (const auto &[link, until] : this->followers)
        this->mesh.reply(link, message);
}

void StoreRelay::reportCatalog(bool isWatching, std::optional<Common::Time> confirmedAt)
{
    const Common::Time now = clockNow();
    this->isWatchingCatalog = isWatching;
    this->catalogConfirmedAt = confirmedAt;
    this->dropFollowers(now);
    const json::object message = this->reportMessage(now);
    for (const auto &[link, until] : this->followers)
        this->mesh.reply(link, message);
}

void StoreRelay::answerConfirm(PeerLinkPtr link)
{
    if (!this->confirm)
        return;
    boost::asio::co_spawn(
        this->state.context,
        [this, link]() -> Http::Awaitable<void> {
            const auto confirmed = co_await this->confirm();
            if (!confirmed)
                co_return;
            this->catalogConfirmedAt = confirmed;
            this->sendReport(link, std::nullopt);
        },
        boost::asio::detached);
}

bool StoreRelay::askToConfirm()
{
    if (this->isReader())
        return false;
    const auto addresses = this->readerAddresses();
    if (addresses.empty())
        return false;
    this->mesh.send(addresses.front(), {{"type", "confirm?"}});
    return true;
}

void StoreRelay::onReaderReport(const json::object &message)
{
    const Common::Time now = clockNow();
    ReaderReport report;
    report.reader = Common::InstanceId(textOf(message, "reader"));
    if (!Common::parseAddress(textOf(message, "address"), report.readerAddress)) {
        this->state.metrics.count("peer_messages_invalid");
        return;
    }
    const auto ageOf = [&message, now](std::string_view key) -> std::optional<Common::Time> {
        if (!message.contains(key))
            return std::nullopt;
        return now - Common::Milliseconds(static_cast<std::int64_t>(numberOf(message, key)));
    };
    report.endpointsReadAt = ageOf("ageMs").value_or(Common::Time{});
    report.catalogConfirmedAt = ageOf("confirmedMs");
    report.catalogVersion = numberOf(message, "catalog");
    const json::value *watching = message.if_contains("watching");
    report.isWatchingCatalog = watching && watching->is_bool() && watching->get_bool();
    report.evacuations = readEvacuations(message, now);
    if (const json::value *changes = message.if_contains("changes"))
        report.changes = changesFromJson(*changes);
    if (this->reportHandler)
        this->reportHandler(report);
}

} // namespace Tanagerbay::Entry
