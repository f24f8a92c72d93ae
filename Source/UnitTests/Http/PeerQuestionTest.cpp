#include "Common/Clock.h"
#include "Http/Client.h"
#include "Http/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kProcess = 7;
constexpr Common::Milliseconds kQuestionTimeout{100};
constexpr Common::Milliseconds kCallTimeout{5'000};

struct PeerQuestionFixture
{
    PeerQuestionFixture()
    {
        Http::ServerOptions options;
        options.address = {"127.0.0.1", 0};
        this->server = std::make_unique<Http::Server>(
            std::vector<asio::io_context *>{&this->context}, options,
            [this](Http::Exchange &exchange) { return this->answer(exchange); });
        BOOST_REQUIRE_EQUAL(this->server->start(), "");
    }

    Http::Awaitable<void> answer(Http::Exchange &exchange)
    {
        const bool isQuestion = exchange.request().target == "/process";
        ++(isQuestion ? this->questions : this->requests);
        if (isQuestion && this->isSilent) {
            boost::system::error_code ignored;
            co_await this->silence.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        Http::Response response;
        response.status = isQuestion ? this->questionStatus : 200;
        response.body = isQuestion ? this->questionBody : "";
        co_await exchange.respond(std::move(response));
    }

    // Sends one request and reads its response.
    void call()
    {
        this->error.reset();
        this->process.reset();
        asio::co_spawn(
            this->context,
            [this]() -> Http::Awaitable<void> {
                Http::CallOptions options;
                options.deadline = Common::clockNow() + kCallTimeout;
                options.peerQuestion = Http::PeerQuestion{
                    Http::Request{"GET", "/process", {}, ""},
                    {},
                    [](const Http::Response &response) -> std::optional<std::uint64_t> {
                        return response.body == "7" ? std::optional(kProcess) : std::nullopt;
                    },
                    kQuestionTimeout};
                options.acceptPeer = [this](const Http::Peer &peer) {
                    this->peers.push_back(peer);
                    return this->isAccepted && (peer.startTime || !this->requiresPeer);
                };
                Http::Request request{"GET", "/x", {}, ""};
                const Common::Address address{"127.0.0.1", this->server->port()};
                auto opened = co_await this->client.open(address, std::move(request), options);
                if (opened) {
                    this->process = opened->peer().startTime;
                    this->isFirstOnConnection = opened->isFirstOnConnection();
                    co_await opened->read(options.deadline);
                    co_await opened->read(options.deadline);
                } else {
                    this->error = opened.error();
                }
                this->silence.cancel();
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run();
    }

    asio::io_context context{1};
    std::unique_ptr<Http::Server> server;
    Http::Client client{this->context.get_executor()};
    asio::steady_timer silence{this->context, Common::Time::max()};
    bool isAccepted = true;
    bool requiresPeer = false;
    bool isSilent = false;
    unsigned questionStatus = 200;
    std::string questionBody = "7";
    // Those that were to be accepted.
    std::vector<Http::Peer> peers;
    std::size_t questions = 0;
    std::size_t requests = 0;
    std::optional<Http::CallError> error;
    std::optional<std::uint64_t> process;
    bool isFirstOnConnection = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerQuestions, PeerQuestionFixture)

// Guards against a question for each request: a connection belongs to one process.
BOOST_AUTO_TEST_CASE(severalRequests_oneConnection_peerIsAskedOnce)
{
    for (std::size_t i = 1; i <= 3; ++i) {
        this->call();
        BOOST_TEST(!this->error);
        BOOST_TEST((this->process == kProcess));
        BOOST_TEST(this->requests == i);
    }
    BOOST_TEST(this->questions == 1u);
}

// Guards against the copy of an answer to the question that is taken for the answer to the request.
BOOST_AUTO_TEST_CASE(peerWasAsked_requestIsNotTheFirstOnItsConnection)
{
    this->call();
    BOOST_TEST(!this->error);
    BOOST_TEST(!this->isFirstOnConnection);
}

// Guards against a request that reaches a process which must not get it.
BOOST_AUTO_TEST_CASE(processIsNotAccepted_nothingIsSent_connectionIsUsedAgain)
{
    this->isAccepted = false;
    this->call();
    BOOST_REQUIRE(this->error);
    BOOST_TEST(!this->error->written);
    BOOST_TEST(this->requests == 0u);
    this->isAccepted = true;
    this->call();
    BOOST_TEST(!this->error);
    BOOST_TEST(this->requests == 1u);
    BOOST_TEST(this->questions == 1u);
}

// Guards against an endpoint that is never sent anything, because it closes a connection behind
// each answer.
BOOST_AUTO_TEST_CASE(answersCloseTheConnection_requestIsSentWithoutAStartTime)
{
    this->server->closeAfterAnswers();
    this->call();
    BOOST_TEST(!this->error);
    BOOST_TEST(!this->process);
    BOOST_TEST(this->requests == 1u);
    BOOST_TEST(this->questions == 2u);
}

// Guards against a process that is not accepted and gets the request nevertheless, because it
// closes the connection behind its answer.
BOOST_AUTO_TEST_CASE(answersCloseTheConnection_processIsNotAccepted_nothingIsSent)
{
    this->isAccepted = false;
    this->server->closeAfterAnswers();
    this->call();
    BOOST_REQUIRE(this->error);
    BOOST_TEST(!this->error->written);
    BOOST_TEST(this->requests == 0u);
    BOOST_TEST(this->questions == 1u);
}

// The same where the request must not go to a process that nobody knows.
BOOST_AUTO_TEST_CASE(answersCloseTheConnection_processMustBeKnown_nothingIsSent)
{
    this->requiresPeer = true;
    this->server->closeAfterAnswers();
    this->call();
    BOOST_REQUIRE(this->error);
    BOOST_TEST(!this->error->written);
    BOOST_TEST(this->requests == 0u);
}

// Guards against a request that is sent although nobody knows to which process.
BOOST_AUTO_TEST_CASE(peerIsSilent_nothingIsSent)
{
    this->isSilent = true;
    this->call();
    BOOST_REQUIRE(this->error);
    BOOST_TEST((this->error->failure == Http::CallFailure::Timeout));
    BOOST_TEST(!this->error->written);
    BOOST_TEST(this->requests == 0u);
}

// Guards against a process that counts as known because it has answered.
BOOST_AUTO_TEST_CASE(answerDoesNotState_processMustBeKnown_nothingIsSent)
{
    this->requiresPeer = true;
    const std::vector<std::pair<unsigned, std::string>> answers
        = {{200, ""}, {200, "8"}, {204, ""}, {404, ""}, {429, ""}, {500, ""}, {503, ""}, {504, ""}};
    for (const auto &[status, body] : answers) {
        this->questionStatus = status;
        this->questionBody = body;
        this->peers.clear();
        this->call();
        BOOST_REQUIRE(this->error);
        BOOST_TEST(!this->error->written);
        BOOST_REQUIRE(this->peers.size() == 1u);
        BOOST_TEST(!this->peers[0].startTime);
    }
    BOOST_TEST(this->requests == 0u);
}

// Guards against a connection that counts as new each time it is used: what is known of its process
// begins when it was established.
BOOST_AUTO_TEST_CASE(severalRequests_oneConnection_isAsOldAsAtFirst)
{
    const Common::Time startedAt = Common::clockNow();
    this->call();
    const Common::Time answeredAt = Common::clockNow();
    this->call();
    BOOST_REQUIRE(this->peers.size() == 2u);
    BOOST_TEST((this->peers[0].connectedAt >= startedAt));
    BOOST_TEST((this->peers[1].connectedAt <= answeredAt));
    BOOST_TEST((this->peers[1].connectedAt == this->peers[0].connectedAt));
}

BOOST_AUTO_TEST_SUITE_END()
