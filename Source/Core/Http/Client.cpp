#include "Http/Client.h"

#include "Common/Clock.h"
#include "Http/LazyDeadline.h"

#include <sys/socket.h>

#include <charconv>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// How far a request was handed to the system.
enum class WriteState {
    Pending,
    Done,
    // The write has taken the error that ended the connection.
    Failed,
};

struct ClientConnection
{
    explicit ClientConnection(const asio::any_io_executor &executor)
        : stream(executor), deadline(executor, [this] { this->stream.cancel(); })
    {
    }

    ~ClientConnection()
    {
        if (this->active)
            this->active->erase(this);
    }
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    // Registers the connection as in use until it becomes idle or is destroyed.
    void markActive(std::shared_ptr<std::set<ClientConnection *>> connections)
    {
        this->active = std::move(connections);
        this->active->insert(this);
    }
    void markInactive()
    {
        this->active->erase(this);
        this->active.reset();
    }

    beast::tcp_stream stream;
    // Limits every read and write once the connection is established.
    LazyDeadline deadline;
    beast::flat_buffer buffer;
    Common::Time idleSince;
    // The idle connection is not reused after this time, since the peer may be closing it. Unset
    // if the peer announced no idle time-out.
    std::optional<Common::Time> reuseDeadline;
    bool reused = false;
    // Whether it has carried any request, a question included, so that the copy of an earlier reply
    // may arrive.
    bool hasCarriedRequest = false;
    bool wasPeerAsked = false;
    Peer peer;
    // The reply may arrive before the request has been written.
    WriteState write = WriteState::Done;
    std::shared_ptr<std::set<ClientConnection *>> active;
};

using ConnectionPtr = std::shared_ptr<ClientConnection>;

struct Client::Pool
{
    asio::any_io_executor executor;
    std::unordered_map<Address, std::vector<ConnectionPtr>> idle;
    std::shared_ptr<std::set<ClientConnection *>> active
        = std::make_shared<std::set<ClientConnection *>>();
    bool closed = false;
    // Where new connections come from; empty if the system chooses.
    std::string localIp;

    // Returns nothing if no connection has been idle since that time or a later one.
    ConnectionPtr acquire(const Address &address, Common::Time reusableIdleSince);
    void release(const Address &address, ConnectionPtr connection, std::size_t maxIdleConnections);
};

struct ResponseStream::State
{
    static constexpr std::size_t kReadBytes = 4096;

