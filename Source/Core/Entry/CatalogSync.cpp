#include "Entry/CatalogSync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// How long the store may hold a long-polling read open. A silent connection is detected when
// another call to the store times out, or shortly after this period. Heartbeats of other instances
// announce new catalog versions as well.
constexpr Common::Milliseconds kFeedReadTimeout{3500};
constexpr Common::BackoffLimits kRetryDelays{Common::Milliseconds(150), Common::Milliseconds(1500)};
// Until the operator has published a document, the store answers at once.
constexpr Common::Milliseconds kFirstDocumentInterval{150};
// A reader that waits for changes and was heard within this part of the time in which a change must
// take effect saves this instance from waiting for them itself.
constexpr double kMaxReaderSilencePerCatalogDelay = 0.75;
constexpr Common::Milliseconds kWatchCheckInterval{250};
// Reads after a reader's report are spread over this time.
constexpr Common::Milliseconds kReadSpread{150};
// A reader that is asked for a confirmation reads the store once.
constexpr Common::Milliseconds kReaderConfirmTimeout{200};
// Requests are refused only on the basis of a catalog that was confirmed no longer ago than this
// part of the time within which a change must take effect.
constexpr double kMaxConfirmAgePerCatalogDelay = 0.5;
// A read of the store can ask once for a full read, after a change of the store's epoch.
constexpr int kMaxConfirmReads = 2;
constexpr Common::Milliseconds kConfirmPollInterval{10};
// Delay before a newer catalog is requested from a peer, and minimum interval between such
// requests. The store's feed usually delivers a change before the delay ends.
constexpr Common::Milliseconds kPeerRequestInterval{250};

} // namespace

CatalogSync::CatalogSync(State &state, PeerMesh &mesh, Gossip &gossip, Store &store,
                         StoreRelay &relay, EvacuationWatch &evacuations)
    : state(state), mesh(mesh), gossip(gossip), store(store), relay(relay),
      evacuations(evacuations), backoff{kRetryDelays, 0}
{
}

void CatalogSync::start()
{
    this->gossip.onReport(
        [this](const Membership::MemberReport &report) { this->onPeerReport(report); });
    this->mesh.on("catalog?", [this](const PeerLinkPtr &link, const boost::json::object &) {
        if (!this->state.catalog)
            return;
        boost::json::object reply{{"type", "catalog"}, {"document", this->state.catalog->source}};
        attachEvacuations(reply, reportOf(this->state.evacuations), clockNow());
        this->mesh.reply(link, reply);
    });
    this->mesh.on("catalog", [this](const PeerLinkPtr &, const boost::json::object &message) {
        // Before the catalog, which may be what this instance lacks to serve requests.
        this->evacuations.applyReport(readEvacuations(message, clockNow()), "instance");
        this->applyDocument(textOf(message, "document"), "peer");
    });
    boost::asio::co_spawn(this->state.context, this->followStore(), boost::asio::detached);
}

void CatalogSync::onChange(std::function<void()> action)
{
    this->changeHandler = std::move(action);
}

bool CatalogSync::isWatchedByReaders(Common::Time now) const
{
    const auto allowedSilence = std::chrono::duration_cast<Common::Duration>(
        this->state.settings.bounds.catalogDelay * kMaxReaderSilencePerCatalogDelay);
    return this->state.catalog && this->readerHeardAt && now - *this->readerHeardAt < allowedSilence
        && !this->relay.isReader();
}

Common::Duration CatalogSync::delayAfterFault()
{
    std::uniform_real_distribution<double> draw(0, 1);
    return Common::delayAfterFailure(this->backoff, draw(this->state.random));
}

void CatalogSync::setWatching(bool watching)
{
    if (std::exchange(this->isWatching, watching) != watching)
        this->relay.reportCatalog(watching, this->confirmedAt);
}

Http::Awaitable<void> CatalogSync::followStore()
{
    while (true) {
        if (this->isWatchedByReaders(clockNow()))
            co_await this->state.sleepFor(kWatchCheckInterval);
        else
            co_await this->watchStore();
    }
}

