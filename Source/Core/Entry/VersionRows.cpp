#include "Entry/VersionRows.h"

#include "Membership/Holders.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// How often a reader of the store looks for versions that have come or gone.
constexpr Common::Milliseconds kCheckInterval{500};
// How often it reads the processes that other instances have written.
constexpr Common::Milliseconds kReadInterval{15'000};
// After a longer time without a reading, rows count as new: they may have gone and come back.
constexpr Common::Milliseconds kMaxReadGap = 2 * kReadInterval;
// How long requests wait for a reading, and before that for others that share it.
constexpr Common::Milliseconds kReadTimeout{250};
constexpr Common::Milliseconds kGatherTime{50};
// Name of the member of a datagram that holds the service and the name of a process.
constexpr const char *kUnlistedMember = "unlistedProcess";
// Instances that write one process. Several may fail at once, or not reach the store.
constexpr std::size_t kUnlistedWriters = 3;
// Among so few instances, each one writes what it has heard: datagrams may be lost.
constexpr std::size_t kMaxOwnWriters = 12;
// Others are told again when a process states itself again after this time.
constexpr Common::Milliseconds kTellInterval{500};
constexpr Common::BackoffLimits kRetryDelays{Common::Milliseconds(100), Common::Milliseconds(1500)};
// A row is written again if the process states itself after this time.
constexpr Common::Milliseconds kUnlistedRefreshInterval = Routing::kVersionMemory / 2;
constexpr std::size_t kMaxUnwritten = 1000;
// A call may hold 100 entries.
constexpr std::size_t kMaxRowsPerCall = 50;

void dropBefore(RowTimes &times, Common::Time before)
{
    std::erase_if(times, [before](const auto &entry) { return entry.second < before; });
}

} // namespace

VersionRowChanges versionRowChanges(const std::set<ServiceVersion> &stored,
                                    const Routing::VersionHistory &history)
{
    VersionRowChanges changes;
    for (const auto &[service, versions] : history.byService) {
        for (const auto &[version, at] : versions) {
            if (!stored.contains({service, version}))
                changes.added.push_back({service, version});
        }
    }
    for (const ServiceVersion &row : stored) {
        const auto service = history.byService.find(row.service);
        if (service == history.byService.end() || !service->second.contains(row.version))
            changes.removed.push_back(row);
    }
    return changes;
}

void replaceRows(RowTimes &times, const std::vector<ServiceVersion> &rows, Common::Time now)
{
    RowTimes current;
    for (const ServiceVersion &row : rows) {
        const auto known = times.find(row);
        current[row] = known == times.end() ? now : known->second;
    }
    times = std::move(current);
}

bool hasService(const RowTimes &rows, const std::string &service)
{
    // An empty version is the first one of its service.
    const auto first = rows.lower_bound({service, ""});
    return first != rows.end() && first->first.service == service;
}

std::vector<std::pair<ServiceVersion, std::string>> takeNamed(RowTimes &processes,
                                                              const VersionLookup &versionOf)
{
    std::vector<std::pair<ServiceVersion, std::string>> taken;
    std::erase_if(processes, [&](const auto &entry) {
        const auto process = Routing::unlistedProcess(entry.first.version);
        const auto version = process ? versionOf(*process) : std::nullopt;
        if (version)
            taken.emplace_back(entry.first, *version);
        return version.has_value();
    });
    return taken;
}

VersionRows::VersionRows(State &state, Store &store, StoreRelay &relay, PeerDatagrams &datagrams)
    : state(state), store(store), relay(relay), datagrams(datagrams),
      waitTimer(state.context), backoff{kRetryDelays, 0}
{
}

void VersionRows::setVersionLookup(VersionLookup lookup)
{
    this->versionOf = std::move(lookup);
}

void VersionRows::start()
{
    this->datagrams.on(kUnlistedMember,
                       [this](const json::object &message, const Common::Address &) {
                           this->onUnlisted(message.at(kUnlistedMember));
                       });
    asio::co_spawn(this->state.context, this->follow(), asio::detached);
}

void VersionRows::resolve()
{
    const Common::Time now = clockNow();
    for (RowTimes *processes : {&this->state.unlisted.heard, &this->state.unlisted.stored}) {
        for (const auto &[row, version] : takeNamed(*processes, this->versionOf)) {
            Routing::noteVersion(this->state.versions, row.service, version, now);
            if (this->writtenAt.contains(row) || this->relay.isReader())
                this->named.insert(row);
        }
    }
}

