// The queues of an experiment and the calls that they send.
#include "Experiment/StageWorld.h"

#include <algorithm>

namespace Tanagerbay::Experiment {

using Common::Time;

namespace {

// An endpoint has fetched the inputs of a call after this time, as the entry instances assume.
constexpr Common::Milliseconds kFetchTime{60};
// Results to be freed are gathered for this long, as by the entry instances.
constexpr Common::Milliseconds kFreeDelay{20};
// Queue timers are not set closer than this, as by the entry instances.
constexpr Common::Milliseconds kLeastWake{5};

} // namespace

std::size_t StageWorld::serviceOf(const std::string &name) const
{
    for (std::size_t i = 0; i < this->scenario.services.size(); ++i) {
        if (this->scenario.services[i].name == name)
            return i;
    }
    return 0;
}

std::size_t StageWorld::queueOf(std::size_t service, std::size_t instance) const
{
    return this->policy == Policy::PerInstance ? service * this->scenario.instances + instance
                                               : service;
}

void StageWorld::pump(std::size_t index)
{
    Queue &queue = this->queues[index];
    std::vector<Staging::SettledPiece> settled;
    Staging::requeueOverdue(queue.queue, this->now);
    for (Staging::PlannedCall &call : Staging::planCalls(queue.queue, this->now, settled))
        this->send(index, std::move(call));
    this->settle(index, settled);
    const auto wake = Staging::nextWake(queue.queue, this->now);
    if (!wake || (queue.wakeAt && *queue.wakeAt > this->now && *queue.wakeAt <= *wake))
        return;
    const Time wakeAt = std::max(*wake, this->now + kLeastWake);
    queue.wakeAt = wakeAt;
    this->at(wakeAt, [this, index, wakeAt] {
        if (this->queues[index].wakeAt != wakeAt)
            return;
        this->queues[index].wakeAt.reset();
        this->pump(index);
    });
}

StageMachine &StageWorld::machineNamed(std::size_t service, const std::string &name)
{
    const std::size_t dash = name.rfind('-');
    return this->machines[service][std::stoul(name.substr(dash + 1))];
}

void StageWorld::send(std::size_t queue, Staging::PlannedCall call)
{
    ++this->outcome.calls;
    this->outcome.pieces += call.pieces.size();
    this->after(this->scenario.messageDelay,
                [this, queue, call = std::move(call)] { this->deliver(queue, call); });
}

void StageWorld::deliver(std::size_t queue, const Staging::PlannedCall &call)
{
    const std::size_t service = this->serviceOf(this->queues[queue].queue.service);
    StageMachine &machine = this->machineNamed(service, call.endpoint.id.value);
    for (const std::string &handle : call.freeFirst)
        machine.results.erase(handle);
    if (refusesCall(machine)) {
        ++this->outcome.refusedCalls;
        this->after(this->scenario.messageDelay, [this, queue, number = call.number] {
            this->settle(queue,
                         Staging::callFailed(this->queues[queue].queue, number,
                                             Staging::CallFault::Refused, this->now));
            this->pump(queue);
        });
        return;
    }
    double work = 0;
    std::uint64_t inputBytes = 0;
    std::vector<bool> inputsThere;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        const Request *request = nullptr;
        const auto found = this->requests.find(std::stoull(piece.request.requestId));
        if (found != this->requests.end())
            request = &found->second;
        work += request ? this->kindOf(*request).stages[piece.request.stage].workFactor : 1;
        bool there = true;
        for (const std::string &handle :
             piece.request.inputs.value_or(std::vector<std::string>{})) {
            const std::string maker = handle.substr(0, handle.find('/'));
            const std::size_t from = this->serviceOf(maker.substr(0, maker.rfind('-')));
            const StageMachine &source = this->machineNamed(from, maker);
            there = there && hasResult(source, handle, this->now);
            const auto result = source.results.find(handle);
            inputBytes += result == source.results.end() ? 0 : result->second.bytes;
        }
        inputsThere.push_back(there);
    }
    const Time end = takeCall(machine, work, inputBytes, this->now, this->random);
    this->after(kFetchTime, [this, queue, call] { this->noteFetched(queue, call); });
    this->at(end, [this, queue, service, call, inputsThere] {
        const auto answers = endCall(this->machineNamed(service, call.endpoint.id.value),
                                     call.pieces, inputsThere, this->now);
        for (const Staging::PieceResult &answer : answers) {
            this->outcome.noRoom += answer.answer == Staging::PieceAnswer::NoRoom ? 1 : 0;
            this->outcome.inputsGone += answer.answer == Staging::PieceAnswer::InputGone ? 1 : 0;
        }
        this->after(this->scenario.messageDelay, [this, queue, number = call.number, answers] {
            this->settle(
                queue,
                Staging::callAnswered(this->queues[queue].queue, number, answers, this->now));
            this->armFreeTimer(queue);
            this->pump(queue);
        });
    });
}

void StageWorld::settle(std::size_t queue, const std::vector<Staging::SettledPiece> &settled)
{
    for (const Staging::SettledPiece &piece : settled) {
        const auto found = this->owners[queue].find(piece.ticket);
        if (found == this->owners[queue].end())
            continue;
        const PieceOwner owner = found->second;
        this->owners[queue].erase(found);
        this->after(this->scenario.messageDelay,
                    [this, owner, piece] { this->take(owner, piece); });
    }
}

void StageWorld::armFreeTimer(std::size_t index)
{
    Queue &queue = this->queues[index];
    if (queue.freeTimerRuns || !Staging::hasFreeOrders(queue.queue))
        return;
    queue.freeTimerRuns = true;
    this->after(kFreeDelay, [this, index] {
        this->queues[index].freeTimerRuns = false;
        const std::size_t service = this->serviceOf(this->queues[index].queue.service);
        for (const Staging::FreeOrder &order : Staging::takeFreeOrders(this->queues[index].queue)) {
            for (const std::string &handle : order.handles)
                this->machineNamed(service, order.endpoint.value).results.erase(handle);
        }
        this->pump(index);
    });
}

} // namespace Tanagerbay::Experiment
