#include "Node/Instance.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

namespace {

constexpr Common::Milliseconds kIdleConnectionAge{30'000};
constexpr Common::Milliseconds kIdleCheckPeriod{5'000};
constexpr Common::Milliseconds kDrainPoll{20};
// How often the queues look for changes that no event of this instance brings.
constexpr Common::Milliseconds kPumpPeriod{25};
constexpr Common::Milliseconds kWaitPoll{20};
constexpr Common::Milliseconds kStopTimeout{5'000};
constexpr Common::Milliseconds kOperatorIdleTimeout{600'000};
constexpr std::size_t kMostListBytes = 64 << 20;

} // namespace

Instance::Instance(Settings settings) : shared(std::move(settings))
{
    for (std::size_t i = 0; i < this->shared.settings.threads; ++i) {
        this->workers.push_back(
            std::make_unique<Worker>(i, this->shared.settings, this->shared.counters));
        this->outcomes.push_back(
            std::make_unique<OutcomeWriter>(*this->workers.back(), this->shared));
    }
    Worker &first = *this->workers.front();
    this->peers = std::make_unique<PeerService>(first, this->shared);
    this->lists = std::make_unique<ListsKeeper>(first, this->shared, *this->peers);
    this->endpoints = std::make_unique<EndpointsKeeper>(first, this->shared);
    this->slots = std::make_unique<SlotKeeper>(first, this->shared, *this->peers);
    this->shares = std::make_unique<ShareKeeper>(first, this->shared, *this->peers, *this->slots);
    this->allowances = std::make_unique<AllowanceKeeper>(this->shared);
    for (const Pipeline::PipelineDefinition &pipeline : this->shared.settings.pipelines) {
        const std::string &pool = pipeline.stages.back().pool;
        if (pipeline.streams() && !this->gates.contains(pool))
            this->gates.emplace(pool, std::make_unique<AdmissionGate>(this->shared, pool));
    }
    const CallerApiDependencies parts{this->workers, this->outcomes,    this->shared,
                                      *this->shares, *this->allowances, this->gates};
    this->callerApi = std::make_unique<CallerApi>(parts);
    this->operatorApi
        = std::make_unique<OperatorApi>(this->shared, *this->lists, [this] { this->drain(); });
}

Instance::~Instance()
{
    this->stop();
}

std::string Instance::startPorts()
{
    const Settings &settings = this->shared.settings;
    std::vector<asio::io_context *> contexts;
    for (const auto &worker : this->workers)
        contexts.push_back(&worker->context);
    Http::ServerOptions callerOptions;
    callerOptions.address = settings.caller.address;
    callerOptions.maxBodyBytes = settings.caller.maxBodyBytes;
    callerOptions.maxHeaderBytes = settings.caller.maxHeaderBytes;
    callerOptions.maxConnections = settings.caller.maxConnections;
    callerOptions.requestTimeout = settings.caller.requestTimeout;
    callerOptions.idleTimeout = settings.caller.idleTimeout;
    this->callerServer
        = std::make_unique<Http::Server>(contexts, callerOptions, [this](Http::Exchange &exchange) {
              return this->callerApi->handle(exchange);
          });
    Http::ServerOptions operatorOptions;
    operatorOptions.address = settings.operatorPort.address;
    operatorOptions.maxBodyBytes = kMostListBytes;
    operatorOptions.idleTimeout = kOperatorIdleTimeout;
    // Control work stays on the first thread.
    this->operatorServer = std::make_unique<Http::Server>(
        std::vector<asio::io_context *>{contexts.front()}, operatorOptions,
        [this](Http::Exchange &exchange) { return this->operatorApi->handle(exchange); });
    std::string problem = this->callerServer->start();
    if (problem.empty())
        problem = this->operatorServer->start();
    if (problem.empty())
        problem = this->peers->start();
    return problem;
}

std::string Instance::start()
{
    this->shared.noteConfirmed(clockNow());
    std::string problem = this->startPorts();
    if (!problem.empty())
        return problem;
    asio::co_spawn(this->workers.front()->context, this->startUp(), asio::detached);
    asio::co_spawn(this->workers.front()->context, this->pumpLoop(), asio::detached);
    for (const auto &worker : this->workers) {
        asio::co_spawn(worker->context, this->closeIdleLoop(*worker), asio::detached);
        this->runningThreads.fetch_add(1);
        this->threads.emplace_back([this, &worker] {
            worker->context.run();
            this->runningThreads.fetch_sub(1);
        });
    }
    LOG(INFO) << "instance " << this->shared.settings.instance.value << " listens on "
              << Common::formatAddress(this->shared.settings.caller.address);
    return "";
}

Http::Awaitable<void> Instance::startUp()
{
    // Other instances learn of this one before it reads the lists, so that an edit made in between
    // waits for it.
    co_await this->endpoints->readInstances();
    this->peers->heartbeat(true);
    this->endpoints->start();
    co_await this->slots->claim();
    this->lists->start();
    this->slots->start();
    this->shares->start();
}

Http::Awaitable<void> Instance::pumpLoop()
{
    while (!this->drained && !this->workers.front()->ending) {
        co_await this->workers.front()->sleepFor(kPumpPeriod);
        for (const auto &[pool, gate] : this->gates)
            gate->admitWaiting();
    }
}

Http::Awaitable<void> Instance::closeIdleLoop(Worker &worker)
{
    while (!this->drained && !worker.ending) {
        co_await worker.sleepFor(kIdleCheckPeriod);
        worker.client.closeIdle(clockNow() - kIdleConnectionAge);
    }
}

void Instance::drain()
{
    if (this->drainBegun.exchange(true))
        return;
    asio::co_spawn(this->workers.front()->context, this->drainSteps(), asio::detached);
}

bool Instance::isIdle() const
{
    if (this->shared.requestsInProgress.load() > 0)
        return false;
    for (const auto &writer : this->outcomes) {
        if (writer->pending() > 0)
            return false;
    }
    return true;
}

Http::Awaitable<void> Instance::drainSteps()
{
    const Settings &settings = this->shared.settings;
    const Common::Time begun = clockNow();
    LOG(INFO) << "instance " << settings.instance.value << " is leaving";
    this->shared.phase = Phase::Leaving;
    this->peers->heartbeat(true);
    // Callers keep the addresses that they were told for this long.
    co_await this->workers.front()->sleepFor(settings.caller.entriesTtl
                                             + 2 * settings.peer.heartbeatInterval);
    this->shared.phase = Phase::Draining;
    const Common::Time refusingSince = clockNow();
    this->peers->heartbeat(true);
    while (clockNow() - begun < settings.drainTimeout && !this->workers.front()->ending) {
        // Those who come late still hear that they were refused.
        const bool lingered = clockNow() - refusingSince >= settings.caller.entriesTtl;
        if (lingered && this->isIdle())
            break;
        co_await this->workers.front()->sleepFor(kDrainPoll);
    }
    this->cutOffWork = !this->isIdle();
    co_await this->allowances->returnAll(*this->workers.front());
    const Common::Milliseconds lentFor = this->shares->lentFor(clockNow());
    co_await this->slots->release(lentFor);
    this->callerServer->stopAccepting();
    this->lists->stop();
    this->endpoints->stop();
    this->shares->stop();
    this->slots->stop();
    this->peers->stop();
    LOG(INFO) << "instance " << settings.instance.value
              << (this->cutOffWork ? " gave up waiting for work in progress" : " has drained");
    this->drained = true;
}

bool Instance::waitUntilDrained()
{
    while (!this->drained)
        std::this_thread::sleep_for(kWaitPoll);
    return !this->cutOffWork;
}

void Instance::stop()
{
    if (this->threads.empty())
        return;
    this->callerServer->closeAll();
    this->operatorServer->closeAll();
    // Work that begins after the first round is ended by the next one.
    const Common::Time forcedAt = clockNow() + kStopTimeout;
    while (this->runningThreads.load() > 0) {
        for (const auto &worker : this->workers)
            asio::post(worker->context, [&worker] { worker->endWork(); });
        if (clockNow() >= forcedAt) {
            for (const auto &worker : this->workers)
                worker->context.stop();
        }
        std::this_thread::sleep_for(kWaitPoll);
    }
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
    this->peers->closeLink();
}

} // namespace Tanagerbay::Node
