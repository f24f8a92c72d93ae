// How a connection reads its requests.
#include "Common/Clock.h"
#include "Http/BodyBlocks.h"
#include "Http/Connection.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Common::clockNow;

// Body of a request that is being read. Beast prescribes the names in it.
struct Connection::RequestBody
{
    struct value_type // NOLINT(readability-identifier-naming)
    {
        BodyBlocks blocks;
        bool isDropped = false;
        // Whether there were bytes to drop.
        bool hasDropped = false;
    };

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields> & /*head*/, value_type &body) : body(body)
        {
        }
        // The length is what the caller says; nothing is reserved for it.
        void init(const boost::optional<std::uint64_t> & /*length*/, beast::error_code &error)
        {
            error = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers &buffers, beast::error_code &error)
        {
            error = {};
            for (const auto part : beast::buffers_range_ref(buffers)) {
                if (this->body.isDropped)
                    this->body.hasDropped = this->body.hasDropped || part.size() > 0;
                else
                    this->body.blocks.append({static_cast<const char *>(part.data()), part.size()});
            }
            return beast::buffer_bytes(buffers);
        }
        void finish(beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &body;
    };
};

namespace {

// How much is read at once of a head and of a body.
constexpr std::size_t kHeadReadBytes = 2 << 10;
constexpr std::size_t kBodyReadBytes = 16 << 10;
// An idle connection keeps no larger buffer.
constexpr std::size_t kMaxIdleBufferBytes = 4 << 10;
// What a field takes besides its bytes, in the copies of its request that exist at once.
constexpr std::size_t kFieldBytes = 400;
// Copies of the bytes of a head while its request is handled: of the parser, of the request, and of
// the fields that are passed on.
constexpr std::size_t kHeadCopies = 3;
// Bodies up to this size are kept without asking whether they are used.
constexpr std::size_t kSmallBodyBytes = 16 << 10;
// Copies of a body while its request is handled: of the request, and of a call to an endpoint.
constexpr std::size_t kBodyCopies = 2;
// Bytes of line breaks before a request that are ignored.
constexpr std::size_t kMaxLineBreakBytes = 16;
// Retry-After of requests without room, in seconds.
constexpr const char *kRetryAfter = "1";
constexpr int kHttp11 = 11;

// Raises a count while it exists.
class CountGuard
{
public:
    explicit CountGuard(std::atomic<std::size_t> &count) : count(count)
    {
        ++this->count;
    }
    ~CountGuard()
    {
        --this->count;
    }
    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;

private:
    std::atomic<std::size_t> &count;
};

} // namespace

Awaitable<bool> Connection::readRequest()
{
    beast::error_code error;
    co_await this->awaitRequest(error);
    if (error == http::error::bad_line_ending)
        co_await this->rejectReadError(error);
    if (error)
        co_return false;
    this->beginPhase(HolderPhase::Reading);
    // Until the handler begins, which follows in the same turn of the executor.
    const CountGuard reading(this->requestsBeingRead);
    {
        // The limits may have changed during the wait.
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(this->options.maxHeaderBytes));
        parser.body_limit(this->options.maxBodyBytes);
        this->deadline.moveTo(clockNow() + this->options.requestTimeout);
        co_await this->readHead(parser, error);
        if (!error && parser.get().target().size() > this->options.maxTargetBytes) {
            co_await this->reject(414, "too_large", "the URL exceeds the length limit");
            co_return false;
        }
        if (!error && this->options.bodyTimeout.count() > 0)
            this->deadline.moveTo(clockNow() + this->options.bodyTimeout);
        if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await this->writeContinue(error);
        if (!error)
            co_await this->readBody(parser, error);
    }
    if (!error && this->holder.evicted)
        error = asio::error::no_memory;
    if (error) {
        // Given back before the answer, which the caller may take its time to read.
        this->releaseRequest();
        if (this->holder.evicted || error == asio::error::no_memory)
            co_await this->rejectForRoom();
        else
            co_await this->rejectReadError(error);
        co_return false;
    }
    this->requestReceivedAt = clockNow();
    this->deadline.clear();
    this->beginPhase(HolderPhase::Handling);
    // The request may have waited in the socket buffer until after its caller disconnected.
    co_await this->checkBeforeHandling();
    co_return true;
}

