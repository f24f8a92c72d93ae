#include "Node/RequestScope.h"
#include "Pipeline/Prompt.h"
#include "Pipeline/Wire.h"
#include "UnitTests/Http/RawServer.h"
#include "UnitTests/Node/InstanceFixture.h"

#include <atomic>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::InstanceFixture;
using Tanagerbay::Tests::RawServer;
using Tanagerbay::Tests::Reply;

namespace {

constexpr std::string_view kNotFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr int kEngines = 3;

// The endpoints whose connections end in the middle of their replies, and the list that names them.
struct CutEndpoints
{
    std::string cutReply(const RawServer::Request &request)
    {
        if (request.target() == "/v1/load")
            return std::string(kNotFound);
        ++this->requests;
        const auto tag = request[std::string(Pipeline::Wire::kAttemptTag)];
        return "HTTP/1.1 200 OK\r\n" + std::string(Pipeline::Wire::kAttemptTag) + ": "
            + std::string(tag) + "\r\n" + this->headers + "\r\n" + this->body;
    }

    std::string list() const
    {
        boost::json::array instances;
        const auto add
            = [&instances](const std::string &pool, int number, const RawServer &server) {
                  instances.push_back(
                      boost::json::object{{"id", pool + "-" + std::to_string(number)},
                                          {"pool", pool},
                                          {"address", Common::formatAddress(server.address())},
                                          {"failureDomain", "a"},
                                          {"state", "live"}});
              };
        add("roster", 1, this->services);
        add("schedule", 1, this->services);
        for (int number = 0; number < kEngines; ++number)
            add("tutors", number, this->engines[number]);
        const std::string body
            = boost::json::serialize(boost::json::object{{"instances", std::move(instances)}});
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    boost::json::object settings() const
    {
        const std::string address = Common::formatAddress(this->listServer.address());
        return {{"platform", boost::json::object{{"instanceListAddress", address}}}};
    }

    const RawServer::Reply reply
        = [this](const RawServer::Request &request) { return this->cutReply(request); };
    std::string headers;
    std::string body = "the first part";
    std::atomic<int> requests{0};
    RawServer services{this->reply};
    std::array<RawServer, kEngines> engines{RawServer(this->reply), RawServer(this->reply),
                                            RawServer(this->reply)};
    RawServer listServer{[this](const RawServer::Request &) { return this->list(); }};
};

struct EndOfReplyFixture : CutEndpoints, InstanceFixture
{
    EndOfReplyFixture() : InstanceFixture(this->settings())
    {
    }

    // Calls until the request has reached an endpoint: the list of endpoints may not be read yet.
    Reply callUntilSent(const std::function<Reply()> &call)
    {
        constexpr int kMaxCalls = 200;
        Reply reply;
        for (int calls = 0; calls < kMaxCalls && this->requests == 0; ++calls) {
            reply = call();
            if (this->requests == 0)
                std::this_thread::sleep_for(Common::Milliseconds(10));
        }
        BOOST_REQUIRE(this->requests > 0);
        return reply;
    }
};

std::string ranOf(const Reply &reply)
{
    const boost::json::value document = boost::json::parse(reply.body);
    return std::string(document.at("error").at("ran").as_string());
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndsOfReplies, EndOfReplyFixture)

// Guards against a part of a reply that callers get as the whole, since its endpoint was killed and
// the system ended the connection in order.
BOOST_AUTO_TEST_CASE(idempotentService_replyEndsWithItsConnection_isNoAnswer)
{
    const Reply reply
        = this->callUntilSent([this] { return this->service("schedule", "read", "", "body"); });
    BOOST_TEST(reply.status == 502u);
    BOOST_TEST(reply.body.find(this->body) == std::string::npos);
    BOOST_TEST(ranOf(reply) == "maybe");
}

// Guards against a part of a reply that is recorded as the outcome of a call and given again.
BOOST_AUTO_TEST_CASE(atMostOnce_replyEndsWithItsConnection_isMaybeAndNotReplayed)
{
    int number = 0;
    const auto call = [this, &number] {
        const std::string key = "cut-" + std::to_string(++number);
        return this->service("roster", "push", key, "body");
    };
    const Reply cut = this->callUntilSent(call);
    BOOST_TEST(cut.status == 502u);
    BOOST_TEST(ranOf(cut) == "maybe");
    const Reply again = this->service("roster", "push", "cut-" + std::to_string(number), "body");
    BOOST_TEST(again.status == 409u);
    BOOST_TEST(ranOf(again) == "maybe");
    BOOST_TEST(this->requests == 1);
}

// Guards against a request that crashes each engine after the head of its answer being sent to all
// of them.
BOOST_AUTO_TEST_CASE(engineEndsItsConnectionBeforeTheFirstToken_requestReachesTwoEngines)
{
    this->headers = "Content-Type: text/event-stream\r\n";
    this->body = "";
    const Reply reply = this->callUntilSent([this] {
        return this->pipeline("chat", R"({"input":{"text":"question"},"maxTokens":10})");
    });
    BOOST_TEST(reply.status == 502u);
    BOOST_TEST(this->requests == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CutDocuments)

// Guards against a part of a document that is read as one.
BOOST_AUTO_TEST_CASE(eachPartOfADocument_isNotRead)
{
    const std::string load = R"({"running":12,"waiting":3,"slots":4,"leaving":false})";
    for (std::size_t size = 0; size <= load.size(); ++size) {
        const auto report = Node::parseLoadReport(load.substr(0, size));
        BOOST_TEST(report.has_value() == (size == load.size()));
    }
    const std::string stage = R"({"output":12})";
    for (std::size_t size = 0; size <= stage.size(); ++size) {
        const auto output = Pipeline::stageOutput(stage.substr(0, size));
        BOOST_TEST(output.has_value() == (size == stage.size()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
