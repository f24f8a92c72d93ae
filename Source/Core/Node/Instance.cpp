#include "Node/Instance.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

namespace {

constexpr Common::Milliseconds kMaxIdleConnectionAge{30'000};
constexpr Common::Milliseconds kIdleCheckInterval{5'000};
constexpr Common::Milliseconds kDrainPollInterval{20};
// Time for the final answers after the drain time-out. Calls to the store cannot be cancelled; a
// request makes at most this many of them before it notices that it must end.
constexpr Common::Milliseconds kFinalAnswerTimeout{1'000};
constexpr int kMaxStoreCallsToAwait = 3;
// Interval at which the admission queues are rechecked for changes that raise no event on this
// instance.
constexpr Common::Milliseconds kPumpInterval{25};
constexpr Common::Milliseconds kWaitPollInterval{20};
constexpr Common::Milliseconds kStopTimeout{5'000};
constexpr Common::Milliseconds kOperatorIdleTimeout{600'000};
constexpr std::size_t kMaxListBytes = 64 << 20;

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
    this->lists = std::make_unique<ListSync>(first, this->shared, *this->peers);
    this->endpoints = std::make_unique<EndpointDiscovery>(first, this->shared);
    this->slots = std::make_unique<SlotAssignment>(first, this->shared, *this->peers);
    this->shares
        = std::make_unique<WorkspaceLimiter>(first, this->shared, *this->peers, *this->slots);
    this->allowances = std::make_unique<AllowanceLimiter>(this->shared);
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

std::string Instance::startServers()
{
    const Settings &settings = this->shared.settings;
    std::vector<asio::io_context *> contexts;
    for (const auto &worker : this->workers)
        contexts.push_back(&worker->context);
    Http::ServerOptions callerOptions;
    callerOptions.address = settings.caller.address;
    callerOptions.keepsHalfClosed = true;
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
    operatorOptions.maxBodyBytes = kMaxListBytes;
    operatorOptions.idleTimeout = kOperatorIdleTimeout;
    // The operator port is served on the first thread only, like all control work.
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
    this->shared.recordContact(clockNow());
    std::string problem = this->startServers();
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
    LOG(INFO) << "instance " << this->shared.settings.instance.value << " listening on "
              << Common::formatAddress(this->shared.settings.caller.address);
    return "";
}

Http::Awaitable<void> Instance::startUp()
{
    // Announces this instance before it reads the lists, so that an edit made in between counts as
    // in force only once this instance has applied it.
    co_await this->endpoints->readInstances();
    this->peers->sendHeartbeats(true);
    this->endpoints->start();
    co_await this->slots->claim();
    this->lists->start();
    this->slots->start();
    this->shares->start();
}

Http::Awaitable<void> Instance::pumpLoop()
{
    while (!this->isDrained && !this->workers.front()->ending) {
        co_await this->workers.front()->sleepFor(kPumpInterval);
        for (const auto &[pool, gate] : this->gates)
            gate->admitWaiting();
    }
}

Http::Awaitable<void> Instance::closeIdleLoop(Worker &worker)
{
    while (!this->isDrained && !worker.ending) {
        co_await worker.sleepFor(kIdleCheckInterval);
        worker.client.closeIdle(clockNow() - kMaxIdleConnectionAge);
    }
}

void Instance::drain()
{
    if (this->isDrainStarted.exchange(true))
        return;
    asio::co_spawn(this->workers.front()->context, this->runDrain(), asio::detached);
}

bool Instance::isIdle() const
{
    if (this->shared.requestsInProgress.load() > 0
        || this->shared.operatorRequestsInProgress.load() > 0)
        return false;
    for (const auto &writer : this->outcomes) {
        if (writer->pending() > 0)
            return false;
    }
    return true;
}

Http::Awaitable<void> Instance::runDrain()
{
    const Settings &settings = this->shared.settings;
    const Common::Time startedAt = clockNow();
    LOG(INFO) << "instance " << settings.instance.value << " is leaving";
    this->shared.phase = Phase::Leaving;
    this->peers->sendHeartbeats(true);
    // Callers may cache this instance's address for this long.
    co_await this->workers.front()->sleepFor(settings.caller.entriesTtl
                                             + 2 * settings.peer.heartbeatInterval);
    this->shared.phase = Phase::Draining;
    const Common::Time refusingSince = clockNow();
    this->peers->sendHeartbeats(true);
    while (clockNow() - startedAt < settings.drainTimeout && !this->workers.front()->ending) {
        // Requests of callers with a cached address are still answered with a refusal.
        const bool hasLingered = clockNow() - refusingSince >= settings.caller.entriesTtl;
        if (hasLingered && this->isIdle())
            break;
        co_await this->workers.front()->sleepFor(kDrainPollInterval);
    }
    this->hasDrainTimedOut = !this->isIdle();
    // From here on, edits in progress are answered with what is known and new ones are refused.
    this->lists->stop();
    if (this->hasDrainTimedOut)
        co_await this->answerRequests();
    co_await this->allowances->returnUnspentUnits(*this->workers.front());
    const Common::Milliseconds remainingLoanTime = this->shares->remainingLoanTime(clockNow());
    co_await this->slots->release(remainingLoanTime);
    this->callerServer->stopAccepting();
    this->endpoints->stop();
    this->shares->stop();
    this->slots->stop();
    this->peers->stop();
    co_await this->awaitOperatorAnswers();
    LOG(INFO) << "instance " << settings.instance.value
              << (this->hasDrainTimedOut ? " reached the drain time-out with work in progress"
                                         : " drained");
    this->isDrained = true;
}

Common::Milliseconds Instance::finalAnswerTimeout() const
{
    return kFinalAnswerTimeout + kMaxStoreCallsToAwait * this->shared.settings.platform.callTimeout;
}

Http::Awaitable<void> Instance::answerRequests()
{
    const Common::Time until = clockNow() + this->finalAnswerTimeout();
    for (const auto &worker : this->workers) {
        auto ended = this->endRequests(*worker);
        co_await asio::co_spawn(worker->context, std::move(ended), asio::use_awaitable);
    }
    for (const auto &worker : this->workers) {
        auto answered = this->awaitAnswers(*worker, until);
        co_await asio::co_spawn(worker->context, std::move(answered), asio::use_awaitable);
    }
}

Http::Awaitable<void> Instance::endRequests(Worker &worker)
{
    for (RequestScope *scope : worker.requests)
        endAtDrainTimeout(*scope);
    co_return;
}

// Waits for the outcomes of at-most-once calls as well, since an unwritten one keeps its key
// claimed.
Http::Awaitable<void> Instance::awaitAnswers(Worker &worker, Common::Time until)
{
    const auto isComplete = [this, &worker] {
        return this->outcomes[worker.index]->pending() == 0
            && std::none_of(worker.requests.begin(), worker.requests.end(),
                            [](const RequestScope *scope) { return scope->mustEnd; });
    };
    while (!isComplete() && clockNow() < until && !worker.ending)
        co_await worker.sleepFor(kDrainPollInterval);
}

Http::Awaitable<void> Instance::awaitOperatorAnswers()
{
    Worker &worker = *this->workers.front();
    const Common::Time until = clockNow() + this->finalAnswerTimeout();
    while (this->shared.operatorRequestsInProgress.load() > 0 && clockNow() < until
           && !worker.ending)
        co_await worker.sleepFor(kDrainPollInterval);
}

bool Instance::waitUntilDrained()
{
    while (!this->isDrained)
        std::this_thread::sleep_for(kWaitPollInterval);
    return !this->hasDrainTimedOut;
}

bool Instance::stop()
{
    if (this->threads.empty())
        return true;
    bool isForced = false;
    this->callerServer->closeAll();
    this->operatorServer->closeAll();
    // Repeated, so that work that started after one round is ended by the next.
    const Common::Time forcedStopAt = clockNow() + kStopTimeout;
    while (this->runningThreads.load() > 0) {
        for (const auto &worker : this->workers)
            asio::post(worker->context, [&worker] { worker->endWork(); });
        if (clockNow() >= forcedStopAt) {
            isForced = true;
            for (const auto &worker : this->workers)
                worker->context.stop();
        }
        std::this_thread::sleep_for(kWaitPollInterval);
    }
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
    this->peers->closeLink();
    return !isForced;
}

} // namespace Tanagerbay::Node
