// A server for tests that writes the bytes of its replies as they are and then ends the connection
// in order, as the system does for a killed process.
#pragma once

#include "Common/Address.h"
#include "Http/Types.h"

#include <functional>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Tanagerbay::Tests {

class RawServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    // Returns the bytes of the reply. Runs on the server's thread.
    using Reply = std::function<std::string(const Request &)>;

    explicit RawServer(Reply reply) : reply(std::move(reply))
    {
        boost::asio::co_spawn(this->context, this->acceptAll(), boost::asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~RawServer()
    {
        this->context.stop();
        this->thread.join();
    }

    Common::Address address() const
    {
        return {"127.0.0.1", this->listener.local_endpoint().port()};
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    Http::Awaitable<void> acceptAll()
    {
        while (true) {
            Socket socket = co_await this->listener.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(this->context, this->serve(std::move(socket)),
                                  boost::asio::detached);
        }
    }

    Http::Awaitable<void> serve(Socket socket)
    {
        boost::beast::flat_buffer buffer;
        Request request;
        boost::system::error_code error;
        co_await boost::beast::http::async_read(
            socket, buffer, request,
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error)
            co_return;
        const std::string bytes = this->reply(request);
        const auto sent = boost::asio::buffer(bytes);
        co_await boost::asio::async_write(
            socket, sent, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }

    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor listener{this->context,
                                            {boost::asio::ip::address_v4::loopback(), 0}};
    Reply reply;
    std::thread thread;
};

} // namespace Tanagerbay::Tests
