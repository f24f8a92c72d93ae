#include "UnitTests/Node/InstanceFixture.h"

#include "Common/Hash.h"
#include "Node/Log.h"
#include "TestSupport/FreePort.h"

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace Tanagerbay::Tests {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr Common::Milliseconds kCallTimeout{30'000};
constexpr const char *kToken = "token";
constexpr const char *kKey = "key-w1";

json::object poolSettings(const std::string &name, const json::array &endpoints)
{
    return {{"name", name}, {"endpoints", endpoints}};
}

} // namespace

InstanceFixture::InstanceFixture(const json::object &changes,
                                 std::vector<std::string> engineVersions)
    : engineVersions(std::move(engineVersions))
{
    Node::configureLog(true);
    Common::JsonFaults faults;
    StandIns::Settings standIns = StandIns::parseSettings(this->standInSettings(), faults);
    Node::Settings settings = Node::parseSettings(this->entrySettings(changes), faults);
    BOOST_REQUIRE_MESSAGE(faults.empty(), Common::describeFaults(faults));
    this->callerAddress = settings.caller.address;
    this->operatorAddress = settings.operatorPort.address;
    this->control = standIns.control;
    this->host = std::make_unique<StandIns::Host>(std::move(standIns));
    BOOST_REQUIRE_EQUAL(this->host->start(), "");
    this->instance = std::make_unique<Node::Instance>(std::move(settings));
    BOOST_REQUIRE_EQUAL(this->instance->start(), "");
    while (this->instance->phase() == Node::Phase::Starting)
        std::this_thread::sleep_for(Common::Milliseconds(5));
    this->putLists();
}

InstanceFixture::~InstanceFixture()
{
    this->instance->stop();
    this->host->stop();
}

std::string InstanceFixture::nextAddress()
{
    return "127.0.0.1:" + std::to_string(TestSupport::freePort());
}

json::value InstanceFixture::standInSettings()
{
    for (const char *name :
         {"control", "table", "objects", "list", "weights", "caller", "operator", "peer"})
        this->addresses[name] = this->nextAddress();
    json::array pools;
    const auto add = [&](const std::string &name, const std::string &kind, int count) {
        json::array endpoints;
        for (int i = 1; i <= count; ++i) {
            const std::string id = name + "-" + std::to_string(i);
            this->addresses[id] = this->nextAddress();
            json::object endpoint{
                {"id", id}, {"address", this->addresses[id]}, {"failureDomain", "a"}};
            const auto index = static_cast<std::size_t>(i - 1);
            if (kind == "engine" && index < this->engineVersions.size())
                endpoint["version"] = this->engineVersions[index];
            endpoints.push_back(std::move(endpoint));
        }
        json::object pool = poolSettings(name, endpoints);
        pool["kind"] = kind;
        pool["serviceMs"] = 2;
        pool["tokenIntervalMs"] = 2;
        pools.push_back(std::move(pool));
    };
    add("encoders", "stage", 2);
    add("retrievers", "stage", 2);
    add("rerankers", "stage", 2);
    add("tutors", "engine", 3);
    add("roster", "service", 2);
    add("schedule", "service", 2);
    return json::object{
        {"controlAddress", this->addresses["control"]},
        {"tableServiceAddress", this->addresses["table"]},
        {"objectStoreAddress", this->addresses["objects"]},
        {"instanceListAddress", this->addresses["list"]},
        {"weightStoreAddress", this->addresses["weights"]},
        {"instanceListLagMs", 0},
        {"pools", pools},
        {"entries", json::array{}},
    };
}

json::value InstanceFixture::entrySettings(const json::object &changes)
{
    const auto stage = [](const char *kind, const char *pool) {
        return json::object{{"kind", kind}, {"pool", pool}};
    };
    json::object generation = stage("generation", "tutors");
    generation["model"] = "tutor";
    const json::array stagesBeforeGeneration{stage("encoding", "encoders"),
                                             stage("retrieval", "retrievers"),
                                             stage("reranking", "rerankers")};
    json::array allStages = stagesBeforeGeneration;
    allStages.push_back(generation);
    json::array pools;
    for (const char *name : {"encoders", "retrievers", "rerankers", "tutors", "roster", "schedule"})
        pools.push_back(json::object{{"name", name}});
    json::object settings{
        {"instance", json::object{{"id", "i1"}, {"failureDomain", "a"}}},
        {"caller",
         json::object{{"address", this->addresses["caller"]},
                      {"maxBodyBytes", 65536},
                      {"requestTimeoutMs", 300},
                      {"entriesTtlMs", 100}}},
        {"operator",
         json::object{{"address", this->addresses["operator"]},
                      {"tokenSha256", Common::secretDigestOf(kToken)}}},
        {"peer", json::object{{"address", this->addresses["peer"]}}},
        {"platform",
         json::object{{"tableServiceAddress", this->addresses["table"]},
                      {"objectStoreAddress", this->addresses["objects"]},
                      {"instanceListAddress", this->addresses["list"]},
                      {"instancePollIntervalMs", 100}}},
        {"limits", json::object{{"instances", 1}}},
        {"pools", pools},
        {"pipelines",
         json::array{json::object{{"name", "ask"}, {"stages", allStages}},
                     json::object{{"name", "pack"}, {"stages", allStages}},
                     json::object{{"name", "chat"}, {"stages", json::array{generation}}},
                     json::object{{"name", "search"}, {"stages", stagesBeforeGeneration}}}},
        {"services",
         json::array{
             json::object{{"name", "roster"}, {"pool", "roster"}, {"idempotent", false}},
             json::object{{"name", "schedule"}, {"pool", "schedule"}, {"idempotent", true}}}},
    };
    for (const auto &[name, value] : changes) {
        if (!value.is_object()) {
            settings[name] = value;
            continue;
        }
        json::object &section = settings.emplace(name, json::object()).first->value().as_object();
        for (const auto &[member, changed] : value.as_object())
            section[member] = changed;
    }
    return settings;
}

void InstanceFixture::putLists()
{
    const std::string plans
        = R"({"plans":[{"name":"p","deadlineMs":20000,"priority":"interactive","concurrency":100,
            "ratePerSecond":1000,"promises":[{"for":"pack","deadlineMs":20000,"priority":"patient"}]}],"workspaces":[{"id":"w1","plan":"p","keyDigests":[")"
        + Common::secretDigestOf(kKey) + R"("]}]})";
    const std::string entitlements
        = R"({"entitlements":[{"plan":"p","pipelines":["ask","search","pack","chat"],
            "services":["roster","schedule"],"models":["tutor"],
            "allowances":[{"action":"roster","count":30,"windowSeconds":31536000}]}]})";
    const std::string target = "/v1/lists/plans?acceptWarnings=true";
    BOOST_REQUIRE_EQUAL(this->operatorCall("PUT", target, plans, "\"0\"").status, 200u);
    BOOST_REQUIRE_EQUAL(
        this->operatorCall("PUT", "/v1/lists/entitlements", entitlements, "\"0\"").status, 200u);
}

