// Heartbeats, membership and the exchange of lists with other instances.
#pragma once

#include "Node/Shared.h"
#include "Node/Worker.h"
#include "Peer/Link.h"

#include <functional>

namespace Tanagerbay::Node {

class PeerService
{
public:
    PeerService(Worker &worker, Shared &shared);
    ~PeerService();

    // Starts to listen and announces this instance. Returns an empty text, or why it could not.
    std::string start();
    void stop();
    // Closes all sockets; nothing is received any more. Called once the worker's thread has ended.
    void closeLink();

    // Sends a list's document to all known instances.
    void pushList(Lists::ListKind kind, const Lists::Document &document);
    // Asks some instances for lists newer than those in use.
    void requestLists();
    // Sends a heartbeat to a few instances now.
    void heartbeat(bool announce);
    // Handles messages on shares; set by the part that keeps them.
    using ShareReceiver = std::function<void(const Peer::Envelope &)>;
    void onShareMessage(ShareReceiver receiver);
    void send(const Common::Address &peer, Peer::Envelope &message);
    // States which slot this instance holds, for its heartbeats.
    void setSlot(std::optional<std::size_t> slot, std::uint64_t version);
    // Peer addresses of all other instances that are known.
    std::vector<Common::Address> knownPeers() const;
    std::size_t openPeers() const;

private:
    struct SentHeartbeat
    {
        std::uint64_t sequence = 0;
        Common::Time at;
    };
    // Answers to heartbeats older than this many are ignored.
    static constexpr std::size_t kRememberedSequences = 64;

    Http::Awaitable<void> heartbeatLoop();
    void sendHeartbeat(const Common::Address &peer, Peer::Envelope &message);
    void noteHeard(std::uint64_t incarnation, std::uint64_t heardSequence);
    void receive(std::unique_ptr<Peer::Envelope> message);
    void takeHeartbeat(const Peer::Envelope &message);
    void takeDocument(const Peer::Envelope &message);
    void answerRequest(const Peer::Envelope &message);
    void refreshSelf(Common::Time now);
    Peer::Envelope heartbeatMessage(bool announce);
    Peer::Envelope documentMessage(Lists::ListKind kind, const Lists::Document &document) const;

    Worker &worker;
    Shared &shared;
    std::unique_ptr<Peer::Link> link;
    ShareReceiver shareReceiver;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::array<SentHeartbeat, kRememberedSequences> sentAt = {};
    std::optional<std::size_t> ownSlot;
    std::uint64_t ownSlotVersion = 0;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
