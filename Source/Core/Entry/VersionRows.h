// Keeps in the store which software versions the endpoints run, so that instances know that also
// after all of them were started again.
#pragma once

#include "Entry/StoreRelay.h"

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

class VersionRows
{
public:
    VersionRows(State &state, Store &store, StoreRelay &relay);

    void start();

private:
    Http::Awaitable<void> follow();
    Http::Awaitable<void> read();
    Http::Awaitable<void> write();

    State &state;
    Store &store;
    StoreRelay &relay;
    // The rows as last read or written; unset while they are not known.
    std::optional<std::set<ServiceVersion>> stored;
    std::uint64_t storedIn = 0;
};

} // namespace Tanagerbay::Entry
