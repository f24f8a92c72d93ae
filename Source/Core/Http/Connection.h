// One caller's connection to a server: reads its requests in turn and writes their answers.
#pragma once

#include "Http/LazyDeadline.h"
#include "Http/Server.h"

#include <atomic>
#include <memory>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Tanagerbay::Http {

// The body of an answer that a server gives by itself, before any handler saw the request.
std::string errorBody(std::string_view code, std::string_view message);

// Used on its socket's executor only. The options must outlive it.
class Connection final : public Exchange, public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, const ServerOptions &options,
               const std::atomic<bool> &closeAfterAnswers, std::size_t contextIndex);

    const Request &request() const override;
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

    // Serves requests until the connection ends, or until the server accepts no more.
    Awaitable<void> serve(const Handler &handler, const std::atomic<bool> &accepting);
    // Ends the connection as if the caller had closed it.
    void abandon();

private:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    // Reads the next request. Answers a request that breaks a limit itself and returns false.
    Awaitable<bool> readRequest();
    Awaitable<void> readFirstByte(boost::beast::error_code &error);
    Awaitable<void> writeContinue(boost::beast::error_code &error);
    Awaitable<void> rejectFor(boost::beast::error_code error);
    Awaitable<void> reject(unsigned status, std::string_view code, std::string_view message);
    // Reads what the caller still sends, so that closing does not reset the connection before the
    // caller has read the answer.
    Awaitable<void> drainBriefly();
    void take(Message &&message);
    // Notes the result of a write; `isLast` where it completed the answer.
    bool noteWritten(const boost::beast::error_code &error, bool isLast);
    // Watches for the end of the connection while a request is handled.
    void watchCaller();
    bool peerClosed();
    void noteGone();
    void cancelSocket();

    boost::beast::tcp_stream stream;
    LazyDeadline deadline;
    const ServerOptions &options;
    const std::atomic<bool> &closeAfterAnswers;
    std::size_t context;
    Common::Time requestReceivedAt;
    boost::beast::flat_buffer buffer;
    std::string ip;
    Request current;
    bool keepAlive = true;
    bool answered = false;
    bool headWritten = false;
    bool gone = false;
    std::function<void()> goneAction;
    boost::asio::cancellation_signal stopWatching;
};

} // namespace Tanagerbay::Http
