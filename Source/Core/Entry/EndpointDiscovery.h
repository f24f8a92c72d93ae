// Keeps the endpoint pools up to date with the endpoints that the store lists.
#pragma once

#include "Common/Backoff.h"
#include "Common/DelayedAction.h"
#include "Entry/EndpointList.h"
#include "Entry/ProcessEvidence.h"
#include "Entry/StageOwner.h"
#include "Entry/StoreContactQuestion.h"
#include "Entry/StoreReading.h"
#include "Entry/StoreRelay.h"
#include "Serving/StreamOrigins.h"

#include <functional>

namespace Tanagerbay::Entry {

class EndpointDiscovery
{
public:
    EndpointDiscovery(State &state, StageOwner &stages, Store &store, StoreRelay &relay,
                      StoreContactQuestion &contactQuestion);

    void start();
    // Sets the handler that is called when an endpoint's answer announced that it leaves, and no
    // other instance had told of it.
    void onLeaving(std::function<void(const LeavingEndpoint &)> action);
    // Called when an endpoint turns out to have been restarted with another software version: with
    // the start time of its process before, and until when that one is known to have run.
    using RestartHandler = std::function<void(const Common::EndpointId &, std::uint64_t incarnation,
                                              Common::Time knownUntil)>;
    void onRestart(RestartHandler action);
    // Sets the handler that is called for each entry of the list that is not outdated, before the
    // pools change.
    using ListedHandler = std::function<void(const ListedEndpoint &, Routing::ProcessNews)>;
    void onListed(ListedHandler action);
    // Sets the handler that is called when a process of an endpoint states itself that the list
    // has not named, each time that it does.
    using UnlistedHandler
        = std::function<void(const std::string &service, const Routing::ProcessKey &process)>;
    void onUnlisted(UnlistedHandler action);
    // Returns the version that the list names for a process, or has named for it lately.
    std::optional<std::string> namedVersion(const Routing::ProcessKey &process) const;
    // Sets the handler that is called when the pools have changed, before they are used.
    void onPoolsChanged(std::function<void()> action);
    // Takes note of what an endpoint's answer says about the endpoint itself.
    void noteResponse(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer);
    // Applies what is known of evacuated failure domains to the pools.
    void applyEvacuations();
    // Applies what a reader of the store reports.
    void applyReport(const ReaderReport &report);
    // When the last reading began that the list is based on, by this instance or another one.
    std::optional<Common::Time> lastReadingBegan() const;
    // Epoch of the store to which the list belongs.
    std::uint64_t epoch() const;
    // Whether the list shows this process of the endpoint.
    bool listsProcess(const Common::EndpointId &id, std::uint64_t incarnation) const;
    // Returns the software version of a process. Returns nothing if the list does not show it.
    std::optional<std::string> versionOf(const Common::EndpointId &id,
                                         std::uint64_t incarnation) const;
    // Returns the software version of the process that began the stream. Returns nothing if the
    // list does not show it, or if another process may have begun the stream.
    std::optional<std::string> versionOf(const Serving::StreamOrigin &origin) const;
    // Records that an endpoint's process has stated its start time. It was asked at `askedAt` or
    // later.
    void noteStated(const Common::EndpointId &id, std::uint64_t incarnation, Common::Time askedAt);
    // When the endpoint was last asked for its process and has answered; `Time::min()` if never.
    Common::Time lastStatedAt(const Common::EndpointId &id) const;
    // Whether an endpoint of the service has stated a process that the list does not show, so that
    // what the list shows is not all that serves.
    bool hasUnlistedProcess(const std::string &service) const;
    // Whether this process of the endpoint had stated its start time at `time` or before, and no
    // other one has since.
    bool hadStated(const Common::EndpointId &id, std::uint64_t incarnation,
                   Common::Time time) const;
    // Whether the list has shown the endpoint's process since `time` or before.
    bool wasListed(const Common::EndpointId &id, Common::Time time) const;
    // Whether the process that the list shows for the endpoint, and showed at `time`, is known to
    // have run then.
    bool ranAt(const Common::EndpointId &id, std::uint64_t incarnation, Common::Time time) const;
    // Whether the endpoint is known to have been the process that the list shows when that was
    // listed, and no other one has stated itself since.
    bool isOnlyProcess(const Common::EndpointId &id, std::uint64_t incarnation) const;
    // Makes the next reading begin at once.
    void readSoon();
    // Takes note of an endpoint whose leaving another instance has learned of.
    void noteLeaving(const LeavingEndpoint &leaving);

private:
    // Excludes the endpoint from routing for a period. The store's list then shows whether it may
    // be used.
    void avoid(const Common::EndpointId &endpoint, Common::Duration period);
    Http::Awaitable<void> followStore();
    // Reads the store once. Returns the delay until the next reading.
    Http::Awaitable<Common::Duration> readStore();
    // Tells the followers what has changed since the last report, and what the store has removed.
    void report(Common::Time readAt, const std::vector<Common::EndpointId> &removed);
    // Whether readers keep this instance up to date, so that it need not read itself yet.
    bool isKeptUpToDate(Common::Time now) const;
    // Records that the list was read at that time.
    void noteConfirmed(Common::Time readAt, Common::Time now);
    // Puts removals off until the store's grace period ends, or another instance shows that the
    // store was there all the time. `nextQuestion` is the delay until others are asked again.
    void watchOutage(Common::Duration nextQuestion);
    void noteOtherReadings(const ReadingRun &run);
    Common::Duration delayAfterFault();
    void noteFault(StoreFault fault, Common::Time now);
    void applyReading(const EndpointsUpdate &reading, Common::Time now);
    void noteListed(const ListedEndpoint &listed, EntrySource source, Common::Time now);
    // What the entry says of the endpoint's process beside what is known.
    Routing::ProcessNews processNewsOf(const ListedEndpoint &listed) const;
    // Whether a process that had been listed before `time` is known to have run since.
    bool hasRunSince(const Common::EndpointId &id, std::uint64_t incarnation,
                     Common::Time time) const;
    // Records that the reading that is being applied lists the endpoint no more.
    void noteMissing(const Common::EndpointId &id);
    // `lastListedAt` is when the last reading began that listed the endpoint.
    void noteDropped(const Common::EndpointId &id, Common::Time lastListedAt, Common::Time now);
    void drop(const Common::EndpointId &id, Common::Time now);
    void applyExpirations(Common::Time now);
    void rebuildPools();
    void countEvacuated(const std::map<std::string, std::vector<Routing::EndpointEntry>> &entries);