Reply InstanceFixture::call(const Common::Address &address, Http::Request request)
{
    asio::io_context context(1);
    Http::Client client(context.get_executor());
    Reply reply;
    const auto run = [&]() -> Http::Awaitable<void> {
        Http::CallOptions options;
        options.deadline = std::chrono::steady_clock::now() + kCallTimeout;
        auto result = co_await client.call(address, request, options);
        if (!result)
            co_return;
        reply.status = result->status;
        reply.body = std::move(result->body);
        reply.headers = std::move(result->headers);
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return reply;
}

Reply InstanceFixture::pipeline(const std::string &name, const std::string &body)
{
    Http::Request request{"POST", "/v1/pipelines/" + name, {}, body};
    request.headers.add("Authorization", std::string("Bearer ") + kKey);
    return this->call(this->callerAddress, std::move(request));
}

Reply InstanceFixture::service(const std::string &name, const std::string &path,
                               const std::string &key, const std::string &body)
{
    Http::Request request{"POST", "/v1/services/" + name + "/" + path, {}, body};
    request.headers.add("Authorization", std::string("Bearer ") + kKey);
    if (!key.empty())
        request.headers.add("Idempotency-Key", key);
    return this->call(this->callerAddress, std::move(request));
}

Reply InstanceFixture::operatorCall(const std::string &method, const std::string &target,
                                    const std::string &body, const std::string &ifMatch)
{
    Http::Request request{method, target, {}, body};
    request.headers.add("Authorization", std::string("Bearer ") + kToken);
    if (!ifMatch.empty())
        request.headers.add("If-Match", ifMatch);
    return this->call(this->operatorAddress, std::move(request));
}

std::string InstanceFixture::rawCall(const std::string &bytes)
{
    asio::io_context context(1);
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->callerAddress.ip), this->callerAddress.port});
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::string reply;
    asio::read(socket, asio::dynamic_buffer(reply), ignored);
    return reply;
}

