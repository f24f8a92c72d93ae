// A server on a loopback port, and a caller that is connected to it.
#pragma once

#include "Common/Clock.h"
#include "Http/Server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <thread>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace Tanagerbay::HttpTests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Receive time-out of the client; a test whose read exceeds it fails.
constexpr int kMaxWaitSeconds = 10;
constexpr const char *kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

struct ServerFixture
{
    ServerFixture() : guard(asio::make_work_guard(this->context))
    {
    }

    ~ServerFixture()
    {
        this->context.stop();
        this->thread.join();
    }

    void start(Http::Handler handler)
    {
        this->options.address = {"127.0.0.1", 0};
        this->server = std::make_unique<Http::Server>(
            std::vector<asio::io_context *>{&this->context}, this->options, std::move(handler));
        this->server->onAcceptFault(this->onAcceptFault);
        BOOST_REQUIRE_EQUAL(this->server->start(), "");
        this->thread = std::thread([this] { this->context.run(); });
        this->connect(this->socket);
        send(this->socket, kRequest);
    }

    void connect(tcp::socket &client) const
    {
        client.connect({asio::ip::address_v4::loopback(), this->server->port()});
        const ::timeval wait{kMaxWaitSeconds, 0};
        ::setsockopt(client.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    }

    // The server may have closed the connection; a read shows it.
    static void send(tcp::socket &client, std::string_view bytes)
    {
        boost::system::error_code ignored;
        asio::write(client, asio::buffer(bytes), ignored);
    }

    // Waits as long as a read for the condition. Returns whether it was met.
    static bool eventually(const std::function<bool()> &condition)
    {
        const Common::Time end = Common::clockNow() + std::chrono::seconds(kMaxWaitSeconds);
        while (!condition() && Common::clockNow() < end)
            std::this_thread::sleep_for(Common::Milliseconds(1));
        return condition();
    }

    // Returns the bytes of one read; empty once the connection has ended.
    std::string read()
    {
        return read(this->socket);
    }

    static std::string read(tcp::socket &client)
    {
        std::array<char, 4096> bytes;
        const auto count = ::recv(client.native_handle(), bytes.data(), bytes.size(), 0);
        const bool inTime = count >= 0 || errno == ECONNRESET;
        BOOST_TEST(
            inTime,
            "neither bytes nor the end of the connection arrived before the receive time-out");
        return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
    }

    // Waits until the kernel of the server has received all bytes of a client.
    static void waitUntilReceived(tcp::socket &client)
    {
        BOOST_REQUIRE(eventually([&] {
            int unsent = 0;
            return ::ioctl(client.native_handle(), SIOCOUTQ, &unsent) == 0 && unsent == 0;
        }));
    }

    // Runs an action in the thread of the server, which serves nothing meanwhile.
    void runInServerThread(const std::function<void()> &action)
    {
        std::promise<void> done;
        asio::post(this->context, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    // Applies the options in the thread of the server.
    void applyOptions()
    {
        this->runInServerThread([this] { this->server->applyLimits(this->options); });
    }

    Http::ServerOptions options;
    Http::FaultAction onAcceptFault;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::unique_ptr<Http::Server> server;
    std::thread thread;
    asio::io_context clientContext{1};
    tcp::socket socket{this->clientContext};
};

} // namespace Tanagerbay::HttpTests
