#include "Entry/EndpointDiscovery.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace {

// Interval between reads of the list, as a fraction of the leaving delay: short enough to take a
// leaving endpoint out of routing in time, with a reserve for one failed read. Entries change about
// once a second, so a long-polling read would return at once.
constexpr double kReadIntervalPerLeavingDelay = 0.6;
// Time-out of a read, as a fraction of the leaving delay, that leaves time for a second one.
constexpr double kReadTimeoutPerLeavingDelay = 0.2;
// The grace period after an outage begins with the first reading that succeeds. It has to be over
// by the time in which an instance is back in contact.
constexpr Common::BackoffLimits kRetryDelays{Common::Milliseconds(200), Common::Milliseconds(500)};
// What readers report may be so old, as a fraction of the leaving delay, before an instance reads
// for itself. A reader reports after each of its readings.
constexpr double kMaxReportAgePerLeavingDelay = 0.75;
constexpr Common::Milliseconds kKeptUpToDateCheck{250};
// Delay until other instances are asked again whether the store was away. It doubles each time.
constexpr Common::Milliseconds kOutageQuestionDelay{250};
// An endpoint that closes a connection may be leaving. It is avoided until its entry in the store
// can show whether it leaves.
constexpr Common::Milliseconds kAvoidLeavingPeriod{1500};
// If another endpoint has taken over the address, the old endpoint is avoided. Its entry is removed
// within this time.
constexpr Common::Milliseconds kAvoidReplacedPeriod{5000};

} // namespace

EndpointDiscovery::EndpointDiscovery(State &state, StageOwner &stages, Store &store,
                                     StoreRelay &relay, StoreContactQuestion &contactQuestion)
    : state(state), stages(stages), store(store), relay(relay),
      contactQuestion(contactQuestion), backoff{kRetryDelays, 0}, waitTimer(state.context),
      outageWatch(state.context)
{
}

void EndpointDiscovery::start()
{
    this->contactQuestion.start([this] { return this->contact.run; },
                                [this](const ReadingRun &run) { this->noteOtherReadings(run); });
    boost::asio::co_spawn(this->state.context, this->followStore(), boost::asio::detached);
}

void EndpointDiscovery::onLeaving(std::function<void(const LeavingEndpoint &)> action)
{
    this->leavingHandler = std::move(action);
}

void EndpointDiscovery::noteFault(StoreFault fault, Common::Time now)
{
    if (!this->contact.hasFailed) {
        this->state.logState(
            LogLine("store-lost").text("read", "endpoints").text("fault", Common::nameOf(fault)));
    }
    noteReadFailed(this->contact);
    this->applyExpirations(now);
}

bool EndpointDiscovery::isKeptUpToDate(Common::Time now) const
{
    const auto allowedAge = std::chrono::duration_cast<Common::Duration>(
        this->state.settings.bounds.leavingDelay * kMaxReportAgePerLeavingDelay);
    return this->confirmedAt && !this->needsReading && now - *this->confirmedAt < allowedAge
        && !this->relay.isReader();
}

Common::Duration EndpointDiscovery::delayAfterFault()
{
    std::uniform_real_distribution<double> draw(0, 1);
    return Common::delayAfterFailure(this->backoff, draw(this->state.random));
}

