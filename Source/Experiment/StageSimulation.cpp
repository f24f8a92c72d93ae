#include "Experiment/StageSimulation.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Experiment {

using Common::Duration;
using Common::Time;

namespace {

// Maximum number of times that the stages of a request are restarted after a result was lost.
constexpr int kMaxRestarts = 2;
// Maximum relative deviation of an endpoint's speed from that of its service.
constexpr double kSpeedSpread = 0.1;
// How often impatient callers come back.
constexpr std::uint32_t kImpatientRetries = 3;
// Callers wait at most for this share of their time left before they come back.
constexpr int kMaxReturnDelayParts = 3;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double worthOf(const Scenario &scenario, const Outcome &outcome)
{
    double offeredWorth = 0;
    double earnedWorth = 0;
    for (std::size_t i = 0; i < outcome.kinds.size(); ++i) {
        const RequestKindModel &kind = scenario.kinds[i];
        offeredWorth += kind.worth * static_cast<double>(outcome.kinds[i].arrivals);
        earnedWorth += kind.worth * static_cast<double>(outcome.kinds[i].onTime)
            + kind.lateWorth * static_cast<double>(outcome.kinds[i].late);
    }
    return offeredWorth > 0 ? earnedWorth / offeredWorth : 0;
}

StageSimulation::StageSimulation(const Scenario &scenario, Policy policy, double load,
                                 std::uint64_t seed)
    : scenario(scenario), policy(policy), random(seed)
{
    std::uniform_real_distribution<double> speed(1 - kSpeedSpread, 1 + kSpeedSpread);
    for (const StageServiceModel &model : scenario.services) {
        Catalog::Service service;
        service.name = model.name;
        service.batching = model.batching;
        this->catalog.services[model.name] = service;
        auto &simulatedEndpoints = this->simulatedEndpoints.emplace_back();
        auto &listed = this->endpoints.emplace_back();
        for (std::size_t domain = 0; domain < model.endpoints.size(); ++domain) {
            for (std::uint32_t i = 0; i < model.endpoints[domain]; ++i) {
                Routing::Endpoint endpoint;
                endpoint.id = Common::EndpointId(model.name + "-"
                                                 + std::to_string(simulatedEndpoints.size()));
                endpoint.failureDomain = Common::FailureDomain("d" + std::to_string(domain));
                SimulatedEndpoint simulated;
                simulated.model = &model;
                simulated.name = endpoint.id.value;
                simulated.slowness = speed(this->random);
                listed.push_back(endpoint);
                simulatedEndpoints.push_back(std::move(simulated));
            }
        }
        const std::size_t queues = policy == Policy::PerInstance ? scenario.instances : 1;
        for (std::size_t i = 0; i < queues; ++i) {
            Queue &queue = this->queues.emplace_back();
            queue.queue.service = model.name;
            queue.queue.batching = model.batching;
            if (policy == Policy::FirstCome)
                queue.queue.order = Staging::QueueOrder::FirstCome;
            if (policy == Policy::Random)
                queue.queue.order = Staging::QueueOrder::Random;
            if (policy == Policy::LeastCost)
                queue.queue.order = Staging::QueueOrder::LeastCost;
            queue.queue.dropsExpiredPieces = policy != Policy::NoAdmission;
            Staging::applyEndpoints(queue.queue, listed, this->now);
            this->pieceRefs.emplace_back();
        }
    }
    for (const RequestKindModel &kind : scenario.kinds) {
        auto &stages = this->stagesByKind.emplace_back();
        for (const StageModel &stage : kind.stages)
            stages.push_back(stage.stage);
    }
    this->outcome.kinds.resize(scenario.kinds.size());
    this->scheduleArrivals(load);
    this->scheduleDegradations();
    this->scheduleWithdrawals();
}

void StageSimulation::schedule(Time time, std::function<void()> action)
{
    this->events.push({std::max(time, this->now), ++this->sequence, std::move(action)});
}

void StageSimulation::scheduleAfter(Duration delay, std::function<void()> action)
{
    this->schedule(this->now + delay, std::move(action));
}

void StageSimulation::scheduleArrivals(double load)
{
    for (std::size_t kind = 0; kind < this->scenario.kinds.size(); ++kind) {
        double maxFactor = 1;
        for (const Burst &burst : this->scenario.bursts)
            maxFactor *= std::max(1.0, burst.factor);
        const double rate = this->scenario.kinds[kind].arrivalsPerSecond * load;
        if (rate <= 0)
            continue;
        std::exponential_distribution<double> interArrivalSeconds(rate * maxFactor);
        std::uniform_real_distribution<double> uniform(0, 1);
        for (double second = interArrivalSeconds(this->random); second < this->scenario.seconds;
             second += interArrivalSeconds(this->random)) {
            double factor = 1;
            for (const Burst &burst : this->scenario.bursts) {
                const bool applies = !burst.kind || *burst.kind == kind;
                if (applies && second >= burst.fromSecond && second < burst.toSecond)
                    factor *= burst.factor;
            }
            if (uniform(this->random) * maxFactor < factor)
                this->scheduleAfter(fromSeconds(second),
                                    [this, kind] { this->startRequest(kind); });
        }
    }
}

void StageSimulation::scheduleDegradations()
{
    for (const EndpointDegradation &degradation : this->scenario.degradations) {
        const std::size_t service = this->serviceOf(degradation.service);
        for (std::size_t i = 0;
             i < degradation.endpoints && i < this->simulatedEndpoints[service].size(); ++i) {
            const double factor = degradation.slowness;
            this->scheduleAfter(fromSeconds(degradation.fromSecond), [this, service, i, factor] {
                this->simulatedEndpoints[service][i].slowness *= factor;
            });
            this->scheduleAfter(fromSeconds(degradation.toSecond), [this, service, i, factor] {
                this->simulatedEndpoints[service][i].slowness /= factor;
            });
        }
    }
}

void StageSimulation::scheduleWithdrawals()
{
    for (const Withdrawal &withdrawal : this->scenario.withdrawals) {
        this->scheduleAfter(fromSeconds(withdrawal.fromSecond),
                            [this, &withdrawal] { this->setListed(withdrawal, false); });
        this->scheduleAfter(fromSeconds(withdrawal.toSecond),
                            [this, &withdrawal] { this->setListed(withdrawal, true); });
    }
}

void StageSimulation::setListed(const Withdrawal &withdrawal, bool isListed)
{
    for (std::size_t service = 0; service < this->scenario.services.size(); ++service) {
        if (!withdrawal.service.empty()
            && withdrawal.service != this->scenario.services[service].name)
            continue;
        std::vector<Routing::Endpoint> &listed = this->endpoints[service];
        for (std::size_t i = 0; i < listed.size(); ++i) {
            const bool isMeant = withdrawal.failureDomain
                ? listed[i].failureDomain == *withdrawal.failureDomain
                : i < withdrawal.endpoints;
            if (!isMeant)
                continue;
            listed[i].state
                = isListed ? Routing::EndpointState::Live : Routing::EndpointState::Leaving;
            if (withdrawal.losesResults && !isListed)
                this->simulatedEndpoints[service][i].results.clear();
        }
        for (std::size_t instance = 0; instance < this->scenario.instances; ++instance) {
            const std::size_t queue = this->queueOf(service, instance);
            if (instance > 0 && queue == this->queueOf(service, 0))
                break;
            Staging::applyEndpoints(this->queues[queue].queue, listed, this->now);
            this->dispatch(queue);
        }
    }
}

const RequestKindModel &StageSimulation::kindOf(const Request &request) const
{
    return this->scenario.kinds[request.kind];
}

void StageSimulation::startRequest(std::size_t kind)
{
    const RequestKindModel &model = this->scenario.kinds[kind];
    Request request;
    request.kind = kind;
    request.instance
        = std::uniform_int_distribution<std::size_t>(0, this->scenario.instances - 1)(this->random);
    request.homeDomain
        = Common::FailureDomain("d"
                                + std::to_string(std::uniform_int_distribution<std::uint32_t>(
                                    0, this->scenario.failureDomains - 1)(this->random)));
    request.firstArrivedAt = this->now;
    ++this->secondOf(this->now).arrivals;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const StageModel &stage : model.stages) {
        // The logarithm of a lognormal mean exceeds that of the median by half of the variance.
        std::lognormal_distribution<double> pieces(std::log(stage.meanPieces)
                                                       - stage.pieceSpread * stage.pieceSpread / 2,
                                                   std::max(stage.pieceSpread, 1e-9));
        const double pieceCount = std::clamp(std::round(pieces(this->random)), 1.0,
                                             static_cast<double>(stage.maxPieces));
        request.pieceCounts.push_back(
            uniform(this->random) < stage.share ? static_cast<std::uint32_t>(pieceCount) : 0);
    }
    if (model.impatientShare > 0)
        request.isImpatient = uniform(this->random) < model.impatientShare;
    ++this->outcome.kinds[kind].arrivals;
    this->beginAttempt(std::move(request));
}

