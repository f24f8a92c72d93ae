#include "Storage/ObjectStore.h"
#include "UnitTests/Http/RawServer.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::RawServer;

namespace {

constexpr Common::Milliseconds kCallTimeout{5'000};

std::optional<std::string> readObject(const std::string &reply)
{
    RawServer server([&reply](const RawServer::Request &) { return reply; });
    boost::asio::io_context context(1);
    Http::Client client(context.get_executor());
    Storage::ObjectStore store(client, server.address(), kCallTimeout);
    std::optional<std::string> object;
    const auto run = [&]() -> Http::Awaitable<void> { object = co_await store.get("name"); };
    boost::asio::co_spawn(context, run(), boost::asio::detached);
    context.run();
    return object;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ObjectStore)

BOOST_AUTO_TEST_CASE(get_replyHasLength_returnsObject)
{
    const auto object = readObject("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1234");
    BOOST_REQUIRE(object);
    BOOST_TEST(*object == "1234");
}

// Guards against a part of an object that is taken for the whole: the first digits of a number are
// a number as well, so that a checkpoint would hold another input for the stages after it.
BOOST_AUTO_TEST_CASE(get_bodyEndsWithItsConnection_returnsNothing)
{
    BOOST_TEST(!readObject("HTTP/1.1 200 OK\r\n\r\n12").has_value());
    BOOST_TEST(!readObject("HTTP/1.1 200 OK\r\n\r\n").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