Awaitable<void> Connection::readHead(Parser &parser, beast::error_code &error)
{
    const auto lineBreaksIn = [](const asio::const_buffer &bytes) {
        const char *begin = static_cast<const char *>(bytes.data());
        return static_cast<std::size_t>(std::count(begin, begin + bytes.size(), '\n'));
    };
    // Each line becomes a field when it is parsed.
    this->fieldCount = lineBreaksIn(this->buffer.data());
    this->headBytes = 0;
    while (!parser.is_header_done()) {
        if (!this->holdRequest(0)) {
            error = asio::error::no_memory;
            co_return;
        }
        const std::size_t parsed = parser.put(this->buffer.data(), error);
        this->buffer.consume(parsed);
        this->headBytes += parsed;
        if (error != http::error::need_more && error)
            co_return;
        if (parser.is_header_done())
            break;
        const std::size_t before = this->buffer.size();
        co_await this->readMore(kHeadReadBytes, error);
        if (error)
            co_return;
        this->fieldCount += lineBreaksIn(this->buffer.data() + before);
    }
    error = {};
    this->setCurrentHead(parser);
}

Awaitable<void> Connection::readBody(Parser &parser, beast::error_code &error)
{
    auto &body = parser.get().body();
    const auto length = parser.content_length();
    const bool isSmall = length && *length <= kSmallBodyBytes;
    body.isDropped
        = !isSmall && this->options.usesBody && !this->options.usesBody(this->currentRequest);
    while (!parser.is_done()) {
        if (this->buffer.size() > 0) {
            this->buffer.consume(parser.put(this->buffer.data(), error));
            if (!error)
                continue;
            if (error != http::error::need_more)
                co_return;
        }
        // A chunk may have a head, and the last one fields behind it.
        if (this->buffer.size() > this->options.maxHeaderBytes + kBodyReadBytes) {
            error = http::error::header_limit;
            co_return;
        }
        if (!this->holdRequest(body.blocks.heldBytes())) {
            error = asio::error::no_memory;
            co_return;
        }
        co_await this->readMore(kBodyReadBytes, error);
        if (error)
            co_return;
    }
    error = {};
    if (!this->holdRequest(body.blocks.size() * kBodyCopies)) {
        error = asio::error::no_memory;
        co_return;
    }
    this->currentRequest.body = body.blocks.join();
    this->currentRequest.isBodyDropped = body.hasDropped;
}

Awaitable<void> Connection::readMore(std::size_t bytes, beast::error_code &error)
{
    error = {};
    // What ends the connection cancels a read; one that has already completed is not affected.
    if (this->holder.evicted)
        error = asio::error::no_memory;
    else if (this->deadline.hasExpired())
        error = asio::error::operation_aborted;
    if (error)
        co_return;
    const auto count = co_await this->stream.async_read_some(
        this->buffer.prepare(bytes), asio::redirect_error(asio::use_awaitable, error));
    this->buffer.commit(count);
}

std::size_t Connection::heldForHead() const
{
    return this->buffer.capacity() + this->fieldCount * kFieldBytes + this->headBytes * kHeadCopies;
}

bool Connection::holdRequest(std::size_t bodyBytes)
{
    if (!this->options.memory)
        return true;
    const Common::Time now = clockNow();
    return hold(*this->options.memory, this->holder, HeldKind::Head, this->heldForHead(), now)
        && hold(*this->options.memory, this->holder, HeldKind::Body, bodyBytes, now);
}

void Connection::holdReadAhead()
{
    if (!this->options.memory)
        return;
    beast::error_code ignored;
    const std::size_t waiting = this->stream.socket().available(ignored);
    holdAnyway(*this->options.memory, this->holder, HeldKind::Head, this->heldForHead() + waiting,
               clockNow());
}