void VersionRows::noteVersions()
{
    this->resolve();
    const bool hasNew = this->stored && this->relay.isReader()
        && !versionRowChanges(*this->stored, this->state.versions).added.empty();
    if (hasNew)
        this->waitTimer.cancel();
}

void VersionRows::onUnlisted(const json::value &message)
{
    const json::array *fields = message.if_array();
    const bool isReadable
        = fields && fields->size() >= 2 && (*fields)[0].is_string() && (*fields)[1].is_string();
    ServiceVersion row;
    if (isReadable)
        row = {std::string((*fields)[0].get_string()), std::string((*fields)[1].get_string())};
    const auto process = Routing::unlistedProcess(row.version);
    if (!process) {
        this->state.metrics.count("datagrams_invalid");
        return;
    }
    // The list of the one that has told it may be behind.
    if (this->versionOf(*process))
        return;
    const Common::Time now = clockNow();
    this->state.unlisted.heard[row] = now;
    this->storeUnlisted(row, now);
}

void VersionRows::noteUnlisted(const std::string &service, const Routing::ProcessKey &process)
{
    const Common::Time now = clockNow();
    const ServiceVersion row{service, Routing::unlistedVersion(process)};
    this->state.unlisted.heard[row] = now;
    dropBefore(this->toldAt, now - Routing::kVersionMemory);
    const auto [told, isNew] = this->toldAt.try_emplace(row, now);
    if (!isNew && now - told->second < kTellInterval)
        return;
    told->second = now;
    if (isNew) {
        this->state.metrics.count("processes_unlisted");
        this->state.log.write(
            LogLine("process-not-listed")
                .text("endpoint", process.endpoint.value)
                .text("service", service)
                .number("process", static_cast<std::int64_t>(process.incarnation)),
            now);
    }
    const Membership::Members &members = this->state.members;
    const auto writers = Membership::keepersOf(members, row.version, kUnlistedWriters, now);
    bool isWriter = members.byId.size() <= kMaxOwnWriters;
    for (const Membership::Member *writer : writers) {
        if (writer->report.id == members.self)
            isWriter = true;
        else
            this->datagrams.send(writer->report.peerAddress,
                                 {{kUnlistedMember, json::array{row.service, row.version}}});
    }
    if (isWriter)
        this->storeUnlisted(row, now);
}

void VersionRows::storeUnlisted(const ServiceVersion &process, Common::Time now)
{
    dropBefore(this->writtenAt, now - kUnlistedRefreshInterval);
    if (this->writtenAt.contains(process))
        return;
    if (this->unwritten.size() >= kMaxUnwritten) {
        this->state.metrics.count("processes_not_stored");
        return;
    }
    this->unwritten.insert(process);
    if (!std::exchange(this->isWriting, true))
        asio::co_spawn(this->state.context, this->writeUnlisted(), asio::detached);
}

Http::Awaitable<void> VersionRows::writeUnlisted()
{
    const auto isUnneeded
        = [this](const ServiceVersion &row) { return !this->state.unlisted.heard.contains(row); };
    std::erase_if(this->unwritten, isUnneeded);
    while (!this->unwritten.empty()) {
        std::vector<ServiceVersion> rows;
        for (const ServiceVersion &row : this->unwritten) {
            if (rows.size() < kMaxRowsPerCall)
                rows.push_back(row);
        }
        const std::vector<ServiceVersion> none;
        const auto written = co_await this->store.writeVersions(rows, none);
        if (written) {
            Common::noteSuccess(this->backoff);
            this->writtenIn = *written;
            for (const ServiceVersion &row : rows) {
                this->writtenAt[row] = clockNow();
                this->unwritten.erase(row);
                // The list may have named it meanwhile.
                if (isUnneeded(row))
                    this->named.insert(row);
            }
        } else {
            std::uniform_real_distribution<double> draw(0, 1);
            co_await this->state.sleepFor(
                Common::delayAfterFailure(this->backoff, draw(this->state.random)));
        }
        std::erase_if(this->unwritten, isUnneeded);
    }
    this->isWriting = false;
}