void StageSimulation::beginAttempt(Request request)
{
    const RequestKindModel &model = this->kindOf(request);
    const std::uint64_t id = ++this->lastRequestId;
    request.arrivedAt = this->now;
    request.leavesAt = this->now + model.callerTimeout;
    if (model.deadline.count() > 0)
        request.leavesAt = std::min(request.leavesAt, request.firstArrivedAt + model.deadline);
    const Time leavesAt = request.leavesAt;
    this->requests.emplace(id, std::move(request));
    this->schedule(leavesAt, [this, id] { this->abandonRequest(id); });
    this->startStages(id);
}

std::optional<Time> StageSimulation::returnTime(const Request &request,
                                                std::optional<Duration> roomIn)
{
    const RequestKindModel &kind = this->kindOf(request);
    const std::uint32_t retries = request.isImpatient ? kImpatientRetries : kind.retries;
    if (request.attempt >= retries)
        return std::nullopt;
    const Time deadline = request.firstArrivedAt + std::max(kind.deadline, kind.callerTimeout);
    if (deadline <= this->now)
        return std::nullopt;
    // As an entry instance answers.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    auto delay = std::chrono::duration_cast<Duration>(kind.objective * spread(this->random));
    if (roomIn)
        delay = std::max(delay, *roomIn);
    delay = std::min(delay, (deadline - this->now) / kMaxReturnDelayParts);
    if (request.isImpatient)
        delay = this->scenario.messageDelay;
    return this->now + delay;
}

