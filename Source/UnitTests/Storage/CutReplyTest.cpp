#include "Common/Counters.h"
#include "Storage/InstanceList.h"
#include "Storage/TableService.h"
#include "UnitTests/Http/RawServer.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::RawServer;

namespace {

constexpr Common::Milliseconds kCallTimeout{5'000};

// Serves a body without framing, cut to a number of bytes.
struct CutReplyFixture
{
    template <typename Action>
    void run(Action action)
    {
        boost::asio::co_spawn(this->context, action(), boost::asio::detached);
        this->context.run();
        this->context.restart();
    }

    std::string body;
    std::size_t size = 0;
    RawServer server{[this](const RawServer::Request &) {
        return "HTTP/1.1 200 OK\r\n\r\n" + this->body.substr(0, this->size);
    }};
    boost::asio::io_context context{1};
    Http::Client client{this->context.get_executor()};
    Common::Counters counters;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CutReplies, CutReplyFixture)

// Guards against a part of a reply that is read as rows.
BOOST_AUTO_TEST_CASE(read_eachPartOfTheReply_returnsNothing)
{
    Storage::TableService table(this->client, this->server.address(), kCallTimeout, this->counters);
    this->body = R"({"rows":[{"version":12,"body":"text"}]})";
    for (this->size = 0; this->size <= this->body.size(); ++this->size) {
        std::optional<Storage::Row> row;
        this->run([&]() -> Http::Awaitable<void> {
            Storage::RowName name{"table", "key"};
            row = co_await table.readOne(std::move(name));
        });
        BOOST_TEST(row.has_value() == (this->size == this->body.size()));
    }
}

// Guards against a part of a reply that counts as the confirmation of a write.
BOOST_AUTO_TEST_CASE(commit_eachPartOfTheReply_isUnknown)
{
    Storage::TableService table(this->client, this->server.address(), kCallTimeout, this->counters);
    this->body = R"({"versions":[12]})";
    for (this->size = 0; this->size <= this->body.size(); ++this->size) {
        Storage::CommitResult result;
        this->run([&]() -> Http::Awaitable<void> {
            Storage::Transaction transaction;
            result = co_await table.commit(std::move(transaction));
        });
        const bool isCommitted = result.state == Storage::CommitState::Committed;
        BOOST_TEST(isCommitted == (this->size == this->body.size()));
        BOOST_TEST((isCommitted || result.state == Storage::CommitState::Unknown));
    }
}

// Guards against a part of the list, without which endpoints would be taken for gone.
BOOST_AUTO_TEST_CASE(instances_eachPartOfTheReply_returnsNothing)
{
    Storage::InstanceList list(this->client, this->server.address(), kCallTimeout);
    this->body = R"({"instances":[{"id":"a-1","pool":"a","address":"127.0.0.1:1",)"
                 R"("failureDomain":"x","state":"live"}]})";
    for (this->size = 0; this->size <= this->body.size(); ++this->size) {
        bool hasList = false;
        this->run([&]() -> Http::Awaitable<void> {
            const auto instances = co_await list.read();
            hasList = instances.has_value();
        });
        BOOST_TEST(hasList == (this->size == this->body.size()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
