#include "Http/Connection.h"

#include "Common/Clock.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using Common::clockNow;

namespace {

// Limits on the input that is discarded after the last response of a connection.
constexpr std::size_t kMaxDrainedBytes = 4 << 20;
constexpr std::size_t kDrainReadBytes = 2048;
constexpr Common::Milliseconds kMaxDrainDuration{500};
// How soon a disconnect is noticed after the caller's last byte, or behind bytes that wait unread.
constexpr Common::Milliseconds kCallerCheckInterval{100};
// Time in which the network reports that a connection is closed at its other end.
constexpr Common::Milliseconds kResetDelay{20};
// How often a caller is probed that has sent all and may leave later, and how many times. Some
// clients accept no more than five interim responses.
constexpr Common::Milliseconds kProbeInterval{300};
constexpr int kMaxProbes = 5;
// A caller that has sent all counts as gone if a stream pauses for this long: within a response,
// nothing can be written to probe it.
constexpr Common::Milliseconds kMaxUnprobedPause{100};

enum class CallerSide {
    Open,
    // The caller will send no more. It may still read.
    SentAll,
    Closed,
};

CallerSide callerSideOf(int socket)
{
    if (socket < 0)
        return CallerSide::Closed;
    // Bytes that wait unread don't hide the end behind them.
    ::pollfd end{socket, POLLRDHUP, 0};
    if (::poll(&end, 1, 0) <= 0)
        return CallerSide::Open;
    return (end.revents & (POLLERR | POLLHUP)) != 0 ? CallerSide::Closed : CallerSide::SentAll;
}

template <bool IsRequest>
void addField(http::header<IsRequest> &message, const Header &field)
{
    message.insert(field.name, field.value);
}

} // namespace

std::string errorBody(std::string_view code, std::string_view message, std::string_view ran)
{
    std::string body = R"({"error":{"code":")";
    body.append(code).append(R"(","message":")").append(message);
    body.append(R"(","ran":")").append(ran).append(R"("}})");
    return body;
}

Connection::Connection(tcp::socket socket, const ServerOptions &options,
                       const std::atomic<bool> &closeAfterAnswers,
                       std::atomic<std::size_t> &requestsBeingRead, std::size_t contextIndex)
    : stream(std::move(socket)),
      deadline(this->stream.get_executor(), [this] { this->cancelSocket(); }), options(options),
      closeAfterAnswers(closeAfterAnswers), requestsBeingRead(requestsBeingRead),
      context(contextIndex), callerCheck(this->stream.get_executor())
{
    beast::error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    const auto remote = this->stream.socket().remote_endpoint(ignored);
    this->ip = ignored ? "" : remote.address().to_string();
    this->holder.evict = [this] { this->leave(); };
}

Connection::~Connection()
{
    if (this->options.memory)
        remove(*this->options.memory, this->holder);
}

bool Connection::admit()
{
    return !this->options.memory || Http::admit(*this->options.memory, this->holder, clockNow());
}

void Connection::leave()
{
    switch (this->holder.phase) {
    case HolderPhase::Reading:
        this->cancelSocket();
        break;
    case HolderPhase::Idle:
    case HolderPhase::Handling:
    case HolderPhase::Writing:
        this->stream.close();
        break;
    }
}

void Connection::beginPhase(HolderPhase phase)
{
    Http::beginPhase(this->holder, phase, clockNow());
}

void Connection::beginWriting(std::size_t bytes)
{
    this->isWriting = true;
    const Common::Time now = clockNow();
    Http::beginPhase(this->holder, HolderPhase::Writing, now);
    if (this->options.memory)
        holdAnyway(*this->options.memory, this->holder, HeldKind::Answer, bytes, now);
    this->deadline.moveTo(now + this->options.writeTimeout);
}

const Request &Connection::request() const
{
    return this->currentRequest;
}

std::string Connection::takeBody()
{
    return std::move(this->currentRequest.body);
}

std::size_t Connection::contextIndex() const
{
    return this->context;
}

Common::Time Connection::receivedAt() const
{
    return this->requestReceivedAt;
}

std::string Connection::callerIp() const
{
    return this->ip;
}

bool Connection::started() const
{
    return this->headWritten;
}

bool Connection::callerGone() const
{
    return this->gone;
}

