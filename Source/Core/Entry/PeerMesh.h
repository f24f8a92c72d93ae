// Messages between entry instances over TCP: JSON objects, each preceded by its length in four
// bytes.
//
// An instance connects to another when it has a message to send; replies come back on the same
// connection. A message is lost if its connection breaks, and a sender that needs a reply must send
// it again.
#pragma once

#include "Entry/State.h"

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

namespace Tanagerbay::Entry {

class PeerLink;
using PeerLinkPtr = std::shared_ptr<PeerLink>;

class PeerMesh
{
public:
    using Handler = std::function<void(const PeerLinkPtr &, const boost::json::object &)>;

    explicit PeerMesh(State &state);
    ~PeerMesh();

    std::string start();
    // Sets the handler for messages of the given type.
    void on(const std::string &type, Handler handler);
    // Sends to an instance. Opens a connection if there is none.
    void send(const Common::Address &to, const boost::json::object &message);
    // Replies on the connection that a message arrived on.
    void reply(const PeerLinkPtr &link, const boost::json::object &message);
    // When data from the instance last arrived on the outgoing connection; unset if there is no
    // connection or nothing has arrived on it.
    std::optional<Common::Time> lastReceivedAt(const Common::Address &from) const;
    // Number of the outgoing connection to the instance; zero if it is closed. A message that was
    // sent over another one may be lost.
    std::uint64_t linkNumber(const Common::Address &to) const;
    // Whether the last attempt to connect to the instance was refused: no process listens there.
    bool isRefusing(const Common::Address &to) const;
    // Closes the connection to an instance that does not answer.
    void disconnect(const Common::Address &to);

private:
    friend class PeerLink;
    Http::Awaitable<void> acceptLoop();
    void dispatch(const PeerLinkPtr &link, std::string_view frame);
    // Counts a message that its connection could not take.
    void countDropped();

    State &state;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::string, Handler> handlers;
    std::map<Common::Address, PeerLinkPtr> outgoing;
    std::uint64_t lastLinkNumber = 0;
};

// These read a member of a message. If it is missing or of another type they return zero, an empty
// string or nullptr.
std::uint64_t numberOf(const boost::json::object &message, std::string_view key);
std::string textOf(const boost::json::object &message, std::string_view key);
const boost::json::array *arrayOf(const boost::json::object &message, std::string_view key);

} // namespace Tanagerbay::Entry
