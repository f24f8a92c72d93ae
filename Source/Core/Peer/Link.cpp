#include "Peer/Link.h"

#include "Peer/Generated/Peer.pb.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace Tanagerbay::Peer {

using Common::Counter;

namespace {

constexpr int kMaxQueuedMessagesPerPeer = 32;
constexpr std::size_t kMaxMessageBytes = 32 << 20;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

std::string urlOf(const Common::Address &address)
{
    return "tcp://" + Common::formatAddress(address);
}

} // namespace

struct Link::State
{
    State(Common::Counters &counters, Receiver receive)
        : counters(counters), receive(std::move(receive))
    {
    }

    Common::Address own;
    Common::Counters &counters;
    Receiver receive;
    nng_socket incoming = NNG_SOCKET_INITIALIZER;
    nng_aio *receiveOperation = nullptr;
    mutable std::mutex lock;
    std::unordered_map<Common::Address, nng_socket> outgoing;

    static void onReceived(void *argument);
    void handleMessage(nng_msg *message);
    bool openPeer(const Common::Address &peer, nng_socket &socket);
};

void Link::State::onReceived(void *argument)
{
    auto *state = static_cast<State *>(argument);
    const int result = nng_aio_result(state->receiveOperation);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED)
        return;
    if (result == 0)
        state->handleMessage(nng_aio_get_msg(state->receiveOperation));
    nng_recv_aio(state->incoming, state->receiveOperation);
}

void Link::State::handleMessage(nng_msg *message)
{
    const std::size_t size = nng_msg_len(message);
    auto envelope = std::make_unique<Envelope>();
    const bool parsed = envelope->ParseFromArray(nng_msg_body(message), static_cast<int>(size));
    nng_msg_free(message);
    if (!parsed) {
        this->counters.add(Counter::PeerMessagesBad);
        return;
    }
    this->counters.add(Counter::PeerMessagesReceived);
    this->counters.add(Counter::PeerBytesReceived, size);
    this->receive(std::move(envelope));
}

bool Link::State::openPeer(const Common::Address &peer, nng_socket &socket)
{
    if (nng_push0_open(&socket) != 0)
        return false;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kMaxQueuedMessagesPerPeer);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    if (nng_dial(socket, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0)
        return true;
    nng_close(socket);
    return false;
}

Link::Link(Common::Address own, Common::Counters &counters, Receiver receive)
    : state(std::make_unique<State>(counters, std::move(receive)))
{
    this->state->own = std::move(own);
}

Link::~Link()
{
    if (this->state->receiveOperation) {
        nng_aio_stop(this->state->receiveOperation);
        nng_close(this->state->incoming);
        nng_aio_free(this->state->receiveOperation);
    }
    for (const auto &[address, socket] : this->state->outgoing)
        nng_close(socket);
}

std::string Link::start()
{
    State &state = *this->state;
    const std::string url = urlOf(state.own);
    int result = nng_pull0_open(&state.incoming);
    if (result == 0)
        result = nng_socket_set_size(state.incoming, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    if (result == 0)
        result = nng_listen(state.incoming, url.c_str(), nullptr, 0);
    if (result != 0)
        return "cannot listen on " + url + ": " + nng_strerror(result);
    result = nng_aio_alloc(&state.receiveOperation, &State::onReceived, &state);
    if (result != 0)
        return std::string("cannot receive from peers: ") + nng_strerror(result);
    nng_recv_aio(state.incoming, state.receiveOperation);
    return "";
}

void Link::send(const Common::Address &peer, const Envelope &message)
{
    State &state = *this->state;
    const std::string bytes = message.SerializeAsString();
    const std::lock_guard<std::mutex> guard(state.lock);
    auto found = state.outgoing.find(peer);
    if (found == state.outgoing.end()) {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        if (!state.openPeer(peer, socket))
            return;
        found = state.outgoing.emplace(peer, socket).first;
    }
    // nng copies the buffer. If the queue is full, the message is dropped.
    const int result = nng_send(found->second, const_cast<char *>(bytes.data()), bytes.size(),
                                NNG_FLAG_NONBLOCK);
    if (result != 0)
        return;
    state.counters.add(Counter::PeerMessagesSent);
    state.counters.add(Counter::PeerBytesSent, bytes.size());
}

void Link::closeAllExcept(const std::vector<Common::Address> &peers)
{
    State &state = *this->state;
    const std::lock_guard<std::mutex> guard(state.lock);
    std::erase_if(state.outgoing, [&peers](const auto &entry) {
        if (std::find(peers.begin(), peers.end(), entry.first) != peers.end())
            return false;
        nng_close(entry.second);
        return true;
    });
}

std::size_t Link::openPeerCount() const
{
    const std::lock_guard<std::mutex> guard(this->state->lock);
    return this->state->outgoing.size();
}

} // namespace Tanagerbay::Peer