void StageSimulation::refuseRequest(std::uint64_t id, std::optional<Duration> roomIn)
{
    const Request &request = this->requests.at(id);
    KindOutcome &outcome = this->outcome.kinds[request.kind];
    ++outcome.refusals;
    outcome.refusedAgain += request.attempt > 0 ? 1 : 0;
    const auto returnsAt = this->returnTime(request, roomIn);
    if (!returnsAt) {
        this->abandonRequest(id);
        return;
    }
    Request next;
    next.kind = request.kind;
    next.instance = request.instance;
    next.homeDomain = request.homeDomain;
    next.firstArrivedAt = request.firstArrivedAt;
    next.pieceCounts = request.pieceCounts;
    next.attempt = request.attempt + 1;
    next.isImpatient = request.isImpatient;
    this->withdrawPieces(id);
    this->requests.erase(id);
    this->schedule(*returnsAt, [this, next] { this->beginAttempt(next); });
}

void StageSimulation::startStages(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    request.progress.assign(request.pieceCounts.size(), {});
    request.stageStates.assign(request.pieceCounts.size(), {});
    for (std::size_t i = 0; i < request.pieceCounts.size(); ++i)
        request.progress[i].hasStarted = request.progress[i].isDone = request.pieceCounts[i] == 0;
    this->startReadyStages(id);
}