Http::Awaitable<void> CatalogSync::watchStore()
{
    const Common::Time startedAt = clockNow();
    const auto reading = co_await this->store.readCatalog(this->position, kFeedReadTimeout);
    // The next one goes over another connection at once, and its followers need not wait
    // themselves.
    if (!reading && reading.error() == StoreFault::Interrupted)
        co_return;
    if (!reading) {
        if (reading.error() == StoreFault::HistoryGone)
            this->position.version = 0;
        else if (!this->storeFailed)
            this->state.logState(LogLine("store-lost")
                                     .text("read", "catalog")
                                     .text("fault", Common::nameOf(reading.error())));
        this->storeFailed = reading.error() != StoreFault::HistoryGone;
        this->setWatching(false);
        this->state.metrics.count(
            labelled("store_faults", "fault", Common::nameOf(reading.error())));
        co_await this->state.sleepFor(this->delayAfterFault());
        co_return;
    }
    Common::noteSuccess(this->backoff);
    if (this->storeFailed) {
        this->storeFailed = false;
        this->state.logState(LogLine("store-regained").text("read", "catalog"));
    }
    if (this->applyReading(*reading, "store"))
        this->confirmedAt = std::max(this->confirmedAt.value_or(startedAt), startedAt);
    this->setWatching(this->state.catalog != nullptr);
    // The store answers at once until the operator has published the first document.
    if (!this->state.catalog)
        co_await this->state.sleepFor(kFirstDocumentInterval);
}

void CatalogSync::applyReport(const ReaderReport &report)
{
    const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
    if (report.isWatchingCatalog)
        this->readerHeardAt = clockNow();
    if (report.catalogVersion == known && known != 0 && report.catalogConfirmedAt) {
        this->confirmedAt = std::max(this->confirmedAt.value_or(*report.catalogConfirmedAt),
                                     *report.catalogConfirmedAt);
    }
    if (report.catalogVersion <= known || std::exchange(this->isReadingNewer, true))
        return;
    boost::asio::co_spawn(this->state.context, this->readNewer(report.readerAddress),
                          boost::asio::detached);
}

Http::Awaitable<void> CatalogSync::readNewer(Common::Address reader)
{
    std::uniform_real_distribution<double> draw(0, 1);
    co_await this->state.sleepFor(
        std::chrono::duration_cast<Common::Duration>(kReadSpread * draw(this->state.random)));
    const Common::Time startedAt = clockNow();
    const StorePosition fullRead{this->position.epoch, 0};
    const auto reading = co_await this->store.readCatalog(fullRead, Common::Milliseconds(0));
    this->isReadingNewer = false;
    if (reading) {
        if (this->applyReading(*reading, "store"))
            this->confirmedAt = std::max(this->confirmedAt.value_or(startedAt), startedAt);
        co_return;
    }
    this->mesh.send(reader, {{"type", "catalog?"}});
}

bool CatalogSync::applyReading(const CatalogUpdate &reading, std::string_view origin)
{
    const ReadingUse use = useOfReading(this->position, reading.position, reading.isComplete);
    if (this->position.epoch != 0 && reading.position.epoch > this->position.epoch) {
        this->state.logState(
            LogLine("store-restored")
                .text("read", "catalog")
                .number("epoch", static_cast<std::int64_t>(reading.position.epoch)));
    }
    this->position = positionAfter(this->position, reading.position, use);
    if (use == ReadingUse::Overtaken)
        return true;
    if (use != ReadingUse::Apply)
        return false;
    // Before the catalog, which may be what this instance lacks to serve requests.
    if (this->evacuations.applyReading(reading, this->position))
        this->relay.reportCatalog(this->isWatching, this->confirmedAt);
    return !reading.document || this->applyDocument(*reading.document, origin);
}

