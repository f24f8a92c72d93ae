#include "Http/Client.h"

#include "Common/Clock.h"
#include "Http/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
namespace asio = boost::asio;

namespace {

constexpr Common::Milliseconds kCallTimeout{5'000};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClients)

// Guards against a report that nothing was written when an earlier connection carried the request.
BOOST_AUTO_TEST_CASE(call_reusedConnectionIsLostAndReconnectFails_isReportedAsWritten)
{
    asio::io_context context(1);
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
    server = std::make_unique<Http::Server>(std::vector<asio::io_context *>{&context},
                                            serverOptions, handle);
    BOOST_REQUIRE_EQUAL(server->start(), "");
    const Common::Address address{"127.0.0.1", server->port()};
    Http::Client client(context.get_executor());
    Http::CallResult<Http::Response> last = tl::unexpected(Http::CallError{});
    const auto run = [&]() -> Http::Awaitable<void> {
        for (int call = 0; call < 2; ++call) {
            Http::CallOptions options;
            options.deadline = Common::clockNow() + kCallTimeout;
            Http::Request request{"POST", "/x", {}, "body"};
            last = co_await client.call(address, std::move(request), std::move(options));
        }
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(requests == 2);
    BOOST_REQUIRE(!last);
    BOOST_TEST(Common::nameOf(last.error().failure) == "connect failed");
    BOOST_TEST(last.error().written);
}

BOOST_AUTO_TEST_SUITE_END()