    State() = default;
    ~State()
    {
        this->closeConnection();
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    // A write in progress holds a reference to the connection, so releasing it does not close it:
    // the stream is closed explicitly.
    void closeConnection()
    {
        if (!this->connection)
            return;
        this->write = this->connection->write;
        this->connection->stream.close();
        this->connection.reset();
    }

    ConnectionPtr connection;
    // Of the final head; an interim one before it has a parser of its own.
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, kReadBytes> bytes;
    std::shared_ptr<Client::Pool> pool;
    Address address;
    CallHandle *handle = nullptr;
    std::size_t maxIdleConnections = 0;
    bool reused = false;
    bool isFirstOnConnection = false;
    Peer peer;
    // The complete reply has to be accepted before its connection is released.
    bool isHeldUntilAccepted = false;
    std::optional<BodyEnd> end;
    // That of the connection, once it is closed or released.
    WriteState write = WriteState::Pending;
};

namespace {

constexpr std::uint32_t kMaxReplyHeaderBytes = 32 << 10;
constexpr unsigned kStatusOk = 200;
constexpr std::uint64_t kMaxPeerAnswerBytes = 1 << 20;
// New connections on which the peer is asked. One that closes each of them after its answer is not
// asked on the next one.
constexpr int kMaxPeerQuestions = 2;
// Share of the idle time-out announced in `Keep-Alive` during which a connection is reused.
constexpr double kReusableIdleTimeShare = 0.5;

// Interim heads that may come before the final one. No request asks for any.
constexpr int kMaxInterimHeads = 8;

enum class StatusUse {
    Final,
    // Another head follows (RFC 9110, 15.2).
    Interim,
    // Not a status of HTTP: nothing behind it can be trusted to be a reply.
    None,
};

// The parser takes any three digits for a status.
StatusUse useOfStatus(unsigned status)
{
    constexpr unsigned kSwitchingProtocols = 101;
    constexpr unsigned kFirstFinal = 200;
    constexpr unsigned kLastFinal = 599;
    if (status >= kFirstFinal && status <= kLastFinal)
        return StatusUse::Final;
    const bool isInterim = status >= 100 && status < kFirstFinal;
    // No request asks for another protocol.
    return isInterim && status != kSwitchingProtocols ? StatusUse::Interim : StatusUse::None;
}

using BeastRequest = http::request<http::string_body>;

// Returns whether the peer has closed an idle connection or sent unsolicited bytes on it.
bool isStale(ClientConnection &connection)
{
    char byte = 0;
    const auto count
        = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

CallError errorOf(beast::error_code error, const ClientConnection &connection, bool written,
                  const CallHandle *handle)
{
    CallFailure failure = CallFailure::ConnectionLost;
    if (handle && handle->isCancelled())
        failure = CallFailure::Cancelled;
    else if (error == beast::error::timeout || connection.deadline.hasExpired())
        failure = CallFailure::Timeout;
    else if (error.category() == http::make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        failure = CallFailure::BadReply;
    return {failure, written, error.message()};
}

// Returns the idle time-out that the peer announces, in seconds, as in `Keep-Alive: timeout=5`.
std::optional<Common::Duration> announcedIdleTimeout(std::string_view keepAlive)
{
    constexpr std::string_view kName = "timeout=";
    const auto at = keepAlive.find(kName);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *begin = keepAlive.data() + at + kName.size();
    const auto parsed = std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

BeastRequest toBeast(const Address &address, Request &&request)
{
    BeastRequest message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (request.headers.find("Host").empty())
        message.set(http::field::host, formatAddress(address));
    for (const Header &field : request.headers.fields)
        message.insert(field.name, field.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

using ActiveConnections = std::shared_ptr<std::set<ClientConnection *>>;

void bindTo(const std::string &localIp, tcp::socket &socket, beast::error_code &error)
{
    const auto ip = asio::ip::make_address(localIp, error);
    const tcp::endpoint local(ip, 0);
    if (!error)
        socket.open(local.protocol(), error);
    if (!error)
        socket.bind(local, error);
}

// Returns the reason why no connection could be made, or nullopt.
Awaitable<std::optional<CallError>> connect(ConnectionPtr connection, const Address &address,
                                            const std::string &localIp, const CallOptions &options)
{
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (!error && !localIp.empty())
        bindTo(localIp, connection->stream.socket(), error);
    if (error)
        co_return CallError{CallFailure::ConnectFailed, false, error.message()};
    const Common::Time connectDeadline = Common::clockNow() + options.connectTimeout;
    connection->stream.expires_at(std::min(options.deadline, connectDeadline));
    co_await connection->stream.async_connect(tcp::endpoint(ip, address.port),
                                              asio::redirect_error(asio::use_awaitable, error));
    // The connection may have been made just before the call was cancelled.
    if (options.handle && options.handle->isCancelled())
        error = asio::error::operation_aborted;
    if (error) {
        CallError failed = errorOf(error, *connection, false, options.handle);
        if (failed.failure != CallFailure::Cancelled)
            failed.failure = CallFailure::ConnectFailed;
        failed.isRefused = error == asio::error::connection_refused;
        co_return failed;
    }
    connection->stream.expires_never();
    beast::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return std::nullopt;
}

} // namespace

ConnectionPtr Client::Pool::acquire(const Address &address, Common::Time reusableIdleSince)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    while (!found->second.empty()) {
        ConnectionPtr connection = std::move(found->second.back());
        found->second.pop_back();
        const bool mayBeClosed
            = connection->reuseDeadline && *connection->reuseDeadline <= Common::clockNow();
        const bool isReusable = connection->idleSince >= reusableIdleSince;
        if (isReusable && !mayBeClosed && !isStale(*connection)) {
            connection->reused = true;
            connection->markActive(this->active);
            return connection;
        }
    }
    return nullptr;
}

void Client::Pool::release(const Address &address, ConnectionPtr connection,
                           std::size_t maxIdleConnections)
{
    // Unread bytes after the reply belong to no request, and a request body that is still being
    // written would mix with the next request, so the connection is not reused in these cases.
    if (connection->buffer.size() != 0 || connection->write != WriteState::Done) {
        connection->stream.close();
        return;
    }
    connection->markInactive();
    connection->deadline.disarm();
    connection->idleSince = Common::clockNow();
    std::vector<ConnectionPtr> &connections = this->idle[address];
    if (connections.size() < maxIdleConnections)
        connections.push_back(std::move(connection));
}

Client::Client(asio::any_io_executor executor) : pool(std::make_shared<Pool>())
{
    this->pool->executor = std::move(executor);
}

Client::~Client() = default;

void Client::connectFrom(std::string ip)
{
    this->pool->localIp = std::move(ip);
}

std::size_t Client::idleConnections() const
{
    std::size_t total = 0;
    for (const auto &[address, connections] : this->pool->idle)
        total += connections.size();
    return total;
}

void Client::cancelAll()
{
    this->pool->closed = true;
    for (ClientConnection *connection : *this->pool->active)
        connection->stream.close();
}

void Client::closeIdle(Common::Time before)
{
    for (auto &[address, connections] : this->pool->idle) {
        std::erase_if(connections, [before](const ConnectionPtr &connection) {
            return connection->idleSince < before;
        });
    }
}

Awaitable<std::optional<CallError>>
Client::askPeer(ConnectionPtr connection, const Address &address, const CallOptions &options)
{
    const PeerQuestion &question = *options.peerQuestion;
    connection->hasCarriedRequest = true;
    beast::tcp_stream &tcpStream = connection->stream;
    Request request = question.request;
    const BeastRequest message = toBeast(address, std::move(request));
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxPeerAnswerBytes);
    parser.header_limit(kMaxReplyHeaderBytes);
    beast::error_code error;
    connection->deadline.moveTo(
        std::min<Common::Time>(options.deadline, Common::clockNow() + question.timeout));
    if (options.handle)
        options.handle->abort = [&tcpStream] { tcpStream.cancel(); };
    co_await http::async_write(tcpStream, message,
                               asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_await http::async_read(tcpStream, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    if (options.handle)
        options.handle->abort = nullptr;
    if (!error && options.handle && options.handle->isCancelled())
        error = asio::error::operation_aborted;
    if (error)
        co_return errorOf(error, *connection, false, options.handle);
    // An interim reply would leave the final one for the request that follows.
    if (useOfStatus(parser.get().result_int()) != StatusUse::Final) {
        connection->stream.close();
        co_return CallError{CallFailure::BadReply, false, "the status of the reply is none"};
    }
    Response response;
    response.status = parser.get().result_int();
    for (const auto &field : parser.get())
        response.headers.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    response.body = std::move(parser.get().body());
    connection->peer.startTime = question.read(response);
    // Another status says nothing about the process.
    connection->wasPeerAsked = connection->peer.startTime || response.status == kStatusOk;
    if (!parser.get().keep_alive() || connection->buffer.size() != 0)
        connection->stream.close();
    co_return std::nullopt;
}

Awaitable<CallResult<ResponseStream>> Client::open(Address address, Request request,
                                                   CallOptions options)
{
    const auto message = std::make_shared<const BeastRequest>(toBeast(address, std::move(request)));
    bool fresh = options.freshConnection;
    // Whether an earlier connection has carried the request.
    bool written = false;
    int questions = 0;
    while (true) {
        if (this->pool->closed || (options.handle && options.handle->isCancelled()))
            co_return tl::unexpected(CallError{CallFailure::Cancelled, written, "cancelled"});
        ConnectionPtr connection
            = fresh ? nullptr : this->pool->acquire(address, options.reusableIdleSince);
        if (!connection) {
            connection = std::make_shared<ClientConnection>(this->pool->executor);
            connection->markActive(this->pool->active);
            if (options.handle)
                options.handle->abort = [connection] { connection->stream.cancel(); };
            auto failed = co_await connect(connection, address, this->pool->localIp, options);
            if (options.handle)
                options.handle->abort = nullptr;
            if (failed) {
                failed->written = written;
                co_return tl::unexpected(std::move(*failed));
            }
            if (this->pool->closed)
                co_return tl::unexpected(CallError{CallFailure::Cancelled, written, "cancelled"});
            connection->peer.connectedAt = Common::clockNow();
        }
        const bool mustAsk
            = options.peerQuestion && !connection->wasPeerAsked && questions < kMaxPeerQuestions;
        if (mustAsk) {
            ++questions;
            if (options.peerQuestion->beforeAsking && !options.peerQuestion->beforeAsking())
                co_return tl::unexpected(CallError{CallFailure::Cancelled, written, "abandoned"});
            auto failed = co_await askPeer(connection, address, options);
            const bool isStale
                = failed && connection->reused && failed->failure == CallFailure::ConnectionLost;
            if (failed && !isStale) {
                failed->written = written;
                co_return tl::unexpected(std::move(*failed));
            }
            if (isStale) {
                fresh = true;
                continue;
            }
        }
        const bool isOpen = connection->stream.socket().is_open();
        // A peer that closes the connection without stating anything may state it on the next one.
        const bool mustJudge = options.acceptPeer && (isOpen || connection->peer.startTime);
        if (mustJudge && !options.acceptPeer(connection->peer)) {
            if (isOpen)
                this->pool->release(address, std::move(connection), options.maxIdleConnections);
            co_return tl::unexpected(
                CallError{CallFailure::Cancelled, written, "the process was not accepted"});
        }
        if (!isOpen) {
            fresh = true;
            continue;
        }
        if (options.beforeFirstByte && !options.beforeFirstByte())
            co_return tl::unexpected(CallError{CallFailure::Cancelled, written, "abandoned"});

        ResponseStream stream;
        stream.state = std::make_unique<ResponseStream::State>();
        ResponseStream::State &state = *stream.state;
        state.connection = std::move(connection);
        state.reused = state.connection->reused;
        state.isFirstOnConnection = !std::exchange(state.connection->hasCarriedRequest, true);
        state.peer = state.connection->peer;
        state.pool = this->pool;
        state.address = address;
        state.handle = options.handle;
        state.maxIdleConnections = options.maxIdleConnections;
        beast::tcp_stream &tcpStream = state.connection->stream;
        if (options.handle)
            options.handle->abort = [&tcpStream] { tcpStream.cancel(); };

        beast::error_code error;
        state.connection->deadline.moveTo(options.deadline);
        // The endpoint may reply before it has read the complete request, so the request is written
        // while the reply is read. If the write fails, the read fails too.
        state.connection->write = WriteState::Pending;
        http::async_write(
            tcpStream, *message,
            [message, connection = state.connection](beast::error_code failed, std::size_t) {
                connection->write = failed.failed() ? WriteState::Failed : WriteState::Done;
            });
        StatusUse use = StatusUse::Interim;
        for (int heads = 0; heads <= kMaxInterimHeads && use == StatusUse::Interim && !error;
             ++heads) {
            state.parser.emplace();
            state.parser->body_limit(options.maxBodyBytes);
            state.parser->header_limit(kMaxReplyHeaderBytes);
            co_await http::async_read_header(tcpStream, state.connection->buffer, *state.parser,
                                             asio::redirect_error(asio::use_awaitable, error));
            use = useOfStatus(state.parser->get().result_int());
        }
        if (options.handle)
            options.handle->abort = nullptr;
        if (!error && use != StatusUse::Final)
            co_return tl::unexpected(
                CallError{CallFailure::BadReply, true, "the status of the reply is none"});
        if (!error && options.acceptHead && !options.acceptHead(stream))
            co_return tl::unexpected(
                CallError{CallFailure::BadReply, true, "the reply head was rejected"});
        if (!error)
            co_return std::move(stream);
        CallError failed = errorOf(error, *state.connection, true, options.handle);
        const bool stale
            = state.connection->reused && failed.failure == CallFailure::ConnectionLost;
        if (!stale || !options.repeatable)
            co_return tl::unexpected(std::move(failed));
        fresh = true;
        written = true;
    }
}

Awaitable<CallResult<Response>> Client::call(Address address, Request request, CallOptions options)
{
    auto opened = co_await this->open(std::move(address), std::move(request), options);
    if (!opened)
        co_return tl::unexpected(opened.error());
    if (options.requiresFraming && opened->framing() == BodyFraming::Connection) {
        opened->close();
        co_return tl::unexpected(CallError{CallFailure::ConnectionLost, true,
                                           "the reply has neither a length nor chunks"});
    }
    Response response;
    response.status = opened->status();
    response.headers = opened->headers();
    opened->state->isHeldUntilAccepted = options.acceptReply != nullptr;
    while (true) {
        const auto bytes = co_await opened->read(options.deadline);
        if (!bytes)
            co_return tl::unexpected(bytes.error());
        if (const auto *part = std::get_if<std::string_view>(&*bytes))
            response.body.append(*part);
        else
            break;
    }
    if (options.acceptReply) {
        const ReplyUse use = options.acceptReply(response);
        if (use == ReplyUse::Accept)
            opened->release();
        opened->close();
        if (use == ReplyUse::Reject)
            co_return tl::unexpected(
                CallError{CallFailure::BadReply, true, "the reply belongs to another request"});
    }
    co_return response;
}

ResponseStream::ResponseStream() = default;
ResponseStream::~ResponseStream() = default;
ResponseStream::ResponseStream(ResponseStream &&) noexcept = default;
ResponseStream &ResponseStream::operator=(ResponseStream &&) noexcept = default;

unsigned ResponseStream::status() const
{
    return this->state->parser->get().result_int();
}

std::string_view ResponseStream::header(std::string_view name) const
{
    const auto &message = this->state->parser->get();
    const auto found = message.find({name.data(), name.size()});
    if (found == message.end())
        return {};
    return {found->value().data(), found->value().size()};
}

Awaitable<CallResult<BodyPart>> ResponseStream::read(Common::Time deadline)
{
    State &state = *this->state;
    if (state.end)
        co_return BodyPart(*state.end);
    if (!state.connection)
        co_return tl::unexpected(
            CallError{CallFailure::Cancelled, true, "the stream was closed before its end"});
    auto &body = state.parser->get().body();
    beast::tcp_stream &tcpStream = state.connection->stream;
    state.connection->deadline.moveTo(deadline);
    if (state.handle)
        state.handle->abort = [&tcpStream] { tcpStream.cancel(); };
    beast::error_code error;
    std::size_t count = 0;
    // A read may consume nothing but chunk framing, so it is repeated until body bytes or the end
    // of the body arrive.
    while (!error && count == 0 && !state.parser->is_done()) {
        // A cancellation before this read found no operation to abort.
        if (state.handle && state.handle->isCancelled()) {
            error = asio::error::operation_aborted;
            break;
        }
        body.data = state.bytes.data();
        body.size = state.bytes.size();
        body.more = true;
        co_await http::async_read_some(tcpStream, state.connection->buffer, *state.parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        count = state.bytes.size() - body.size;
    }
    if (state.handle)
        state.handle->abort = nullptr;
    if (error) {
        CallError failed = errorOf(error, *state.connection, true, state.handle);
        state.closeConnection();
        co_return tl::unexpected(std::move(failed));
    }
    if (count > 0)
        co_return BodyPart(std::string_view(state.bytes.data(), count));
    // The system reports a reset once. A write that was in progress takes it, and the read sees an
    // end in order.
    if (state.parser->need_eof() && state.connection->write == WriteState::Failed) {
        state.closeConnection();
        co_return tl::unexpected(CallError{CallFailure::ConnectionLost, true,
                                           "the connection failed while the request was written"});
    }
    state.end = state.parser->need_eof() ? BodyEnd::Closed : BodyEnd::Whole;
    if (!state.isHeldUntilAccepted) {
        this->release();
        state.closeConnection();
    }
    co_return BodyPart(*state.end);
}

bool ResponseStream::isRequestWritten() const
{
    const State &state = *this->state;
    return (state.connection ? state.connection->write : state.write) == WriteState::Done;
}

void ResponseStream::release()
{
    State &state = *this->state;
    if (!state.connection || !state.parser->get().keep_alive() || state.parser->need_eof())
        return;
    const auto idleTimeout = announcedIdleTimeout(this->header("Keep-Alive"));
    if (idleTimeout)
        state.connection->reuseDeadline = Common::clockNow()
            + std::chrono::duration_cast<Common::Duration>(*idleTimeout * kReusableIdleTimeShare);
    state.write = state.connection->write;
    state.pool->release(state.address, std::move(state.connection), state.maxIdleConnections);
    state.connection.reset();
}

void ResponseStream::close()
{
    if (this->state)
        this->state->closeConnection();
}

bool ResponseStream::reusedConnection() const
{
    return this->state->reused;
}

bool ResponseStream::isFirstOnConnection() const
{
    return this->state->isFirstOnConnection;
}

BodyFraming ResponseStream::framing() const
{
    if (this->state->parser->need_eof())
        return BodyFraming::Connection;
    return this->state->parser->chunked() ? BodyFraming::Chunks : BodyFraming::Length;
}

Peer ResponseStream::peer() const
{
    return this->state->peer;
}

Headers ResponseStream::headers() const
{
    Headers headers;
    for (const auto &field : this->state->parser->get())
        headers.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

} // namespace Tanagerbay::Http
