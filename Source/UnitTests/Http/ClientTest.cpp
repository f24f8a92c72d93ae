#include "Http/Client.h"
#include "Common/Clock.h"
#include "Http/Server.h"
#include "UnitTests/Http/RawServer.h"

#include <array>
#include <optional>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// A call that is not aborted lasts this long.
constexpr Common::Milliseconds kCallTimeout{60'000};
// A call that the server answers, or whose connection it closes.
constexpr Common::Milliseconds kServedCallTimeout{5'000};
// A test whose call has not ended by then fails.
constexpr Common::Milliseconds kMaxWait{10'000};

struct ClientFixture
{
    // Starts a call and runs until it has ended. Returns its error.
    std::optional<Http::CallError> runCall()
    {
        std::optional<Http::CallError> error;
        asio::co_spawn(
            this->context,
            [&]() -> Http::Awaitable<void> {
                Http::CallOptions options;
                options.deadline = Common::clockNow() + kCallTimeout;
                options.connectTimeout = kCallTimeout;
                options.handle = &this->handle;
                Http::Request request{"POST", "/x", {}, "body"};
                const Common::Address address{"127.0.0.1", this->listener.local_endpoint().port()};
                auto opened = co_await this->client.open(address, std::move(request), options);
                if (opened) {
                    if (this->cancelsAfterHead)
                        this->handle.cancel();
                    auto body = co_await opened->read(options.deadline);
                    error = body ? std::nullopt : std::optional(body.error());
                } else {
                    error = opened.error();
                }
            },
            asio::detached);
        // Runs after the call has started to connect, and before the connection's completion.
        if (this->cancelsAtOnce)
            asio::post(this->context, [this] { this->handle.cancel(); });
        this->context.run_for(kMaxWait);
        return error;
    }

    // Calls a server that ends the connection after these bytes, and requires framing.
    Http::CallResult<Http::Response> callForFramedReply(const std::string &bytes)
    {
        Tests::RawServer server([&bytes](const auto &) { return bytes; });
        Http::CallResult<Http::Response> result = tl::unexpected(Http::CallError{});
        const auto run = [&]() -> Http::Awaitable<void> {
            Http::CallOptions options;
            options.deadline = Common::clockNow() + kServedCallTimeout;
            options.requiresFraming = true;
            Http::Request request{"POST", "/x", {}, "body"};
            result = co_await this->client.call(server.address(), std::move(request),
                                                std::move(options));
        };
        asio::co_spawn(this->context, run(), asio::detached);
        this->context.run();
        this->context.restart();
        return result;
    }

    // Calls a server that reads nothing of a long request, and answers with a part of a body. It
    // resets the connection once the part has arrived. Returns what the client reads after it.
    std::optional<Http::CallError> readAfterReset()
    {
        // More than the buffers of both sides take.
        constexpr std::size_t kBodyBytes = 32 << 20;
        this->listener.set_option(asio::socket_base::receive_buffer_size(4096));
        std::optional<Http::CallError> error;
        tcp::socket peer(this->context);
        const auto resetPeer = [&peer] {
            peer.set_option(asio::socket_base::linger(true, 0));
            peer.close();
        };
        const auto run = [&]() -> Http::Awaitable<void> {
            Http::CallOptions options;
            options.deadline = Common::clockNow() + kServedCallTimeout;
            Http::Request request{"POST", "/x", {}, std::string(kBodyBytes, 'b')};
            const Common::Address address{"127.0.0.1", this->listener.local_endpoint().port()};
            auto opened = co_await this->client.open(address, std::move(request), options);
            if (!opened)
                co_return;
            const auto part = co_await opened->read(options.deadline);
            if (!part)
                co_return;
            // Both the write and the next read are in progress then.
            asio::post(this->context, resetPeer);
            const auto rest = co_await opened->read(options.deadline);
            error = rest ? std::nullopt : std::optional(rest.error());
        };
        const std::string reply = "HTTP/1.1 200 OK\r\n\r\npart";
        this->listener.async_accept(peer, [&](const auto &) {
            asio::async_write(peer, asio::buffer(reply), [](const auto &, std::size_t) {});
        });
        asio::co_spawn(this->context, run(), asio::detached);
        this->context.run();
        return error;
    }

    // Returns the number of bytes that the client has sent over its only connection.
    std::size_t receivedBytes()
    {
        tcp::socket socket = this->listener.accept();
        std::array<char, 64> bytes;
        boost::system::error_code ended;
        return socket.read_some(asio::buffer(bytes), ended);
    }

    asio::io_context context{1};
    tcp::acceptor listener{this->context, {asio::ip::address_v4::loopback(), 0}};
    Http::Client client{this->context.get_executor()};
    Http::CallHandle handle;
    bool cancelsAtOnce = true;
    bool cancelsAfterHead = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClient, ClientFixture)

// Guards against a request that reaches an endpoint after its call was cancelled, although its
// caller may have been told that it has not run.
BOOST_AUTO_TEST_CASE(open_cancelledWhileConnecting_writesNothing)
{
    const auto error = this->runCall();
    BOOST_REQUIRE(error);
    BOOST_TEST((error->failure == Http::CallFailure::Cancelled));
    BOOST_TEST(!error->written);
    BOOST_TEST(this->receivedBytes() == 0u);
}

// Guards against a cancelled call that waits for an endpoint which does not accept connections.
BOOST_AUTO_TEST_CASE(open_cancelledWhileConnectHangs_endsAtOnce)
{
    // A full queue of connections: the kernel answers no further attempt.
    this->listener.listen(0);
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 2; ++i) {
        waiting.emplace_back(this->context);
        waiting.back().async_connect(this->listener.local_endpoint(), [](const auto &) {});
    }
    this->context.run_for(Common::Milliseconds(20));
    this->context.restart();
    const auto error = this->runCall();
    BOOST_REQUIRE(error);
    BOOST_TEST((error->failure == Http::CallFailure::Cancelled));
    BOOST_TEST(!error->written);
}

// Guards against a call that goes on reading when it was cancelled between two reads.
BOOST_AUTO_TEST_CASE(read_cancelledBeforeIt_endsAtOnce)
{
    this->cancelsAtOnce = false;
    tcp::socket peer(this->context);
    this->listener.async_accept(peer, [&](const auto &) {
        asio::write(peer,
                    asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")));
    });
    this->cancelsAfterHead = true;
    const auto error = this->runCall();
    BOOST_REQUIRE(error);
    BOOST_TEST((error->failure == Http::CallFailure::Cancelled));
}

// Guards against a report that nothing was written when an earlier connection carried the request.
BOOST_AUTO_TEST_CASE(call_reusedConnectionIsLostAndReconnectFails_isReportedAsWritten)
{
    Http::ServerOptions serverOptions;
    serverOptions.address = {"127.0.0.1", 0};
    std::unique_ptr<Http::Server> server;
    int requests = 0;
    const auto handle = [&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        if (++requests == 1) {
            Http::Response response;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        // The second request has been received; its connection closes without a response.
        server->stopAccepting();
    };
    server = std::make_unique<Http::Server>(std::vector<asio::io_context *>{&this->context},
                                            serverOptions, handle);
    BOOST_REQUIRE_EQUAL(server->start(), "");
    const Common::Address address{"127.0.0.1", server->port()};
    Http::CallResult<Http::Response> last = tl::unexpected(Http::CallError{});
    const auto run = [&]() -> Http::Awaitable<void> {
        for (int call = 0; call < 2; ++call) {
            Http::CallOptions options;
            options.deadline = Common::clockNow() + kServedCallTimeout;
            Http::Request request{"POST", "/x", {}, "body"};
            last = co_await this->client.call(address, std::move(request), std::move(options));
        }
    };
    asio::co_spawn(this->context, run(), asio::detached);
    this->context.run();
    BOOST_TEST(requests == 2);
    BOOST_REQUIRE(!last);
    BOOST_TEST(Common::nameOf(last.error().failure) == "connect failed");
    BOOST_TEST(last.error().written);
}

// Guards against a connection that is reused although it was idle for longer than its caller
// trusts.
BOOST_AUTO_TEST_CASE(open_connectionIsIdleForLongerThanAllowed_isNotReused)
{
    Http::ServerOptions serverOptions;
    serverOptions.address = {"127.0.0.1", 0};
    Http::Server server(std::vector<asio::io_context *>{&this->context}, serverOptions,
                        [](Http::Exchange &exchange) -> Http::Awaitable<void> {
                            Http::Response response;
                            co_await exchange.respond(std::move(response));
                        });
    BOOST_REQUIRE_EQUAL(server.start(), "");
    const Common::Address address{"127.0.0.1", server.port()};
    std::vector<bool> wereReused;
    const auto run = [&]() -> Http::Awaitable<void> {
        const Common::Time start = Common::clockNow();
        for (const Common::Time since :
             {Common::Time::min(), start, start + kMaxWait, Common::Time::min()}) {
            Http::CallOptions options;
            options.deadline = start + kServedCallTimeout;
            options.reusableIdleSince = since;
            Http::Request request{"GET", "/x", {}, ""};
            auto opened = co_await this->client.open(address, std::move(request), options);
            if (!opened)
                break;
            wereReused.push_back(opened->reusedConnection());
            const auto end = co_await opened->read(options.deadline);
            if (!end)
                break;
        }
        server.closeAll();
    };
    asio::co_spawn(this->context, run(), asio::detached);
    this->context.run_for(kMaxWait);
    BOOST_TEST((wereReused == std::vector<bool>{false, true, false, true}));
}

// Guards against a part of a body that is taken for the whole, since the system ends the
// connections of a killed process in order.
BOOST_AUTO_TEST_CASE(call_requiresFramingAndBodyEndsWithItsConnection_isLost)
{
    for (const char *bytes :
         {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
          "HTTP/1.0 500 Failed\r\n\r\npart"}) {
        const auto reply = this->callForFramedReply(bytes);
        BOOST_REQUIRE(!reply);
        BOOST_TEST(Common::nameOf(reply.error().failure) == "connection lost");
        BOOST_TEST(reply.error().written);
    }
}

// Guards against a reset that is taken for the end of a body: the system reports it once, here to
// the write of the request, which is still in progress.
BOOST_AUTO_TEST_CASE(read_isResetWhileTheRequestIsWritten_isLost)
{
    const auto error = this->readAfterReset();
    BOOST_REQUIRE(error);
    BOOST_TEST((error->failure == Http::CallFailure::ConnectionLost));
}

// Guards against bytes of a peer in trouble that are passed on as an answer.
BOOST_AUTO_TEST_CASE(call_statusIsNone_isABadReply)
{
    for (const char *status :
         {"000", "001", "099", "101", "600", "999", "2000", "20", "2x0", "-20"}) {
        const auto reply = this->callForFramedReply("HTTP/1.1 " + std::string(status)
                                                    + " OK\r\nContent-Length: 4\r\n\r\nbody");
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_REQUIRE(!reply);
            BOOST_TEST(Common::nameOf(reply.error().failure) == "bad reply");
            BOOST_TEST(reply.error().written);
        }
    }
}

// Guards against an interim head that is taken for the final one (RFC 9110, 15.2).
BOOST_AUTO_TEST_CASE(call_interimHeadsComeFirst_finalReplyIsAnswered)
{
    const std::string interim
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const auto reply
        = this->callForFramedReply(interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 200u);
    BOOST_TEST(reply->body == "body");
}

// Guards against an interim head that stands for an answer, and against heads without end.
BOOST_AUTO_TEST_CASE(call_onlyInterimHeadsCome_isNoReply)
{
    constexpr int kHeads = 1000;
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const auto lost = this->callForFramedReply(interim);
    BOOST_REQUIRE(!lost);
    BOOST_TEST(lost.error().written);
    std::string heads;
    for (int i = 0; i < kHeads; ++i)
        heads += interim;
    const auto endless = this->callForFramedReply(heads);
    BOOST_REQUIRE(!endless);
    BOOST_TEST(Common::nameOf(endless.error().failure) == "bad reply");
}

// Guards against replies without a body, or with a complete one, that count as lost.
BOOST_AUTO_TEST_CASE(call_requiresFramingAndReplyIsFramed_isAnswered)
{
    for (const char *bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "4\r\nbody\r\n0\r\n\r\n"}) {
        const auto reply = this->callForFramedReply(bytes);
        BOOST_REQUIRE(reply);
        BOOST_TEST(reply->body == "body");
    }
    for (const char *bytes :
         {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
        const auto reply = this->callForFramedReply(bytes);
        BOOST_REQUIRE(reply);
        BOOST_TEST(reply->body == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
