#include "UnitTests/Http/ServerFixture.h"

#include <atomic>
#include <stdexcept>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::HttpTests;

namespace {

constexpr int kWaitingCallers = 5;

// Leaves the process a few descriptors, and uses them up; the destructor gives them back.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(int left)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        const int highest = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        this->used.push_back(highest);
        ::rlimit lowered = this->before;
        lowered.rlim_cur = static_cast<::rlim_t>(highest) + 1 + static_cast<::rlim_t>(left);
        ::setrlimit(RLIMIT_NOFILE, &lowered);
        for (int next = ::open("/dev/null", O_RDONLY | O_CLOEXEC); next >= 0;
             next = ::open("/dev/null", O_RDONLY | O_CLOEXEC))
            this->used.push_back(next);
    }
    ~DescriptorLimit()
    {
        for (const int descriptor : this->used)
            ::close(descriptor);
        ::setrlimit(RLIMIT_NOFILE, &this->before);
    }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    ::rlimit before{};
    std::vector<int> used;
};

Http::Awaitable<void> answer(Http::Exchange &exchange)
{
    Http::Response response;
    response.status = 200;
    response.body = "done";
    co_await exchange.respond(std::move(response));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Server, ServerFixture)

BOOST_AUTO_TEST_CASE(closeAll_idleConnection_isClosed)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    this->server->closeAll();
    BOOST_TEST(this->read().empty());
}

// Guards against a shutdown that drops a request of which a part has been read.
BOOST_AUTO_TEST_CASE(closeIdle_requestIsBeingRead_isAnsweredAndIdleConnectionsAreClosed)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    tcp::socket slow(this->clientContext);
    this->connect(slow);
    send(slow, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
    BOOST_REQUIRE(eventually([&] { return this->server->requestsBeingRead() == 1; }));
    this->server->closeIdle();
    BOOST_TEST(this->read().empty());
    send(slow, "cd");
    BOOST_TEST(read(slow).find("done") != std::string::npos);
    BOOST_TEST(this->server->requestsBeingRead() == 0u);
    BOOST_TEST(read(slow).empty());
}

// Guards against an instance that runs late during its shutdown, and closes a connection whose
// request has arrived.
BOOST_AUTO_TEST_CASE(closeIdle_requestWaitsOnKeptConnection_isAnswered)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    this->runInServerThread([this] {
        send(this->socket, kRequest);
        waitUntilReceived(this->socket);
        this->server->closeIdle();
    });
    BOOST_TEST(this->read().find("done") != std::string::npos);
    BOOST_TEST(this->read().empty());
}

// The same for connections that wait to be accepted.
BOOST_AUTO_TEST_CASE(closeIdle_requestsWaitOnNewConnections_areAnswered)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    std::vector<tcp::socket> callers;
    this->runInServerThread([&] {
        for (int i = 0; i < kWaitingCallers; ++i) {
            this->connect(callers.emplace_back(this->clientContext));
            send(callers.back(), kRequest);
            waitUntilReceived(callers.back());
        }
        this->server->closeIdle();
    });
    for (tcp::socket &caller : callers) {
        BOOST_TEST(read(caller).find("done") != std::string::npos);
        BOOST_TEST(read(caller).empty());
    }
}

