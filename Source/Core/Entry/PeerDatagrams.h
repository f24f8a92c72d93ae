// Messages between entry instances over UDP: one JSON object a datagram. A datagram may be lost.
#pragma once

#include "Entry/State.h"

#include <functional>

#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>

namespace Tanagerbay::Entry {

class PeerDatagrams
{
public:
    using Handler
        = std::function<void(const boost::json::object &message, const Common::Address &sender)>;

    explicit PeerDatagrams(State &state);

    // Returns an empty string, or the reason why the port cannot be opened.
    std::string start();
    // Sets the handler of messages that have the given member.
    void on(const std::string &member, Handler handler);
    // A datagram that cannot be sent is treated like a lost one.
    void send(const Common::Address &to, const boost::json::object &message);

private:
    Http::Awaitable<void> receiveLoop();
    void dispatch(std::string_view datagram, const Common::Address &sender);

    State &state;
    boost::asio::ip::udp::socket socket;
    std::map<std::string, Handler> handlers;
};

} // namespace Tanagerbay::Entry