std::string InstanceFixture::callAndDisconnect(const std::string &bytes, const std::string &until)
{
    asio::io_context context(1);
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->callerAddress.ip), this->callerAddress.port});
    asio::write(socket, asio::buffer(bytes));
    std::string reply;
    boost::system::error_code error;
    std::array<char, 4096> chunk = {};
    while (!error && reply.find(until) == std::string::npos)
        reply.append(chunk.data(), socket.read_some(asio::buffer(chunk), error));
    return reply;
}

void InstanceFixture::sendAndDisconnect(const std::string &bytes)
{
    asio::io_context context(1);
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->callerAddress.ip), this->callerAddress.port});
    asio::write(socket, asio::buffer(bytes));
}

Reply InstanceFixture::callAndInterrupt(Http::Request request, const std::string &until,
                                        const std::function<void()> &action)
{
    asio::io_context context(1);
    Http::Client client(context.get_executor());
    Reply reply;
    const auto run = [&]() -> Http::Awaitable<void> {
        Http::CallOptions options;
        options.deadline = std::chrono::steady_clock::now() + kCallTimeout;
        auto stream = co_await client.open(this->callerAddress, request, options);
        if (!stream)
            co_return;
        reply.status = stream->status();
        reply.headers = stream->headers();
        bool isInterrupted = false;
        while (true) {
            const auto part = co_await stream->read(options.deadline);
            const auto *bytes = part ? std::get_if<std::string_view>(&*part) : nullptr;
            if (!bytes)
                co_return;
            reply.body.append(*bytes);
            if (isInterrupted || reply.body.find(until) == std::string::npos)
                continue;
            isInterrupted = true;
            action();
        }
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return reply;
}

void InstanceFixture::restartEngine(const std::string &id, const std::string &version,
                                    bool isListed)
{
    const json::object body{{"id", id}, {"version", version}, {"listed", isListed}};
    Http::Request request{"POST", "/v1/restarts", {}, json::serialize(body)};
    const Reply reply = this->call(this->control, std::move(request));
    BOOST_REQUIRE_EQUAL(reply.status, 200u);
}

void InstanceFixture::setFault(const std::string &target, const std::string &kind,
                               double probability, double value)
{
    const json::object body{
        {"target", target}, {"kind", kind}, {"probability", probability}, {"value", value}};
    Http::Request request{"POST", "/v1/faults", {}, json::serialize(body)};
    const Reply reply = this->call(this->control, std::move(request));
    BOOST_REQUIRE_EQUAL(reply.status, 200u);
}

void InstanceFixture::clearFaults()
{
    this->call(this->control, {"DELETE", "/v1/faults", {}, ""});
}

std::map<std::string, std::uint64_t> InstanceFixture::tokensByEngine()
{
    std::map<std::string, std::uint64_t> tokens;
    const json::value all = this->counts();
    for (const auto &engine : all.at("pools").at("tutors").as_object())
        tokens[std::string(engine.key())] = engine.value().at("tokens").to_number<std::uint64_t>();
    return tokens;
}

json::value InstanceFixture::counts()
{
    return json::parse(this->call(this->control, {"GET", "/v1/counts", {}, ""}).body);
}

std::uint64_t InstanceFixture::runsOf(const std::string &callerKey)
{
    std::uint64_t runs = 0;
    const json::value all = this->counts();
    for (const auto &endpoint : all.at("pools").at("roster").as_object()) {
        const json::object &byKey = endpoint.value().at("runsByKey").as_object();
        const auto *count = byKey.if_contains("2:w1/" + callerKey);
        runs += count ? count->to_number<std::uint64_t>() : 0;
    }
    return runs;
}

std::uint64_t InstanceFixture::counter(Common::Counter counter)
{
    const Reply reply = this->operatorCall("GET", "/v1/state", "", "");
    const json::value state = json::parse(reply.body);
    const std::string_view name = Common::nameOf(counter);
    return state.at("counters").at({name.data(), name.size()}).to_number<std::uint64_t>();
}

} // namespace Tanagerbay::Tests
