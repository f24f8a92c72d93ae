// Messages between entry instances over TCP: JSON objects behind a length of four bytes.
//
// An instance connects to another when it has something to say; answers come back on the same
// connection. A message may get lost with its connection, and whoever needs an answer asks again.
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
    // Sets what runs on a message of the given type.
    void on(const std::string &type, Handler handler);
    // Sends over a connection to the instance, which is made where there is none.
    void send(const Common::Address &to, const boost::json::object &message);
    // Answers on the connection that a message came from.
    void reply(const PeerLinkPtr &link, const boost::json::object &message);
    // When the instance last sent anything to us; unset where there is no connection.
    std::optional<Common::Time> heardAt(const Common::Address &from) const;
    // Ends the connection to an instance that does not answer.
    void drop(const Common::Address &to);

private:
    friend class PeerLink;
    Http::Awaitable<void> acceptLoop();
    void dispatch(const PeerLinkPtr &link, std::string_view frame);

    State &state;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::string, Handler> handlers;
    std::map<Common::Address, PeerLinkPtr> outgoing;
};

// Reads a member of a message; the fallback where it is absent or of another type.
std::uint64_t numberOf(const boost::json::object &message, std::string_view key);
std::string textOf(const boost::json::object &message, std::string_view key);
const boost::json::array *arrayOf(const boost::json::object &message, std::string_view key);

} // namespace Tanagerbay::Entry