void Connection::releaseRequest()
{
    // The memory of a few fields is used again.
    if (this->fieldCount * sizeof(Header) > kMaxIdleBufferBytes)
        this->currentRequest = {};
    std::string().swap(this->currentRequest.body);
    this->fieldCount = 0;
    this->headBytes = 0;
    if (this->buffer.capacity() > kMaxIdleBufferBytes)
        this->buffer.shrink_to_fit();
    if (!this->options.memory)
        return;
    const Common::Time now = clockNow();
    holdAnyway(*this->options.memory, this->holder, HeldKind::Head, this->buffer.capacity(), now);
    holdAnyway(*this->options.memory, this->holder, HeldKind::Body, 0, now);
}

Awaitable<void> Connection::awaitRequest(beast::error_code &error)
{
    std::size_t dropped = this->dropLineBreaks();
    while (this->buffer.size() == 0 && dropped <= kMaxLineBreakBytes) {
        this->idleSince = clockNow();
        Http::beginPhase(this->holder, HolderPhase::Idle, this->idleSince);
        this->idleUntil = this->idleSince + this->options.idleTimeout;
        this->deadline.moveTo(this->idleUntil);
        co_await this->readFirstByte(error);
        if (error)
            co_return;
        dropped += this->dropLineBreaks();
    }
    if (dropped > kMaxLineBreakBytes)
        error = http::error::bad_line_ending;
}

std::size_t Connection::dropLineBreaks()
{
    std::size_t count = 0;
    while (this->buffer.size() > 0 && count <= kMaxLineBreakBytes) {
        const char first = *static_cast<const char *>(this->buffer.data().data());
        if (first != '\r' && first != '\n')
            break;
        this->buffer.consume(1);
        ++count;
    }
    return count;
}

Awaitable<void> Connection::readFirstByte(beast::error_code &error)
{
    this->isIdle = true;
    const auto bytes = co_await this->stream.async_read_some(
        this->buffer.prepare(1), asio::redirect_error(asio::use_awaitable, error));
    this->isIdle = false;
    this->buffer.commit(bytes);
}

Awaitable<void> Connection::writeContinue(beast::error_code &error)
{
    co_await asio::async_write(this->stream, asio::buffer(kContinue.data(), kContinue.size()),
                               asio::redirect_error(asio::use_awaitable, error));
}

Awaitable<void> Connection::rejectReadError(beast::error_code error)
{
    if (this->deadline.hasExpired())
        co_await this->reject(408, "bad_input", "the request was not received within the time-out");
    else if (error == http::error::body_limit)
        co_await this->reject(413, "too_large", "the body exceeds the size limit");
    else if (error == http::error::header_limit)
        co_await this->reject(431, "too_large", "the headers exceed the size limit");
    else if (error.category() == http::make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        co_await this->reject(400, "bad_input", "the request is not valid HTTP");
}

Awaitable<void> Connection::reject(unsigned status, std::string_view code, std::string_view message)
{
    this->keepAlive = false;
    Response response = jsonResponse(status, errorBody(code, message));
    co_await this->respond(std::move(response));
}

Awaitable<void> Connection::rejectForRoom()
{
    this->keepAlive = false;
    Response response
        = jsonResponse(503, errorBody("overloaded", "there is no room for the request"));
    response.headers.add("Retry-After", kRetryAfter);
    co_await this->respond(std::move(response));
}

void Connection::setCurrentHead(const Parser &parser)
{
    const auto &message = parser.get();
    this->keepAlive = message.keep_alive();
    this->isHttp11 = message.version() >= kHttp11;
    this->currentRequest.method = message.method_string();
    this->currentRequest.target = message.target();
    this->currentRequest.isBodyDropped = false;
    this->currentRequest.headers.fields.clear();
    for (const auto &field : message) {
        this->currentRequest.headers.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    this->fieldCount = this->currentRequest.headers.fields.size();
}

} // namespace Tanagerbay::Http