void StageSimulation::startReadyStages(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    const auto &stages = this->stagesByKind[request.kind];
    for (auto ready = Staging::readyStages(stages, request.progress); !ready.empty();
         ready = Staging::readyStages(stages, request.progress)) {
        for (const std::size_t stage : ready)
            this->startStage(id, stage);
    }
    const bool allDone
        = std::all_of(request.progress.begin(), request.progress.end(),
                      [](const Staging::StageProgress &stage) { return stage.isDone; });
    if (allDone)
        this->scheduleAfter(this->kindOf(request).endpointTime,
                            [this, id] { this->completeRequest(id); });
}

Staging::PieceRequest StageSimulation::makePieceRequest(std::uint64_t id, std::size_t stage) const
{
    const Request &request = this->requests.at(id);
    const RequestKindModel &kind = this->kindOf(request);
    const auto &stages = this->stagesByKind[request.kind];
    Staging::PieceRequest piece;
    piece.requestId = std::to_string(id);
    piece.stage = static_cast<std::uint32_t>(stage);
    piece.resultBytes = stages[stage].resultBytes;
    piece.priority = kind.priority;
    piece.startBy = request.arrivedAt + kind.objective
        - Staging::plannedTimeFromStart(this->catalog, stages, stage, kind.endpointTime);
    piece.expiresAt = request.leavesAt - kind.endpointTime
        - Staging::minTimeAfterEnd(this->catalog, stages, stage);
    piece.lastStartBy = request.leavesAt
        - Staging::plannedTimeFromStart(this->catalog, stages, stage, kind.endpointTime);
    if (const auto kept = Staging::inputLifetime(this->catalog, stages, stage))
        piece.lastStartBy = std::min(*piece.lastStartBy, this->now + *kept);
    if (Staging::isFinal(stages, stage)) {
        piece.nearTo = request.homeDomain;
        piece.transferBytes = piece.resultBytes;
    }
    if (stages[stage].after.empty())
        return piece;
    piece.inputs.emplace();
    for (const std::size_t before : stages[stage].after) {
        for (const auto &result : request.stageStates[before].results)
            piece.inputs->push_back(result->handle);
    }
    return piece;
}

void StageSimulation::startStage(std::uint64_t id, std::size_t stage)
{
    Request &request = this->requests.at(id);
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    request.progress[stage].hasStarted = true;
    StageState &state = request.stageStates[stage];
    state.results.assign(request.pieceCounts[stage], std::nullopt);
    state.pendingPieces = state.unfetchedPieces = request.pieceCounts[stage];
    const Staging::PieceRequest piece = this->makePieceRequest(id, stage);
    this->scheduleAfter(this->scenario.messageDelay, [this, id, stage, queue, piece] {
        const auto found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        Staging::PieceRequest each = piece;
        for (std::uint32_t i = 0; i < found->second.pieceCounts[stage]; ++i) {
            each.piece = i;
            const auto ticket = Staging::submit(this->queues[queue].queue, each, this->now);
            this->pieceRefs[queue][ticket] = {id, stage, i};
            found->second.stageStates[stage].tickets.push_back(ticket);
        }
        this->dispatch(queue);
    });
}

void StageSimulation::handleSettledPiece(const PieceRef &ref, const Staging::SettledPiece &piece)
{
    const auto found = this->requests.find(ref.request);
    if (found == this->requests.end())
        return;
    Request &request = found->second;
    StageState &state = request.stageStates[ref.stage];
    if (ref.index >= state.results.size() || state.results[ref.index])
        return;
    if (piece.outcome != Staging::PieceOutcome::Made) {
        const bool canRestart
            = piece.outcome == Staging::PieceOutcome::InputGone && request.restarts < kMaxRestarts;
        this->withdrawPieces(ref.request);
        if (canRestart) {
            ++request.restarts;
            this->startStages(ref.request);
            return;
        }
        this->refuseRequest(ref.request, piece.roomIn);
        return;
    }
    state.results[ref.index] = piece;
    if (--state.pendingPieces > 0)
        return;
    request.progress[ref.stage].isDone = true;
    const auto &stages = this->stagesByKind[request.kind];
    for (const std::size_t before : stages[ref.stage].after) {
        if (!Staging::hasOtherPendingConsumer(stages, request.progress, before, ref.stage))
            this->release(ref.request, before);
    }
    this->startReadyStages(ref.request);
}

