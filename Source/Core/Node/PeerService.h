// Exchanges heartbeats, membership reports and lists with other instances.
#pragma once

#include "Node/SharedState.h"
#include "Node/Worker.h"
#include "Peer/Link.h"

#include <functional>

namespace Tanagerbay::Node {

class PeerService
{
public:
    PeerService(Worker &worker, SharedState &shared);
    ~PeerService();

    // Starts listening and sending heartbeats. Returns an empty string, or the reason why it cannot
    // listen.
    std::string start();
    void stop();
    // Closes all sockets, so that no more messages are received. Called once the worker's thread
    // has ended.
    void closeLink();

    // Sends a list's document to all known other instances.
    void pushList(Lists::ListKind kind, const Lists::Document &document);
    // Requests lists newer than those in use from a few instances.
    void requestLists();
    // Sends a heartbeat to a few instances at once. With `announce`, they answer at once.
    void sendHeartbeats(bool announce);
    // Sets the handler for messages about loans and grants of shares.
    using ShareReceiver = std::function<void(const Peer::Envelope &)>;
    void onShareMessage(ShareReceiver receiver);
    void send(const Common::Address &peer, Peer::Envelope &message);
    // Sets the slot that this instance reports in its heartbeats.
    void setSlot(std::optional<std::size_t> slot, std::uint64_t version);
    // Returns the peer addresses of all other known instances.
    std::vector<Common::Address> knownPeers() const;
    std::size_t openPeerCount() const;

private:
    struct SentHeartbeat
    {
        std::uint64_t sequence = 0;
        Common::Time sentAt;
    };
    // Number of sent heartbeats that are remembered. Acknowledgements of older ones are ignored.
    static constexpr std::size_t kHeartbeatHistorySize = 64;

    Http::Awaitable<void> heartbeatLoop();
    void sendHeartbeat(const Common::Address &peer, Peer::Envelope &message);
    void handleAcknowledgement(std::uint64_t incarnation, std::uint64_t heardSequence);
    void receive(std::unique_ptr<Peer::Envelope> message);
    void handleHeartbeat(const Peer::Envelope &message);
    void handleListDocument(const Peer::Envelope &message);
    void handleListRequest(const Peer::Envelope &message);
    void updateOwnReport(Common::Time now);
    Peer::Envelope heartbeatMessage(bool announce);
    Peer::Envelope documentMessage(Lists::ListKind kind, const Lists::Document &document) const;

    Worker &worker;
    SharedState &shared;
    std::unique_ptr<Peer::Link> link;
    ShareReceiver shareReceiver;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::array<SentHeartbeat, kHeartbeatHistorySize> sentHeartbeats = {};
    std::optional<std::size_t> ownSlot;
    std::uint64_t ownSlotVersion = 0;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
