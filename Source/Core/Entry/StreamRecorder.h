// Keeps in the store where streams began, so that callers can take them up again also after all
// instances have ended at once.
//
// Records are kept only of services that have several software versions, or a process whose version
// is not known: where there is one, a stream can have begun at that one only. A few instances, the
// keepers, collect the records of all and write them in batches. No request waits for the store.
#pragma once

#include "Entry/EndpointDiscovery.h"
#include "Entry/PeerDatagrams.h"
#include "Entry/StreamRecordRows.h"

#include <set>

namespace Tanagerbay::Entry {

class StreamRecorder
{
public:
    // `origins` are those that the instance holds in memory; what is read is added to them.
    StreamRecorder(State &state, PeerDatagrams &datagrams, Store &store,
                   EndpointDiscovery &endpoints, Serving::StreamOrigins &origins);

    void start();
    // Sets the handler that is called when records have been added to the origins.
    void onLoaded(std::function<void()> action);
    // Finds out which services have several versions. What is held of streams of a service that
    // newly has is to be recorded.
    void noteVersions(Common::Time now);
    // Records where a stream began. Returns at once.
    void noteBegun(const std::string &attempt, const Serving::StreamOrigin &origin);
    // Whether this instance has a keeper's duty, but has not read yet what the store holds.
    bool isLoading() const;
    // The other instances that may have read what the store holds.
    std::vector<const Membership::Member *> otherKeepers(Common::Time now) const;
    // Writes or passes on at once what it holds, before the process ends.
    void flush();

private:
    enum class Phase {
        // What the store holds is not known.
        Unknown,
        // The records are read, but a reading of the endpoints has to show which are certain.
        Read,
        Ready,
    };

    Http::Awaitable<void> follow();
    void holdOrigins(const std::set<std::string> &added);
    void passOnHeld(Common::Time now);
    void report(std::vector<StreamRecord> records, Common::Time now);
    void keep(std::vector<StreamRecord> records, Common::Time now);
    bool isKeeper(Common::Time now) const;
    Http::Awaitable<void> load();
    void addCertain(Common::Time now);
    Http::Awaitable<void> write();
    void makeRows(Common::Time now);
    void noteSuccess();
    void noteFault(std::string_view call, StoreFault fault, Common::Time now);

    State &state;
    PeerDatagrams &datagrams;
    Store &store;
    EndpointDiscovery &endpoints;
    Serving::StreamOrigins &origins;
    std::function<void()> loadedHandler;
    boost::asio::steady_timer waitTimer;
    std::set<std::string> services;
    // Records of streams that began before their service had several versions.
    std::vector<StreamRecord> held;
    // Records that this instance has to write.
    std::vector<StreamRecord> pending;
    StreamRecordRows rows;
    // The versions that this instance has written with them.
    std::set<ServiceVersion> storedVersions;
    Common::Time versionsClearedAt;
    // Distinguishes the rows of this process from those of others.
    std::string rowPrefix;
    std::uint64_t lastRow = 0;
    std::uint64_t rowsEpoch = 0;
    Phase phase = Phase::Unknown;
    StoreClock clock;
    std::vector<StreamRowContent> loaded;
    bool storeFailed = false;
    Common::Time retryAt;
};

} // namespace Tanagerbay::Entry