Http::Awaitable<void> EndpointDiscovery::followStore()
{
    while (true) {
        Common::Duration wait = kKeptUpToDateCheck;
        if (!this->isKeptUpToDate(clockNow()))
            wait = co_await this->readStore();
        this->waitTimer.expires_after(wait);
        boost::system::error_code ignored;
        co_await this->waitTimer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void EndpointDiscovery::noteConfirmed(Common::Time readAt, Common::Time now)
{
    const Common::Duration heartbeat = this->state.settings.bounds.endpointHeartbeat;
    if (noteReadSucceeded(this->contact, readAt, heartbeat, now))
        this->watchOutage(kOutageQuestionDelay);
    this->knownUntil = this->confirmedAt.value_or(this->state.startedAt);
    this->confirmedAt = std::max(this->confirmedAt.value_or(readAt), readAt);
    noteReading(this->evidence, readAt, heartbeat);
    noteListedVersions(this->evidence, this->list, now);
}

void EndpointDiscovery::watchOutage(Common::Duration nextQuestion)
{
    const Common::Time now = clockNow();
    const auto end = graceEnd(this->contact, now);
    if (!end) {
        this->applyExpirations(now);
        return;
    }
    if (!this->contact.outage->isRestored)
        this->contactQuestion.ask(now);
    this->outageWatch.start(std::min<Common::Duration>(nextQuestion, *end - now),
                            [this, nextQuestion] { this->watchOutage(2 * nextQuestion); });
}

void EndpointDiscovery::noteOtherReadings(const ReadingRun &run)
{
    if (!noteOtherRun(this->contact, run, this->state.settings.bounds.endpointHeartbeat))
        return;
    const Common::Time now = clockNow();
    this->state.logState(LogLine("store-was-there").text("read", "endpoints"));
    endDelays(this->list, now);
    this->applyExpirations(now);
}

std::optional<Common::Time> EndpointDiscovery::lastReadingBegan() const
{
    return this->confirmedAt;
}

std::uint64_t EndpointDiscovery::epoch() const
{
    return this->position.epoch;
}

void EndpointDiscovery::readSoon()
{
    this->needsReading = true;
    this->waitTimer.cancel();
}

void EndpointDiscovery::onRestart(RestartHandler action)
{
    this->restartHandler = std::move(action);
}

void EndpointDiscovery::onListed(ListedHandler action)
{
    this->listedHandler = std::move(action);
}

void EndpointDiscovery::onUnlisted(UnlistedHandler action)
{
    this->unlistedHandler = std::move(action);
}

void EndpointDiscovery::onPoolsChanged(std::function<void()> action)
{
    this->poolsHandler = std::move(action);
}

Http::Awaitable<Common::Duration> EndpointDiscovery::readStore()
{
    const Common::Time startedAt = clockNow();
    const auto shortTimeout = std::chrono::duration_cast<Common::Milliseconds>(
        this->state.settings.bounds.leavingDelay * kReadTimeoutPerLeavingDelay);
    const bool isRetry = this->contact.hasFailed;
    const auto timeout = isRetry || this->isStoreSlow ? std::nullopt : std::optional(shortTimeout);
    const auto reading = co_await this->store.readEndpoints(this->position, timeout);
    const Common::Time now = clockNow();
    if (!reading && reading.error() == StoreFault::HistoryGone) {
        const bool wasFullRead = std::exchange(this->position.version, 0) == 0;
        // A full read that fails like this spanned a change of epoch.
        co_return wasFullRead ? this->delayAfterFault() : Common::Duration{0};
    }
    if (!reading) {
        this->noteFault(reading.error(), now);
        co_return isRetry ? this->delayAfterFault() : Common::Duration{0};
    }
    const ReadingUse use = useOfReading(this->position, reading->position, reading->isComplete);
    if (this->hasReadAll && reading->position.epoch > this->position.epoch) {
        noteRestored(this->contact, now);
        this->watchOutage(kOutageQuestionDelay);
        noteStoreRestored(this->evidence, now);
        this->state.logState(
            LogLine("store-restored")
                .text("read", "endpoints")
                .number("epoch", static_cast<std::int64_t>(reading->position.epoch)));
    }
    this->position = positionAfter(this->position, reading->position, use);
    if (use == ReadingUse::ReadAll)
        co_return Common::Duration{0};
    if (use == ReadingUse::Discard)
        co_return this->delayAfterFault();
    Common::noteSuccess(this->backoff);
    this->isStoreSlow = now - startedAt >= shortTimeout;
    if (this->contact.hasFailed)
        this->state.logState(LogLine("store-regained").text("read", "endpoints"));
    this->needsReading = false;
    this->noteConfirmed(startedAt, now);
    if (use == ReadingUse::Apply)
        this->applyReading(*reading, now);
    this->relay.setPosition(this->position);
    // What has gone by then is not among the changes.
    if (reading->isComplete || !mayReport(this->list))
        this->reportedPosition.reset();
    if (mayReport(this->list))
        this->report(startedAt, reading->removed);
    co_return std::chrono::duration_cast<Common::Duration>(this->state.settings.bounds.leavingDelay
                                                           * kReadIntervalPerLeavingDelay);
}

void EndpointDiscovery::report(Common::Time readAt, const std::vector<Common::EndpointId> &removed)
{
    EndpointChanges changes = changesOf(this->list, this->reported);
    addRemoved(changes, this->list, removed);
    changes.to = this->position;
    changes.from = beginOfReport(this->reportedPosition, changes.to);
    this->reportedPosition = changes.to;
    this->relay.reportEndpoints(std::move(changes), readAt);
}

void EndpointDiscovery::applyReport(const ReaderReport &report)
{
    if (!report.changes)
        return;
    const ChangesUse use = useOfChanges(this->position, *report.changes);
    if (use == ChangesUse::Gap) {
        // A reader of an earlier epoch has nothing to say.
        const bool isOutdated = report.changes->to.epoch < this->position.epoch;
        if (!isOutdated && !this->relay.isReader()) {
            this->needsReading = true;
            this->waitTimer.cancel();
        }
        return;
    }
    const Common::Time now = clockNow();
    this->noteConfirmed(report.endpointsReadAt, now);
    if (use == ChangesUse::Known)
        return;
    this->list.epoch = report.changes->to.epoch;
    for (const DroppedEntry &entry : report.changes->dropped) {
        this->noteMissing(entry.id);
        const auto removeAt = graceEnd(this->contact, now);
        if (dropReported(this->list, entry.id, entry.incarnation, entry.sequence, removeAt, now))
            this->noteDropped(entry.id, this->knownUntil, now);
    }
    for (const ListedEndpoint &listed : report.changes->listed)
        this->noteListed(listed, EntrySource::Report, now);
    this->hasFollowed = true;
    this->position = report.changes->to;
    this->relay.setPosition(this->position);
    this->applyExpirations(now);
    // Should this instance become a reader, its reports begin here. A difference to an older state
    // would not name endpoints that came and went in between.
    changesOf(this->list, this->reported);
    this->reportedPosition = this->position;
}

void EndpointDiscovery::noteMissing(const Common::EndpointId &id)
{
    const auto found = this->list.known.find(id);
    if (found != this->list.known.end() && !found->second.removeAt)
        found->second.lastListedAt = this->knownUntil;
}

void EndpointDiscovery::noteDropped(const Common::EndpointId &id, Common::Time lastListedAt,
                                    Common::Time now)
{
    // The store has removed the entry at some time in this period.
    const Common::Duration period = now - lastListedAt;
    this->state.metrics.time("endpoint_removal", period);
    this->state.log.write(LogLine("endpoint-dropped")
                              .text("endpoint", id.value)
                              .number("withinMs", Common::toMilliseconds(period)),
                          now);
    this->changed = true;
}

void EndpointDiscovery::noteListed(const ListedEndpoint &listed, EntrySource source,
                                   Common::Time now)
{
    const auto known = this->list.known.find(listed.entry.id);
    const Routing::EndpointEntry before
        = known == this->list.known.end() ? listed.entry : known->second.listed.entry;
    const Routing::ProcessNews process = this->processNewsOf(listed);
    const EntryChange change = Entry::noteListed(this->evidence, this->list, listed, source, now);
    if (change == EntryChange::Outdated)
        this->state.metrics.count("endpoint_entries_outdated");
    else if (this->listedHandler)
        this->listedHandler(listed, process);
    if (change != EntryChange::Changed)
        return;
    this->changed = true;
    noteNamed(this->evidence, {listed.entry.id, listed.entry.incarnation});
    if (before.incarnation != listed.entry.incarnation && before.version != listed.entry.version
        && this->restartHandler)
        this->restartHandler(before.id, before.incarnation, this->knownUntil);
    this->state.log.write(LogLine("endpoint-listed")
                              .text("endpoint", listed.entry.id.value)
                              .text("service", listed.service)
                              .text("address", Common::formatAddress(listed.entry.address))
                              .text("state", Common::nameOf(listed.entry.state))
                              .text("version", listed.entry.version),
                          now);
}

void EndpointDiscovery::applyReading(const EndpointsUpdate &reading, Common::Time now)
{
    this->list.epoch = this->position.epoch;
    if (std::exchange(this->hasFollowed, false))
        noteReadAfterReports(this->evidence, this->list, now);
    const EntrySource source = reading.isComplete ? EntrySource::FullState : EntrySource::Change;
    if (reading.isComplete) {
        std::set<Common::EndpointId> present;
        for (const ListedEndpoint &listed : reading.present)
            present.insert(listed.entry.id);
        std::vector<Common::EndpointId> missing;
        for (const auto &[id, entry] : this->list.known) {
            if (!present.contains(id))
                missing.push_back(id);
        }
        for (const Common::EndpointId &id : missing)
            this->drop(id, now);
    }
    for (const Common::EndpointId &id : reading.removed)
        this->drop(id, now);
    for (const Common::EndpointId &id : reading.unreadable) {
        this->state.metrics.count("endpoint_entries_invalid");
        this->changed = dropInvalid(this->list, id) || this->changed;
    }
    for (const ListedEndpoint &listed : reading.present)
        this->noteListed(listed, source, now);
    this->hasReadAll = this->hasReadAll || reading.isComplete;
    this->applyExpirations(now);
}

void EndpointDiscovery::drop(const Common::EndpointId &id, Common::Time now)
{
    this->noteMissing(id);
    if (dropEndpoint(this->list, id, graceEnd(this->contact, now), now))
        this->noteDropped(id, this->knownUntil, now);
}

void EndpointDiscovery::applyExpirations(Common::Time now)
{
    for (const Common::EndpointId &id : dueRemovals(this->list, now)) {
        const Common::Time lastListedAt = this->list.known.at(id).lastListedAt;
        dropEndpoint(this->list, id, std::nullopt, now);
        this->noteDropped(id, lastListedAt, now);
    }
    this->changed = Entry::applyExpirations(this->list, now) || this->changed;
    if (std::exchange(this->changed, false))
        this->rebuildPools();
}

void EndpointDiscovery::rebuildPools()
{
    std::map<std::string, std::vector<Routing::EndpointEntry>> entries
        = routingEntries(this->list, this->state.evacuations);
    for (const auto &[service, pool] : this->state.pools)
        entries[service];
    const Common::Time now = clockNow();
    const auto isGone
        = [this](const auto &entry) { return !this->list.known.contains(entry.first); };
    std::erase_if(this->evidence.stated, isGone);
    std::erase_if(this->evidence.listedSince, isGone);
    dropUnlistedBefore(this->evidence, now - Routing::kVersionMemory);
    this->countEvacuated(entries);
    for (const auto &[service, listed] : entries) {
        Routing::Pool &pool = this->state.poolOf(service);
        Routing::noteVersions(this->state.versions, service, pool, now);
        Routing::applyEntries(pool, listed);
        Routing::noteVersions(this->state.versions, service, pool, now);
    }
    Routing::dropVersionsBefore(this->state.versions, now - Routing::kVersionMemory);
    if (this->poolsHandler)
        this->poolsHandler();
    this->stages.refresh();
}

void EndpointDiscovery::applyEvacuations()
{
    this->rebuildPools();
}

void EndpointDiscovery::countEvacuated(
    const std::map<std::string, std::vector<Routing::EndpointEntry>> &entries)
{
    for (const auto &[service, listed] : entries) {
        const auto count = std::count_if(listed.begin(), listed.end(),
                                         [](const auto &entry) { return entry.isEvacuated; });
        const std::string name = labelled("evacuated_endpoints", "service", service);
        // Deployments without evacuations have no such figure.
        if (count > 0 || this->state.metrics.gauges.contains(name))
            this->state.metrics.gauges[name] = static_cast<double>(count);
    }
}

void EndpointDiscovery::avoid(const Common::EndpointId &endpoint, Common::Duration period)
{
    if (Entry::avoid(this->list, endpoint, clockNow() + period))
        this->rebuildPools();
}

void EndpointDiscovery::noteResponse(const Routing::Endpoint &endpoint,
                                     const EndpointResponseHead &answer)
{
    if (answer.isOtherEndpoint) {
        this->avoid(endpoint.id, kAvoidReplacedPeriod);
    } else if (answer.announcesLeaving) {
        const LeavingEndpoint leaving{endpoint.id, endpoint.incarnation};
        this->noteLeaving(leaving);
    } else if (answer.closesConnection) {
        this->avoid(endpoint.id, kAvoidLeavingPeriod);
    }
}

void EndpointDiscovery::noteLeaving(const LeavingEndpoint &leaving)
{
    if (!Entry::noteLeaving(this->list, leaving.id, leaving.incarnation))
        return;
    this->state.log.write(
        LogLine("endpoint-leaving")
            .text("endpoint", leaving.id.value)
            .number("incarnation", static_cast<std::int64_t>(leaving.incarnation)),
        clockNow());
    this->rebuildPools();
    // Passed on by each instance that learns of it, so that it reaches all with a few probes.
    if (this->leavingHandler)
        this->leavingHandler(leaving);
}

} // namespace Tanagerbay::Entry
