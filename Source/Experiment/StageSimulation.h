// Discrete-event simulation of requests of several kinds that pass through the stage queues. The
// queues are the production code; endpoints, messages and callers are models.
#pragma once

#include "Experiment/SimulatedEndpoint.h"
#include "Staging/StageChain.h"

#include <functional>
#include <queue>

namespace Tanagerbay::Experiment {

struct KindOutcome
{
    std::uint64_t arrivals = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    // Refused, or not finished before their caller disconnected.
    std::uint64_t unserved = 0;
    // Refusals, also of those that came back and were served, and of those that came back.
    std::uint64_t refusals = 0;
    std::uint64_t refusedAgain = 0;
    // First refusals by a queue that had begun less urgent pieces shortly before.
    std::uint64_t refusedBehindLessUrgent = 0;
};

struct Outcome
{
    std::vector<KindOutcome> kinds;
    // All kinds together, by the second in which the requests arrived.
    std::vector<KindOutcome> seconds;
    std::uint64_t calls = 0;
    std::uint64_t pieces = 0;
    std::uint64_t refusedCalls = 0;
    std::uint64_t noRoom = 0;
    std::uint64_t inputsGone = 0;
};

// Earned worth divided by the worth of all arrivals.
double worthOf(const Scenario &scenario, const Outcome &outcome);

class StageSimulation
{
public:
    // `load` multiplies all arrival rates.
    StageSimulation(const Scenario &scenario, Policy policy, double load, std::uint64_t seed);

    Outcome run();

private:
    struct Queue
    {
        Staging::StageQueue queue;
        std::optional<Common::Time> wakeAt;
        bool isFreeTimerArmed = false;
        // When a piece of each priority was last begun.
        std::map<int, Common::Time> begunAt;
    };

    struct StageState
    {
        std::vector<std::optional<Staging::SettledPiece>> results;
        std::vector<Staging::PieceTicket> tickets;
        std::size_t pendingPieces = 0;
        std::size_t unfetchedPieces = 0;
        bool isReleased = false;
    };

    struct Request
    {
        std::size_t kind = 0;
        std::size_t instance = 0;
        Common::FailureDomain homeDomain;
        Common::Time arrivedAt;
        // Of the caller's first attempt.
        Common::Time firstArrivedAt;
        std::uint32_t attempt = 0;
        bool isImpatient = false;
        // When the caller leaves.
        Common::Time leavesAt;
        std::vector<std::uint32_t> pieceCounts;
        std::vector<Staging::StageProgress> progress;
        std::vector<StageState> stageStates;
        int restarts = 0;
    };

    struct PieceRef
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

    void schedule(Common::Time time, std::function<void()> action);
    void scheduleAfter(Common::Duration delay, std::function<void()> action);
    void scheduleArrivals(double load);
    void startRequest(std::size_t kind);
    void beginAttempt(Request request);
    // Answers a request that it cannot be served, and when there is room again if that is known.
    void refuseRequest(std::uint64_t id, std::optional<Common::Duration> roomIn);
    // When the refused caller comes back, if it does.
    std::optional<Common::Time> returnTime(const Request &request,
                                           std::optional<Common::Duration> roomIn);
    void startStages(std::uint64_t id);
    void startReadyStages(std::uint64_t id);
    void startStage(std::uint64_t id, std::size_t stage);
    Staging::PieceRequest makePieceRequest(std::uint64_t id, std::size_t stage) const;
    // Index of the queue of the service that the instance uses.
    std::size_t queueOf(std::size_t service, std::size_t instance) const;
    std::size_t serviceOf(const std::string &name) const;
    void dispatch(std::size_t queue);
    void sendCall(std::size_t queue, Staging::PlannedCall call);
    void deliverCall(std::size_t queue, const Staging::PlannedCall &call);
    // Whether the queue has begun pieces that are less urgent than the kind shortly before.
    bool hasBegunLessUrgent(std::size_t queue, const RequestKindModel &kind) const;
    void notifySettled(std::size_t queue, const std::vector<Staging::SettledPiece> &settled);
    void handleSettledPiece(const PieceRef &ref, const Staging::SettledPiece &piece);
    void recordFetchedInputs(std::size_t queue, const Staging::PlannedCall &call);
    void markEvictable(std::uint64_t id, std::size_t stage);
    void release(std::uint64_t id, std::size_t stage);
    void armFreeTimer(std::size_t queue);
    void completeRequest(std::uint64_t id);
    void abandonRequest(std::uint64_t id);
    void withdrawPieces(std::uint64_t id);
    void scheduleDegradations();
    void scheduleWithdrawals();
    void setListed(const Withdrawal &withdrawal, bool isListed);
    const RequestKindModel &kindOf(const Request &request) const;
    // Outcome of the requests that arrived in the same second.
    KindOutcome &secondOf(Common::Time arrivedAt);
    SimulatedEndpoint &findEndpoint(std::size_t service, const std::string &name);

    const Scenario &scenario;
    Policy policy;
    std::mt19937_64 random;
    Common::Time now{std::chrono::hours(1)};
    const Common::Time startedAt = this->now;
    std::uint64_t sequence = 0;
    std::priority_queue<Event> events;
    Catalog::Catalog catalog;
    std::vector<std::vector<Catalog::Stage>> stagesByKind;
    std::vector<std::vector<SimulatedEndpoint>> simulatedEndpoints;
    std::vector<std::vector<Routing::Endpoint>> endpoints;
    // By service, then by instance under `Policy::PerInstance`.
    std::vector<Queue> queues;
    std::vector<std::unordered_map<Staging::PieceTicket, PieceRef>> pieceRefs;
    std::unordered_map<std::uint64_t, Request> requests;
    std::uint64_t lastRequestId = 0;
    Outcome outcome;
};

} // namespace Tanagerbay::Experiment
