// Engines of several software versions serve side by side. A token of an engine of version V ends
// in "~V".
#include "UnitTests/Node/InstanceFixture.h"

#include "Http/EventStream.h"

#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::InstanceFixture;
using Tanagerbay::Tests::Reply;

namespace {

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

std::set<std::string> versionsOf(const Stream &stream)
{
    std::set<std::string> versions;
    for (const std::string &token : stream.tokens)
        versions.insert(token.substr(token.find('~') + 1));
    return versions;
}

std::string withoutVersion(const std::string &streamId)
{
    return streamId.substr(0, streamId.rfind('/'));
}

std::string errorMember(const std::string &body, const std::string &member)
{
    return std::string(boost::json::parse(body).at("error").at(member).as_string());
}

struct Begun
{
    std::string streamId;
    std::string engine;
};

class VersionFixture : public InstanceFixture
{
protected:
    explicit VersionFixture(std::vector<std::string> engineVersions)
        : InstanceFixture({}, std::move(engineVersions))
    {
    }

    static constexpr const char *kRequestId = "r-1";

    static Http::Request ask(int maxTokens, const std::string &pipeline = "ask")
    {
        const boost::json::object body{{"input", boost::json::object{{"text", "question"}}},
                                       {"stream", true},
                                       {"maxTokens", maxTokens}};
        Http::Request request{
            "POST", "/v1/pipelines/" + pipeline, {}, boost::json::serialize(body)};
        request.headers.add("Authorization", "Bearer key-w1");
        request.headers.add("Request-Id", kRequestId);
        return request;
    }

    // Begins a stream, disconnects after token 30 and returns its beginning.
    Begun beginAndDisconnect(const Http::Request &request)
    {
        std::string bytes = "POST " + request.target + " HTTP/1.1\r\nHost: x\r\n";
        for (const Http::Header &header : request.headers.fields)
            bytes += header.name + ": " + header.value + "\r\n";
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
        const std::string received = this->callAndDisconnect(bytes + request.body, "id: 30\n");
        const std::string field = "Stream-Id: ";
        const std::size_t at = received.find(field);
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, "no stream began: " << received);
        const std::size_t start = at + field.size();
        Begun begun;
        begun.streamId = received.substr(start, received.find("\r\n", start) - start);
        begun.engine = begun.streamId.substr(0, begun.streamId.find('/'));
        return begun;
    }

    // The request that resumes the stream after token 30.
    static Http::Request resumption(Http::Request request, const std::string &streamId)
    {
        request.headers.add("Last-Event-ID", "30");
        request.headers.add("Stream-Id", streamId);
        return request;
    }

    // Resumes the stream once its engine has noticed that its reader has disconnected.
    Reply resume(
        const Http::Request &request, const std::string &until = "none",
        const std::function<void()> &action = [] {})
    {
        Reply reply;
        for (int tries = 0; tries < 100 && reply.status != 200; ++tries) {
            std::this_thread::sleep_for(Common::Milliseconds(20));
            reply = this->callAndInterrupt(request, until, action);
        }
        return reply;
    }

    // Waits until the instance has read the version of an engine from the instance list.
    void awaitVersion(const std::string &engine, const std::string &version)
    {
        const auto isKnown = [&] {
            const boost::json::value state
                = boost::json::parse(this->operatorCall("GET", "/v1/state", "", "").body);
            for (const auto &row : state.at("pools").at("tutors").at("endpoints").as_array()) {
                if (row.at("id").as_string() == engine)
                    return row.at("version").as_string() == version;
            }
            return false;
        };
        while (!isKnown())
            std::this_thread::sleep_for(Common::Milliseconds(10));
    }

    // Other engines than the one given.
    static std::vector<std::string> othersThan(const std::string &engine)
    {
        std::vector<std::string> others{"tutors-1", "tutors-2", "tutors-3"};
        std::erase(others, engine);
        return others;
    }

    // The engine that has generated tokens since the counts were taken.
    std::string servingEngine(const std::map<std::string, std::uint64_t> &before)
    {
        for (const auto &[engine, tokens] : this->tokensByEngine()) {
            if (tokens > before.at(engine))
                return engine;
        }
        return "";
    }
};

struct ThreeVersions : VersionFixture
{
    ThreeVersions() : VersionFixture({"v1", "v2", "v3"})
    {
    }
};

struct OneVersion : VersionFixture
{
    OneVersion() : VersionFixture({"v1", "v1", "v1"})
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersions)

// Guards against a resumed stream that goes on with another prompt: the stages before generation
// are not run again, so their outputs are missing.
BOOST_FIXTURE_TEST_CASE(resumedStream_engineFailsAgain_isNotContinuedWithAnotherPrompt, OneVersion)
{
    const Http::Request request = ask(400);
    const std::vector<std::string> whole
        = readStream(this->call(this->callerAddress, request).body).tokens;
    BOOST_REQUIRE(whole.size() == 400u);
    const Begun begun = this->beginAndDisconnect(request);
    const Reply reply = this->resume(resumption(request, begun.streamId), "id: 60\n",
                                     [&] { this->setFault(begun.engine, "truncate"); });
    this->clearFaults();
    const Stream rest = readStream(reply.body);
    BOOST_REQUIRE(rest.tokens.size() <= whole.size() - 31);
    BOOST_TEST(std::equal(rest.tokens.begin(), rest.tokens.end(), whole.begin() + 31));
    BOOST_REQUIRE(rest.lastType == "error");
    BOOST_TEST(errorMember(rest.lastData, "code") == "outcome_unknown");
}

