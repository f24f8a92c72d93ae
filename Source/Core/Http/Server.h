// HTTP/1.1 server over Boost.Beast. Each connection stays on one thread's executor.
#pragma once

#include "Common/Time.h"
#include "Http/Types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace Tanagerbay::Http {

struct ServerOptions
{
    Address address;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxTargetBytes = 2 << 10;
    std::size_t maxConnections = 10000;
    // How long a connection may wait for the first byte of its next request.
    Common::Milliseconds idleTimeout{60000};
    // How long a caller may take to send one whole request.
    Common::Milliseconds requestTimeout{5000};
    // How long the body may take besides; zero where `requestTimeout` holds for both.
    Common::Milliseconds bodyTimeout{0};
    // How long one write to a caller may take.
    Common::Milliseconds writeTimeout{10000};
};

// One request and the means to answer it. Used on the connection's executor only.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    // Index of the context that serves the connection.
    virtual std::size_t contextIndex() const = 0;
    // When the whole request had arrived.
    virtual Common::Time receivedAt() const = 0;
    // Address of the caller, without the port.
    virtual std::string callerIp() const = 0;
    // Each of these returns false once the caller cannot be reached.
    virtual Awaitable<bool> respond(Response response) = 0;
    virtual Awaitable<bool> beginStream(Response head) = 0;
    virtual Awaitable<bool> writeChunk(std::string_view bytes) = 0;
    virtual Awaitable<bool> endStream() = 0;
    // True once the response's head was written.
    virtual bool started() const = 0;
    virtual bool callerGone() const = 0;
    // Sets the action to run when the caller closes its connection before the answer is complete.
    virtual void onCallerGone(std::function<void()> action) = 0;
};

// A handler must answer exactly once. Where it returns without an answer, the connection closes.
using Handler = std::function<Awaitable<void>(Exchange &)>;

class Server
{
public:
    // Connections are dealt to the contexts in turn. Each context is run by one thread.
    Server(std::vector<boost::asio::io_context *> contexts, ServerOptions options, Handler handler);
    ~Server();

    // Starts to listen, again after `stopAccepting` too. Returns an empty text, or why it could
    // not.
    std::string start();
    // Stops accepting; connections in progress go on and close after their answer.
    void stopAccepting();
    // From now on each answer says that its connection closes, and it does. New connections are
    // still accepted.
    void closeAfterAnswers();
    // Changes what callers may send and how long they may take, for requests from now on.
    void applyLimits(const ServerOptions &limits);
    // Closes every connection, as if all callers had left.
    void closeAll();
    std::size_t openConnections() const;
    unsigned short port() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace Tanagerbay::Http
