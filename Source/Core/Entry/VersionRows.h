// Keeps in the store which software versions the endpoints run, so that instances know that also
// after all of them were started again.
//
// A process that has stated itself and that the list does not name is kept as a version of its own:
// nobody knows its version, and those who have heard it may end at any moment.
#pragma once

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

// When each row was first read, in readings that follow each other. Rows that are no longer stored
// are forgotten.
using RowTimes = std::map<ServiceVersion, Common::Time>;
void noteRows(RowTimes &times, const std::vector<ServiceVersion> &rows, Common::Time now);

class VersionRows
{
public:
    VersionRows(State &state, Store &store, StoreRelay &relay, PeerDatagrams &datagrams);

    void start();
    // Sets the handler that is called when processes have been added to the history that the list
    // may have named.
    void onProcesses(std::function<void()> action);
    // To be called when the pools have changed: a reader of the store writes versions that are new
    // at once.
    void noteVersions();
    // Records that a process has stated itself that the list has not named, and has it stored by a
    // few instances.
    void noteUnlisted(const std::string &service, const Routing::ProcessKey &process);
    // Adds what the store holds now to the history. Calls of the same moment share a reading, which
    // begins after them. Returns whether the store has answered within a short time.
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
    Http::Awaitable<void> write();
    // Writes a process into the store, unless this instance has done so lately.
    void storeUnlisted(const ServiceVersion &process, Common::Time now);
    Http::Awaitable<void> writeUnlisted();

    State &state;
    Store &store;
    StoreRelay &relay;
    PeerDatagrams &datagrams;
    std::function<void()> processesHandler;
    boost::asio::steady_timer waitTimer;
    // The rows as last read or written; unset while they are not known.
    std::optional<std::set<ServiceVersion>> stored;
    std::uint64_t storedIn = 0;
    Common::Time readAt;
    RowTimes rowTimes;
    std::shared_ptr<Reading> reading;
    // When other instances were last told of a process.
    std::map<ServiceVersion, Common::Time> toldAt;
    // Processes that this instance has to write, and when it last wrote others.
    std::set<ServiceVersion> unwritten;
    std::map<ServiceVersion, Common::Time> writtenAt;
    bool isWriting = false;
};

} // namespace Tanagerbay::Entry