// Guards against a stream that goes on at an engine of another software version than the one that
// began it.
BOOST_FIXTURE_TEST_CASE(engineFailsMidStream_onlyOtherVersionsServe_endsAsBroken, ThreeVersions)
{
    const auto before = this->tokensByEngine();
    const Reply reply = this->callAndInterrupt(
        ask(600), "id: 30\n", [&] { this->setFault(this->servingEngine(before), "truncate"); });
    this->clearFaults();
    const Stream stream = readStream(reply.body);
    BOOST_TEST(versionsOf(stream).size() == 1u);
    BOOST_REQUIRE(stream.lastType == "error");
    BOOST_TEST(errorMember(stream.lastData, "code") == "version_unavailable");
    BOOST_TEST(this->counter(Common::Counter::StreamsVersionUnavailable) == 1u);
}

BOOST_FIXTURE_TEST_CASE(engineFailsMidAnswer_onlyOtherVersionsServe_answerIsNotComplete,
                        ThreeVersions)
{
    const auto before = this->tokensByEngine();
    Http::Request request = ask(600);
    request.body = R"({"input":{"text":"question"},"maxTokens":600})";
    std::thread faultInjector([&] {
        std::string serving;
        while (serving.empty())
            serving = this->servingEngine(before);
        this->setFault(serving, "truncate");
    });
    const Reply reply = this->call(this->callerAddress, request);
    faultInjector.join();
    this->clearFaults();
    BOOST_TEST(reply.status == 409u);
    BOOST_TEST(errorMember(reply.body, "code") == "version_unavailable");
    BOOST_TEST(errorMember(reply.body, "ran") == "maybe");
}

BOOST_FIXTURE_TEST_CASE(engineFailsMidStream_itsVersionServes_continuesThere, OneVersion)
{
    const auto before = this->tokensByEngine();
    const Reply reply = this->callAndInterrupt(ask(600), "id: 30\n", [&] {
        const std::string serving = this->servingEngine(before);
        const std::string other = othersThan(serving).front();
        this->restartEngine(other, "v2");
        this->awaitVersion(other, "v2");
        this->setFault(serving, "truncate");
    });
    this->clearFaults();
    const Stream stream = readStream(reply.body);
    BOOST_TEST(stream.lastType == "done");
    BOOST_TEST(stream.tokens.size() == 600u);
    BOOST_TEST((versionsOf(stream) == std::set<std::string>{"v1"}));
}

// The version counts that the process states, since the instance list lags behind.
BOOST_FIXTURE_TEST_CASE(engineFailsMidStream_othersRestartedAtAnotherVersion_endsAsBroken,
                        OneVersion)
{
    const auto before = this->tokensByEngine();
    const Reply reply = this->callAndInterrupt(ask(600), "id: 30\n", [&] {
        const std::string serving = this->servingEngine(before);
        for (const std::string &other : othersThan(serving))
            this->restartEngine(other, "v2", false);
        this->setFault(serving, "truncate");
    });
    this->clearFaults();
    const Stream stream = readStream(reply.body);
    BOOST_TEST((versionsOf(stream) == std::set<std::string>{"v1"}));
    BOOST_REQUIRE(stream.lastType == "error");
    BOOST_TEST(errorMember(stream.lastData, "code") == "version_unavailable");
}

// Guards against a stream that goes on at an engine whose version is taken from the instance list,
// as its reply states none: the list may be that of its process before.
BOOST_FIXTURE_TEST_CASE(engineFailsMidStream_othersRestartedAndStateNoVersion_endsAsBroken,
                        OneVersion)
{
    const auto before = this->tokensByEngine();
    const Reply reply = this->callAndInterrupt(ask(600), "id: 30\n", [&] {
        const std::string serving = this->servingEngine(before);
        for (const std::string &other : othersThan(serving)) {
            this->restartEngine(other, "v2", false);
            this->setFault(other, "hidden-version");
        }
        this->setFault(serving, "truncate");
    });
    this->clearFaults();
    const Stream stream = readStream(reply.body);
    BOOST_TEST((versionsOf(stream) == std::set<std::string>{"v1"}));
    BOOST_REQUIRE(stream.lastType == "error");
    BOOST_TEST(errorMember(stream.lastData, "code") == "version_unavailable");
}

// The same for a stream that such an engine has begun.
BOOST_FIXTURE_TEST_CASE(engineStatesNoVersionAndFailsMidStream_isNotContinuedAtTheListedOne,
                        OneVersion)
{
    const auto before = this->tokensByEngine();
    for (const std::string &engine : othersThan("")) {
        this->restartEngine(engine, "v2", false);
        this->setFault(engine, "hidden-version");
    }
    const Reply reply = this->callAndInterrupt(ask(600), "id: 30\n", [&] {
        const std::string serving = this->servingEngine(before);
        for (const std::string &other : othersThan(serving))
            this->restartEngine(other, "v1", false);
        this->setFault(serving, "truncate");
    });
    this->clearFaults();
    BOOST_TEST((versionsOf(readStream(reply.body)) == std::set<std::string>{"v2"}));
}

