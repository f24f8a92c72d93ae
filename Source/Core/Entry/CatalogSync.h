// Keeps the catalog up to date from the store, and from other instances while the store is
// unreachable.
#pragma once

#include "Common/Backoff.h"
#include "Entry/EvacuationWatch.h"
#include "Entry/PeerMesh.h"
#include "Entry/StoreReading.h"
#include "Entry/StoreRelay.h"

namespace Tanagerbay::Entry {

class CatalogSync
{
public:
    // Longest duration of `confirm`: the wait for a reader, and two reads of the store that time
    // out.
    static constexpr Common::Milliseconds kMaxConfirmDuration{2000};

    CatalogSync(State &state, PeerMesh &mesh, Gossip &gossip, Store &store, StoreRelay &relay,
                EvacuationWatch &evacuations);

    void start();
    // Sets the handler that is called after each change of the catalog.
    void onChange(std::function<void()> action);
    // Ensures that the catalog matches a read of the store that began at most half of the time
    // before the call within which a change has to take effect: a change acknowledged later does
    // not bind yet. Reads the store if the last successful read is older. Returns false if that
    // read fails or yields no valid catalog, or if another instance has a newer one.
    Http::Awaitable<bool> confirm();
    // Confirms the catalog by a read of this instance's own, on behalf of a follower. Returns when
    // the read that confirms it began, or nothing.
    Http::Awaitable<std::optional<Common::Time>> confirmByStore();
    // Applies what a reader of the store reports.
    void applyReport(const ReaderReport &report);

private:
    Http::Awaitable<void> followStore();
    Http::Awaitable<void> watchStore();
    // Reads the newest document after a reader has reported a newer version; asks that reader for
    // it if the store cannot be read.
    Http::Awaitable<void> readNewer(Common::Address reader);
    // Reads the store until a read confirms the catalog or fails.
    Http::Awaitable<void> readToConfirm(Common::Time calledAt);
    bool isConfirmed(Common::Time calledAt) const;
    bool isWatchedByReaders(Common::Time now) const;
    Common::Duration delayAfterFault();
    void setWatching(bool isWatching);
    // Applies the result of a store read. Returns false if it must be read again, or if its
    // document is invalid.
    bool applyReading(const CatalogUpdate &reading, std::string_view origin);
    bool anotherHasNewer(Common::Time now) const;
    bool applyDocument(const std::string &document, std::string_view origin);
    void requestFromPeer(const Membership::MemberReport &report);
    void onPeerReport(const Membership::MemberReport &report);

    State &state;
    PeerMesh &mesh;
    Gossip &gossip;
    Store &store;
    StoreRelay &relay;
    EvacuationWatch &evacuations;
    std::function<void()> changeHandler;
    StorePosition position;
    // Start time of the latest successful read of the store.
    std::optional<Common::Time> confirmedAt;
    bool confirming = false;
    std::uint64_t confirmAttempts = 0;
    bool isReadingNewer = false;
    bool isWatching = false;
    // When a reader that waits for changes was last heard.
    std::optional<Common::Time> readerHeardAt;
    Common::Backoff backoff;
    bool storeFailed = false;
    std::optional<Common::Time> peerRequestedAt;
};

} // namespace Tanagerbay::Entry
