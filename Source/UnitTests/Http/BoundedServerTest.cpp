// A server whose callers share a memory account.
#include "UnitTests/Http/ServerFixture.h"

using namespace Tanagerbay;
using namespace Tanagerbay::HttpTests;

namespace {

constexpr std::size_t kLargeBody = 200'000;

// Outlives the context of the server.
struct AccountOfServer
{
    Http::MemoryAccount account;
};

struct BoundedServerFixture : AccountOfServer, ServerFixture
{
    BoundedServerFixture()
    {
        this->options.memory = &this->account;
        this->account.maxBytes = 2 << 20;
    }

    // Answers with the length of the body and the number of fields.
    void startEcho()
    {
        this->start([](Http::Exchange &exchange) -> Http::Awaitable<void> {
            Http::Response response;
            response.body = exchange.request().isBodyDropped ? "dropped " : "";
            response.body += "body " + std::to_string(exchange.takeBody().size()) + " fields "
                + std::to_string(exchange.request().headers.fields.size());
            co_await exchange.respond(std::move(response));
        });
        // To the request of the fixture.
        this->answerTo("", "fields 1");
    }

    // Sends the bytes and returns all that comes up to this text.
    std::string answerTo(const std::string &bytes, const std::string &last)
    {
        send(this->socket, bytes);
        std::string answer;
        while (answer.find(last) == std::string::npos) {
            const std::string part = this->read();
            if (part.empty())
                break;
            answer += part;
        }
        return answer;
    }

    static std::string post(std::size_t length)
    {
        return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n" + std::string(length, 'b');
    }

    std::size_t held()
    {
        std::size_t bytes = 0;
        this->runInServerThread([&] { bytes = Http::heldBytes(this->account); });
        return bytes;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BoundedServers, BoundedServerFixture)

BOOST_AUTO_TEST_CASE(body_isLargeAndSentInPieces_isWhole)
{
    this->startEcho();
    BOOST_TEST(this->answerTo(post(kLargeBody), "fields 2").find("body 200000")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(answered_connectionStays_givesTheBodyBack)
{
    constexpr std::size_t kMaxHeldByOne = 20 << 10;
    this->startEcho();
    this->answerTo(post(kLargeBody), "fields 2");
    BOOST_TEST(eventually([this] { return this->held() <= kMaxHeldByOne; }));
    BOOST_TEST(this->answerTo(post(10), "fields 2").find("body 10 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requestsAhead_inOnePiece_areAnsweredInTheirOrder)
{
    this->startEcho();
    const std::string answer = this->answerTo(post(1) + post(kLargeBody) + post(3), "body 3 ");
    const std::size_t first = answer.find("body 1 ");
    const std::size_t second = answer.find("body 200000 ");
    BOOST_TEST(first < second);
    BOOST_TEST(second < answer.find("body 3 "));
}

// Guards against fields behind a body that count as fields of its request.
BOOST_AUTO_TEST_CASE(body_inChunksWithTrailers_isWholeAndHasNoMoreFields)
{
    this->startEcho();
    const std::string answer = this->answerTo("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                                              "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
                                              "Key: secret\r\n\r\n",
                                              "fields 2");
    BOOST_TEST(answer.find("body 5 fields 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(body_isOfNoUse_isReadAndDropped)
{
    this->options.usesBody = [](const Http::Request &) { return false; };
    this->account.maxBytes = 100 << 10;
    this->startEcho();
    BOOST_TEST(this->answerTo(post(kLargeBody), "fields 2").find("dropped body 0 ")
               != std::string::npos);
    BOOST_TEST(this->answerTo(post(kLargeBody), "fields 2").find("dropped body 0 ")
               != std::string::npos);
}

// Guards against a mark of the request before on the same connection.
BOOST_AUTO_TEST_CASE(body_isSmallBehindADroppedOne_isKeptAndNotMarked)
{
    this->options.usesBody = [](const Http::Request &) { return false; };
    this->startEcho();
    this->answerTo(post(kLargeBody), "fields 2");
    const std::string answer = this->answerTo(post(10), "fields 2");
    BOOST_TEST(answer.find("body 10 ") != std::string::npos);
    BOOST_TEST(answer.find("dropped") == std::string::npos);
}

// Guards against a refusal that does not say that the request has not run.
BOOST_AUTO_TEST_CASE(body_noRoom_isRefusedAsNotRun)
{
    this->account.maxBytes = 100 << 10;
    this->startEcho();
    const std::string answer = this->answerTo(post(kLargeBody), "}}");
    BOOST_TEST(answer.find("HTTP/1.1 503") == 0u);
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(answer.find(R"("ran":"no")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(fields_veryMany_areCountedByWhatTheyTake)
{
    this->options.maxHeaderBytes = 64 << 10;
    this->account.maxBytes = 500 << 10;
    this->startEcho();
    std::string head = "GET /x HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 10'000; ++i)
        head += "a:\r\n";
    BOOST_TEST(this->answerTo(head + "\r\n", "}}").find("HTTP/1.1 503") == 0u);
}

// Guards against chunks whose head does not end.
BOOST_AUTO_TEST_CASE(chunkHead_withoutEnd_isRefused)
{
    this->startEcho();
    const std::string answer
        = this->answerTo("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x="
                             + std::string(300'000, 'y'),
                         "}}");
    BOOST_TEST(answer.find("HTTP/1.1 4") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