    State &state;
    StageOwner &stages;
    Store &store;
    StoreRelay &relay;
    StoreContactQuestion &contactQuestion;
    EndpointList list;
    ProcessEvidence evidence;
    ReportedEndpoints reported;
    // Unset if the next report begins at its own position.
    std::optional<StorePosition> reportedPosition;
    // When the last reading began that the list is based on, by this instance or a reader.
    std::optional<Common::Time> confirmedAt;
    // The same before the reading that is being applied.
    Common::Time knownUntil;
    RestartHandler restartHandler;
    ListedHandler listedHandler;
    UnlistedHandler unlistedHandler;
    std::function<void()> poolsHandler;
    // A reader's report leaves a gap that only a reading of its own closes.
    bool needsReading = false;
    Common::Backoff backoff;
    // Interrupted when a reader's report shows that this instance has to read itself.
    boost::asio::steady_timer waitTimer;
    std::function<void(const LeavingEndpoint &)> leavingHandler;
    StorePosition position;
    StoreContact contact;
    Common::DelayedAction outageWatch;
    // The last reading took longer than the short time-out, so that the next one is not cut short.
    bool isStoreSlow = false;
    bool changed = false;
    // Whether the list is based on a report of another instance since this one last read it.
    bool hasFollowed = false;
    // Whether the list has been read in full.
    bool hasReadAll = false;
};

} // namespace Tanagerbay::Entry
