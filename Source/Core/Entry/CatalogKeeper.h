// Keeps the catalog current: from the store, and from other instances where the store cannot be
// reached.
#pragma once

#include "Entry/Gossip.h"
#include "Entry/PeerMesh.h"

namespace Tanagerbay::Entry {

class CatalogKeeper
{
public:
    CatalogKeeper(State &state, PeerMesh &mesh, Gossip &gossip, Store &store);

    void start();
    // Runs after each change of the catalog.
    void onChange(std::function<void()> action);
    // Makes sure that the catalog is as new as the store's at the time of the call. Returns false
    // where the store cannot tell.
    Http::Awaitable<bool> confirm();

private:
    Http::Awaitable<void> followStore();
    // Takes a reading. Returns false where its document cannot be read.
    bool take(const CatalogUpdate &reading, std::string_view origin);
    bool adopt(const std::string &document, std::string_view origin);
    void askPeer(const Membership::MemberReport &report);
    void onPeerReport(const Membership::MemberReport &report);

    State &state;
    PeerMesh &mesh;
    Gossip &gossip;
    Store &store;
    std::function<void()> changeAction;
    std::uint64_t position = 0;
    // When the newest read of the store began that brought an answer.
    std::optional<Common::Time> confirmedAt;
    bool confirming = false;
    bool storeFailed = false;
    std::optional<Common::Time> askedPeerAt;
};

} // namespace Tanagerbay::Entry
