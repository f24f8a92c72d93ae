// Queues of the simulation and the calls that they send.
#include "Experiment/StageSimulation.h"

#include <algorithm>

namespace Tanagerbay::Experiment {

using Common::Time;

namespace {

// The inputs of a call count as fetched after this time, as in the entry instances.
constexpr Common::Milliseconds kFetchTime{60};
// Results to be freed are collected for this long, as in the entry instances.
constexpr Common::Milliseconds kFreeDelay{20};
// Minimum delay of queue timers, as in the entry instances.
constexpr Common::Milliseconds kMinWakeDelay{5};
// A refused piece could have had the place of one that was begun within about a call before.
constexpr Common::Milliseconds kSameRoom{300};

} // namespace

std::size_t StageSimulation::serviceOf(const std::string &name) const
{
    for (std::size_t i = 0; i < this->scenario.services.size(); ++i) {
        if (this->scenario.services[i].name == name)
            return i;
    }
    return 0;
}

std::size_t StageSimulation::queueOf(std::size_t service, std::size_t instance) const
{
    return this->policy == Policy::PerInstance ? service * this->scenario.instances + instance
                                               : service;
}

void StageSimulation::dispatch(std::size_t index)
{
    Queue &queue = this->queues[index];
    std::vector<Staging::SettledPiece> settled;
    Staging::requeueOverdue(queue.queue, this->now);
    for (Staging::PlannedCall &call : Staging::planCalls(queue.queue, this->now, settled))
        this->sendCall(index, std::move(call));
    this->notifySettled(index, settled);
    const auto wake = Staging::nextWakeAt(queue.queue, this->now);
    if (!wake || (queue.wakeAt && *queue.wakeAt > this->now && *queue.wakeAt <= *wake))
        return;
    const Time wakeAt = std::max(*wake, this->now + kMinWakeDelay);
    queue.wakeAt = wakeAt;
    this->schedule(wakeAt, [this, index, wakeAt] {
        if (this->queues[index].wakeAt != wakeAt)
            return;
        this->queues[index].wakeAt.reset();
        this->dispatch(index);
    });
}

SimulatedEndpoint &StageSimulation::findEndpoint(std::size_t service, const std::string &name)
{
    const std::size_t dash = name.rfind('-');
    return this->simulatedEndpoints[service][std::stoul(name.substr(dash + 1))];
}

void StageSimulation::sendCall(std::size_t queue, Staging::PlannedCall call)
{
    ++this->outcome.calls;
    this->outcome.pieces += call.pieces.size();
    for (const Staging::QueuedPiece &piece : call.pieces)
        this->queues[queue].begunAt[piece.request.priority] = this->now;
    this->scheduleAfter(this->scenario.messageDelay,
                        [this, queue, call = std::move(call)] { this->deliverCall(queue, call); });
}

void StageSimulation::deliverCall(std::size_t queue, const Staging::PlannedCall &call)
{
    const std::size_t service = this->serviceOf(this->queues[queue].queue.service);
    SimulatedEndpoint &simulated = this->findEndpoint(service, call.endpoint.id.value);
    for (const std::string &handle : call.freeFirst)
        simulated.results.erase(handle);
    if (refusesCall(simulated)) {
        ++this->outcome.refusedCalls;
        this->scheduleAfter(this->scenario.messageDelay, [this, queue, number = call.number] {
            this->notifySettled(queue,
                                Staging::callFailed(this->queues[queue].queue, number,
                                                    Staging::CallFault::Refused, this->now));
            this->dispatch(queue);
        });
        return;
    }
    double work = 0;
    std::uint64_t inputBytes = 0;
    std::vector<bool> inputsAvailable;
    for (const Staging::QueuedPiece &piece : call.pieces) {
        const Request *request = nullptr;
        const auto found = this->requests.find(std::stoull(piece.request.requestId));
        if (found != this->requests.end())
            request = &found->second;
        work += request ? this->kindOf(*request).stages[piece.request.stage].workFactor : 1;
        bool isAvailable = true;
        for (const std::string &handle :
             piece.request.inputs.value_or(std::vector<std::string>{})) {
            const std::string endpointName = handle.substr(0, handle.find('/'));
            const std::size_t sourceService
                = this->serviceOf(endpointName.substr(0, endpointName.rfind('-')));
            const SimulatedEndpoint &source = this->findEndpoint(sourceService, endpointName);
            isAvailable = isAvailable && hasResult(source, handle, this->now);
            const auto result = source.results.find(handle);
            inputBytes += result == source.results.end() ? 0 : result->second.bytes;
        }
        inputsAvailable.push_back(isAvailable);
    }
    const Time end = acceptCall(simulated, work, inputBytes, this->now, this->random);
    this->scheduleAfter(kFetchTime,
                        [this, queue, call] { this->recordFetchedInputs(queue, call); });
    this->schedule(end, [this, queue, service, call, inputsAvailable] {
        const auto answers = completeCall(this->findEndpoint(service, call.endpoint.id.value),
                                          call.pieces, inputsAvailable, this->now);
        for (const Staging::PieceResult &answer : answers) {
            this->outcome.noRoom += answer.answer == Staging::PieceAnswer::NoRoom ? 1 : 0;
            this->outcome.inputsGone += answer.answer == Staging::PieceAnswer::InputGone ? 1 : 0;
        }
        this->scheduleAfter(
            this->scenario.messageDelay, [this, queue, number = call.number, answers] {
                this->notifySettled(
                    queue,
                    Staging::callAnswered(this->queues[queue].queue, number, answers, this->now));
                this->armFreeTimer(queue);
                this->dispatch(queue);
            });
    });
}

bool StageSimulation::hasBegunLessUrgent(std::size_t queue, const RequestKindModel &kind) const
{
    for (const auto &[priority, begunAt] : this->queues[queue].begunAt) {
        if (priority > kind.priority && this->now - begunAt < kSameRoom)
            return true;
    }
    return false;
}

void StageSimulation::notifySettled(std::size_t queue,
                                    const std::vector<Staging::SettledPiece> &settled)
{
    for (const Staging::SettledPiece &piece : settled) {
        const auto found = this->pieceRefs[queue].find(piece.ticket);
        if (found == this->pieceRefs[queue].end())
            continue;
        const PieceRef ref = found->second;
        this->pieceRefs[queue].erase(found);
        const auto request = this->requests.find(ref.request);
        if (piece.outcome == Staging::PieceOutcome::Expired && ref.index == 0
            && request != this->requests.end() && request->second.attempt == 0
            && this->hasBegunLessUrgent(queue, this->kindOf(request->second)))
            ++this->outcome.kinds[request->second.kind].refusedBehindLessUrgent;
        this->scheduleAfter(this->scenario.messageDelay,
                            [this, ref, piece] { this->handleSettledPiece(ref, piece); });
    }
}

void StageSimulation::armFreeTimer(std::size_t index)
{
    Queue &queue = this->queues[index];
    if (queue.isFreeTimerArmed || !Staging::hasFreeOrders(queue.queue, this->now))
        return;
    queue.isFreeTimerArmed = true;
    this->scheduleAfter(kFreeDelay, [this, index] {
        this->queues[index].isFreeTimerArmed = false;
        const std::size_t service = this->serviceOf(this->queues[index].queue.service);
        for (const Staging::FreeOrder &order :
             Staging::takeFreeOrders(this->queues[index].queue, this->now)) {
            for (const std::string &handle : order.handles)
                this->findEndpoint(service, order.endpoint.value).results.erase(handle);
        }
        this->dispatch(index);
    });
}

} // namespace Tanagerbay::Experiment
