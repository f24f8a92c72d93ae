// HTTP/1.1 server based on Boost.Beast. Each connection is served on one context, by one thread.
#pragma once

#include "Common/Time.h"
#include "Http/MemoryAccount.h"
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
    // Maximum wait for the first byte of the next request on a connection.
    Common::Milliseconds idleTimeout{60000};
    // Maximum time to receive one complete request, from its first byte.
    Common::Milliseconds requestTimeout{5000};
    // Maximum time to receive the body, counted from the end of the headers. Zero if
    // `requestTimeout` covers the headers and the body together.
    Common::Milliseconds bodyTimeout{0};
    // Maximum time of one write to a caller.
    Common::Milliseconds writeTimeout{10000};
    // Whether callers that end their half of the connection behind a request are answered. They get
    // interim responses. Otherwise they count as gone.
    bool keepsHalfClosed = false;
    // Bounds what is held for the callers of all servers that share it, if it is set. For servers
    // with a single context. Must outlive the context.
    MemoryAccount *memory = nullptr;
    // Whether the body of a request with this head is used. If not, it is read and dropped, and the
    // handler gets none. Unset if all are used. Small bodies are kept without asking.
    std::function<bool(const Request &head)> usesBody;
};

// One request and the functions to answer it. Used on the connection's executor only.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    // Moves the body out of the request.
    virtual std::string takeBody() = 0;
    // Index of the context that serves the connection.
    virtual std::size_t contextIndex() const = 0;
    // When the request had been received completely.
    virtual Common::Time receivedAt() const = 0;
    // IP address of the caller, without the port.
    virtual std::string callerIp() const = 0;
    // The next four return false if the write failed or the caller has disconnected.
    virtual Awaitable<bool> respond(Response response) = 0;
    virtual Awaitable<bool> beginStream(Response head) = 0;
    virtual Awaitable<bool> writeChunk(std::string_view bytes) = 0;
    virtual Awaitable<bool> endStream() = 0;
    // Whether writing the head of the response has begun.
    virtual bool started() const = 0;
    virtual bool callerGone() const = 0;
    // Sets the action to run if the caller disconnects before the response is complete.
    virtual void onCallerGone(std::function<void()> action) = 0;
};

// A handler must respond exactly once. If it returns without a complete response, the connection is
// closed.
using Handler = std::function<Awaitable<void>(Exchange &)>;
// Reports a fault, such as an exception of a handler.
using FaultAction = std::function<void(std::string_view fault)>;

class Server
{
public:
    // Connections are assigned to the contexts round-robin. Each context is run by one thread.
    Server(std::vector<boost::asio::io_context *> contexts, ServerOptions options, Handler handler);
    ~Server();

    // A handler that throws ends only its own request, whose caller gets an error response if none
    // has begun. Sets the action that reports it; called before `start`.
    void onHandlerFault(FaultAction action);
    // Sets the action that reports a connection that could not be accepted, on the first context;
    // called before `start`. If descriptors are missing, the callers that wait are refused.
    void onAcceptFault(FaultAction action);
    // Starts to listen; may be called again after `stopAccepting`. Returns an empty text, or the
    // reason of the failure.
    std::string start();
    // Closes the listener. Open connections are closed after their current response.
    void stopAccepting();
    // From now on each response announces that its connection is closed and closes it. New
    // connections are still accepted.
    void closeAfterAnswers();
    // Closes the listener and the connections that wait for their next request. Requests that have
    // arrived, even in part or on connections that wait to be accepted, are still read and
    // answered.
    void closeIdle();
    // Applies the body and header size limits and the idle, request and body time-outs of `limits`
    // to requests that are read from now on, also on open connections. A connection that waits for
    // its next request is closed at the later of the old and the new idle time-out.
    void applyLimits(const ServerOptions &limits);
    // Closes the listener and every connection. Requests in progress see their callers as gone.
    void closeAll();
    std::size_t openConnections() const;
    // Number of requests of which a part has been read, and which no handler has yet. Includes
    // those that the server rejects itself.
    std::size_t requestsBeingRead() const;
    unsigned short port() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace Tanagerbay::Http
