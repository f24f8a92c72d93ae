#include "Entry/StreamRecorder.h"

#include "Common/Hash.h"
#include "Entry/VersionRows.h"
#include "Membership/Holders.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Name of the member of a datagram that holds records.
constexpr const char *kRecordsMember = "streamRecords";
// Name of the duty by which the keepers are chosen.
constexpr std::string_view kDuty = "stream-records";
// A kill of all instances loses what began within this time.
constexpr Common::Milliseconds kWriteInterval{150};
constexpr Common::Milliseconds kRetryInterval{500};
// The rows of versions are written again after this time: whoever keeps the table removes those
// that it has not seen for `kVersionMemory`.
constexpr Common::Milliseconds kVersionRefreshInterval = Routing::kVersionMemory / 2;
// How often it is checked whether a reading of the endpoints shows which records are certain.
constexpr Common::Milliseconds kReadingCheckInterval{20};
// A datagram with so many records stays below the limit of its receiver.
constexpr std::size_t kMaxRecordsPerDatagram = 16;
constexpr std::size_t kMaxHeldPerInterval = 160;
// More are not kept while the store cannot be reached; the oldest are dropped.
constexpr std::size_t kMaxPending = 5000;
// Rows that are made in advance while the store cannot be reached.
constexpr std::size_t kMaxUnstoredRows = 20;

// Whether a version is known or at least presumed that a record can name.
bool hasVersion(const Serving::StreamOrigin &origin)
{
    return origin.isVersionKnown
        || (!origin.isStated && !origin.isContradicted && !origin.isPresumed);
}

} // namespace

StreamRecorder::StreamRecorder(State &state, PeerDatagrams &datagrams, Store &store,
                               EndpointDiscovery &endpoints, Serving::StreamOrigins &origins)
    : state(state), datagrams(datagrams), store(store), endpoints(endpoints), origins(origins),
      waitTimer(state.context), rowPrefix(std::to_string(state.random()) + "-")
{
}

void StreamRecorder::start()
{
    this->datagrams.on(kRecordsMember,
                       [this](const boost::json::object &object, const Common::Address &) {
                           const Common::Time now = clockNow();
                           this->keep(readStreamRecords(object.at(kRecordsMember), now), now);
                       });
    asio::co_spawn(this->state.context, this->follow(), asio::detached);
}

void StreamRecorder::onLoaded(std::function<void()> action)
{
    this->loadedHandler = std::move(action);
}

void StreamRecorder::noteBegun(const std::string &attempt, const Serving::StreamOrigin &origin)
{
    if (!this->services.contains(origin.service) || !hasVersion(origin))
        return;
    std::vector<StreamRecord> records;
    records.push_back({attempt, origin, origin.isVersionKnown});
    this->report(std::move(records), clockNow());
}

bool StreamRecorder::isKeeper(Common::Time now) const
{
    if (!this->state.instancesWereListed)
        return false;
    const Membership::Members &members = this->state.members;
    const auto keepers
        = Membership::keepersOf(members, kDuty, recordKeeperCount(members.byId.size()), now);
    return std::any_of(keepers.begin(), keepers.end(), [&](const Membership::Member *member) {
        return member->report.id == members.self;
    });
}

bool StreamRecorder::isLoading() const
{
    const Common::Time now = clockNow();
    if (this->phase == Phase::Ready || !this->isKeeper(now))
        return false;
    const bool isHistoryKnown = this->state.versions.completeSince <= now - Routing::kVersionMemory;
    return !this->services.empty() || !isHistoryKnown;
}

std::vector<const Membership::Member *> StreamRecorder::otherKeepers(Common::Time now) const
{
    const Membership::Members &members = this->state.members;
    return Membership::holdersOf(members, kDuty, recordKeeperCount(members.byId.size()), true, now);
}

void StreamRecorder::flush()
{
    this->waitTimer.cancel();
}

