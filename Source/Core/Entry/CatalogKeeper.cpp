#include "Entry/CatalogKeeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// How long the store may keep a read waiting. A connection that fell silent is noticed a little
// later; a machine is out of touch for three seconds after that, and heartbeats bring versions too.
constexpr Common::Milliseconds kFeedWait{3500};
constexpr Common::Milliseconds kRetryPause{150};
// A refusal is given on a catalog that was current this long ago at most; half of the time that a
// change may take to be in force.
constexpr Common::Milliseconds kConfirmSlack{1000};
constexpr Common::Milliseconds kConfirmPoll{10};
// The store's own feed usually brings a change before a heartbeat does.
constexpr Common::Milliseconds kAskPeerPause{250};

} // namespace

CatalogKeeper::CatalogKeeper(State &state, PeerMesh &mesh, Gossip &gossip, Store &store)
    : state(state), mesh(mesh), gossip(gossip), store(store)
{
}

void CatalogKeeper::start()
{
    this->gossip.onReport(
        [this](const Membership::MemberReport &report) { this->onPeerReport(report); });
    this->mesh.on("catalog?", [this](const PeerLinkPtr &link, const boost::json::object &) {
        if (this->state.catalog) {
            this->mesh.reply(link,
                             {{"type", "catalog"}, {"document", this->state.catalog->source}});
        }
    });
    this->mesh.on("catalog", [this](const PeerLinkPtr &, const boost::json::object &message) {
        this->adopt(textOf(message, "document"), "peer");
    });
    boost::asio::co_spawn(this->state.context, this->followStore(), boost::asio::detached);
}

void CatalogKeeper::onChange(std::function<void()> action)
{
    this->changeAction = std::move(action);
}

Http::Awaitable<void> CatalogKeeper::followStore()
{
    while (true) {
        const Common::Time begun = clockNow();
        const auto reading = co_await this->store.readCatalog(this->position, kFeedWait);
        if (!reading) {
            if (reading.error() == StoreFault::HistoryGone)
                this->position = 0;
            else if (!this->storeFailed)
                this->state.logState(LogLine("store-lost")
                                         .text("read", "catalog")
                                         .text("fault", Common::nameOf(reading.error())));
            this->storeFailed = reading.error() != StoreFault::HistoryGone;
            this->state.metrics.count(
                labelled("store_faults", "fault", Common::nameOf(reading.error())));
            co_await this->state.sleepFor(kRetryPause);
            continue;
        }
        if (this->storeFailed) {
            this->storeFailed = false;
            this->state.logState(LogLine("store-regained").text("read", "catalog"));
        }
        this->take(*reading, "store");
        this->confirmedAt = std::max(this->confirmedAt.value_or(begun), begun);
        // Before the operator's first document the store answers at once.
        if (!this->state.catalog)
            co_await this->state.sleepFor(kRetryPause);
    }
}

bool CatalogKeeper::take(const CatalogUpdate &reading, std::string_view origin)
{
    this->position = std::max(this->position, reading.position);
    return !reading.document || this->adopt(*reading.document, origin);
}

bool CatalogKeeper::adopt(const std::string &document, std::string_view origin)
{
    const auto read = this->state.dialect.readCatalog(document);
    if (!read) {
        this->state.metrics.count("catalogs_invalid");
        this->state.logState(
            LogLine("catalog-invalid").text("origin", origin).text("fault", read.error()));
        return false;
    }
    const std::uint64_t version = (*read)->version;
    const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
    if (this->state.catalog && version <= known)
        return true;
    this->state.catalog = *read;
    this->state.logState(LogLine("catalog-applied")
                             .text("origin", origin)
                             .number("version", static_cast<std::int64_t>(version))
                             .number("before", static_cast<std::int64_t>(known))
                             .number("routes", static_cast<std::int64_t>((*read)->routes.size())));
    if (this->changeAction)
        this->changeAction();
    if (known == 0)
        this->gossip.announce();
    return true;
}

Http::Awaitable<bool> CatalogKeeper::confirm()
{
    const Common::Time asked = clockNow();
    const auto isConfirmed = [this, asked] {
        return this->confirmedAt && *this->confirmedAt >= asked - kConfirmSlack;
    };
    // One read serves all that wait; a read that began before they came does not count.
    while (this->confirming && !isConfirmed())
        co_await this->state.sleepFor(kConfirmPoll);
    if (isConfirmed())
        co_return true;
    this->confirming = true;
    const Common::Time begun = clockNow();
    const auto reading = co_await this->store.readCatalog(this->position, Common::Milliseconds(0));
    this->confirming = false;
    if (!reading) {
        this->state.metrics.count("catalog_confirms_failed");
        co_return false;
    }
    this->confirmedAt = std::max(this->confirmedAt.value_or(begun), begun);
    co_return this->take(*reading, "store") && this->state.catalog;
}

void CatalogKeeper::onPeerReport(const Membership::MemberReport &report)
{
    const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
    if (report.catalogVersion <= known)
        return;
    const Common::Time now = clockNow();
    if (this->askedPeerAt && now - *this->askedPeerAt < kAskPeerPause)
        return;
    this->askedPeerAt = now;
    this->askPeer(report);
}

void CatalogKeeper::askPeer(const Membership::MemberReport &report)
{
    const auto ask = [this, report]() -> Http::Awaitable<void> {
        if (this->state.catalog)
            co_await this->state.sleepFor(kAskPeerPause);
        const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
        if (report.catalogVersion > known)
            this->mesh.send(report.peerAddress, {{"type", "catalog?"}});
    };
    boost::asio::co_spawn(this->state.context, ask, boost::asio::detached);
}

} // namespace Tanagerbay::Entry