void Connection::onCallerGone(std::function<void()> action)
{
    this->callerGoneAction = std::move(action);
}

Awaitable<bool> Connection::respond(Response response)
{
    // A second head would become part of the body. Unanswered, the connection is closed.
    if (this->headWritten)
        co_return false;
    http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
    for (const Header &field : response.headers.fields)
        addField(message, field);
    message.body() = std::move(response.body);
    this->keepAlive = this->keepAlive && !this->closeAfterAnswers;
    message.keep_alive(this->keepAlive);
    message.prepare_payload();
    this->headWritten = true;
    beast::error_code error;
    this->beginWriting(message.body().size());
    co_await http::async_write(this->stream, message,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return this->recordWrite(error, true);
}

bool Connection::recordWrite(const beast::error_code &error, bool isLast)
{
    this->deadline.clear();
    this->isWriting = false;
    this->wroteAt = clockNow();
    Http::beginPhase(this->holder, HolderPhase::Handling, this->wroteAt);
    if (this->options.memory)
        holdAnyway(*this->options.memory, this->holder, HeldKind::Answer, 0, this->wroteAt);
    this->answered = this->answered || (isLast && !error);
    this->gone = this->gone || error.failed();
    return !error;
}

Awaitable<bool> Connection::beginStream(Response head)
{
    http::response<http::empty_body> message{static_cast<http::status>(head.status), 11};
    for (const Header &field : head.headers.fields)
        addField(message, field);
    this->keepAlive = this->keepAlive && !this->closeAfterAnswers && this->isHttp11;
    message.keep_alive(this->keepAlive);
    message.chunked(this->isHttp11);
    if (!this->isHttp11)
        this->setResetOnClose(true);
    http::response_serializer<http::empty_body> serializer{message};
    this->headWritten = true;
    beast::error_code error;
    this->beginWriting(0);
    co_await http::async_write_header(this->stream, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    co_return this->recordWrite(error, false);
}

Awaitable<bool> Connection::writeChunk(std::string_view bytes)
{
    if (this->gone)
        co_return false;
    beast::error_code error;
    this->beginWriting(bytes.size());
    if (this->isHttp11)
        co_await asio::async_write(this->stream,
                                   http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                                   asio::redirect_error(asio::use_awaitable, error));
    else
        co_await asio::async_write(this->stream, asio::buffer(bytes.data(), bytes.size()),
                                   asio::redirect_error(asio::use_awaitable, error));
    co_return this->recordWrite(error, false);
}

Awaitable<bool> Connection::endStream()
{
    beast::error_code error;
    if (!this->isHttp11) {
        if (this->gone)
            co_return false;
        this->setResetOnClose(false);
        co_return this->recordWrite(error, true);
    }
    this->beginWriting(0);
    co_await asio::async_write(this->stream, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return this->recordWrite(error, true);
}

void Connection::setResetOnClose(bool resets)
{
    this->isResetOnClose = resets;
    beast::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
}

void Connection::disconnect()
{
    this->markCallerGone();
    this->stream.close();
}

Awaitable<void> Connection::refuse()
{
    co_await this->rejectForRoom();
    co_await this->drainInput();
    this->stream.close();
}

void Connection::closeIfIdle()
{
    // Bytes that have arrived were sent before the end of the connection.
    if (this->isIdle && !this->hasInput())
        this->cancelSocket();
}

bool Connection::hasInput()
{
    beast::error_code error;
    return this->buffer.size() > 0 || this->stream.socket().available(error) > 0;
}

void Connection::applyIdleTimeout()
{
    // Callers may still rely on a longer time-out from before.
    this->idleUntil = std::max(this->idleUntil, this->idleSince + this->options.idleTimeout);
    if (this->isIdle)
        this->deadline.moveTo(this->idleUntil);
}

Awaitable<void> Connection::serve(const Handler &handler, const FaultAction &onFault,
                                  const std::atomic<bool> &accepting)
{
    // A connection that was accepted shortly before the end may hold a request already.
    do {
        this->answered = false;
        this->headWritten = false;
        this->probeCount = 0;
        this->gone = false;
        // In the condition of a loop, GCC 12 evaluates what is awaited before the other operands.
        const bool isRead = co_await this->readRequest();
        if (!isRead)
            break;
        this->isHandling = true;
        this->watchCaller();
        co_await this->handle(handler, onFault);
        this->isHandling = false;
        this->callerGoneAction = nullptr;
        this->stopWatching.emit(asio::cancellation_type::all);
        this->callerCheck.cancel();
        this->holder.hasCompleted = true;
        this->releaseRequest();
        if (!this->answered || !this->keepAlive)
            break;
    } while (accepting || this->hasInput());
    // Behind an answer that kept the connection, a request may be on its way: it must not be read.
    this->releaseRequest();
    if (this->answered && !this->keepAlive)
        co_await this->drainInput();
    beast::error_code ignored;
    // An end in order before the reset would look like the end of the body.
    if (!this->isResetOnClose)
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

Awaitable<void> Connection::handle(const Handler &handler, const FaultAction &onFault)
{
    std::string fault;
    try {
        co_await handler(*this);
        co_return;
    } catch (const std::exception &exception) {
        fault = exception.what();
    } catch (...) {
        fault = "unknown exception";
    }
    // What the action refers to was destroyed with the handler.
    this->callerGoneAction = nullptr;
    this->keepAlive = false;
    if (onFault)
        onFault(fault);
    if (this->headWritten || this->gone)
        co_return;
    Response response
        = jsonResponse(502, errorBody("internal", "the request could not be handled", "maybe"));
    co_await this->respond(std::move(response));
}

void Connection::cancelSocket()
{
    // The stream's own time-out would close the connection before an error response could be sent.
    beast::error_code ignored;
    this->stream.socket().cancel(ignored);
}

Awaitable<void> Connection::drainInput()
{
    beast::error_code error;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    std::array<char, kDrainReadBytes> discarded;
    this->deadline.moveTo(clockNow() + kMaxDrainDuration);
    std::size_t total = 0;
    while (!error && total < kMaxDrainedBytes && !this->deadline.hasExpired()) {
        total += co_await this->stream.async_read_some(
            asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
    }
}

void Connection::watchCaller()
{
    this->deadline.clear();
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(this->stopWatching.slot(),
                                     [self = this->shared_from_this()](beast::error_code error) {
                                         if (!error)
                                             self->checkCaller();
                                     }));
}

void Connection::checkCaller()
{
    if (!this->isHandling)
        return;
    const int probesBefore = this->probeCount;
    if (this->hasLeft(clockNow())) {
        this->markCallerGone();
        return;
    }
    this->holdReadAhead();
    const bool wasProbed = this->probeCount > probesBefore;
    this->callerCheck.start(wasProbed ? kResetDelay : kCallerCheckInterval,
                            [this] { this->checkCaller(); });
}

Awaitable<void> Connection::checkBeforeHandling()
{
    this->gone = this->gone || this->hasLeft(clockNow());
    if (this->gone || this->probeCount == 0)
        co_return;
    asio::steady_timer timer(this->stream.get_executor(), kResetDelay);
    beast::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->gone = this->gone || this->hasLeft(clockNow());
}

bool Connection::hasLeft(Common::Time now)
{
    const CallerSide side = callerSideOf(this->stream.socket().native_handle());
    if (side != CallerSide::SentAll)
        return side == CallerSide::Closed;
    const bool mayKeepHalf = this->options.keepsHalfClosed && this->isHttp11;
    if (!mayKeepHalf)
        return true;
    // A closed connection is reset by what is being written.
    if (this->isWriting || this->answered)
        return false;
    if (this->headWritten)
        return now - this->wroteAt >= kMaxUnprobedPause;
    const bool isProbeDue = this->probeCount == 0 || now - this->probedAt >= kProbeInterval;
    return isProbeDue && this->probeCount < kMaxProbes && !this->probe(now);
}

bool Connection::probe(Common::Time now)
{
    const auto count = ::send(this->stream.socket().native_handle(), kContinue.data(),
                              kContinue.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
    ++this->probeCount;
    this->probedAt = now;
    const bool isWhole = count == static_cast<ssize_t>(kContinue.size());
    // No answer can follow a part of an interim response.
    if (!isWhole)
        this->stream.close();
    return isWhole;
}

void Connection::markCallerGone()
{
    this->gone = true;
    if (this->callerGoneAction)
        this->callerGoneAction();
}

} // namespace Tanagerbay::Http
