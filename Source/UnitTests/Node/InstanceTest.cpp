#include "UnitTests/Node/InstanceFixture.h"

#include "Http/EventStream.h"
#include "Node/Generation.h"
#include "Pipeline/TokenStream.h"

#include <thread>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::InstanceFixture;
using Tanagerbay::Tests::Reply;

namespace {

const std::string kAskBody = R"({"input":{"text":"question"},"stream":true,"maxTokens":20})";

struct Stream
{
    std::vector<std::string> tokens;
    std::string lastType;
    std::string lastData;
};

Stream readStream(const std::string &body)
{
    Http::EventParser parser;
    parser.feed(body);
    Http::Event event;
    Stream stream;
    while (parser.next(event)) {
        if (event.type.empty())
            stream.tokens.push_back(event.data);
        stream.lastType = event.type;
        stream.lastData = event.data;
    }
    return stream;
}

bool isCompleteStream(const std::string &body, std::size_t tokens)
{
    const Stream stream = readStream(body);
    return stream.lastType == "done" && stream.tokens.size() == tokens
        && stream.lastData.find(Pipeline::streamDigest(stream.tokens)) != std::string::npos;
}

std::string ranOf(const Reply &reply)
{
    const boost::json::value document = boost::json::parse(reply.body);
    return std::string(document.at("error").at("ran").as_string());
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(InstanceAnswers, InstanceFixture)

BOOST_AUTO_TEST_CASE(pipeline_streamed_deliversCompleteStream)
{
    const Reply reply = this->pipeline("ask", kAskBody);
    BOOST_TEST(reply.status == 200u);
    BOOST_TEST(isCompleteStream(reply.body, 20));
}

BOOST_AUTO_TEST_CASE(pipeline_withoutGeneration_returnsOutputOfLastStage)
{
    const Reply reply = this->pipeline("search", R"({"input":{"text":"question"}})");
    BOOST_TEST(reply.status == 200u);
    BOOST_TEST(reply.body.find("documents") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(badInput_eachKind_returnsMatchingStatus)
{
    BOOST_TEST(this->pipeline("ask", "{").status == 400u);
    BOOST_TEST(this->pipeline("ask", "[]").status == 400u);
    BOOST_TEST(this->pipeline("ask", R"({"input":1,"colour":2})").status == 400u);
    BOOST_TEST(this->pipeline("ask", R"({"input":1,"maxTokens":0})").status == 400u);
    BOOST_TEST(this->pipeline("nothing", kAskBody).status == 404u);
    BOOST_TEST(this->pipeline("ask", std::string(100'000, 'x')).status == 413u);
    BOOST_TEST(this->service("roster", "push", "", "b").status == 400u);
    BOOST_TEST(this->service("roster", "push", "a b", "b").status == 400u);
    Http::Request unknown{"POST", "/v1/pipelines/ask", {}, kAskBody};
    unknown.headers.add("Authorization", "Bearer nobody");
    BOOST_TEST(this->call(this->callerAddress, unknown).status == 401u);
    Http::Request wide{"GET", "/v1/entries", {}, ""};
    wide.headers.add("X-Wide", std::string(40'000, 'x'));
    BOOST_TEST(this->call(this->callerAddress, wide).status == 431u);
    BOOST_TEST(this->call(this->callerAddress, {"GET", "/" + std::string(5000, 'x'), {}, ""}).status
               == 414u);
    // The instance still serves valid requests.
    BOOST_TEST(isCompleteStream(this->pipeline("ask", kAskBody).body, 20));
}

BOOST_AUTO_TEST_CASE(malformedHttp_garbageOrIncompleteRequest_returnsErrorAndCloses)
{
    BOOST_TEST(this->rawCall("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST(this->rawCall("POST /v1/pipelines/ask HTTP/1.1\r\nContent-Length: 10\r\n\r\nab")
                   .starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(foreignReply_isDroppedAndStageIsRetried)
{
    this->setFault("encoders-1", "foreign-tag");
    // Each request goes to one of two endpoints at random, of which one is faulty.
    constexpr int kMaxRequests = 64;
    for (int i = 0; i < kMaxRequests && this->counter(Common::Counter::RepliesForeign) == 0; ++i)
        BOOST_TEST(this->pipeline("search", R"({"input":{"text":"q"}})").status == 200u);
    BOOST_TEST(this->counter(Common::Counter::RepliesForeign) > 0u);
    this->clearFaults();
}

BOOST_AUTO_TEST_CASE(engineFailsMidStream_continuesOnAnotherEngineWithSameTokens)
{
    const std::string longAsk = R"({"input":{"text":"question"},"stream":true,"maxTokens":600})";
    const Reply before = this->pipeline("ask", longAsk);
    const std::map<std::string, std::uint64_t> tokensBefore = this->tokensByEngine();
    std::thread faultInjector([this, &tokensBefore] {
        std::this_thread::sleep_for(Common::Milliseconds(300));
        for (const auto &[engine, tokens] : this->tokensByEngine()) {
            if (tokens > tokensBefore.at(engine))
                this->setFault(engine, "truncate");
        }
    });
    const Reply reply = this->pipeline("ask", longAsk);
    faultInjector.join();
    this->clearFaults();
    BOOST_TEST(isCompleteStream(reply.body, 600));
    BOOST_TEST((readStream(reply.body).tokens == readStream(before.body).tokens));
    BOOST_TEST(this->counter(Common::Counter::StreamsContinued) > 0u);
}

// Guards against a request that crashes each engine that begins its answer being sent to all of
// them.
BOOST_AUTO_TEST_CASE(enginesAreLostBeforeTheAnswer_requestReachesTwoOfThem)
{
    const std::uint64_t before = this->counter(Common::Counter::StageRetries);
    for (const auto &[engine, tokens] : this->tokensByEngine())
        this->setFault(engine, "drop-before");
    const Reply reply
        = this->pipeline("ask", R"({"input":{"text":"question"},"stream":true,"maxTokens":10})");
    this->clearFaults();
    BOOST_TEST(reply.status == 502u);
    BOOST_TEST(this->counter(Common::Counter::StageRetries) - before == 1u);
}

BOOST_AUTO_TEST_CASE(callerDisconnected_resumesStreamAfterLastEvent)
{
    const std::string body = R"({"input":{"text":"question"},"stream":true,"maxTokens":400})";
    const Reply whole = this->pipeline("ask", body);
    const std::vector<std::string> expected = readStream(whole.body).tokens;
    BOOST_REQUIRE_MESSAGE(expected.size() == 400u,
                          "the first answer has " << expected.size() << " tokens, status "
                                                  << whole.status << ": " << whole.body);
    const std::string head
        = "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-w1\r\n"
          "Request-Id: r-1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n";
    const std::string received = this->callAndDisconnect(head + body, "id: 30\n");
    const std::string streamIdPrefix = "Stream-Id: ";
    const std::size_t at = received.find(streamIdPrefix) + streamIdPrefix.size();
    const std::string streamId = received.substr(at, received.find("\r\n", at) - at);

    Http::Request request{"POST", "/v1/pipelines/ask", {}, body};
    request.headers.add("Authorization", "Bearer key-w1");
    request.headers.add("Last-Event-ID", "30");
    request.headers.add("Stream-Id", streamId);
    // Another request must not resume the stream.
    BOOST_TEST(this->call(this->callerAddress, request).status == 403u);
    request.headers.add("Request-Id", "r-1");
    Reply reply;
    // The engine may not have noticed yet that its reader has disconnected.
    for (int tries = 0; tries < 100 && reply.status != 200; ++tries) {
        std::this_thread::sleep_for(Common::Milliseconds(20));
        reply = this->call(this->callerAddress, request);
    }
    const Stream rest = readStream(reply.body);
    BOOST_TEST(rest.lastType == "done", rest.lastType << ": " << rest.lastData);
    BOOST_REQUIRE(rest.tokens.size() == 400u - 31u);
    BOOST_TEST(std::equal(rest.tokens.begin(), rest.tokens.end(), expected.begin() + 31));
    BOOST_TEST(rest.lastData.find(Pipeline::streamDigest(expected)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callerDisconnected_streamNotRetained_returnsConflict)
{
    Http::Request request{"POST", "/v1/pipelines/ask", {}, kAskBody};
    request.headers.add("Authorization", "Bearer key-w1");
    request.headers.add("Request-Id", "r-2");
    request.headers.add("Last-Event-ID", "3");
    const std::string owner
        = Node::streamNamePrefix(Common::WorkspaceId("w1"), Common::RequestId("r-2"));
    request.headers.add("Stream-Id", "tutors-1/" + owner + "-unknown:3:0");
    const Reply reply = this->call(this->callerAddress, request);
    BOOST_TEST(reply.status == 409u);
    BOOST_TEST(ranOf(reply) == "maybe");
}

BOOST_AUTO_TEST_CASE(patientRun_retried_usesCheckpoint)
{
    Http::Request request{
        "POST", "/v1/pipelines/pack", {}, R"({"input":{"text":"lesson"},"maxTokens":10})"};
    request.headers.add("Authorization", "Bearer key-w1");
    request.headers.add("Request-Id", "pack-1");
    const Reply first = this->call(this->callerAddress, request);
    BOOST_TEST(first.status == 200u);
    // The checkpoint is written in the background.
    for (int i = 0; i < 200 && this->counter(Common::Counter::CheckpointsUsed) == 0; ++i) {
        std::this_thread::sleep_for(Common::Milliseconds(10));
        BOOST_TEST(this->call(this->callerAddress, request).body == first.body);
    }
    BOOST_TEST(this->counter(Common::Counter::CheckpointsUsed) > 0u);
}

BOOST_AUTO_TEST_CASE(atMostOnce_repeated_runsOnceAndReplays)
{
    const Reply first = this->service("roster", "push", "k1", "body");
    const Reply second = this->service("roster", "push", "k1", "body");
    BOOST_TEST(first.status == 200u);
    // If the outcome is not written yet, the key is still in progress and 409 is correct as well.
    BOOST_TEST((second.status == 200u || second.status == 409u));
    BOOST_TEST(this->runsOf("k1") == 1u);
    BOOST_TEST(this->service("roster", "push", "k1", "other").status == 422u);
    BOOST_TEST(this->runsOf("k1") == 1u);
}

BOOST_AUTO_TEST_CASE(atMostOnce_replyLost_isMaybeAndNeverSentAgain)
{
    this->setFault("roster", "drop-after");
    const Reply lost = this->service("roster", "push", "k2", "body");
    this->clearFaults();
    BOOST_TEST(lost.status == 502u);
    BOOST_TEST(ranOf(lost) == "maybe");
    const Reply again = this->service("roster", "push", "k2", "body");
    BOOST_TEST(again.status == 409u);
    BOOST_TEST(ranOf(again) == "maybe");
    BOOST_TEST(this->runsOf("k2") == 1u);
}

BOOST_AUTO_TEST_CASE(atMostOnce_storeUnavailable_isRefusedAsNotRunAndNotSent)
{
    this->service("roster", "push", "warm", "body");
    this->setFault("table-service", "refuse");
    const Reply refused = this->service("roster", "push", "k3", "body");
    this->clearFaults();
    BOOST_TEST((refused.status == 503u || refused.status == 429u));
    BOOST_TEST(ranOf(refused) == "no");
    BOOST_TEST(this->runsOf("k3") == 0u);
    BOOST_TEST(isCompleteStream(this->pipeline("ask", kAskBody).body, 20));
}

BOOST_AUTO_TEST_CASE(atMostOnce_noEndpoint_isNotRunAndReleasesKey)
{
    this->setFault("roster", "die");
    std::this_thread::sleep_for(Common::Milliseconds(200));
    const Reply refused = this->service("roster", "push", "k4", "body");
    BOOST_TEST(ranOf(refused) == "no");
    this->clearFaults();
    unsigned status = 0;
    for (int i = 0; i < 200 && status != 200; ++i) {
        status = this->service("roster", "push", "k4", "body").status;
        std::this_thread::sleep_for(Common::Milliseconds(50));
    }
    BOOST_TEST(status == 200u);
    BOOST_TEST(this->runsOf("k4") == 1u);
}

BOOST_AUTO_TEST_CASE(allowance_exhausted_isRefusedAsNotRun)
{
    int answered = 0;
    int refused = 0;
    for (int i = 0; i < 34; ++i) {
        const Reply reply = this->service("roster", "push", "a" + std::to_string(i), "body");
        answered += reply.status == 200 ? 1 : 0;
        if (reply.status == 429) {
            ++refused;
            BOOST_TEST(ranOf(reply) == "no");
        }
    }
    BOOST_TEST(answered == 30);
    BOOST_TEST(refused == 4);
}

BOOST_AUTO_TEST_CASE(callerDisconnects_generationIsCancelled)
{
    const std::string body = R"({"input":{"text":"q"},"stream":true,"maxTokens":5000})";
    this->sendAndDisconnect(
        "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-w1\r\n"
        "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::uint64_t callersGone = 0;
    for (int i = 0; i < 400 && callersGone == 0; ++i) {
        std::this_thread::sleep_for(Common::Milliseconds(10));
        callersGone = this->counter(Common::Counter::CallersGone);
    }
    BOOST_TEST(callersGone == 1u);
}

BOOST_AUTO_TEST_CASE(lists_staleVersion_returnsConflictWithDiff)
{
    const Reply reply
        = this->operatorCall("PUT", "/v1/lists/entitlements", R"({"entitlements":[]})", "\"0\"");
    BOOST_TEST(reply.status == 412u);
    BOOST_TEST(reply.body.find("- entitlement p") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lists_planWithoutEntitlement_needsConfirmation)
{
    const Reply reply
        = this->operatorCall("PUT", "/v1/lists/entitlements", R"({"entitlements":[]})", "\"1\"");
    BOOST_TEST(reply.status == 409u);
    BOOST_TEST(isCompleteStream(this->pipeline("ask", kAskBody).body, 20));
}

BOOST_AUTO_TEST_CASE(lists_acceptedEdit_takesEffectImmediately)
{
    const Reply reply = this->operatorCall("PUT", "/v1/lists/entitlements?acceptWarnings=true",
                                           R"({"entitlements":[]})", "\"1\"");
    BOOST_TEST(reply.status == 200u);
    BOOST_TEST(this->pipeline("ask", kAskBody).status == 403u);
}

BOOST_AUTO_TEST_CASE(lists_writeReplyLost_isResolvedByEditId)
{
    // The edit reads before it writes; the fault affects about half of all calls.
    this->setFault("table-service", "drop-after", 0.5);
    const Reply reply = this->operatorCall("PUT", "/v1/lists/entitlements?acceptWarnings=true",
                                           R"({"entitlements":[]})", "\"1\"");
    this->clearFaults();
    // Success may only be reported if the edit was committed.
    const Reply now = this->operatorCall("GET", "/v1/lists/entitlements", "", "");
    if (reply.status == 200)
        BOOST_TEST(now.headers.find("ETag") == "\"2\"");
    else
        BOOST_TEST((reply.status == 400u || reply.status == 412u || reply.status == 503u));
}

BOOST_AUTO_TEST_CASE(operator_withoutToken_isRefused)
{
    BOOST_TEST(this->call(this->operatorAddress, {"GET", "/v1/state", {}, ""}).status == 401u);
    BOOST_TEST(this->call(this->operatorAddress, {"GET", "/healthz", {}, ""}).status == 200u);
}

BOOST_AUTO_TEST_CASE(stateDump_containsNoSecrets)
{
    const Reply reply = this->operatorCall("GET", "/v1/state", "", "");
    BOOST_TEST(reply.body.find("key-w1") == std::string::npos);
    BOOST_TEST(reply.body.find(R"("token")") == std::string::npos);
    BOOST_TEST(this->operatorCall("GET", "/metrics", "", "").body.find("tanagerbay_")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(drain_requestInProgress_completes)
{
    Reply reply;
    std::thread caller([this, &reply] {
        reply = this->pipeline("ask", R"({"input":{"text":"q"},"stream":true,"maxTokens":900})");
    });
    std::this_thread::sleep_for(Common::Milliseconds(200));
    this->instance->drain();
    BOOST_TEST(this->instance->waitUntilDrained());
    caller.join();
    BOOST_TEST(isCompleteStream(reply.body, 900));
}

BOOST_AUTO_TEST_SUITE_END()
