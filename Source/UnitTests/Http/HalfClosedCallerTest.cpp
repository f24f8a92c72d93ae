// Callers that end their half of the connection behind a request, and read on or are gone.
#include "UnitTests/Http/ServerFixture.h"

#include <atomic>
#include <optional>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::HttpTests;

namespace {

// A handler whose answer waits until the test lets it go on, or until its caller is gone.
struct HalfClosedCallerFixture : ServerFixture
{
    std::atomic<bool> hasStarted = false;
    std::atomic<bool> isGone = false;
    std::optional<asio::steady_timer> gate;

    HalfClosedCallerFixture()
    {
        this->options.keepsHalfClosed = true;
    }

    Http::Awaitable<void> waitAtGate(Http::Exchange &exchange)
    {
        this->gate.emplace(this->context, Common::Time::max());
        exchange.onCallerGone([this] {
            this->isGone = true;
            this->gate->cancel();
        });
        this->hasStarted = true;
        boost::system::error_code ignored;
        co_await this->gate->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    Http::Awaitable<void> answerLater(Http::Exchange &exchange)
    {
        co_await this->waitAtGate(exchange);
        Http::Response response;
        response.status = 200;
        response.body = "done";
        co_await exchange.respond(std::move(response));
    }

    Http::Awaitable<void> streamLater(Http::Exchange &exchange)
    {
        Http::Response head;
        head.status = 200;
        const bool hasBegun = co_await exchange.beginStream(std::move(head));
        const bool isWritten = hasBegun && co_await exchange.writeChunk("first");
        BOOST_TEST(isWritten);
        co_await this->waitAtGate(exchange);
        co_await exchange.writeChunk("last");
        co_await exchange.endStream();
    }

    void startAnswering()
    {
        this->start([this](Http::Exchange &exchange) { return this->answerLater(exchange); });
        BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    }

    void endHalf()
    {
        this->socket.shutdown(tcp::socket::shutdown_send);
        // By then the server has seen the end.
        std::this_thread::sleep_for(Common::Milliseconds(50));
    }

    void openGate()
    {
        this->runInServerThread([this] { this->gate->cancel(); });
    }

    std::string readAll()
    {
        std::string all;
        for (std::string part = this->read(); !part.empty(); part = this->read())
            all += part;
        return all;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HalfClosedCallers, HalfClosedCallerFixture)

// Guards against a request that is given up because its caller has sent all it has to send.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_beforeTheAnswer_readsTheAnswer)
{
    this->startAnswering();
    this->endHalf();
    BOOST_TEST(!this->isGone);
    this->openGate();
    const std::string answer = this->readAll();
    BOOST_TEST(answer.find("200 OK") != std::string::npos);
    BOOST_TEST(answer.ends_with("done"));
}

// The same where the end has arrived before the request is read.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_withItsRequest_readsTheAnswer)
{
    this->startAnswering();
    this->openGate();
    BOOST_TEST(this->read().ends_with("done"));
    this->hasStarted = false;
    this->runInServerThread([this] {
        send(this->socket, kRequest);
        this->socket.shutdown(tcp::socket::shutdown_send);
        waitUntilReceived(this->socket);
    });
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->openGate();
    BOOST_TEST(this->readAll().ends_with("done"));
}

// The same for requests in series of which the last is followed by the end.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_behindTwoRequests_readsBothAnswers)
{
    this->startAnswering();
    send(this->socket, kRequest);
    this->endHalf();
    this->hasStarted = false;
    this->openGate();
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->openGate();
    const std::string answers = this->readAll();
    BOOST_TEST(answers.find("done") != answers.rfind("done"));
    BOOST_TEST(answers.ends_with("done"));
}

// Guards against a stream that is cut because its caller has sent all it has to send.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_duringAStream_readsItsEnd)
{
    this->start([this](Http::Exchange &exchange) { return this->streamLater(exchange); });
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->endHalf();
    this->openGate();
    BOOST_TEST(this->readAll().ends_with("5\r\nfirst\r\n4\r\nlast\r\n0\r\n\r\n"));
}

// Guards against a stream that goes on for a caller that is gone: nothing can be written in a pause
// to find out.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_streamPauses_isReportedAsGone)
{
    this->start([this](Http::Exchange &exchange) { return this->streamLater(exchange); });
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->endHalf();
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
}

// Guards against work for a caller that has ended its half, was probed, and leaves later.
BOOST_AUTO_TEST_CASE(callerEndsItsHalf_thenDisconnects_isReportedAsGone)
{
    this->startAnswering();
    this->endHalf();
    BOOST_TEST(!this->isGone);
    this->socket.close();
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
}

// Others than callers, such as readiness probes, read one response only.
BOOST_AUTO_TEST_CASE(serverKeepsNoHalfClosed_peerEndsItsHalf_isReportedAsGoneWithoutAProbe)
{
    this->options.keepsHalfClosed = false;
    this->startAnswering();
    this->socket.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
    BOOST_TEST(this->readAll().find("100 Continue") == std::string::npos);
}

// Guards against a request that is run although its connection was closed before.
BOOST_AUTO_TEST_CASE(connectionIsClosed_nextRequestHasBeenRead_callerIsGoneFromTheBeginning)
{
    std::atomic<int> requests = 0;
    std::atomic<bool> wasGone = false;
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        wasGone = exchange.callerGone();
        const int number = ++requests;
        Http::Response response;
        response.status = 200;
        co_await exchange.respond(std::move(response));
        if (number == 2)
            co_await this->waitAtGate(exchange);
    });
    this->read();
    // One read takes both.
    send(this->socket, std::string(kRequest) + kRequest);
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->server->closeAll();
    BOOST_REQUIRE(eventually([&] { return requests == 3; }));
    BOOST_TEST(eventually([&] { return wasGone.load(); }));
}

// Guards against work for callers that have closed their connection, which begins like a
// half-close.
BOOST_AUTO_TEST_CASE(callerDisconnects_beforeTheAnswer_isReportedAsGone)
{
    this->startAnswering();
    this->socket.close();
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
}

BOOST_AUTO_TEST_CASE(callerDisconnects_whileAStreamPauses_isReportedAsGone)
{
    this->start([this](Http::Exchange &exchange) { return this->streamLater(exchange); });
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    BOOST_TEST(this->read().find("200 OK") != std::string::npos);
    this->socket.close();
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
}

// Guards against a request that is run although its caller has left before it was read.
BOOST_AUTO_TEST_CASE(callerDisconnects_beforeItsRequestIsRead_isGoneFromTheBeginning)
{
    std::atomic<int> requests = 0;
    std::atomic<bool> wasGone = false;
    this->start([&](Http::Exchange &exchange) -> Http::Awaitable<void> {
        wasGone = exchange.callerGone();
        Http::Response response;
        response.status = 200;
        co_await exchange.respond(std::move(response));
        ++requests;
    });
    this->read();
    this->runInServerThread([this] {
        send(this->socket, kRequest);
        waitUntilReceived(this->socket);
        this->socket.close();
    });
    BOOST_REQUIRE(eventually([&] { return requests == 2; }));
    BOOST_TEST(wasGone);
}

// A caller of HTTP/1.0 knows no interim responses.
BOOST_AUTO_TEST_CASE(callerOfHttp10EndsItsHalf_isReportedAsGone)
{
    this->startAnswering();
    this->openGate();
    BOOST_TEST(this->read().ends_with("done"));
    this->hasStarted = false;
    send(this->socket, "GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(eventually([&] { return this->hasStarted.load(); }));
    this->socket.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(eventually([&] { return this->isGone.load(); }));
    BOOST_TEST(this->readAll().find("100 Continue") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
