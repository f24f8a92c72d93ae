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

constexpr Common::Milliseconds kListenerWatch{20};
constexpr std::int64_t kMostFaultMs = 24 * 3600 * 1000;
// Callers keep connections to the stand-ins for the length of a run.
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
    std::vector<asio::io_context *> all;
    for (const auto &context : this->contexts)
        all.push_back(context.get());
    this->servers.push_back(
        std::make_unique<Http::Server>(std::move(all), options, std::move(handler)));
    return this->servers.back()->start();
}

std::string Host::addMember(const PoolSettings &pool, const EndpointSettings &endpoint)
{
    auto member = std::make_unique<Member>();
    member->pool = pool.name;
    member->id = endpoint.id;
    member->context = this->members.size() % this->contexts.size();
    asio::io_context &context = *this->contexts[member->context];
    Http::Handler handler;
    if (pool.kind == PoolKind::Engine) {
        member->engine
            = std::make_unique<Engine>(context.get_executor(), pool, endpoint, this->faults,
                                       this->settings.seed + this->members.size());
        handler = [engine = member->engine.get()](Http::Exchange &exchange) {
            return engine->handle(exchange);
        };
    } else {
        member->station
            = std::make_unique<Station>(context.get_executor(), pool, endpoint, this->faults);
        handler = [station = member->station.get()](Http::Exchange &exchange) {
            return station->handle(exchange);
        };
    }
    Http::ServerOptions options;
    options.address = endpoint.address;
    options.idleTimeout = kIdleTimeout;
    options.maxBodyBytes = 64 << 20;
    member->server = std::make_unique<Http::Server>(std::vector<asio::io_context *>{&context},
                                                    options, std::move(handler));
    const std::string problem = member->server->start();
    this->instances.put({endpoint.id, pool.name, endpoint.address, {}, endpoint.failureDomain},
                        clockNow() - std::chrono::hours(1));
    this->members.push_back(std::move(member));
    return problem;
}

std::string Host::start()
{
    for (std::size_t i = 0; i < this->settings.threads; ++i) {
        this->contexts.push_back(std::make_unique<asio::io_context>(1));
        this->guards.push_back(asio::make_work_guard(*this->contexts.back()));
    }
    std::string problem;
    const auto attempt = [&problem](std::string result) {
        if (problem.empty())
            problem = std::move(result);
    };
    for (const EntrySettings &entry : this->settings.entries) {
        this->instances.put({entry.id, "", entry.address, entry.peerAddress, entry.failureDomain},
                            clockNow() - std::chrono::hours(1));
    }
    for (const PoolSettings &pool : this->settings.pools) {
        for (const EndpointSettings &endpoint : pool.endpoints)
            attempt(this->addMember(pool, endpoint));
    }
    attempt(this->addServer(this->settings.tableService, [this](Http::Exchange &exchange) {
        return this->table.handle(exchange);
    }));
    attempt(this->addServer(this->settings.objectStore, [this](Http::Exchange &exchange) {
        return this->objects.handle(exchange);
    }));
    attempt(this->addServer(this->settings.instanceList, [this](Http::Exchange &exchange) {
        return this->instances.handle(exchange);
    }));
    attempt(this->addServer(this->settings.control,
                            [this](Http::Exchange &exchange) { return this->control(exchange); }));
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
        timer.expires_after(kListenerWatch);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for (const auto &member : this->members) {
            const bool dead = this->faults.hit(member->id, FaultKind::Die, clockNow()).has_value();
            if (dead == !member->listening)
                continue;
            member->listening = !dead;
            if (dead)
                member->server->stopAccepting();
            else
                member->server->start();
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
        + Common::Milliseconds(reader.integer("durationMs", 1, kMostFaultMs, kMostFaultMs));
    reader.finish();
    if (!kind)
        reader.fault("kind", "is not a known fault");
    if (!problems.empty())
        return badInput(problems);
    // The name of a pool stands for all its endpoints, that of a failure domain for all within.
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

Http::Awaitable<Http::Response> Host::counts()
{
    json::object pools;
    for (const auto &member : this->members) {
        json::object entry;
        // Members are read on their own thread.
        co_await asio::co_spawn(
            *this->contexts[member->context],
            [&member, &entry]() -> Http::Awaitable<void> {
                if (member->station) {
                    json::object runs;
                    for (const auto &[key, count] : member->station->runsByKey())
                        runs[key] = count;
                    entry["runsByKey"] = std::move(runs);
                    entry["runs"] = member->station->totalRuns();
                    entry["cancelled"] = member->station->cancelledCalls();
                    entry["busySeconds"] = Common::toSeconds(member->station->busyTime());
                } else {
                    entry["tokens"] = member->engine->totalTokens();
                    entry["cancelled"] = member->engine->cancelledSequences();
                    entry["prefilledBlocks"] = member->engine->prefilledBlocks();
                    entry["cachedBlocks"] = member->engine->cachedBlocks();
                    entry["busySeconds"] = Common::toSeconds(member->engine->busyTime());
                }
                co_return;
            },
            asio::use_awaitable);
        json::value &pool = pools[member->pool];
        if (!pool.is_object())
            pool = json::object();
        pool.get_object()[member->id] = std::move(entry);
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
            this->faults.heal(std::string(target.query.substr(kTarget.size())));
        else
            this->faults.healAll();
        response = Http::jsonResponse(200, "{}");
    } else if (target.path == "/v1/instances" && request.method == "POST") {
        response = this->changeInstance(request.body);
    } else if (target.path == "/v1/counts") {
        response = co_await this->counts();
    }
    co_await exchange.respond(std::move(response));
}

} // namespace Tanagerbay::StandIns