// Guards against a limit from before a change that is enforced on connections which are kept open.
BOOST_AUTO_TEST_CASE(applyLimits_connectionIsKept_nextRequestMeetsTheNewLimit)
{
    this->options.maxBodyBytes = 100;
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    // By then the connection waits for its next request.
    std::this_thread::sleep_for(Common::Milliseconds(200));
    this->options.maxBodyBytes = 10'000;
    this->applyOptions();
    send(this->socket,
         "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'));
    BOOST_TEST(this->read().find("done") != std::string::npos);
}

// Guards against closing a connection on which its caller may still send by the new time-out.
BOOST_AUTO_TEST_CASE(applyLimits_idleTimeoutIsRaised_keepsConnectionThatWaits)
{
    this->options.idleTimeout = Common::Milliseconds(2000);
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    this->options.idleTimeout = Common::Milliseconds(60'000);
    this->applyOptions();
    std::this_thread::sleep_for(Common::Milliseconds(2500));
    send(this->socket, kRequest);
    BOOST_TEST(this->read().find("done") != std::string::npos);
}

// Guards against a caller that gets neither an answer nor a close, and whose later disconnect calls
// into a request that no longer exists.
BOOST_AUTO_TEST_CASE(handlerThrows_responseHasNotBegun_isAnsweredAsUnknownAndClosed)
{
    std::atomic<bool> callerGoneActionRan{false};
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        if (exchange.request().method == "GET") {
            exchange.onCallerGone([&callerGoneActionRan] { callerGoneActionRan = true; });
            throw std::runtime_error("fault of the handler");
        }
        co_await answer(exchange);
    });
    const std::string response = this->read();
    BOOST_TEST(response.find("HTTP/1.1 502") == 0u);
    BOOST_TEST(response.find(R"("ran":"maybe")") != std::string::npos);
    BOOST_TEST(this->read().empty());
    this->socket.close();
    tcp::socket next(this->clientContext);
    this->connect(next);
    send(next, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    BOOST_TEST(read(next).find("done") != std::string::npos);
    BOOST_TEST(read(next).empty());
    BOOST_TEST(eventually([&] { return this->server->openConnections() == 0; }));
    BOOST_TEST(!callerGoneActionRan);
}

BOOST_AUTO_TEST_CASE(handlerThrows_responseHasBegun_closesTheConnection)
{
    this->start([](Http::Exchange &exchange) -> Http::Awaitable<void> {
        Http::Response head;
        head.status = 200;
        co_await exchange.beginStream(std::move(head));
        throw std::runtime_error("fault of the handler");
    });
    BOOST_TEST(this->read().find("HTTP/1.1 200") == 0u);
    BOOST_TEST(this->read().empty());
}

// Guards against chunks that a caller of HTTP/1.0 takes for the body (RFC 9112, 6.1).
BOOST_AUTO_TEST_CASE(stream_callerUsesHttp10_hasNoChunksAndEndsWithItsConnection)
{
    this->start([](Http::Exchange &exchange) -> Http::Awaitable<void> {
        Http::Response head;
        head.status = 200;
        co_await exchange.beginStream(std::move(head));
        co_await exchange.writeChunk("first ");
        co_await exchange.writeChunk("second");
        co_await exchange.endStream();
    });
    tcp::socket caller(this->clientContext);
    this->connect(caller);
    send(caller, "GET /x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
    std::string received;
    errno = 0;
    for (std::string bytes = read(caller); !bytes.empty(); bytes = read(caller))
        received += bytes;
    BOOST_TEST(errno != ECONNRESET);
    const std::size_t head = received.find("\r\n\r\n");
    BOOST_REQUIRE(head != std::string::npos);
    BOOST_TEST(received.substr(head + 4) == "first second");
    BOOST_TEST(received.find("Connection: close") < head);
    BOOST_TEST(received.find("chunked") == std::string::npos);
}

// Guards against a stream that counts as answered although such a caller has left.
BOOST_AUTO_TEST_CASE(stream_callerUsesHttp10AndHasLeft_isNotAnswered)
{
    std::atomic<bool> isEnded{false};
    std::atomic<bool> isAnswered{true};
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        Http::Response head;
        head.status = 200;
        co_await exchange.beginStream(std::move(head));
        if (exchange.request().method != "POST") {
            co_await exchange.endStream();
            co_return;
        }
        // The caller resets its connection as soon as it has the head.
        while (co_await exchange.writeChunk("more")) {
            asio::steady_timer pause(co_await asio::this_coro::executor, Common::Milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        isAnswered = co_await exchange.endStream();
        isEnded = true;
    });
    BOOST_TEST(this->read().find("HTTP/1.1 200") == 0u);
    tcp::socket caller(this->clientContext);
    this->connect(caller);
    send(caller, "POST /x HTTP/1.0\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(read(caller).find("HTTP/1.1 200") == 0u);
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    BOOST_TEST(eventually([&] { return isEnded.load(); }));
    BOOST_TEST(!isAnswered);
}

// Guards against a part of a stream that looks complete to such a caller (ORDER).
BOOST_AUTO_TEST_CASE(stream_callerUsesHttp10AndItIsCut_connectionIsReset)
{
    this->start([](Http::Exchange &exchange) -> Http::Awaitable<void> {
        Http::Response head;
        head.status = 200;
        co_await exchange.beginStream(std::move(head));
        co_await exchange.writeChunk("first");
    });
    tcp::socket caller(this->clientContext);
    this->connect(caller);
    send(caller, "GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
    int last = 0;
    std::array<char, 4096> bytes;
    ssize_t count = 0;
    do {
        errno = 0;
        count = ::recv(caller.native_handle(), bytes.data(), bytes.size(), 0);
        last = errno;
    } while (count > 0);
    BOOST_TEST(count < 0);
    BOOST_TEST(last == ECONNRESET);
}

// Guards against a refusal that its caller loses, since closing a socket with unread input resets
// the connection.
BOOST_AUTO_TEST_CASE(connectionLimit_callerSendsALongRequest_readsTheRefusal)
{
    this->options.maxConnections = 1;
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    tcp::socket refused(this->clientContext);
    this->connect(refused);
    const std::string request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
        + std::string(1'000'000, 'x');
    boost::system::error_code error;
    BOOST_TEST(asio::write(refused, asio::buffer(request), error) == request.size());
    BOOST_TEST(!error);
    BOOST_TEST(read(refused).find("HTTP/1.1 503") == 0u);
    BOOST_TEST(read(refused).empty());
}

// Guards against an answer that a slow caller loses: bytes that wait unread when the connection is
// closed make the kernel reset it, and drop what the caller has not received yet.
BOOST_AUTO_TEST_CASE(lastAnswer_callerHasSentMoreAndReadsSlowly_arrivesWhole)
{
    constexpr std::size_t kBodyBytes = 1'000'000;
    constexpr int kReceiveBuffer = 4096;
    std::atomic<bool> answered{false};
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        Http::Response response;
        response.status = 200;
        if (exchange.request().method == "POST")
            response.body = std::string(kBodyBytes, 'x');
        co_await exchange.respond(std::move(response));
        answered = exchange.request().method == "POST";
    });
    BOOST_TEST(this->read().find("HTTP/1.1 200") == 0u);
    tcp::socket slow(this->clientContext);
    slow.open(tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    this->connect(slow);
    send(slow, "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(eventually([&] { return answered.load(); }));
    // By then the server has ended the connection.
    std::this_thread::sleep_for(Common::Milliseconds(50));
    send(slow, kRequest);
    std::this_thread::sleep_for(Common::Milliseconds(50));
    std::string received;
    for (std::string bytes = read(slow); !bytes.empty(); bytes = read(slow))
        received += bytes;
    const std::size_t head = received.find("\r\n\r\n");
    BOOST_REQUIRE(head != std::string::npos);
    BOOST_TEST(received.size() - head - 4 == kBodyBytes);
}

// Guards against work for a caller that has left: after bytes behind its request, its disconnect
// was not seen.
BOOST_AUTO_TEST_CASE(callerSendsMoreThanItsRequest_thenDisconnects_isReportedAsGone)
{
    std::atomic<bool> handlerStarted{false};
    std::atomic<bool> isGone{false};
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        auto timer = std::make_shared<asio::steady_timer>(this->context, Common::Time::max());
        exchange.onCallerGone([&isGone, timer] {
            isGone = true;
            timer->cancel();
        });
        handlerStarted = true;
        boost::system::error_code error;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    });
    BOOST_REQUIRE(eventually([&] { return handlerStarted.load(); }));
    send(this->socket, kRequest);
    // By then the server has seen these bytes.
    std::this_thread::sleep_for(Common::Milliseconds(50));
    this->socket.close();
    BOOST_TEST(eventually([&] { return isGone.load(); }));
    this->server->closeAll();
}

// Guards against a second response to one request: old callers send a line break behind a body.
BOOST_AUTO_TEST_CASE(lineBreaksFollowARequest_nextRequest_isTheNextOneAnswered)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    send(this->socket, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab\r\n");
    BOOST_TEST(this->read().find("done") != std::string::npos);
    BOOST_TEST(this->server->requestsBeingRead() == 0u);
    send(this->socket, "\r");
    std::this_thread::sleep_for(Common::Milliseconds(20));
    send(this->socket, std::string("\n") + kRequest);
    const std::string next = this->read();
    BOOST_TEST(next.find("HTTP/1.1 200") == 0u);
    BOOST_TEST(next.find("done") != std::string::npos);
}

// Guards against line breaks without end that keep a connection and its reader busy.
BOOST_AUTO_TEST_CASE(lineBreaksWithoutEnd_areRejected)
{
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    for (const std::string line : {"\r\n", "\r"}) {
        tcp::socket caller(this->clientContext);
        this->connect(caller);
        std::string lines;
        for (int i = 0; i < 100; ++i)
            lines += line;
        send(caller, lines);
        BOOST_TEST(read(caller).find("HTTP/1.1 400") == 0u);
    }
}

// Guards against a server that uses a whole core, and serves nobody in time, while it has no
// descriptor left: a failed accept was repeated at once.
BOOST_AUTO_TEST_CASE(descriptorsAreUsedUp_callersConnect_areRefusedWithoutSpinning)
{
    constexpr std::size_t kCallers = 3;
    constexpr std::size_t kMaxFaults = 100;
    std::atomic<std::size_t> faults{0};
    this->onAcceptFault = [&faults](std::string_view) { ++faults; };
    this->start(answer);
    BOOST_TEST(this->read().find("done") != std::string::npos);
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
        callers.emplace_back(this->clientContext);
        callers.back().open(tcp::v4());
    }
    {
        const DescriptorLimit limit(0);
        for (tcp::socket &caller : callers)
            this->connect(caller);
        for (tcp::socket &caller : callers) {
            BOOST_TEST(read(caller).find("HTTP/1.1 503") == 0u);
            caller.shutdown(tcp::socket::shutdown_both);
        }
        BOOST_TEST(faults > 0u);
        BOOST_TEST(faults <= kMaxFaults);
    }
    tcp::socket next(this->clientContext);
    this->connect(next);
    send(next, kRequest);
    BOOST_TEST(read(next).find("done") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(closeAll_requestInProgress_runsItsCallerGoneAction)
{
    std::atomic<bool> handlerStarted{false};
    std::atomic<bool> callerGoneActionRan{false};
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        auto timer = std::make_shared<asio::steady_timer>(this->context, Common::Time::max());
        exchange.onCallerGone([&callerGoneActionRan, timer] {
            callerGoneActionRan = true;
            timer->cancel();
        });
        handlerStarted = true;
        boost::system::error_code error;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    });
    while (!handlerStarted)
        std::this_thread::yield();
    this->server->closeAll();
    BOOST_TEST(this->read().empty());
    BOOST_TEST(callerGoneActionRan);
}

BOOST_AUTO_TEST_SUITE_END()
