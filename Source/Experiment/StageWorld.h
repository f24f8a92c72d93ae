// Plays requests of several kinds through the stage queues with simulated time. The queues are the
// product's own; endpoints, messages and callers are models.
#pragma once

#include "Experiment/StageMachine.h"
#include "Staging/StageChain.h"

#include <functional>
#include <queue>

namespace Tanagerbay::Experiment {

struct KindOutcome
{
    std::uint64_t asked = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    // Refused, or not ended before their caller left.
    std::uint64_t unserved = 0;
};

struct Outcome
{
    std::vector<KindOutcome> kinds;
    std::uint64_t calls = 0;
    std::uint64_t pieces = 0;
    std::uint64_t refusedCalls = 0;
    std::uint64_t noRoom = 0;
    std::uint64_t inputsGone = 0;
};

// Worth earned over worth asked for.
double worthOf(const Scenario &scenario, const Outcome &outcome);

class StageWorld
{
public:
    // `load` multiplies all arrivals.
    StageWorld(const Scenario &scenario, Policy policy, double load, std::uint64_t seed);

    Outcome run();

private:
    struct Queue
    {
        Staging::StageQueue queue;
        std::optional<Common::Time> wakeAt;
        bool freeTimerRuns = false;
    };

    struct Step
    {
        std::vector<std::optional<Staging::SettledPiece>> results;
        std::vector<Staging::PieceTicket> tickets;
        std::size_t open = 0;
        std::size_t unfetched = 0;
        bool released = false;
    };

    struct Request
    {
        std::size_t kind = 0;
        std::size_t instance = 0;
        Common::FailureDomain home;
        Common::Time arrivedAt;
        std::vector<std::uint32_t> pieces;
        std::vector<Staging::ChainStep> chain;
        std::vector<Step> steps;
        int repeats = 0;
    };

    struct PieceOwner
    {
        std::uint64_t request = 0;
        std::size_t stage = 0;
        std::size_t index = 0;
    };

    struct Event
    {
        Common::Time at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };

    void at(Common::Time time, std::function<void()> action);
    void after(Common::Duration delay, std::function<void()> action);
    void planArrivals(double load);
    void arrive(std::size_t kind);
    void beginStages(std::uint64_t id);
    void beginReady(std::uint64_t id);
    void begin(std::uint64_t id, std::size_t stage);
    Staging::PieceRequest describePiece(std::uint64_t id, std::size_t stage) const;
    // The queue of the service that serves the instance.
    std::size_t queueOf(std::size_t service, std::size_t instance) const;
    std::size_t serviceOf(const std::string &name) const;
    void pump(std::size_t queue);
    void send(std::size_t queue, Staging::PlannedCall call);
    void deliver(std::size_t queue, const Staging::PlannedCall &call);
    void settle(std::size_t queue, const std::vector<Staging::SettledPiece> &settled);
    void take(const PieceOwner &owner, const Staging::SettledPiece &piece);
    void noteFetched(std::size_t queue, const Staging::PlannedCall &call);
    void markSpare(std::uint64_t id, std::size_t stage);
    void release(std::uint64_t id, std::size_t stage);
    void armFreeTimer(std::size_t queue);
    void finish(std::uint64_t id);
    void abandon(std::uint64_t id);
    void withdrawAll(std::uint64_t id);
    void applyTroubles();
    const KindModel &kindOf(const Request &request) const;
    StageMachine &machineNamed(std::size_t service, const std::string &name);

    const Scenario &scenario;
    Policy policy;
    std::mt19937_64 random;
    Common::Time now{std::chrono::hours(1)};
    std::uint64_t sequence = 0;
    std::priority_queue<Event> events;
    Catalog::Catalog catalog;
    std::vector<std::vector<Catalog::Stage>> stagesByKind;
    std::vector<std::vector<StageMachine>> machines;
    std::vector<std::vector<Routing::Endpoint>> endpoints;
    // By service, then by instance where each has its own.
    std::vector<Queue> queues;
    std::vector<std::unordered_map<Staging::PieceTicket, PieceOwner>> owners;
    std::unordered_map<std::uint64_t, Request> requests;
    std::uint64_t lastRequest = 0;
    Outcome outcome;
};

} // namespace Tanagerbay::Experiment
