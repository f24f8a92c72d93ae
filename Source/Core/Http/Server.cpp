#include "Http/Server.h"

#include "Http/LazyDeadline.h"

#include <set>

#include <sys/socket.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
class Connection;
} // namespace

struct Server::State
{
    std::vector<asio::io_context *> contexts;
    ServerOptions options;
    Handler handler;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::atomic<bool> accepting{true};
    std::atomic<std::size_t> connections{0};
    unsigned short port = 0;
    // Open connections by context; each set is used on its context's thread only.
    std::vector<std::set<Connection *>> open;
    std::atomic<bool> closing{false};
    std::atomic<bool> closeAfterAnswers{false};
};

namespace {

using Parser = http::request_parser<http::string_body>;

Common::Time clockNow()
{
    return std::chrono::steady_clock::now();
}

template <bool IsRequest>
void addField(http::header<IsRequest> &message, const Header &field)
{
    message.insert(field.name, field.value);
}

std::string errorBody(std::string_view code, std::string_view message)
{
    std::string body = R"({"error":{"code":")";
    body.append(code).append(R"(","message":")").append(message).append(R"(","ran":"no"}})");
    return body;
}

class Connection final : public Exchange, public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, const ServerOptions &options,
               const std::atomic<bool> &closeAfterAnswers, std::size_t contextIndex)
        : stream(std::move(socket)),
          deadline(this->stream.get_executor(), [this] { this->cancelSocket(); }), options(options),
          closeAfterAnswers(closeAfterAnswers), context(contextIndex)
    {
        beast::error_code ignored;
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        const auto remote = this->stream.socket().remote_endpoint(ignored);
        this->ip = ignored ? "" : remote.address().to_string();
    }

    const Request &request() const override
    {
        return this->current;
    }
    std::size_t contextIndex() const override
    {
        return this->context;
    }
    Common::Time receivedAt() const override
    {
        return this->requestReceivedAt;
    }
    std::string callerIp() const override
    {
        return this->ip;
    }
    bool started() const override
    {
        return this->headWritten;
    }
    bool callerGone() const override
    {
        return this->gone;
    }
    void onCallerGone(std::function<void()> action) override
    {
        this->goneAction = std::move(action);
    }

    Awaitable<bool> respond(Response response) override
    {
        http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
        for (const Header &field : response.headers.fields)
            addField(message, field);
        message.body() = std::move(response.body);
        this->keepAlive = this->keepAlive && !this->closeAfterAnswers;
        message.keep_alive(this->keepAlive);
        message.prepare_payload();
        this->headWritten = true;
        beast::error_code error;
        this->deadline.moveTo(clockNow() + this->options.writeTimeout);
        co_await http::async_write(this->stream, message,
                                   asio::redirect_error(asio::use_awaitable, error));
        this->deadline.clear();
        this->answered = !error;
        this->gone = this->gone || error.failed();
        co_return !error;
    }

    Awaitable<bool> beginStream(Response head) override
    {
        http::response<http::empty_body> message{static_cast<http::status>(head.status), 11};
        for (const Header &field : head.headers.fields)
            addField(message, field);
        this->keepAlive = this->keepAlive && !this->closeAfterAnswers;
        message.keep_alive(this->keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer{message};
        this->headWritten = true;
        beast::error_code error;
        this->deadline.moveTo(clockNow() + this->options.writeTimeout);
        co_await http::async_write_header(this->stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        this->deadline.clear();
        this->gone = this->gone || error.failed();
        co_return !error;
    }

    Awaitable<bool> writeChunk(std::string_view bytes) override
    {
        if (this->gone)
            co_return false;
        beast::error_code error;
        this->deadline.moveTo(clockNow() + this->options.writeTimeout);
        co_await asio::async_write(this->stream,
                                   http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                                   asio::redirect_error(asio::use_awaitable, error));
        this->deadline.clear();
        this->gone = this->gone || error.failed();
        co_return !error;
    }

    Awaitable<bool> endStream() override
    {
        beast::error_code error;
        this->deadline.moveTo(clockNow() + this->options.writeTimeout);
        co_await asio::async_write(this->stream, http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, error));
        this->deadline.clear();
        this->answered = !error;
        this->gone = this->gone || error.failed();
        co_return !error;
    }

    // Ends the connection as if the caller had closed it.
    void abandon()
    {
        this->noteGone();
        this->stream.close();
    }

    // Serves requests until the connection ends.
    Awaitable<void> serve(const Handler &handler, const std::atomic<bool> &accepting)
    {
        while (co_await this->readRequest()) {
            this->answered = false;
            this->headWritten = false;
            // The request may have lain in the socket for longer than its caller waited.
            this->gone = this->peerClosed();
            this->watchCaller();
            co_await handler(*this);
            this->goneAction = nullptr;
            this->stopWatching.emit(asio::cancellation_type::all);
            if (!this->answered || !this->keepAlive || !accepting)
                break;
        }
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.close();
    }

private:
    // Reads the next request. Answers a request that breaks a limit itself and returns false.
    Awaitable<bool> readRequest()
    {
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(this->options.maxHeaderBytes));
        parser.body_limit(this->options.maxBodyBytes);
        beast::error_code error;
        if (this->buffer.size() == 0) {
            this->deadline.moveTo(clockNow() + this->options.idleTimeout);
            co_await this->readFirstByte(error);
            if (error)
                co_return false;
        }
        this->deadline.moveTo(clockNow() + this->options.requestTimeout);
        co_await http::async_read_header(this->stream, this->buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (!error && parser.get().target().size() > this->options.maxTargetBytes) {
            co_await this->reject(414, "too_large", "the URL is too long");
            co_return false;
        }
        if (!error && this->options.bodyTimeout.count() > 0)
            this->deadline.moveTo(clockNow() + this->options.bodyTimeout);
        if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await this->writeContinue(error);
        if (!error) {
            co_await http::async_read(this->stream, this->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            co_await this->rejectFor(error);
            co_return false;
        }
        this->take(parser.release());
        this->requestReceivedAt = clockNow();
        co_return true;
    }

    Awaitable<void> readFirstByte(beast::error_code &error)
    {
        const auto bytes = co_await this->stream.async_read_some(
            this->buffer.prepare(1), asio::redirect_error(asio::use_awaitable, error));
        this->buffer.commit(bytes);
    }

    void cancelSocket()
    {
        // The stream's own timeout would close the connection before the caller could be told.
        beast::error_code ignored;
        this->stream.socket().cancel(ignored);
    }

    Awaitable<void> writeContinue(beast::error_code &error)
    {
        static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(kContinue.data(), kContinue.size()),
                                   asio::redirect_error(asio::use_awaitable, error));
    }

    Awaitable<void> rejectFor(beast::error_code error)
    {
        if (this->deadline.hasExpired())
            co_await this->reject(408, "bad_input", "the request took too long to arrive");
        else if (error == http::error::body_limit)
            co_await this->reject(413, "too_large", "the body is too large");
        else if (error == http::error::header_limit)
            co_await this->reject(431, "too_large", "the headers are too large");
        else if (error.category() == http::make_error_code(http::error::bad_method).category()
                 && error != http::error::end_of_stream && error != http::error::partial_message)
            co_await this->reject(400, "bad_input", "the request is not valid HTTP");
    }

    Awaitable<void> reject(unsigned status, std::string_view code, std::string_view message)
    {
        this->keepAlive = false;
        Response response = jsonResponse(status, errorBody(code, message));
        co_await this->respond(std::move(response));
        co_await this->drainBriefly();
    }

    // Reads what the caller still sends, so that closing does not reset the connection before the
    // caller has read the answer.
    Awaitable<void> drainBriefly()
    {
        constexpr std::size_t kMostBytes = 4 << 20;
        constexpr Common::Milliseconds kMostTime{500};
        beast::error_code error;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
        std::vector<char> discarded(16 << 10);
        this->deadline.moveTo(clockNow() + kMostTime);
        std::size_t total = 0;
        while (!error && total < kMostBytes) {
            total += co_await this->stream.async_read_some(
                asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    void take(http::request<http::string_body> &&message)
    {
        this->keepAlive = message.keep_alive();
        this->current.method = message.method_string();
        this->current.target = message.target();
        this->current.headers.fields.clear();
        for (const auto &field : message) {
            this->current.headers.fields.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        this->current.body = std::move(message.body());
    }

    // Watches for the end of the connection while a request is handled.
    void watchCaller()
    {
        this->deadline.clear();
        this->stream.socket().async_wait(
            tcp::socket::wait_read,
            asio::bind_cancellation_slot(
                this->stopWatching.slot(),
                [self = this->shared_from_this()](beast::error_code error) {
                    if (!error && self->peerClosed())
                        self->noteGone();
                }));
    }

    bool peerClosed()
    {
        char byte = 0;
        const auto count
            = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void noteGone()
    {
        this->gone = true;
        if (this->goneAction)
            this->goneAction();
    }

    beast::tcp_stream stream;
    LazyDeadline deadline;
    const ServerOptions &options;
    const std::atomic<bool> &closeAfterAnswers;
    std::size_t context;
    Common::Time requestReceivedAt;
    beast::flat_buffer buffer;
    std::string ip;
    Request current;
    bool keepAlive = true;
    bool answered = false;
    bool headWritten = false;
    bool gone = false;
    std::function<void()> goneAction;
    asio::cancellation_signal stopWatching;
};

} // namespace

namespace {

template <typename State>
Awaitable<void> serveConnection(std::shared_ptr<State> state, tcp::socket socket,
                                std::size_t contextIndex)
{
    auto connection = std::make_shared<Connection>(std::move(socket), state->options,
                                                   state->closeAfterAnswers, contextIndex);
    co_await connection->serve(state->handler, state->accepting);
    state->connections.fetch_sub(1);
}

Awaitable<void> refuseConnection(tcp::socket socket)
{
    http::response<http::string_body> message{http::status::service_unavailable, 11};
    message.body() = errorBody("overloaded", "too many connections");
    message.set(http::field::content_type, "application/json");
    message.keep_alive(false);
    message.prepare_payload();
    beast::error_code ignored;
    co_await http::async_write(socket, message, asio::redirect_error(asio::use_awaitable, ignored));
}

template <typename State>
Awaitable<void> acceptLoop(std::shared_ptr<State> state, std::shared_ptr<tcp::acceptor> acceptor)
{
    std::size_t turn = 0;
    while (state->accepting) {
        const std::size_t index = turn++ % state->contexts.size();
        asio::io_context &context = *state->contexts[index];
        beast::error_code error;
        tcp::socket socket = co_await acceptor->async_accept(
            context, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            break;
        if (error)
            continue;
        if (state->connections.load() >= state->options.maxConnections) {
            asio::co_spawn(context, refuseConnection(std::move(socket)), asio::detached);
            continue;
        }
        state->connections.fetch_add(1);
        asio::co_spawn(context, serveConnection(state, std::move(socket), index), asio::detached);
    }
}

} // namespace

Server::Server(std::vector<asio::io_context *> contexts, ServerOptions options, Handler handler)
    : state(std::make_shared<State>())
{
    this->state->contexts = std::move(contexts);
    this->state->open.resize(this->state->contexts.size());
    this->state->options = std::move(options);
    this->state->handler = std::move(handler);
}

Server::~Server()
{
    this->stopAccepting();
    // Connections may outlive the server, and with them the state, until their contexts go; the
    // acceptor must not outlive its own context.
    this->state->acceptor.reset();
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
}

void Server::closeAll()
{
    this->stopAccepting();
    this->state->closing = true;
    for (std::size_t i = 0; i < this->state->contexts.size(); ++i) {
        asio::post(*this->state->contexts[i], [state = this->state, i] {
            for (Connection *connection : state->open[i])
                connection->abandon();
        });
    }
}

std::size_t Server::openConnections() const
{
    return this->state->connections.load();
}

unsigned short Server::port() const
{
    return this->state->port;
}

} // namespace Tanagerbay::Http
