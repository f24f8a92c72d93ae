#include "Experiment/StageWorld.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Experiment {

using Common::Duration;
using Common::Time;

namespace {

// Times that the stages of a request begin again after a result was lost.
constexpr int kMostRepeats = 2;
// Endpoints of one service differ in speed by up to this much.
constexpr double kSpeedSpread = 0.1;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double worthOf(const Scenario &scenario, const Outcome &outcome)
{
    double asked = 0;
    double earned = 0;
    for (std::size_t i = 0; i < outcome.kinds.size(); ++i) {
        const KindModel &kind = scenario.kinds[i];
        asked += kind.worth * static_cast<double>(outcome.kinds[i].asked);
        earned += kind.worth * static_cast<double>(outcome.kinds[i].onTime)
            + kind.lateWorth * static_cast<double>(outcome.kinds[i].late);
    }
    return asked > 0 ? earned / asked : 0;
}

StageWorld::StageWorld(const Scenario &scenario, Policy policy, double load, std::uint64_t seed)
    : scenario(scenario), policy(policy), random(seed)
{
    std::uniform_real_distribution<double> speed(1 - kSpeedSpread, 1 + kSpeedSpread);
    for (const StageServiceModel &model : scenario.services) {
        Catalog::Service service;
        service.name = model.name;
        service.batching = model.batching;
        this->catalog.services[model.name] = service;
        auto &machines = this->machines.emplace_back();
        auto &listed = this->endpoints.emplace_back();
        for (std::size_t domain = 0; domain < model.endpoints.size(); ++domain) {
            for (std::uint32_t i = 0; i < model.endpoints[domain]; ++i) {
                Routing::Endpoint endpoint;
                endpoint.id
                    = Common::EndpointId(model.name + "-" + std::to_string(machines.size()));
                endpoint.failureDomain = Common::FailureDomain("d" + std::to_string(domain));
                StageMachine machine;
                machine.model = &model;
                machine.name = endpoint.id.value;
                machine.slowness = speed(this->random);
                listed.push_back(endpoint);
                machines.push_back(std::move(machine));
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
            queue.queue.dropsExpiredPieces = policy != Policy::NoAdmission;
            Staging::applyEndpoints(queue.queue, listed, this->now);
            this->owners.emplace_back();
        }
    }
    for (const KindModel &kind : scenario.kinds) {
        auto &stages = this->stagesByKind.emplace_back();
        for (const StageModel &stage : kind.stages)
            stages.push_back(stage.stage);
    }
    this->outcome.kinds.resize(scenario.kinds.size());
    this->planArrivals(load);
    this->applyTroubles();
}

void StageWorld::at(Time time, std::function<void()> action)
{
    this->events.push({std::max(time, this->now), ++this->sequence, std::move(action)});
}

void StageWorld::after(Duration delay, std::function<void()> action)
{
    this->at(this->now + delay, std::move(action));
}

void StageWorld::planArrivals(double load)
{
    for (std::size_t kind = 0; kind < this->scenario.kinds.size(); ++kind) {
        double most = 1;
        for (const Burst &burst : this->scenario.bursts)
            most *= std::max(1.0, burst.factor);
        const double rate = this->scenario.kinds[kind].perSecond * load;
        if (rate <= 0)
            continue;
        std::exponential_distribution<double> gap(rate * most);
        std::uniform_real_distribution<double> draw(0, 1);
        for (double second = gap(this->random); second < this->scenario.seconds;
             second += gap(this->random)) {
            double factor = 1;
            for (const Burst &burst : this->scenario.bursts) {
                const bool meant = !burst.kind || *burst.kind == kind;
                if (meant && second >= burst.fromSecond && second < burst.toSecond)
                    factor *= burst.factor;
            }
            if (draw(this->random) * most < factor)
                this->after(fromSeconds(second), [this, kind] { this->arrive(kind); });
        }
    }
}

void StageWorld::applyTroubles()
{
    for (const EndpointTrouble &trouble : this->scenario.troubles) {
        const std::size_t service = this->serviceOf(trouble.service);
        for (std::size_t i = 0; i < trouble.endpoints && i < this->machines[service].size(); ++i) {
            const double factor = trouble.slowness;
            this->after(fromSeconds(trouble.fromSecond), [this, service, i, factor] {
                this->machines[service][i].slowness *= factor;
            });
            this->after(fromSeconds(trouble.toSecond), [this, service, i, factor] {
                this->machines[service][i].slowness /= factor;
            });
        }
    }
}

const KindModel &StageWorld::kindOf(const Request &request) const
{
    return this->scenario.kinds[request.kind];
}

void StageWorld::arrive(std::size_t kind)
{
    const KindModel &model = this->scenario.kinds[kind];
    const std::uint64_t id = ++this->lastRequest;
    Request request;
    request.kind = kind;
    request.instance
        = std::uniform_int_distribution<std::size_t>(0, this->scenario.instances - 1)(this->random);
    request.home
        = Common::FailureDomain("d"
                                + std::to_string(std::uniform_int_distribution<std::uint32_t>(
                                    0, this->scenario.domains - 1)(this->random)));
    request.arrivedAt = this->now;
    std::uniform_real_distribution<double> draw(0, 1);
    for (const StageModel &stage : model.stages) {
        // The mean of a lognormal value is above its median by half of the variance.
        std::lognormal_distribution<double> pieces(std::log(stage.meanPieces)
                                                       - stage.pieceSpread * stage.pieceSpread / 2,
                                                   std::max(stage.pieceSpread, 1e-9));
        const double drawn = std::clamp(std::round(pieces(this->random)), 1.0,
                                        static_cast<double>(stage.mostPieces));
        request.pieces.push_back(
            draw(this->random) < stage.share ? static_cast<std::uint32_t>(drawn) : 0);
    }
    ++this->outcome.kinds[kind].asked;
    this->requests.emplace(id, std::move(request));
    this->after(model.patience, [this, id] { this->abandon(id); });
    this->beginStages(id);
}

void StageWorld::beginStages(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    request.chain.assign(request.pieces.size(), {});
    request.steps.assign(request.pieces.size(), {});
    for (std::size_t i = 0; i < request.pieces.size(); ++i)
        request.chain[i].begun = request.chain[i].done = request.pieces[i] == 0;
    this->beginReady(id);
}

void StageWorld::beginReady(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    const auto &stages = this->stagesByKind[request.kind];
    for (auto ready = Staging::readyStages(stages, request.chain); !ready.empty();
         ready = Staging::readyStages(stages, request.chain)) {
        for (const std::size_t stage : ready)
            this->begin(id, stage);
    }
    const bool allDone = std::all_of(request.chain.begin(), request.chain.end(),
                                     [](const Staging::ChainStep &step) { return step.done; });
    if (allDone)
        this->after(this->kindOf(request).endpointTime, [this, id] { this->finish(id); });
}

Staging::PieceRequest StageWorld::describePiece(std::uint64_t id, std::size_t stage) const
{
    const Request &request = this->requests.at(id);
    const KindModel &kind = this->kindOf(request);
    const auto &stages = this->stagesByKind[request.kind];
    Staging::PieceRequest piece;
    piece.requestId = std::to_string(id);
    piece.stage = static_cast<std::uint32_t>(stage);
    piece.resultBytes = stages[stage].resultBytes;
    piece.priority = kind.priority;
    piece.startBy = request.arrivedAt + kind.objective
        - Staging::timeAfterStartOf(this->catalog, stages, stage, kind.endpointTime);
    piece.expiresAt = request.arrivedAt + kind.patience - kind.endpointTime
        - Staging::leastTimeAfterEndOf(this->catalog, stages, stage);
    if (Staging::isFinal(stages, stage)) {
        piece.nearTo = request.home;
        piece.transferBytes = piece.resultBytes;
    }
    if (stages[stage].after.empty())
        return piece;
    piece.inputs.emplace();
    for (const std::size_t before : stages[stage].after) {
        for (const auto &result : request.steps[before].results)
            piece.inputs->push_back(result->handle);
    }
    return piece;
}

void StageWorld::begin(std::uint64_t id, std::size_t stage)
{
    Request &request = this->requests.at(id);
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    request.chain[stage].begun = true;
    Step &step = request.steps[stage];
    step.results.assign(request.pieces[stage], std::nullopt);
    step.open = step.unfetched = request.pieces[stage];
    const Staging::PieceRequest piece = this->describePiece(id, stage);
    this->after(this->scenario.messageDelay, [this, id, stage, queue, piece] {
        const auto found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        Staging::PieceRequest each = piece;
        for (std::uint32_t i = 0; i < found->second.pieces[stage]; ++i) {
            each.piece = i;
            const auto ticket = Staging::submit(this->queues[queue].queue, each, this->now);
            this->owners[queue][ticket] = {id, stage, i};
            found->second.steps[stage].tickets.push_back(ticket);
        }
        this->pump(queue);
    });
}

void StageWorld::take(const PieceOwner &owner, const Staging::SettledPiece &piece)
{
    const auto found = this->requests.find(owner.request);
    if (found == this->requests.end())
        return;
    Request &request = found->second;
    Step &step = request.steps[owner.stage];
    if (owner.index >= step.results.size() || step.results[owner.index])
        return;
    if (piece.end != Staging::PieceEnd::Made) {
        const bool again
            = piece.end == Staging::PieceEnd::InputGone && request.repeats < kMostRepeats;
        this->withdrawAll(owner.request);
        if (again) {
            ++request.repeats;
            this->beginStages(owner.request);
            return;
        }
        this->abandon(owner.request);
        return;
    }
    step.results[owner.index] = piece;
    if (--step.open > 0)
        return;
    request.chain[owner.stage].done = true;
    const auto &stages = this->stagesByKind[request.kind];
    for (const std::size_t before : stages[owner.stage].after) {
        if (!Staging::isNeededBesides(stages, request.chain, before, owner.stage))
            this->release(owner.request, before);
    }
    this->beginReady(owner.request);
}

void StageWorld::noteFetched(std::size_t queue, const Staging::PlannedCall &call)
{
    if (!Staging::isOpen(this->queues[queue].queue, call.number))
        return;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        const auto owner = this->owners[queue].find(piece.ticket);
        if (owner == this->owners[queue].end() || !piece.request.inputs)
            continue;
        const auto found = this->requests.find(owner->second.request);
        if (found == this->requests.end())
            continue;
        Step &step = found->second.steps[owner->second.stage];
        if (step.unfetched == 0 || --step.unfetched > 0)
            continue;
        const auto &stages = this->stagesByKind[found->second.kind];
        for (const std::size_t before : stages[owner->second.stage].after) {
            if (!Staging::isNeededBesides(stages, found->second.chain, before, owner->second.stage))
                this->markSpare(found->first, before);
        }
    }
}

void StageWorld::markSpare(std::uint64_t id, std::size_t stage)
{
    const Request &request = this->requests.at(id);
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    for (const auto &result : request.steps[stage].results) {
        if (result)
            Staging::markSpare(this->queues[queue].queue, result->maker, result->handle, this->now);
    }
    this->pump(queue);
}

void StageWorld::release(std::uint64_t id, std::size_t stage)
{
    Request &request = this->requests.at(id);
    Step &step = request.steps[stage];
    if (std::exchange(step.released, true))
        return;
    const std::size_t queue = this->queueOf(
        this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
    std::vector<Staging::SettledPiece> results;
    for (const auto &result : step.results) {
        if (result)
            results.push_back(*result);
    }
    this->after(this->scenario.messageDelay, [this, queue, results] {
        for (const Staging::SettledPiece &result : results)
            Staging::release(this->queues[queue].queue, result.maker, result.handle);
        this->armFreeTimer(queue);
    });
}

void StageWorld::withdrawAll(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    for (std::size_t stage = 0; stage < request.steps.size(); ++stage) {
        if (!request.chain[stage].begun || request.pieces[stage] == 0)
            continue;
        const std::size_t queue = this->queueOf(
            this->serviceOf(this->stagesByKind[request.kind][stage].service), request.instance);
        for (const Staging::PieceTicket ticket : request.steps[stage].tickets) {
            if (this->owners[queue].erase(ticket) > 0)
                Staging::withdraw(this->queues[queue].queue, ticket);
        }
        this->release(id, stage);
    }
}

void StageWorld::finish(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const KindModel &kind = this->kindOf(found->second);
    KindOutcome &outcome = this->outcome.kinds[found->second.kind];
    const bool inTime = this->now - found->second.arrivedAt <= kind.objective;
    ++(inTime ? outcome.onTime : outcome.late);
    this->withdrawAll(id);
    this->requests.erase(id);
}

void StageWorld::abandon(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    ++this->outcome.kinds[found->second.kind].unserved;
    this->withdrawAll(id);
    this->requests.erase(id);
}

Outcome StageWorld::run()
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