Http::Awaitable<void> StreamRecorder::follow()
{
    while (true) {
        const Common::Time now = clockNow();
        this->noteVersions(now);
        this->passOnHeld(now);
        const bool mustKeep
            = !this->pending.empty() || (!this->services.empty() && this->isKeeper(now));
        if (this->phase == Phase::Unknown && mustKeep && now >= this->retryAt)
            co_await this->load();
        if (this->phase == Phase::Read)
            this->addCertain(clockNow());
        if (this->phase != Phase::Unknown && clockNow() >= this->retryAt)
            co_await this->write();
        this->waitTimer.expires_after(this->phase == Phase::Read ? kReadingCheckInterval
                                                                 : kWriteInterval);
        boost::system::error_code ignored;
        co_await this->waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void StreamRecorder::noteVersions(Common::Time now)
{
    std::set<std::string> current;
    for (const auto &[service, pool] : this->state.pools) {
        if (Routing::hasSeveralVersions(this->state.versions, service, pool,
                                        now - Routing::kVersionMemory)
            || hasService(this->state.unlisted.heard, service)
            || hasService(this->state.unlisted.stored, service))
            current.insert(service);
    }
    std::set<std::string> added;
    std::set_difference(current.begin(), current.end(), this->services.begin(),
                        this->services.end(), std::inserter(added, added.end()));
    this->services = std::move(current);
    if (!added.empty()) {
        this->holdOrigins(added);
        this->flush();
    }
    // What others have written is to be read again, should the duty come back.
    if (this->services.empty() && this->pending.empty() && this->rows.empty())
        this->phase = Phase::Unknown;
}

void StreamRecorder::holdOrigins(const std::set<std::string> &added)
{
    for (const auto &[attempt, origin] : this->origins.byAttempt) {
        if (!added.contains(origin.service) || !hasVersion(origin))
            continue;
        // The first holder of an origin records it, so that this is done once. An instance that is
        // leaving has no rank, and may be the last one that knows.
        const auto rank = Membership::rankFor(this->state.members, attempt).own;
        if (rank.value_or(0) == 0)
            this->held.push_back({attempt, origin, origin.isVersionKnown});
    }
}

void StreamRecorder::passOnHeld(Common::Time now)
{
    const std::size_t count = std::min(this->held.size(), kMaxHeldPerInterval);
    const auto end = this->held.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<StreamRecord> next(std::make_move_iterator(this->held.begin()),
                                   std::make_move_iterator(end));
    this->held.erase(this->held.begin(), end);
    this->report(std::move(next), now);
}

void StreamRecorder::report(std::vector<StreamRecord> records, Common::Time now)
{
    const Membership::Members &members = this->state.members;
    const auto writers
        = Membership::keepersOf(members, kDuty, recordWriterCount(members.byId.size()), now);
    if (writers.empty()) {
        this->keep(std::move(records), now);
        return;
    }
    std::map<const Membership::Member *, std::vector<StreamRecord>> byWriter;
    for (StreamRecord &record : records)
        byWriter[writers[Common::hash64(record.attempt) % writers.size()]].push_back(
            std::move(record));
    for (auto &[writer, own] : byWriter) {
        if (writer->report.id == members.self) {
            this->keep(std::move(own), now);
            continue;
        }
        for (auto at = own.begin(); at != own.end();) {
            const auto left = static_cast<std::size_t>(own.end() - at);
            const auto end
                = at + static_cast<std::ptrdiff_t>(std::min(left, kMaxRecordsPerDatagram));
            boost::json::object message;
            message[kRecordsMember] = toJson(std::vector<StreamRecord>(at, end), now);
            this->datagrams.send(writer->report.peerAddress, message);
            at = end;
        }
    }
}

void StreamRecorder::keep(std::vector<StreamRecord> records, Common::Time now)
{
    // It is asked for them, as the other keepers are, and does not read what it has written.
    for (const StreamRecord &record : records)
        Serving::addOrigin(this->origins, record.attempt, record.origin, now);
    std::move(records.begin(), records.end(), std::back_inserter(this->pending));
    if (this->pending.size() <= kMaxPending)
        return;
    const std::size_t excess = this->pending.size() - kMaxPending;
    this->pending.erase(this->pending.begin(),
                        this->pending.begin() + static_cast<std::ptrdiff_t>(excess));
    this->state.metrics.count("stream_records_dropped", excess);
}

Http::Awaitable<void> StreamRecorder::load()
{
    const auto reading = co_await this->store.readStreamRecords();
    const Common::Time now = clockNow();
    if (!reading) {
        this->noteFault("read", reading.error(), now);
        co_return;
    }
    this->noteSuccess();
    this->clock = {reading->storeTime, now};
    this->rowsEpoch = this->store.epoch();
    this->loaded.clear();
    for (const StoredText &stored : reading->rows) {
        auto content = readRow(stored.value, this->clock, now);
        if (!content) {
            this->state.metrics.count("stream_records_invalid");
            continue;
        }
        this->rows.try_emplace(stored.key, StreamRecordRow{"", {}, content->expiresAt, true});
        if (!content->records.empty())
            this->loaded.push_back(std::move(*content));
    }
    this->phase = Phase::Read;
    this->endpoints.readSoon();
}

void StreamRecorder::addCertain(Common::Time now)
{
    if (this->endpoints.lastReadingBegan() <= this->clock.at)
        return;
    std::int64_t certain = 0;
    std::int64_t uncertain = 0;
    for (const StreamRowContent &row : this->loaded) {
        for (const StreamRecord &record : row.records) {
            const bool hasRunSince = this->endpoints.versionOf(record.origin).has_value();
            Serving::StreamOrigin origin = record.origin;
            origin.isVersionKnown
                = isCertain(record, row.epoch, this->endpoints.epoch(), hasRunSince);
            ++(origin.isVersionKnown ? certain : uncertain);
            // One that is not certain may become so. A store that has returned from an older copy
            // may list a process that had ended before.
            if (origin.isVersionKnown || row.epoch == this->endpoints.epoch())
                Serving::addOrigin(this->origins, record.attempt, origin, now);
        }
    }
    this->loaded.clear();
    this->phase = Phase::Ready;
    this->state.logState(
        LogLine("stream-records-read").number("certain", certain).number("uncertain", uncertain));
    if (this->loadedHandler)
        this->loadedHandler();
}

void StreamRecorder::makeRows(Common::Time now)
{
    const auto unstored = static_cast<std::size_t>(
        std::count_if(this->rows.begin(), this->rows.end(),
                      [](const auto &row) { return !row.second.isStored; }));
    for (std::size_t count = unstored; count < kMaxUnstoredRows && !this->pending.empty();
         ++count) {
        auto row = makeRow(this->pending, this->rowsEpoch, this->clock, now);
        if (row)
            this->rows.emplace(this->rowPrefix + std::to_string(++this->lastRow), std::move(*row));
    }
}

Http::Awaitable<void> StreamRecorder::write()
{
    const Common::Time now = clockNow();
    if (this->rowsEpoch != this->store.epoch()) {
        this->rowsEpoch = this->store.epoch();
        forgetStored(this->rows);
        this->storedVersions.clear();
    }
    if (now - this->versionsClearedAt > kVersionRefreshInterval) {
        this->storedVersions.clear();
        this->versionsClearedAt = now;
    }
    std::erase_if(this->rows, [now](const auto &row) {
        return !row.second.isStored && row.second.expiresAt <= now;
    });
    this->makeRows(now);
    const StreamRowChanges changes = nextChanges(this->rows, now);
    if (changes.added.empty() && changes.removed.empty())
        co_return;
    // Whoever reads a record has to know that there was its version, also if no endpoint of it is
    // left.
    std::vector<ServiceVersion> versions;
    std::set_difference(changes.versions.begin(), changes.versions.end(),
                        this->storedVersions.begin(), this->storedVersions.end(),
                        std::back_inserter(versions));
    const auto written
        = co_await this->store.writeStreamRecords(changes.added, versions, changes.removed);
    if (!written) {
        this->noteFault("write", written.error(), clockNow());
        co_return;
    }
    this->noteSuccess();
    this->state.metrics.count("stream_record_rows_written", changes.added.size());
    applyChanges(this->rows, changes);
    this->storedVersions.insert(versions.begin(), versions.end());
}

void StreamRecorder::noteSuccess()
{
    if (std::exchange(this->storeFailed, false))
        this->state.logState(LogLine("stream-records-regained"));
}

void StreamRecorder::noteFault(std::string_view call, StoreFault fault, Common::Time now)
{
    this->retryAt = now + kRetryInterval;
    if (std::exchange(this->storeFailed, true))
        return;
    this->state.logState(LogLine("stream-records-lost")
                             .text("call", call)
                             .text("fault", Common::nameOf(fault))
                             .number("pending", static_cast<std::int64_t>(this->pending.size())));
}

} // namespace Tanagerbay::Entry
