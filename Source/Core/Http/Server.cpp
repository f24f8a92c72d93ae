#include "Http/Server.h"

#include "Http/Connection.h"
#include "Http/SpareDescriptor.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

struct Server::State
{
    std::vector<asio::io_context *> contexts;
    ServerOptions options;
    Handler handler;
    FaultAction handlerFaultAction;
    FaultAction acceptFaultAction;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::atomic<bool> accepting{true};
    std::atomic<std::size_t> connectionCount{0};
    // Connections that are being refused.
    std::atomic<std::size_t> refusalCount{0};
    std::atomic<std::size_t> requestsBeingRead{0};
    unsigned short port = 0;
    // Open connections by context; each set is used on its context's thread only. The references
    // are weak, since this state may outlive the contexts and a connection must not.
    std::vector<std::set<std::weak_ptr<Connection>, std::owner_less<>>> openByContext;
    // The context of the next connection.
    std::size_t nextIndex = 0;
    std::atomic<bool> closing{false};
    std::atomic<bool> closeAfterAnswers{false};
};

namespace {

// Pause after a connection could not be accepted, not even to refuse it.
constexpr Common::Milliseconds kAcceptRetryDelay{50};
// Connections that get an answer when they are refused. Each holds its descriptor until its caller
// has taken it, so that more of them are closed at once.
constexpr std::size_t kMaxRefusals = 64;

// Answers that there is no room, or closes the connection at once if that is done for many.
template <typename State>
Awaitable<void> refuse(std::shared_ptr<State> state, std::shared_ptr<Connection> connection)
{
    // Closing the connection tells as well that nothing has been read.
    if (state->refusalCount.load() >= kMaxRefusals)
        co_return;
    state->refusalCount.fetch_add(1);
    co_await connection->refuse();
    state->refusalCount.fetch_sub(1);
}

template <typename State>
Awaitable<void> serveConnection(std::shared_ptr<State> state, tcp::socket socket,
                                std::size_t contextIndex)
{
    auto connection
        = std::make_shared<Connection>(std::move(socket), state->options, state->closeAfterAnswers,
                                       state->requestsBeingRead, contextIndex);
    if (!connection->admit()) {
        co_await refuse(state, connection);
    } else if (!state->closing) {
        // `closeAll` may have run between accepting this connection and serving it.
        state->openByContext[contextIndex].insert(connection);
        co_await connection->serve(state->handler, state->handlerFaultAction, state->accepting);
        state->openByContext[contextIndex].erase(connection);
    }
    state->connectionCount.fetch_sub(1);
}

template <typename State>
Awaitable<void> refuseConnection(std::shared_ptr<State> state, tcp::socket socket,
                                 std::size_t contextIndex)
{
    const auto connection
        = std::make_shared<Connection>(std::move(socket), state->options, state->closeAfterAnswers,
                                       state->requestsBeingRead, contextIndex);
    co_await refuse(state, connection);
}

template <typename State>
std::size_t nextContextIndex(State &state)
{
    return state.nextIndex++ % state.contexts.size();
}

// Serves a connection, or refuses it if there are too many or `mayServe` is not set.
template <typename State>
void beginConnection(const std::shared_ptr<State> &state, tcp::socket socket, std::size_t index,
                     bool mayServe)
{
    asio::io_context &context = *state->contexts[index];
    if (!mayServe || state->connectionCount.load() >= state->options.maxConnections) {
        asio::co_spawn(context, refuseConnection(state, std::move(socket), index), asio::detached);
        return;
    }
    state->connectionCount.fetch_add(1);
    asio::co_spawn(context, serveConnection(state, std::move(socket), index), asio::detached);
}

// Accepts the connections that wait. An end of the acceptor resets them, with their requests.
template <typename State>
void acceptWaiting(const std::shared_ptr<State> &state, tcp::acceptor &acceptor)
{
    beast::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        const std::size_t index = nextContextIndex(*state);
        tcp::socket socket(*state->contexts[index]);
        acceptor.accept(socket, error);
        if (!error)
            beginConnection(state, std::move(socket), index, true);
    }
}

