#include "StandIns/Host.h"

#include "Common/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::StandIns {

namespace asio = boost::asio;
namespace json = boost::json;

using Common::clockNow;

namespace {

constexpr Common::Milliseconds kListenerPollInterval{20};
constexpr std::int64_t kMaxFaultDurationMs = 24 * 3600 * 1000;
// Callers keep connections to the stand-ins open for the duration of a run.
constexpr Common::Milliseconds kIdleTimeout{600'000};

Http::Response badInput(const Common::JsonFaults &faults)
{
    return Http::jsonResponse(
        400, json::serialize(json::object{{"error", Common::describeFaults(faults)}}));
}

} // namespace

Host::Host(Settings settings)
    : settings(std::move(settings)), faults(this->settings.seed),
      table(this->faults, this->settings.storeLatency),
      objects(this->faults, this->settings.storeLatency),
      instances(this->faults, this->settings.instanceListLag)
{
}

Host::~Host()
{
    this->stop();
}

std::string Host::addServer(const Common::Address &address, Http::Handler handler)
{
    Http::ServerOptions options;
    options.address = address;
    options.idleTimeout = kIdleTimeout;
    options.maxBodyBytes = 64 << 20;
    std::vector<asio::io_context *> contextPointers;
    for (const auto &context : this->contexts)
        contextPointers.push_back(context.get());
    this->servers.push_back(
        std::make_unique<Http::Server>(std::move(contextPointers), options, std::move(handler)));
    return this->servers.back()->start();
}

std::string Host::addEndpoint(const PoolSettings &pool, const EndpointSettings &endpoint)
{
    auto hosted = std::make_unique<HostedEndpoint>();
    hosted->pool = pool.name;
    hosted->id = endpoint.id;
    hosted->context = this->hostedEndpoints.size() % this->contexts.size();
    asio::io_context &context = *this->contexts[hosted->context];
    Http::Handler handler;
    if (pool.kind == PoolKind::Engine) {
        hosted->engine
            = std::make_unique<Engine>(context.get_executor(), pool, endpoint, this->faults,
                                       this->settings.seed + this->hostedEndpoints.size());
        handler = [engine = hosted->engine.get()](Http::Exchange &exchange) {
            return engine->handle(exchange);
        };
    } else {
        hosted->callEndpoint
            = std::make_unique<CallEndpoint>(context.get_executor(), pool, endpoint, this->faults);
        handler = [callEndpoint = hosted->callEndpoint.get()](Http::Exchange &exchange) {
            return callEndpoint->handle(exchange);
        };
    }
    Http::ServerOptions options;
    options.address = endpoint.address;
    options.idleTimeout = kIdleTimeout;
    options.maxBodyBytes = 64 << 20;
    hosted->server = std::make_unique<Http::Server>(std::vector<asio::io_context *>{&context},
                                                    options, std::move(handler));
    const std::string problem = hosted->server->start();
    this->instances.put({endpoint.id,
                         pool.name,
                         endpoint.address,
                         {},
                         endpoint.failureDomain,
                         false,
                         endpoint.version},
                        clockNow() - std::chrono::hours(1));
    this->hostedEndpoints.push_back(std::move(hosted));
    return problem;
}

std::string Host::start()
{
    for (std::size_t i = 0; i < this->settings.threads; ++i) {
        this->contexts.push_back(std::make_unique<asio::io_context>(1));
        this->guards.push_back(asio::make_work_guard(*this->contexts.back()));
    }
    std::string problem;
    const auto recordProblem = [&problem](std::string result) {
        if (problem.empty())
            problem = std::move(result);
    };
    for (const EntrySettings &entry : this->settings.entries) {
        this->instances.put({entry.id, "", entry.address, entry.peerAddress, entry.failureDomain},
                            clockNow() - std::chrono::hours(1));
    }
    for (const PoolSettings &pool : this->settings.pools) {
        for (const EndpointSettings &endpoint : pool.endpoints)
            recordProblem(this->addEndpoint(pool, endpoint));
    }
    recordProblem(this->addServer(this->settings.tableService, [this](Http::Exchange &exchange) {
        return this->table.handle(exchange);
    }));
    recordProblem(this->addServer(this->settings.objectStore, [this](Http::Exchange &exchange) {
        return this->objects.handle(exchange);
    }));
    recordProblem(this->addServer(this->settings.instanceList, [this](Http::Exchange &exchange) {
        return this->instances.handle(exchange);
    }));
    recordProblem(this->addServer(this->settings.control, [this](Http::Exchange &exchange) {
        return this->control(exchange);
    }));
    if (!problem.empty())
        return problem;
    asio::co_spawn(*this->contexts.front(), this->watchListeners(), asio::detached);
    for (const auto &context : this->contexts)
        this->threads.emplace_back([&context] { context->run(); });
    return "";
}

void Host::stop()
{
    this->guards.clear();
    for (const auto &context : this->contexts)
        context->stop();
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
}

Http::Awaitable<void> Host::watchListeners()
{
    asio::steady_timer timer(*this->contexts.front());
    boost::system::error_code ignored;
    while (true) {
        timer.expires_after(kListenerPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for (const auto &hosted : this->hostedEndpoints) {
            const bool isDown
                = this->faults.trigger(hosted->id, FaultKind::Die, clockNow()).has_value();
            if (isDown == !hosted->isListening)
                continue;
            hosted->isListening = !isDown;
            if (isDown)
                hosted->server->stopAccepting();
            else
                hosted->server->start();
        }
    }
}

Http::Response Host::setFault(const std::string &body)
{
    Common::JsonFaults problems;
    const auto document = Common::parseJson(body, problems);
    if (!document)
        return badInput(problems);
    Common::ObjectReader reader(*document, "", problems);
    const std::string target = reader.text("target");
    const auto kind = Common::valueNamed<FaultKind>(reader.text("kind"));
    Fault fault;
    fault.value = reader.number("value", 0, 1e9, 1);
    fault.probability = reader.number("probability", 0, 1, 1);
    fault.until = clockNow()
        + Common::Milliseconds(
                      reader.integer("durationMs", 1, kMaxFaultDurationMs, kMaxFaultDurationMs));
    reader.finish();
    if (!kind)
        reader.fault("kind", "is not a known fault");
    if (!problems.empty())
        return badInput(problems);
    // A target may be the name of a pool or failure domain; the fault then applies to all its
    // endpoints.
    this->faults.set(target, *kind, fault);
    for (const PoolSettings &pool : this->settings.pools) {
        for (const EndpointSettings &endpoint : pool.endpoints) {
            if (pool.name == target || endpoint.failureDomain.value == target)
                this->faults.set(endpoint.id, *kind, fault);
        }
    }
    return Http::jsonResponse(200, "{}");
}

Http::Response Host::changeInstance(const std::string &body)
{
    Common::JsonFaults problems;
    const auto document = Common::parseJson(body, problems);
    if (!document)
        return badInput(problems);
    Common::ObjectReader reader(*document, "", problems);
    InstanceRecord record;
    record.id = reader.text("id");
    record.pool = reader.text("pool", "");
    const std::string state = reader.text("state", "live");
    const std::string address = reader.text("address", "");
    const std::string peerAddress = reader.text("peerAddress", "");
    record.failureDomain = Common::FailureDomain(reader.text("failureDomain", ""));
    record.version = reader.text("version", "");
    reader.finish();
    if (!address.empty() && !Common::parseAddress(address, record.address))
        reader.fault("address", "must be ip:port");
    if (!peerAddress.empty() && !Common::parseAddress(peerAddress, record.peerAddress))
        reader.fault("peerAddress", "must be ip:port");
    if (!problems.empty())
        return badInput(problems);
    if (record.address.isSet())
        this->instances.put(record, clockNow());
    else if (!this->instances.change(record.id, state, clockNow()))
        return Http::jsonResponse(404, R"({"error":"no such instance"})");
    return Http::jsonResponse(200, "{}");
}

Http::Awaitable<Http::Response> Host::restartEngine(std::string body)
{
    Common::JsonFaults problems;
    const auto document = Common::parseJson(body, problems);
    if (!document)
        co_return badInput(problems);
    Common::ObjectReader reader(*document, "", problems);
    const std::string id = reader.text("id");
    const std::string version = reader.text("version");
    const bool isListed = reader.flag("listed", true);
    reader.finish();
    if (!problems.empty())
        co_return badInput(problems);
    for (const auto &hosted : this->hostedEndpoints) {
        if (hosted->id != id || !hosted->engine)
            continue;
        if (isListed)
            this->instances.changeVersion(id, version, clockNow());
        // An engine is changed on the thread that serves it.
        co_await asio::co_spawn(
            *this->contexts[hosted->context],
            [&hosted, &version]() -> Http::Awaitable<void> {
                hosted->engine->restart(version);
                co_return;
            },
            asio::use_awaitable);
        co_return Http::jsonResponse(200, "{}");
    }
    co_return Http::jsonResponse(404, R"({"error":"no such engine"})");
}

Http::Awaitable<Http::Response> Host::counts()
{
    json::object pools;
    for (const auto &hosted : this->hostedEndpoints) {
        json::object entry;
        // The counters of an endpoint are read on the thread that serves it.
        co_await asio::co_spawn(
            *this->contexts[hosted->context],
            [&hosted, &entry]() -> Http::Awaitable<void> {
                if (hosted->callEndpoint) {
                    json::object runs;
                    for (const auto &[key, count] : hosted->callEndpoint->runsByKey())
                        runs[key] = count;
                    entry["runsByKey"] = std::move(runs);
                    entry["runs"] = hosted->callEndpoint->totalRuns();
                    entry["cancelled"] = hosted->callEndpoint->cancelledCalls();
                    entry["busySeconds"] = Common::toSeconds(hosted->callEndpoint->busyTime());
                } else {
                    entry["tokens"] = hosted->engine->totalTokens();
                    entry["cancelled"] = hosted->engine->cancelledSequences();
                    entry["prefilledBlocks"] = hosted->engine->prefilledBlocks();
                    entry["cachedBlocks"] = hosted->engine->cachedBlocks();
                    entry["busySeconds"] = Common::toSeconds(hosted->engine->busyTime());
                }
                co_return;
            },
            asio::use_awaitable);
        json::value &pool = pools[hosted->pool];
        if (!pool.is_object())
            pool = json::object();
        pool.get_object()[hosted->id] = std::move(entry);
    }
    const json::object table{
        {"transactions", this->table.transactionCount()},
        {"puts", this->table.putCount()},
        {"reads", this->table.readCount()},
    };
    co_return Http::jsonResponse(200,
                                 json::serialize(json::object{
                                     {"pools", pools},
                                     {"table", table},
                                     {"objects", this->objects.objectCount()},
                                 }));
}

Http::Awaitable<void> Host::control(Http::Exchange &exchange)
{
    const Http::Request &request = exchange.request();
    const Http::Target target = Http::splitTarget(request.target);
    Http::Response response = Http::jsonResponse(404, R"({"error":"not found"})");
    if (target.path == "/v1/faults" && request.method == "POST") {
        response = this->setFault(request.body);
    } else if (target.path == "/v1/faults" && request.method == "DELETE") {
        constexpr std::string_view kTarget = "target=";
        if (target.query.starts_with(kTarget))
            this->faults.clear(std::string(target.query.substr(kTarget.size())));
        else
            this->faults.clearAll();
        response = Http::jsonResponse(200, "{}");
    } else if (target.path == "/v1/instances" && request.method == "POST") {
        response = this->changeInstance(request.body);
    } else if (target.path == "/v1/restarts" && request.method == "POST") {
        std::string body = request.body;
        response = co_await this->restartEngine(std::move(body));
    } else if (target.path == "/v1/counts") {
        response = co_await this->counts();
    }
    co_await exchange.respond(std::move(response));
}

} // namespace Tanagerbay::StandIns