Http::Awaitable<void> VersionRows::follow()
{
    bool hasRead = false;
    while (!this->state.leaving) {
        // Others write while this instance is no reader, and a store that returned from an older
        // copy may have lost rows.
        if (!this->relay.isReader() || this->storedIn != this->store.epoch())
            this->stored.reset();
        if (!this->stored && (!hasRead || this->relay.isReader()))
            hasRead = co_await this->read() || hasRead;
        if (this->stored && this->relay.isReader())
            co_await this->write();
        co_await this->removeUnlisted();
        this->waitTimer.expires_after(kCheckInterval);
        boost::system::error_code ignored;
        co_await this->waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

Http::Awaitable<bool> VersionRows::read()
{
    const auto rows = co_await this->store.readVersions();
    if (!rows)
        co_return false;
    this->storedIn = this->store.epoch();
    this->stored.emplace();
    // A version that is stored, but not listed any more, may have been there until now. All that
    // instances have known before is stored.
    Routing::VersionHistory known{{}, Common::Time::min()};
    for (const ServiceVersion &row : *rows) {
        if (Routing::unlistedProcess(row.version))
            continue;
        this->stored->insert(row);
        known.byService[row.service][row.version] = clockNow();
    }
    Routing::mergeHistory(this->state.versions, known);
    this->replaceUnlisted(*rows);
    co_return true;
}

Http::Awaitable<bool> VersionRows::readUnlisted()
{
    const auto rows = co_await this->store.readVersions();
    if (rows)
        this->replaceUnlisted(*rows);
    co_return rows.has_value();
}

void VersionRows::replaceUnlisted(const std::vector<ServiceVersion> &rows)
{
    const Common::Time now = clockNow();
    RowTimes &known = this->state.unlisted.stored;
    if (now - std::exchange(this->unlistedReadAt, now) > kMaxReadGap)
        known.clear();
    std::vector<ServiceVersion> processes;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(processes),
                 [](const auto &row) { return Routing::unlistedProcess(row.version).has_value(); });
    replaceRows(known, processes, now);
    this->resolve();
}

Http::Awaitable<bool> VersionRows::readNow()
{
    if (!this->reading || this->reading->hasBegun) {
        this->reading = std::make_shared<Reading>(this->state.context);
        this->reading->done.expires_after(kGatherTime + kReadTimeout);
        asio::co_spawn(
            this->state.context,
            [this, shared = this->reading]() -> Http::Awaitable<void> {
                co_await this->state.sleepFor(kGatherTime);
                shared->hasBegun = true;
                shared->hasSucceeded = co_await this->readUnlisted();
                shared->isDone = true;
                shared->done.cancel();
            },
            asio::detached);
    }
    const std::shared_ptr<Reading> awaited = this->reading;
    boost::system::error_code ignored;
    if (!awaited->isDone)
        co_await awaited->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return awaited->hasSucceeded;
}

Http::Awaitable<void> VersionRows::removeUnlisted()
{
    const Common::Time now = clockNow();
    dropBefore(this->state.unlisted.heard, now - Routing::kVersionMemory);
    // A store that returned from an older copy may have lost rows.
    if (!this->writtenAt.empty() && this->writtenIn != this->store.epoch()) {
        const RowTimes written = std::exchange(this->writtenAt, {});
        for (const auto &[row, at] : written) {
            if (this->state.unlisted.heard.contains(row))
                this->storeUnlisted(row, now);
        }
    }
    if (this->relay.isReader()) {
        if (now - this->unlistedReadAt > kReadInterval)
            co_await this->readUnlisted();
        for (const auto &[row, firstReadAt] : this->state.unlisted.stored) {
            const bool isHeard = this->state.unlisted.heard.contains(row);
            if (!isHeard && now - firstReadAt > Routing::kVersionMemory)
                this->named.insert(row);
        }
    }
    std::vector<ServiceVersion> removed(this->named.begin(), this->named.end());
    removed.resize(std::min(removed.size(), kMaxRowsPerCall));
    if (removed.empty())
        co_return;
    const std::vector<ServiceVersion> none;
    if (!co_await this->store.writeVersions(none, removed))
        co_return;
    for (const ServiceVersion &row : removed) {
        this->named.erase(row);
        this->writtenAt.erase(row);
        this->state.unlisted.stored.erase(row);
    }
}

Http::Awaitable<void> VersionRows::write()
{
    const Common::Time now = clockNow();
    for (const auto &[service, pool] : this->state.pools)
        Routing::noteVersions(this->state.versions, service, pool, now);
    Routing::dropVersionsBefore(this->state.versions, now - Routing::kVersionMemory);
    const VersionRowChanges changes = versionRowChanges(*this->stored, this->state.versions);
    if (changes.added.empty() && changes.removed.empty())
        co_return;
    const auto written = co_await this->store.writeVersions(changes.added, changes.removed);
    if (!written || *written != this->storedIn) {
        this->stored.reset();
        co_return;
    }
    this->stored->insert(changes.added.begin(), changes.added.end());
    for (const ServiceVersion &row : changes.removed)
        this->stored->erase(row);
}

} // namespace Tanagerbay::Entry