template <typename State>
Awaitable<void> acceptLoop(std::shared_ptr<State> state, std::shared_ptr<tcp::acceptor> acceptor)
{
    SpareDescriptor spare;
    asio::steady_timer pause(*state->contexts.front());
    while (state->accepting) {
        const std::size_t index = nextContextIndex(*state);
        asio::io_context &context = *state->contexts[index];
        beast::error_code error;
        tcp::socket socket = co_await acceptor->async_accept(
            context, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || (error && !acceptor->is_open()))
            break;
        if (error) {
            if (state->acceptFaultAction)
                state->acceptFaultAction(error.message());
            // The next caller takes the place of the spare descriptor and is refused.
            if (spare.release())
                continue;
            pause.expires_after(kAcceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            spare.restore();
            continue;
        }
        // Without a descriptor for the next one, this caller is refused.
        const bool hasDescriptors = spare.restore();
        beginConnection(state, std::move(socket), index, hasDescriptors);
    }
}

// Calls `action` for each open connection, on the context that serves it.
template <typename State>
void forEachConnection(const std::shared_ptr<State> &state, void (Connection::*action)())
{
    for (std::size_t i = 0; i < state->contexts.size(); ++i) {
        asio::post(*state->contexts[i], [state, action, i] {
            // Iterate over a copy, since a connection removes itself from the set when it ends.
            const auto connections = state->openByContext[i];
            for (const auto &weak : connections) {
                if (const auto connection = weak.lock())
                    (connection.get()->*action)();
            }
        });
    }
}

} // namespace

Server::Server(std::vector<asio::io_context *> contexts, ServerOptions options, Handler handler)
    : state(std::make_shared<State>())
{
    this->state->contexts = std::move(contexts);
    this->state->openByContext.resize(this->state->contexts.size());
    this->state->options = std::move(options);
    this->state->handler = std::move(handler);
}

Server::~Server()
{
    this->stopAccepting();
    // Open connections keep the state alive after the server, until their contexts are destroyed.
    // The acceptor must not outlive its context, so it is released here.
    this->state->acceptor.reset();
}

void Server::onHandlerFault(FaultAction action)
{
    this->state->handlerFaultAction = std::move(action);
}

void Server::onAcceptFault(FaultAction action)
{
    this->state->acceptFaultAction = std::move(action);
}

std::string Server::start()
{
    const ServerOptions &options = this->state->options;
    beast::error_code error;
    const auto ip = asio::ip::make_address(options.address.ip, error);
    if (error)
        return options.address.ip + " is not an IP address";
    auto acceptor = std::make_shared<tcp::acceptor>(*this->state->contexts.front());
    const tcp::endpoint endpoint(ip, options.address.port);
    acceptor->open(endpoint.protocol(), error);
    if (!error)
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor->bind(endpoint, error);
    if (!error)
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return "cannot listen on " + formatAddress(options.address) + ": " + error.message();
    this->state->accepting = true;
    this->state->closing = false;
    this->state->port = acceptor->local_endpoint().port();
    this->state->acceptor = acceptor;
    asio::co_spawn(*this->state->contexts.front(), acceptLoop(this->state, acceptor),
                   asio::detached);
    return "";
}

void Server::stopAccepting()
{
    this->state->accepting = false;
    if (!this->state->acceptor)
        return;
    asio::post(*this->state->contexts.front(), [acceptor = this->state->acceptor] {
        beast::error_code ignored;
        acceptor->close(ignored);
    });
}

void Server::closeAfterAnswers()
{
    this->state->closeAfterAnswers = true;
}

void Server::applyLimits(const ServerOptions &limits)
{
    ServerOptions &options = this->state->options;
    options.maxBodyBytes = limits.maxBodyBytes;
    options.maxHeaderBytes = limits.maxHeaderBytes;
    options.requestTimeout = limits.requestTimeout;
    options.bodyTimeout = limits.bodyTimeout;
    options.idleTimeout = limits.idleTimeout;
    forEachConnection(this->state, &Connection::applyIdleTimeout);
}

void Server::closeIdle()
{
    if (this->state->accepting)
        asio::post(*this->state->contexts.front(),
                   [state = this->state, acceptor = this->state->acceptor] {
                       acceptWaiting(state, *acceptor);
                   });
    this->stopAccepting();
    forEachConnection(this->state, &Connection::closeIfIdle);
}

void Server::closeAll()
{
    this->stopAccepting();
    this->state->closing = true;
    forEachConnection(this->state, &Connection::disconnect);
}

std::size_t Server::openConnections() const
{
    return this->state->connectionCount.load();
}

std::size_t Server::requestsBeingRead() const
{
    return this->state->requestsBeingRead.load();
}

unsigned short Server::port() const
{
    return this->state->port;
}

} // namespace Tanagerbay::Http
