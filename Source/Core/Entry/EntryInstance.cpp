#include "Entry/EntryInstance.h"

#include "Common/Build.h"

#include <algorithm>
#include <csignal>
#include <ctime>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// How long callers may cache an answer of the directory. Short, so that callers stop using a
// leaving instance before it exits. Each caller asks the directory once per this period.
constexpr Common::Milliseconds kDirectoryTtl{2000};
constexpr std::size_t kMaxDirectoryEntries = 64;
constexpr Common::Milliseconds kDrainPollInterval{50};
// Delays of the event loop during a shutdown that are logged.
constexpr Common::Milliseconds kLoggedDelay{50};
// Log lines are buffered for at most this long.
constexpr Common::Milliseconds kHousekeepingInterval{250};
constexpr Common::Milliseconds kIdleConnectionTimeout{8000};
// How often the store's list of instances is read, to find instances that no probe has
// reported.
constexpr Common::Milliseconds kInstanceListInterval{15'000};
// The same for instances that follow readers, which only miss instances that nobody has found.
constexpr Common::Milliseconds kFollowerListInterval{60'000};
constexpr Common::Milliseconds kInstanceListRetryInterval{500};
constexpr Common::Milliseconds kRowRemovalRetryInterval{200};
// How often it is checked whether the store has lost this instance's row.
constexpr Common::Milliseconds kEpochCheckInterval{1000};
// Body size limit until the catalog sets one.
constexpr std::size_t kMaxBodyBytes = 8 << 20;
// A header that exceeds the limit by up to this much is still read, so that the caller gets an
// answer that states the reason.
constexpr std::size_t kHeaderMarginBytes = 4 << 10;

// Counts a request as in progress while it exists, also if its handler throws.
class RequestCount
{
public:
    explicit RequestCount(std::size_t &inProgress) : inProgress(inProgress)
    {
        ++this->inProgress;
    }
    ~RequestCount()
    {
        --this->inProgress;
    }
    RequestCount(const RequestCount &) = delete;
    RequestCount &operator=(const RequestCount &) = delete;

private:
    std::size_t &inProgress;
};

// Processor time that this thread has used.
Common::Duration threadProcessorTime()
{
    ::timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::duration_cast<Common::Duration>(std::chrono::seconds(used.tv_sec)
                                                        + std::chrono::nanoseconds(used.tv_nsec));
}

} // namespace

EntryInstance::EntryInstance(Settings settings, const Platform &platform, Reload reload)
    : state(std::move(settings), platform.dialect), store(platform.makeStore(this->state)),
      reload(std::move(reload)), datagrams(this->state), gossip(this->state, this->datagrams),
      mesh(this->state), relay(this->state, this->mesh), storeContact(this->state, this->datagrams),
      evacuations(this->state, this->gossip), crashWatch(this->state, this->gossip),
      limits(this->state, this->gossip), paths(this->state, this->gossip, this->stageOwner),
      paces(this->state, this->gossip), memory(this->state),
      versionRows(this->state, *this->store, this->relay, this->datagrams), stageOwner(this->state),
      stageClient(this->state, this->mesh, this->stageOwner),
      catalogs(this->state, this->mesh, this->gossip, *this->store, this->relay, this->evacuations),
      endpoints(this->state, this->stageOwner, *this->store, this->relay, this->storeContact),
      processes(this->state, this->endpoints, this->limits),
      streams(this->state, this->datagrams, *this->store, this->endpoints),
      parts{this->state,      this->catalogs,  this->endpoints,  this->stageClient,
            this->crashWatch, this->streams,   this->limits,     this->paths,
            this->paces,      this->processes, this->versionRows}
{
}

EntryInstance::~EntryInstance() = default;

std::unique_ptr<Http::Server> EntryInstance::makeServer(const Common::Address &address,
                                                        Http::Handler handler,
                                                        Http::ServerOptions options)
{
    options.address = address;
    options.maxBodyBytes = kMaxBodyBytes;
    options.maxConnections = this->state.settings.maxConnections;
    options.memory = &this->state.memory;
    if (!options.usesBody)
        options.usesBody = [](const Http::Request &) { return false; };
    auto server = std::make_unique<Http::Server>(
        std::vector<asio::io_context *>{&this->state.context}, options, std::move(handler));
    server->onHandlerFault([this](std::string_view fault) {
        this->state.log.write(LogLine("handler-failed").text("fault", fault), clockNow());
    });
    server->onAcceptFault([this](std::string_view fault) {
        this->state.metrics.count("accepts_failed");
        this->state.log.write(LogLine("accept-failed").text("fault", fault), clockNow());
    });
    return server;
}

std::string EntryInstance::startServers()
{
    const Settings &settings = this->state.settings;
    const auto handleCaller = [this](Http::Exchange &exchange) {
        return this->handleRequest(exchange, RequestSource::Caller);
    };
    this->memory.start();
    Http::ServerOptions requestOptions;
    requestOptions.usesBody = [this](const Http::Request &head) { return this->hasRoute(head); };
    Http::ServerOptions callerOptions = requestOptions;
    callerOptions.keepsHalfClosed = true;
    this->callerServer = this->makeServer(settings.callers, handleCaller, callerOptions);
    this->directoryServer = this->makeServer(settings.directory, [this](Http::Exchange &exchange) {
        return this->handleDirectory(exchange);
    });
    this->readinessServer = this->makeServer(settings.readiness, [this](Http::Exchange &exchange) {
        return this->handleReadiness(exchange);
    });
    if (settings.forwarding.isSet()) {
        const auto handleForwarded = [this](Http::Exchange &exchange) {
            return this->handleRequest(exchange, RequestSource::Instance);
        };
        this->forwardServer
            = this->makeServer(settings.forwarding, handleForwarded, requestOptions);
    }
    std::vector<Http::Server *> servers = this->requestServers();
    servers.push_back(this->directoryServer.get());
    servers.push_back(this->readinessServer.get());
    const auto operations
        = [this](Http::Exchange &exchange) { return this->handleOperations(exchange); };
    if (settings.control.isSet()) {
        this->controlServer = this->makeServer(settings.control, operations);
        servers.push_back(this->controlServer.get());
    }
    if (settings.metrics.isSet()) {
        this->metricsServer = this->makeServer(settings.metrics, operations);
        servers.push_back(this->metricsServer.get());
    }
    for (Http::Server *server : servers) {
        if (const std::string problem = server->start(); !problem.empty())
            return problem;
    }
    if (const std::string problem = this->mesh.start(); !problem.empty())
        return problem;
    if (const std::string problem = this->datagrams.start(); !problem.empty())
        return problem;
    this->gossip.start();
    return "";
}

bool EntryInstance::hasRoute(const Http::Request &head) const
{
    const auto request = this->state.dialect.readRequest(head);
    return request && this->state.catalog
        && Catalog::findRoute(*this->state.catalog, request->host, request->path);
}

std::vector<Http::Server *> EntryInstance::requestServers() const
{
    std::vector<Http::Server *> servers{this->callerServer.get()};
    if (this->forwardServer)
        servers.push_back(this->forwardServer.get());
    return servers;
}

std::string EntryInstance::run()
{
    ::signal(SIGPIPE, SIG_IGN);
    if (const std::string problem = this->startServers(); !problem.empty())
        return problem;
    this->state.metrics.gauges[labelled("build_info", "build", Common::buildName())] = 1;
    this->state.logState(LogLine("started")
                             .text("build", Common::buildName())
                             .text("instance", this->state.settings.instance.value)
                             .text("callers", Common::formatAddress(this->state.settings.callers))
                             .text("store", Common::formatAddress(this->state.settings.store)));
    this->mesh.on("members?", [this](const PeerLinkPtr &link, const boost::json::object &) {
        this->mesh.reply(link, this->allKnown());
    });
    this->mesh.on("members", [this](const PeerLinkPtr &, const boost::json::object &message) {
        this->applyAllKnown(message);
    });
    this->gossip.onAskAll([this](const Common::Address &peer) {
        this->mesh.send(peer, {{"type", "members?"}});
    });
    this->relay.onReport([this](const ReaderReport &report) {
        // First, so that new endpoints of an evacuated domain are not used for a moment.
        this->evacuations.applyReport(report.evacuations, "reader");
        this->endpoints.applyReport(report);
        this->catalogs.applyReport(report);
    });
    this->relay.setConfirm([this] { return this->catalogs.confirmByStore(); });
    this->relay.start();
    this->stageClient.onDoubt(
        [this](const Common::InstanceId &instance) { this->gossip.check(instance); });
    this->endpoints.onLeaving(
        [this](const LeavingEndpoint &leaving) { this->gossip.publishLeaving(leaving); });
    this->gossip.onLeavingEndpoint(
        [this](const LeavingEndpoint &leaving) { this->endpoints.noteLeaving(leaving); });
    this->stageOwner.onResponse(
        [this](const Routing::Endpoint &endpoint, const EndpointResponseHead &answer) {
            this->endpoints.noteResponse(endpoint, answer);
        });
    this->stageOwner.onLimit(
        [this](const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
               Common::Time sentAt) { this->limits.noteAnswer(endpoint, answer, sentAt); });
    this->limits.onChange([this] { this->stageOwner.refresh(); });
    this->limits.start();
    this->endpoints.onListed([this](const ListedEndpoint &listed, Routing::ProcessNews process) {
        this->limits.coldEndpoints().noteEntry(listed, process);
    });
    this->endpoints.onPoolsChanged([this] {
        this->limits.applyToPools();
        this->streams.noteVersions();
        this->versionRows.noteVersions();
    });
    this->endpoints.onUnlisted(
        [this](const std::string &service, const Routing::ProcessKey &process) {
            this->versionRows.noteUnlisted(service, process);
        });
    this->versionRows.setVersionLookup([this](const Routing::ProcessKey &process) {
        return this->endpoints.namedVersion(process);
    });
    this->stageOwner.onPath([this](const Common::EndpointId &endpoint, bool isAnswered) {
        if (isAnswered)
            this->paths.noteAnswer(false);
        else
            this->paths.noteUnreachable(endpoint);
    });
    this->paths.start();
    this->paces.start();
    this->crashWatch.onChange([this] { this->endQuarantinedRequests(); });
    this->crashWatch.start();
    this->streams.start();
    this->versionRows.start();
    this->endpoints.onRestart(
        [this](const Common::EndpointId &id, std::uint64_t incarnation, Common::Time knownUntil) {
            this->streams.forget(id, incarnation, knownUntil);
            for (RequestFlow &request : this->openRequests)
                request.noteRestarted(id, incarnation, knownUntil);
        });
    this->evacuations.onReturn([this](const Common::FailureDomain &domain) {
        this->limits.coldEndpoints().noteReturned(domain);
    });
    this->evacuations.onChange([this] { this->endpoints.applyEvacuations(); });
    this->evacuations.start();
    this->catalogs.onChange([this] { this->applyCatalog(); });
    this->catalogs.start();
    this->endpoints.start();
    this->stageClient.start();
    asio::co_spawn(this->state.context, this->watchSignals(), asio::detached);
    asio::co_spawn(this->state.context, this->listInstances(), asio::detached);
    asio::co_spawn(this->state.context, this->housekeeping(), asio::detached);
    this->state.context.run();
    for (RequestFlow &request : this->openRequests)
        request.recordCutByExit();
    this->state.logState(LogLine("stopped").number(
        "requestsInProgress", static_cast<std::int64_t>(this->state.requestsInProgress)));
    return "";
}

boost::json::object EntryInstance::allKnown()
{
    const Common::Time now = clockNow();
    boost::json::object message = this->gossip.allReports();
    for (const auto &[service, pool] : this->state.pools)
        Routing::noteVersions(this->state.versions, service, pool, now);
    message["type"] = "members";
    message["versions"] = toJson(this->state.versions, now);
    return message;
}

void EntryInstance::applyAllKnown(const boost::json::object &message)
{
    this->gossip.applyAll(message);
    if (const boost::json::value *versions = message.if_contains("versions"))
        Routing::mergeHistory(this->state.versions, readVersionHistory(*versions, clockNow()));
}

void EntryInstance::applyCatalog()
{
    const Catalog::CallerLimits &limits = this->state.catalog->limits;
    Http::ServerOptions options;
    options.maxBodyBytes = limits.maxBodyBytes;
    options.maxHeaderBytes = limits.maxHeaderBytes + kHeaderMarginBytes;
    options.requestTimeout = limits.headerTimeout;
    options.bodyTimeout = limits.idleTimeout;
    options.idleTimeout = limits.idleTimeout;
    for (Http::Server *server : this->requestServers())
        server->applyLimits(options);
    this->stageOwner.refresh();
}

Http::Awaitable<void> EntryInstance::handleRequest(Http::Exchange &exchange, RequestSource source)
{
    this->state.lastRequestAt = clockNow();
    const RequestCount count(this->state.requestsInProgress);
    std::string body = exchange.takeBody();
    auto request = this->state.dialect.readRequest(exchange.request());
    if (request) {
        request->body = std::move(body);
        request->receivedAt = exchange.receivedAt();
        RequestFlow flow(this->parts, exchange, std::move(*request), source);
        this->openRequests.push_back(flow);
        co_await flow.run();
        flow.endTrial();
    } else {
        this->state.log.write(LogLine("request-invalid").text("fault", request.error()),
                              clockNow());
        const Refusal refusal(RefusalReason::BadRequest, true, std::nullopt);
        co_await exchange.respond(this->state.dialect.writeRefusal(refusal, ""));
    }
}

Http::Awaitable<void> EntryInstance::handleDirectory(Http::Exchange &exchange)
{
    const auto question = this->state.dialect.readDirectoryRequest(exchange.request());
    if (!question) {
        co_await exchange.respond(Http::jsonResponse(404, R"({"error":"not found"})"));
        co_return;
    }
    std::vector<Membership::DirectoryEntry> entries
        = Membership::entriesFor(this->state.members, question->failureDomain, clockNow());
    if (entries.size() > kMaxDirectoryEntries)
        entries.resize(kMaxDirectoryEntries);
    const auto ttl
        = std::min<Common::Duration>(kDirectoryTtl, this->state.settings.bounds.maxDirectoryTtl);
    co_await exchange.respond(this->state.dialect.writeDirectoryResponse(entries, ttl));
}

Http::Awaitable<void> EntryInstance::handleReadiness(Http::Exchange &exchange)
{
    const bool isReadinessQuestion = this->state.dialect.isReadinessProbe(exchange.request());
    const unsigned status = !isReadinessQuestion ? 404 : this->state.isReady() ? 200 : 503;
    co_await exchange.respond(Http::jsonResponse(status, "{}"));
}

Http::Awaitable<void> EntryInstance::handleOperations(Http::Exchange &exchange)
{
    const Http::Target target = Http::splitTarget(exchange.request().target);
    if (target.path == "/metrics") {
        Http::Response response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = this->state.metrics.text();
        co_await exchange.respond(std::move(response));
    } else if (target.path == "/v1/state") {
        co_await exchange.respond(Http::jsonResponse(200, this->stateDump()));
    } else {
        co_await exchange.respond(Http::jsonResponse(404, R"({"error":"not found"})"));
    }
}

std::string EntryInstance::stateDump() const
{
    const Common::Time now = clockNow();
    boost::json::object dump;
    dump["instance"] = this->state.settings.instance.value;
    dump["leaving"] = this->state.leaving.has_value();
    dump["catalogVersion"] = this->state.catalog ? this->state.catalog->version : 0;
    dump["requestsInProgress"] = this->state.requestsInProgress;
    dump["hasLostPaths"] = this->state.hasLostPaths;
    dump["isReader"] = this->relay.isReader();
    dump["openPieces"] = this->stageOwner.openPieces();
    dump["streamOrigins"] = this->streams.size();
    dump["linesDropped"] = this->state.log.droppedLines();
    boost::json::array members;
    for (const auto &[id, member] : this->state.members.byId) {
        members.push_back({{"id", id.value},
                           {"state", Common::nameOf(member.report.state)},
                           {"suspect", Membership::isSuspect(this->state.members, member, now)},
                           {"catalogVersion", member.report.catalogVersion}});
    }
    dump["instances"] = std::move(members);
    boost::json::array evacuated;
    for (const auto &[domain, belief] : this->state.evacuations.byDomain) {
        if (belief.isEvacuated)
            evacuated.push_back({{"domain", domain.value},
                                 {"epoch", belief.position.epoch},
                                 {"version", belief.position.version}});
    }
    dump["evacuated"] = std::move(evacuated);
    dump["quarantined"] = this->crashWatch.dump();
    boost::json::array endpoints;
    for (const auto &[service, pool] : this->state.pools) {
        for (const Routing::Endpoint &endpoint : pool.endpoints) {
            endpoints.push_back({{"service", service},
                                 {"id", endpoint.id.value},
                                 {"address", Common::formatAddress(endpoint.address)},
                                 {"version", endpoint.version},
                                 {"state", Common::nameOf(endpoint.state)},
                                 {"inFlight", endpoint.ownInFlight},
                                 {"errorRate", endpoint.health.errorRate},
                                 {"slowness", Routing::currentSlowness(endpoint.health, now)},
                                 {"evacuated", endpoint.isEvacuated},
                                 {"eligible", Routing::isEligible(endpoint, now)}});
            if (const auto limit = Routing::takenPerSecond(endpoint)) {
                boost::json::object &dumped = endpoints.back().as_object();
                dumped["limitPerSecond"] = *limit;
                dumped["cold"] = endpoint.coldPerSecond.has_value();
                const bool isSender = endpoint.gate.interval != Routing::kNoSends;
                dumped["sendIntervalMs"] = isSender
                    ? boost::json::value(Common::toMilliseconds(endpoint.gate.interval))
                    : nullptr;
            }
        }
    }
    dump["endpoints"] = std::move(endpoints);
    return boost::json::serialize(dump);
}

Http::Awaitable<void> EntryInstance::watchSignals()
{
    asio::signal_set signals(this->state.context, SIGTERM, SIGINT, SIGHUP);
    // The process may have held it back since its start.
    ::sigset_t reloadSignal;
    ::sigemptyset(&reloadSignal);
    ::sigaddset(&reloadSignal, SIGHUP);
    ::pthread_sigmask(SIG_UNBLOCK, &reloadSignal, nullptr);
    while (true) {
        boost::system::error_code error;
        const int number
            = co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        if (number == SIGHUP) {
            this->reloadSettings();
        } else if (!this->state.leaving) {
            asio::co_spawn(this->state.context, this->leave(), asio::detached);
        }
    }
}

void EntryInstance::reloadSettings()
{
    const auto settings = this->reload();
    if (!settings) {
        this->state.logState(LogLine("settings-invalid"));
        return;
    }
    // Listening addresses cannot change while the servers run; only these settings take effect.
    this->state.settings.firstEvent = settings->firstEvent;
    this->state.settings.closeDelimitedServices = settings->closeDelimitedServices;
    this->state.settings.seeds = settings->seeds;
    this->state.settings.store = settings->store;
    this->state.settings.bounds = settings->bounds;
    this->state.settings.stageOrder = settings->stageOrder;
    this->stageOwner.refresh();
    this->state.settings.memoryBytes = settings->memoryBytes;
    this->state.settings.maxDescriptors = settings->maxDescriptors;
    this->state.logState(
        LogLine("settings-reloaded").text("store", Common::formatAddress(settings->store)));
}

Http::Awaitable<void> EntryInstance::leave()
{
    this->state.leaving
        = Serving::beginShutdown(this->state.settings.bounds.gracePeriod, clockNow());
    this->state.logState(LogLine("leaving").number(
        "requestsInProgress", static_cast<std::int64_t>(this->state.requestsInProgress)));
    for (Http::Server *server : this->requestServers())
        server->closeAfterAnswers();
    this->gossip.announce();
    this->stageClient.handOver();
    this->streams.handOver();
    asio::co_spawn(
        this->state.context,
        [this]() -> Http::Awaitable<void> {
            // The row outlives the process if the store cannot be reached until the exit.
            while (!co_await this->store->removeInstance(this->state.settings.instance))
                co_await this->state.sleepFor(kRowRemovalRetryInterval);
        },
        asio::detached);
    bool isClosed = false;
    bool exits = false;
    while (!exits) {
        const Common::Time dueAt = clockNow() + kDrainPollInterval;
        const Common::Duration processorTime = threadProcessorTime();
        co_await this->state.sleepFor(kDrainPollInterval);
        this->logDelay(clockNow() - dueAt, threadProcessorTime() - processorTime);
        // Before the check for the exit, also if this instance is far behind.
        this->endRequestsForShutdown(clockNow());
        const Common::Time now = clockNow();
        const bool mayExit = Serving::mayExit(*this->state.leaving, this->shutdownActivity(), now);
        // Requests that arrived before the close are answered in the interval that follows it.
        exits = mayExit && isClosed;
        if (mayExit || !Serving::mayRead(*this->state.leaving, now)) {
            isClosed = true;
            for (Http::Server *server : this->requestServers())
                server->closeIdle();
        }
    }
    this->state.context.stop();
}

// Little processor time within a long delay tells a process that was not run, or that waited in a
// call, from one that was busy itself.
void EntryInstance::logDelay(Common::Duration delay, Common::Duration processorTime)
{
    if (delay >= kLoggedDelay)
        this->state.logState(LogLine("loop-late")
                                 .milliseconds("lateMs", delay)
                                 .milliseconds("processorMs", processorTime));
}

Serving::ShutdownActivity EntryInstance::shutdownActivity() const
{
    const auto begun = static_cast<std::size_t>(std::count_if(
        this->openRequests.begin(), this->openRequests.end(), [](const RequestFlow &request) {
            return request.phase() == Serving::RequestPhase::Responding;
        }));
    const std::size_t inProgress = this->state.requestsInProgress;
    std::size_t beingRead = 0;
    for (const Http::Server *server : this->requestServers())
        beingRead += server->requestsBeingRead();
    return {this->state.lastRequestAt, inProgress, this->stageOwner.openPieces(),
            inProgress - begun + beingRead};
}

void EntryInstance::endRequestsForShutdown(Common::Time now)
{
    // No request is destroyed within this loop: what a cancellation ends runs later.
    for (RequestFlow &request : this->openRequests) {
        if (request.mustEnd(*this->state.leaving, now))
            request.endForShutdown();
    }
    if (now >= this->state.leaving->answersDueAt)
        Serving::noteAnswersGiven(*this->state.leaving, now);
}

void EntryInstance::endQuarantinedRequests()
{
    for (RequestFlow &request : this->openRequests) {
        if (request.isQuarantined())
            request.endForQuarantine();
    }
}

Http::Awaitable<void> EntryInstance::listInstances()
{
    const Settings &settings = this->state.settings;
    const ListedInstance self{settings.instance, settings.peers, settings.callers,
                              settings.failureDomain, this->gossip.strength()};
    // Epoch of the store in which this instance's row was written.
    std::optional<std::uint64_t> writtenIn;
    while (!this->state.leaving) {
        // Stage work does not start until the other instances are known.
        const auto listed = co_await this->store->readInstances();
        if (listed) {
            this->gossip.noteListed(*listed);
            this->state.instancesWereListed = true;
        }
        // A store that returned from an older copy may have lost the row.
        if (writtenIn != this->store->epoch()) {
            const auto written = co_await this->store->writeInstance(self);
            writtenIn = written ? std::optional(*written) : std::nullopt;
        }
        const Common::Time nextAt = clockNow()
            + (!writtenIn || !listed        ? kInstanceListRetryInterval
                   : this->relay.isReader() ? kInstanceListInterval
                                            : kFollowerListInterval);
        while (!this->state.leaving && clockNow() < nextAt
               && (!writtenIn || writtenIn == this->store->epoch()))
            co_await this->state.sleepFor(
                std::min<Common::Duration>(kEpochCheckInterval, nextAt - clockNow()));
    }
}

Http::Awaitable<void> EntryInstance::housekeeping()
{
    while (true) {
        co_await this->state.sleepFor(kHousekeepingInterval);
        this->memory.look(clockNow());
        this->state.log.flush();
        this->state.client.closeIdle(clockNow() - kIdleConnectionTimeout);
    }
}

} // namespace Tanagerbay::Entry
