// Engines of several software versions serve side by side. A token of an engine of version V ends
// in "~V".
#include "UnitTests/Node/InstanceFixture.h"

#include "Http/EventStream.h"

#include <set>

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

class VersionFixture : public InstanceFixture
{
protected:
    explicit VersionFixture(std::vector<std::string> engineVersions)
        : InstanceFixture({}, std::move(engineVersions))
    {
    }

    Http::Request ask(int maxTokens)
    {
        const boost::json::object body{{"input", boost::json::object{{"text", "question"}}},
                                       {"stream", true},
                                       {"maxTokens", maxTokens}};
        Http::Request request{"POST", "/v1/pipelines/ask", {}, boost::json::serialize(body)};
        request.headers.add("Authorization", "Bearer key-w1");
        return request;
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

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersions)

// Guards against a stream that goes on at an engine of another software version than the one that
// began it.
BOOST_FIXTURE_TEST_CASE(engineFailsMidStream_onlyOtherVersionsServe_endsAsBroken, ThreeVersions)
{
    const auto before = this->tokensByEngine();
    const Reply reply = this->callAndInterrupt(this->ask(600), "id: 30\n", [&] {
        this->setFault(this->servingEngine(before), "truncate");
    });
    this->clearFaults();
    const Stream stream = readStream(reply.body);
    BOOST_TEST(versionsOf(stream).size() == 1u);
    BOOST_TEST(stream.lastType == "error");
    BOOST_TEST(stream.lastData.find(R"("version_unavailable")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