void StageSimulation::recordFetchedInputs(std::size_t queue, const Staging::PlannedCall &call)
{
    if (!Staging::isOpen(this->queues[queue].queue, call.number))
        return;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        const auto ref = this->pieceRefs[queue].find(piece.ticket);
        if (ref == this->pieceRefs[queue].end() || !piece.request.inputs)
            continue;
        const auto found = this->requests.find(ref->second.request);
        if (found == this->requests.end())
            continue;
        StageState &state = found->second.stageStates[ref->second.stage];
        if (state.unfetchedPieces == 0 || --state.unfetchedPieces > 0)
            continue;
        const auto &stages = this->stagesByKind[found->second.kind];
        for (const std::size_t before : stages[ref->second.stage].after) {
            if (!Staging::hasOtherPendingConsumer(stages, found->second.progress, before,
                                                  ref->second.stage))
                this->markEvictable(found->first, before);
        }
    }
}

void StageSimulation::markEvictable(std::uint64_t id, std::size_t stage)
{
    const Request &request = this->requests.at(id);
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    for (const auto &result : request.stageStates[stage].results) {
        if (result)
            Staging::markEvictable(this->queues[queue].queue, result->producer, result->handle,
                                   this->now);
    }
    this->dispatch(queue);
}

void StageSimulation::release(std::uint64_t id, std::size_t stage)
{
    Request &request = this->requests.at(id);
    StageState &state = request.stageStates[stage];
    if (std::exchange(state.isReleased, true))
        return;
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    std::vector<Staging::SettledPiece> results;
    for (const auto &result : state.results) {
        if (result)
            results.push_back(*result);
    }
    this->scheduleAfter(this->scenario.messageDelay, [this, queue, results] {
        for (const Staging::SettledPiece &result : results)
            Staging::release(this->queues[queue].queue, result.producer, result.handle);
        this->armFreeTimer(queue);
    });
}

KindOutcome &StageSimulation::secondOf(Time arrivedAt)
{
    const auto index = static_cast<std::size_t>(Common::toSeconds(arrivedAt - this->startedAt));
    if (index >= this->outcome.seconds.size())
        this->outcome.seconds.resize(index + 1);
    return this->outcome.seconds[index];
}

void StageSimulation::withdrawPieces(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    for (std::size_t stage = 0; stage < request.stageStates.size(); ++stage) {
        if (!request.progress[stage].hasStarted || request.pieceCounts[stage] == 0)
            continue;
        const std::size_t queue = this->queueOf(
            this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
        for (const Staging::PieceTicket ticket : request.stageStates[stage].tickets) {
            if (this->pieceRefs[queue].erase(ticket) > 0)
                Staging::withdraw(this->queues[queue].queue, ticket);
        }
        this->release(id, stage);
    }
}

void StageSimulation::completeRequest(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const RequestKindModel &kind = this->kindOf(found->second);
    KindOutcome &outcome = this->outcome.kinds[found->second.kind];
    const bool isOnTime = this->now - found->second.firstArrivedAt <= kind.objective;
    ++(isOnTime ? outcome.onTime : outcome.late);
    KindOutcome &second = this->secondOf(found->second.firstArrivedAt);
    ++(isOnTime ? second.onTime : second.late);
    this->withdrawPieces(id);
    this->requests.erase(id);
}

void StageSimulation::abandonRequest(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    ++this->outcome.kinds[found->second.kind].unserved;
    ++this->secondOf(found->second.firstArrivedAt).unserved;
    this->withdrawPieces(id);
    this->requests.erase(id);
}

Outcome StageSimulation::run()
{
    while (!this->events.empty()) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    return this->outcome;
}

} // namespace Tanagerbay::Experiment
