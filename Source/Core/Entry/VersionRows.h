// Keeps in the store which software versions the endpoints run, so that instances know that also
// after all of them were started again.
//
// A process that has stated itself and that the list does not name is kept in the same table under
// a name of its own: nobody knows its version, and those who have heard it may end at any moment.
#pragma once

#include "Common/Backoff.h"
#include "Entry/PeerDatagrams.h"
#include "Entry/StoreRelay.h"

#include <functional>
#include <memory>
#include <set>

namespace Tanagerbay::Entry {

struct VersionRowChanges
{
    std::vector<ServiceVersion> added;
    std::vector<ServiceVersion> removed;
};

// Returns how the stored rows differ from the versions that the history knows.
VersionRowChanges versionRowChanges(const std::set<ServiceVersion> &stored,
                                    const Routing::VersionHistory &history);

// Replaces the rows by those that were read now. Rows that were there before keep their times.
void replaceRows(RowTimes &times, const std::vector<ServiceVersion> &rows, Common::Time now);

// Whether there is a row of the service.
bool hasService(const RowTimes &rows, const std::string &service);

// Returns the version that the list has named for a process; nothing if it has not.
using VersionLookup = std::function<std::optional<std::string>(const Routing::ProcessKey &)>;

// Removes the processes that the list has named, and returns their rows with their versions.
std::vector<std::pair<ServiceVersion, std::string>> takeNamed(RowTimes &processes,
                                                              const VersionLookup &versionOf);

class VersionRows
{
public:
    VersionRows(State &state, Store &store, StoreRelay &relay, PeerDatagrams &datagrams);

    void start();
    void setVersionLookup(VersionLookup lookup);
    // To be called when the pools have changed: a reader of the store writes versions that are new
    // at once, and processes that the list names now are no longer unknown.
    void noteVersions();
    // Records that a process has stated itself that the list has not named, and has it stored by
    // several instances.
    void noteUnlisted(const std::string &service, const Routing::ProcessKey &process);
    // Finds out which processes the store holds that no list has named. Calls of the same moment
    // share a reading, which begins after them. Returns whether the store has answered in time.
    Http::Awaitable<bool> readNow();

private:
    // A reading that several callers wait for.
    struct Reading
    {
        explicit Reading(boost::asio::io_context &context) : done(context)
        {
        }

        boost::asio::steady_timer done;
        bool hasBegun = false;
        bool isDone = false;
        bool hasSucceeded = false;
    };

    void onUnlisted(const boost::json::value &message);
    Http::Awaitable<void> follow();
    Http::Awaitable<bool> read();
    Http::Awaitable<bool> readUnlisted();
    void replaceUnlisted(const std::vector<ServiceVersion> &rows);
    Http::Awaitable<void> write();
    // Removes rows of processes that the list has named by now, and old ones.
    Http::Awaitable<void> removeUnlisted();
    // Takes the processes that the list has named by now for their versions.
    void resolve();
    // Writes a process into the store, unless this instance has done so lately.
    void storeUnlisted(const ServiceVersion &process, Common::Time now);
    Http::Awaitable<void> writeUnlisted();

    State &state;
    Store &store;
    StoreRelay &relay;
    PeerDatagrams &datagrams;
    VersionLookup versionOf;
    boost::asio::steady_timer waitTimer;
    // The rows of versions as last read or written; unset while they are not known.
    std::optional<std::set<ServiceVersion>> stored;
    std::uint64_t storedIn = 0;
    // When the rows of processes were last read.
    Common::Time unlistedReadAt;
    std::shared_ptr<Reading> reading;
    // When other instances were last told of a process.
    RowTimes toldAt;
    // Processes that this instance has to write, and when it last wrote others.
    std::set<ServiceVersion> unwritten;
    RowTimes writtenAt;
    // Epoch of the store in which they were written.
    std::uint64_t writtenIn = 0;
    // Processes whose rows have to be removed, since the list has named them.
    std::set<ServiceVersion> named;
    bool isWriting = false;
    Common::Backoff backoff;
};

} // namespace Tanagerbay::Entry
