// Message transport between instances over nng, with one receiving socket and one sending socket
// per peer.
//
// Sending never blocks. A message that cannot be queued is dropped and not counted as sent, so
// every exchange between instances must tolerate lost and repeated messages.
#pragma once

#include "Common/Address.h"
#include "Common/Counters.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagerbay::peer {
class Envelope;
}

namespace Tanagerbay::Peer {

using Envelope = ::tanagerbay::peer::Envelope;

class Link
{
public:
    // Called on a thread of nng, for one message at a time.
    using Receiver = std::function<void(std::unique_ptr<Envelope>)>;

    Link(Common::Address own, Common::Counters &counters, Receiver receive);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    // Starts listening. Returns an empty string, or the reason why it cannot listen.
    std::string start();
    // Opens a socket to the peer if there is none. Thread-safe.
    void send(const Common::Address &peer, const Envelope &message);
    // Closes the sending sockets of all peers except the given ones.
    void closeAllExcept(const std::vector<Common::Address> &peers);
    std::size_t openPeerCount() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Tanagerbay::Peer
