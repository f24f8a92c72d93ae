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
// How often it reads the rows that other instances have written.
constexpr Common::Milliseconds kReadInterval{15'000};
// After a longer time without a reading, rows count as new.
constexpr Common::Milliseconds kMaxReadGap = 2 * kReadInterval;
// How long requests wait for a reading, and for others that share it.
constexpr Common::Milliseconds kReadTimeout{250};
constexpr Common::Milliseconds kGatherTime{50};
// Name of the member of a datagram that holds the service and the name of a process.
constexpr const char *kUnlistedMember = "unlistedProcess";
// Instances that write one process. Several may fail at once, or not reach the store.
constexpr std::size_t kUnlistedWriters = 3;
// They are told again while the process is not listed: a datagram may be lost.
constexpr Common::Milliseconds kTellInterval{500};
constexpr Common::Milliseconds kWriteRetryInterval{100};
// A row is written again after this time, since the readers remove rows of this age.
constexpr Common::Milliseconds kUnlistedRefreshInterval = Routing::kVersionMemory / 2;
constexpr std::size_t kMaxUnwritten = 1000;
// A call may hold 100 entries.
constexpr std::size_t kMaxAddedRows = 50;
constexpr std::size_t kMaxRemovedRows = 50;

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

void noteRows(RowTimes &times, const std::vector<ServiceVersion> &rows, Common::Time now)
{
    RowTimes current;
    for (const ServiceVersion &row : rows) {
        const auto known = times.find(row);
        current[row] = known == times.end() ? now : known->second;
    }
    times = std::move(current);
}

VersionRows::VersionRows(State &state, Store &store, StoreRelay &relay, PeerDatagrams &datagrams)
    : state(state), store(store), relay(relay), datagrams(datagrams), waitTimer(state.context)
{
}

void VersionRows::start()
{
    this->datagrams.on(kUnlistedMember,
                       [this](const json::object &message, const Common::Address &) {
                           this->onUnlisted(message.at(kUnlistedMember));
                       });
    asio::co_spawn(this->state.context, this->follow(), asio::detached);
}

void VersionRows::onProcesses(std::function<void()> action)
{
    this->processesHandler = std::move(action);
}

void VersionRows::onUnlisted(const json::value &message)
{
    const json::array *fields = message.if_array();
    const bool isReadable
        = fields && fields->size() >= 2 && (*fields)[0].is_string() && (*fields)[1].is_string();
    ServiceVersion row;
    if (isReadable)
        row = {std::string((*fields)[0].get_string()), std::string((*fields)[1].get_string())};
    if (!Routing::unlistedProcess(row.version)) {
        this->state.metrics.count("datagrams_invalid");
        return;
    }
    const Common::Time now = clockNow();
    Routing::noteVersion(this->state.versions, row.service, row.version, now);
    if (this->processesHandler)
        this->processesHandler();
    // The list of the one that has told it may be behind.
    if (Routing::hasVersion(this->state.versions, row.service, row.version))
        this->storeUnlisted(row, now);
}

void VersionRows::noteVersions()
{
    if (this->stored && this->relay.isReader()
        && !versionRowChanges(*this->stored, this->state.versions).added.empty())
        this->waitTimer.cancel();
}

void VersionRows::noteUnlisted(const std::string &service, const Routing::ProcessKey &process)
{
    const Common::Time now = clockNow();
    const ServiceVersion row{service, Routing::unlistedVersion(process)};
    Routing::noteVersion(this->state.versions, row.service, row.version, now);
    std::erase_if(this->toldAt, [now](const auto &entry) {
        return now - entry.second > Routing::kVersionMemory;
    });
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
    const auto writers
        = Membership::keepersOf(this->state.members, row.version, kUnlistedWriters, now);
    for (const Membership::Member *writer : writers) {
        if (writer->report.id != this->state.members.self)
            this->datagrams.send(writer->report.peerAddress,
                                 {{kUnlistedMember, json::array{row.service, row.version}}});
    }
    const bool isWriter
        = std::any_of(writers.begin(), writers.end(), [this](const Membership::Member *writer) {
              return writer->report.id == this->state.members.self;
          });
    if (isWriter || writers.empty())
        this->storeUnlisted(row, now);
}

void VersionRows::storeUnlisted(const ServiceVersion &process, Common::Time now)
{
    std::erase_if(this->writtenAt, [now](const auto &entry) {
        return now - entry.second > kUnlistedRefreshInterval;
    });
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
    while (!this->unwritten.empty()) {
        std::vector<ServiceVersion> rows;
        for (const ServiceVersion &row : this->unwritten) {
            if (rows.size() < kMaxAddedRows)
                rows.push_back(row);
        }
        const std::vector<ServiceVersion> none;
        const auto written = co_await this->store.writeVersions(rows, none);
        if (!written)
            co_await this->state.sleepFor(kWriteRetryInterval);
        const Common::Time now = clockNow();
        for (const ServiceVersion &row : rows) {
            if (written)
                this->writtenAt[row] = now;
            if (written || !Routing::hasVersion(this->state.versions, row.service, row.version))
                this->unwritten.erase(row);
            // A reader removes what it has stored.
            if (written && this->stored && this->storedIn == *written)
                this->stored->insert(row);
        }
    }
    this->isWriting = false;
}

Http::Awaitable<void> VersionRows::follow()
{
    bool hasRead = false;
    while (!this->state.leaving) {
        // Others write while this instance is no reader, and processes that are not listed at any
        // time. A store that returned from an older copy may have lost rows.
        const bool isOutdated
            = this->storedIn != this->store.epoch() || clockNow() - this->readAt > kReadInterval;
        if (!this->relay.isReader() || isOutdated)
            this->stored.reset();
        if (!this->stored && (!hasRead || this->relay.isReader()))
            hasRead = co_await this->read() || hasRead;
        if (this->stored && this->relay.isReader())
            co_await this->write();
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
    this->stored.emplace(rows->begin(), rows->end());
    const Common::Time now = clockNow();
    // A row may have gone and come back since.
    if (now - std::exchange(this->readAt, now) > kMaxReadGap)
        this->rowTimes.clear();
    noteRows(this->rowTimes, *rows, now);
    Routing::dropVersionsBefore(this->state.versions, now - Routing::kVersionMemory);
    // A version that is stored and that this instance does not know may have been there until it
    // was first read. All that instances have known before is stored.
    Routing::VersionHistory known{{}, Common::Time::min()};
    for (const auto &[row, firstReadAt] : this->rowTimes) {
        if (!Routing::hasVersion(this->state.versions, row.service, row.version))
            known.byService[row.service][row.version] = firstReadAt;
    }
    Routing::mergeHistory(this->state.versions, known);
    if (this->processesHandler)
        this->processesHandler();
    co_return true;
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
                shared->hasSucceeded = co_await this->read();
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

Http::Awaitable<void> VersionRows::write()
{
    const Common::Time now = clockNow();
    for (const auto &[service, pool] : this->state.pools)
        Routing::noteVersions(this->state.versions, service, pool, now);
    Routing::dropVersionsBefore(this->state.versions, now - Routing::kVersionMemory);
    VersionRowChanges changes = versionRowChanges(*this->stored, this->state.versions);
    // The rest follows with the next call.
    changes.added.resize(std::min(changes.added.size(), kMaxAddedRows));
    changes.removed.resize(std::min(changes.removed.size(), kMaxRemovedRows));
    if (changes.added.empty() && changes.removed.empty())
        co_return;
    const auto written = co_await this->store.writeVersions(changes.added, changes.removed);
    if (!written || *written != this->storedIn || !this->stored) {
        this->stored.reset();
        co_return;
    }
    this->stored->insert(changes.added.begin(), changes.added.end());
    for (const ServiceVersion &row : changes.removed) {
        this->stored->erase(row);
        this->rowTimes.erase(row);
    }
}

} // namespace Tanagerbay::Entry