bool CatalogSync::applyDocument(const std::string &document, std::string_view origin)
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
    if (this->changeHandler)
        this->changeHandler();
    this->relay.reportCatalog(this->isWatching, this->confirmedAt);
    if (known == 0)
        this->gossip.announce();
    return true;
}

bool CatalogSync::anotherHasNewer(Common::Time now) const
{
    const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
    for (const auto &[id, member] : this->state.members.byId) {
        if (member.report.catalogVersion > known
            && !Membership::isSuspect(this->state.members, member, now))
            return true;
    }
    return false;
}

bool CatalogSync::isConfirmed(Common::Time calledAt) const
{
    const auto maxAge = std::chrono::duration_cast<Common::Duration>(
        this->state.settings.bounds.catalogDelay * kMaxConfirmAgePerCatalogDelay);
    return this->state.catalog && this->confirmedAt && *this->confirmedAt >= calledAt - maxAge;
}

Http::Awaitable<std::optional<Common::Time>> CatalogSync::confirmByStore()
{
    const Common::Time calledAt = clockNow();
    // One attempt serves all waiting callers, also if it fails: attempts one after the other would
    // keep them waiting for as many time-outs of a silent store.
    if (this->confirming) {
        const std::uint64_t attempt = this->confirmAttempts;
        while (this->confirming && attempt == this->confirmAttempts && !this->isConfirmed(calledAt))
            co_await this->state.sleepFor(kConfirmPollInterval);
        co_return this->isConfirmed(calledAt) ? this->confirmedAt : std::nullopt;
    }
    this->confirming = true;
    ++this->confirmAttempts;
    co_await this->readToConfirm(calledAt);
    this->confirming = false;
    co_return this->isConfirmed(calledAt) ? this->confirmedAt : std::nullopt;
}

Http::Awaitable<void> CatalogSync::readToConfirm(Common::Time calledAt)
{
    for (int reads = 0; !this->isConfirmed(calledAt) && reads < kMaxConfirmReads; ++reads) {
        const Common::Time startedAt = clockNow();
        const auto reading
            = co_await this->store.readCatalog(this->position, Common::Milliseconds(0));
        if (!reading && reading.error() == StoreFault::HistoryGone) {
            this->position.version = 0;
            continue;
        }
        if (!reading) {
            this->state.metrics.count("catalog_confirms_failed");
            co_return;
        }
        if (this->applyReading(*reading, "store"))
            this->confirmedAt = std::max(this->confirmedAt.value_or(startedAt), startedAt);
    }
}

Http::Awaitable<bool> CatalogSync::confirm()
{
    const Common::Time calledAt = clockNow();
    if (!this->isConfirmed(calledAt) && this->relay.askToConfirm()) {
        while (!this->isConfirmed(calledAt) && clockNow() - calledAt < kReaderConfirmTimeout)
            co_await this->state.sleepFor(kConfirmPollInterval);
    }
    if (!this->isConfirmed(calledAt))
        co_await this->confirmByStore();
    // A store that returned from an older copy may list an older document than is in force.
    co_return this->isConfirmed(calledAt) && !this->anotherHasNewer(clockNow());
}

void CatalogSync::onPeerReport(const Membership::MemberReport &report)
{
    const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
    if (report.catalogVersion <= known)
        return;
    const Common::Time now = clockNow();
    if (this->peerRequestedAt && now - *this->peerRequestedAt < kPeerRequestInterval)
        return;
    this->peerRequestedAt = now;
    this->requestFromPeer(report);
}

void CatalogSync::requestFromPeer(const Membership::MemberReport &report)
{
    const auto sendRequest = [this, report]() -> Http::Awaitable<void> {
        if (this->state.catalog)
            co_await this->state.sleepFor(kPeerRequestInterval);
        const std::uint64_t known = this->state.catalog ? this->state.catalog->version : 0;
        if (report.catalogVersion > known)
            this->mesh.send(report.peerAddress, {{"type", "catalog?"}});
    };
    boost::asio::co_spawn(this->state.context, sendRequest, boost::asio::detached);
}

} // namespace Tanagerbay::Entry
