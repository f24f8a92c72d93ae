// Server side of one connection: reads its requests one after another and writes the responses.
#pragma once

#include "Common/DelayedAction.h"
#include "Http/LazyDeadline.h"
#include "Http/MemoryAccount.h"
#include "Http/Server.h"

#include <atomic>
#include <memory>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

namespace Tanagerbay::Http {

// Returns the JSON body of an error response that the server sends itself. `ran` tells whether the
// request was run; it was not if the handler was not called.
std::string errorBody(std::string_view code, std::string_view message, std::string_view ran = "no");

// Used on the socket's executor only. The options must outlive the connection.
class Connection final : public Exchange, public std::enable_shared_from_this<Connection>
{
public:
    // `requestsBeingRead` counts the requests of which a part has been read, and not the last byte.
    Connection(boost::asio::ip::tcp::socket socket, const ServerOptions &options,
               const std::atomic<bool> &closeAfterAnswers,
               std::atomic<std::size_t> &requestsBeingRead, std::size_t contextIndex);

    ~Connection() override;

    const Request &request() const override;
    std::string takeBody() override;
    std::size_t contextIndex() const override;
    Common::Time receivedAt() const override;
    std::string callerIp() const override;
    bool started() const override;
    bool callerGone() const override;
    void onCallerGone(std::function<void()> action) override;
    Awaitable<bool> respond(Response response) override;
    Awaitable<bool> beginStream(Response head) override;
    Awaitable<bool> writeChunk(std::string_view bytes) override;
    Awaitable<bool> endStream() override;

    // Asks for a place in the memory account. Returns false if the connection must be refused.
    bool admit();
    // Serves requests until the connection ends. Once the server has stopped accepting, only those
    // that have arrived.
    Awaitable<void> serve(const Handler &handler, const FaultAction &onFault,
                          const std::atomic<bool> &accepting);
    // Answers that the connection limit is reached, instead of serving requests.
    Awaitable<void> refuse();
    // Closes the connection and reports the caller as gone to the request in progress.
    void disconnect();
    // Closes the connection if it waits for its next request and no byte of it has arrived.
    void closeIfIdle();
    // Lets the connection wait for its next request as long as the options say now.
    void applyIdleTimeout();

private:
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

    struct RequestBody;
    using Parser = boost::beast::http::request_parser<RequestBody>;

    // Runs the handler. If it throws, the caller gets an error response if possible, and the
    // connection is to be closed.
    Awaitable<void> handle(const Handler &handler, const FaultAction &onFault);
    // Reads the next request. Returns false if the connection has ended or the request was
    // rejected; a request that exceeds a limit gets its error response here.
    Awaitable<bool> readRequest();
    Awaitable<void> readHead(Parser &parser, boost::beast::error_code &error);
    Awaitable<void> readBody(Parser &parser, boost::beast::error_code &error);
    // Reads up to so many bytes into the buffer, once there is room for them.
    Awaitable<void> readMore(std::size_t bytes, boost::beast::error_code &error);
    // Sets what the request being read holds. Returns false if there is no room for it.
    bool holdRequest(std::size_t bodyBytes);
    // What the buffer and the copies of the head take.
    std::size_t heldForHead() const;
    // Counts the bytes that wait in the socket while a request is handled.
    void holdReadAhead();
    // Gives back what the last request has held.
    void releaseRequest();
    void beginPhase(HolderPhase phase);
    void beginWriting(std::size_t bytes);
    // Ends what the connection waits for, so that its memory or its descriptor is given back.
    void leave();
    Awaitable<void> readFirstByte(boost::beast::error_code &error);
    // Waits for the next request and reads its first byte. A few line breaks before it are ignored
    // (RFC 9112, 2.2).
    Awaitable<void> awaitRequest(boost::beast::error_code &error);
    // Removes line breaks at the beginning of the buffer. Returns their number of bytes.
    std::size_t dropLineBreaks();
    Awaitable<void> writeContinue(boost::beast::error_code &error);
    Awaitable<void> rejectReadError(boost::beast::error_code error);
    Awaitable<void> reject(unsigned status, std::string_view code, std::string_view message);
    // Answers that there is no room for the request.
    Awaitable<void> rejectForRoom();
    // Discards what the caller still sends, within limits: closing a socket with unread input
    // resets the connection, and the caller could lose the response.
    Awaitable<void> drainInput();
    void setCurrentHead(const Parser &parser);
    // Records the result of a write. `isLast` is set if the write completes the response. Returns
    // whether the write succeeded.
    bool recordWrite(const boost::beast::error_code &error, bool isLast);
    // Marks the caller as gone if it has left before its request was read. Waits for the answer to
    // a probe, if one is needed.
    Awaitable<void> checkBeforeHandling();
    // Detects a disconnect of the caller while its request is handled.
    void watchCaller();
    // Whether the caller has sent bytes that no request has taken.
    bool hasInput();
    // Checks whether the caller has disconnected, now and from time to time: while bytes wait
    // unread, the socket stays readable, and waiting for that tells nothing.
    void checkCaller();
    // Returns whether the caller has left. One that has sent its last byte may still read, and is
    // probed: a closed connection is reset by what is written to it.
    bool hasLeft(Common::Time now);
    // Writes an interim response. Returns whether the caller may still read.
    bool probe(Common::Time now);
    void markCallerGone();
    void cancelSocket();
    // Sets whether closing the connection resets it, also if the process ends. The stream of a
    // caller that knows no chunks ends with its connection, so that a reset alone tells that it is
    // not complete (RFC 9112, 6.3 and 8).
    void setResetOnClose(bool resets);

    boost::beast::tcp_stream stream;
    LazyDeadline deadline;
    const ServerOptions &options;
    const std::atomic<bool> &closeAfterAnswers;
    std::atomic<std::size_t> &requestsBeingRead;
    std::size_t context;
    Common::Time requestReceivedAt;
    // The present or last wait for a request.
    Common::Time idleSince;
    Common::Time idleUntil;
    boost::beast::flat_buffer buffer;
    std::string ip;
    Request currentRequest;
    bool keepAlive = true;
    bool answered = false;
    bool headWritten = false;
    bool isWriting = false;
    bool gone = false;
    bool isIdle = false;
    bool isHandling = false;
    // Whether the caller knows interim responses and chunks.
    bool isHttp11 = false;
    bool isResetOnClose = false;
    int probeCount = 0;
    Common::Time probedAt;
    // When the last write ended.
    Common::Time wroteAt;
    std::function<void()> callerGoneAction;
    // What this connection holds; of use with a memory account only.
    Holder holder;
    // Fields of the head that has been read.
    std::size_t fieldCount = 0;
    // Bytes of the head that have been parsed, and are no longer in the buffer.
    std::size_t headBytes = 0;
    Common::DelayedAction callerCheck;
    boost::asio::cancellation_signal stopWatching;
};

} // namespace Tanagerbay::Http
