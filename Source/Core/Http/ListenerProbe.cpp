#include "Http/ListenerProbe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Tanagerbay::Http {

namespace asio = boost::asio;

Awaitable<ListenerState> probeListener(asio::any_io_executor executor, Common::Address address,
                                       Common::Milliseconds timeout)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        co_return ListenerState::Unknown;
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(ip, address.port),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return ListenerState::Accepting;
    co_return error == asio::error::connection_refused ? ListenerState::Refusing
                                                       : ListenerState::Unknown;
}

} // namespace Tanagerbay::Http