// The engine's process is replaced at the same id and address while it serves the stream.
BOOST_FIXTURE_TEST_CASE(enginesRestartMidStream_atAnotherVersion_streamIsNotContinuedThere,
                        OneVersion)
{
    const Reply reply = this->callAndInterrupt(ask(600), "id: 30\n", [&] {
        for (const std::string &engine : othersThan(""))
            this->restartEngine(engine, "v2");
    });
    const Stream stream = readStream(reply.body);
    BOOST_TEST((versionsOf(stream) == std::set<std::string>{"v1"}));
    BOOST_TEST(stream.lastType == "error");
}

BOOST_FIXTURE_TEST_CASE(resumedStream_severalVersionsServe_goesOnAtItsEngine, ThreeVersions)
{
    const Http::Request request = ask(400);
    const Begun begun = this->beginAndDisconnect(request);
    const Stream rest = readStream(this->resume(resumption(request, begun.streamId)).body);
    BOOST_TEST(rest.lastType == "done");
    BOOST_TEST(rest.tokens.size() == 400u - 31u);
    BOOST_TEST(versionsOf(rest).size() == 1u);
    BOOST_TEST(this->counter(Common::Counter::StreamsResumed) > 0u);
}

BOOST_FIXTURE_TEST_CASE(resumedStream_engineFailsAndOnlyOtherVersionsServe_endsAsBroken,
                        ThreeVersions)
{
    const Http::Request request = ask(400, "chat");
    const Begun begun = this->beginAndDisconnect(request);
    const Reply reply = this->resume(resumption(request, begun.streamId), "id: 60\n",
                                     [&] { this->setFault(begun.engine, "truncate"); });
    this->clearFaults();
    const Stream rest = readStream(reply.body);
    BOOST_TEST(versionsOf(rest).size() == 1u);
    BOOST_REQUIRE(rest.lastType == "error");
    BOOST_TEST(errorMember(rest.lastData, "code") == "version_unavailable");
}

BOOST_FIXTURE_TEST_CASE(resumedStream_engineFailsAndItsVersionServes_continuesThere, OneVersion)
{
    const Http::Request request = ask(400, "chat");
    const Begun begun = this->beginAndDisconnect(request);
    const std::string other = othersThan(begun.engine).front();
    this->restartEngine(other, "v2");
    this->awaitVersion(other, "v2");
    const Reply reply = this->resume(resumption(request, begun.streamId), "id: 60\n",
                                     [&] { this->setFault(begun.engine, "truncate"); });
    this->clearFaults();
    const Stream rest = readStream(reply.body);
    BOOST_TEST(rest.lastType == "done");
    BOOST_TEST(rest.tokens.size() == 400u - 31u);
    BOOST_TEST((versionsOf(rest) == std::set<std::string>{"v1"}));
}

BOOST_FIXTURE_TEST_CASE(resumedStream_noEngineOfItsVersionLeft_isRefusedAsNotRun, OneVersion)
{
    const Http::Request request = ask(400);
    const Begun begun = this->beginAndDisconnect(request);
    for (const std::string &engine : othersThan("")) {
        this->restartEngine(engine, "v2");
        this->awaitVersion(engine, "v2");
    }
    const Reply reply = this->call(this->callerAddress, resumption(request, begun.streamId));
    BOOST_TEST(reply.status == 409u);
    BOOST_TEST(errorMember(reply.body, "code") == "version_unavailable");
    BOOST_TEST(errorMember(reply.body, "ran") == "no");
    BOOST_TEST(this->counter(Common::Counter::StreamsVersionUnavailable) == 1u);
}

BOOST_FIXTURE_TEST_CASE(resumedStream_versionUnknownAndSeveralServe_isRefusedAsNotRun,
                        ThreeVersions)
{
    const Http::Request request = ask(400);
    const Begun begun = this->beginAndDisconnect(request);
    const Reply reply
        = this->call(this->callerAddress, resumption(request, withoutVersion(begun.streamId)));
    BOOST_TEST(reply.status == 409u);
    BOOST_TEST(errorMember(reply.body, "code") == "version_unavailable");
    BOOST_TEST(errorMember(reply.body, "ran") == "no");
    BOOST_TEST(this->counter(Common::Counter::StreamsVersionUnknown) == 1u);
}

BOOST_FIXTURE_TEST_CASE(resumedStream_versionUnknownAndOneServes_goesOn, OneVersion)
{
    const Http::Request request = ask(400);
    const Begun begun = this->beginAndDisconnect(request);
    const Reply reply = this->resume(resumption(request, withoutVersion(begun.streamId)));
    BOOST_TEST(readStream(reply.body).lastType == "done");
}

BOOST_AUTO_TEST_SUITE_END()
