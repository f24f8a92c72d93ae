// Instances that detect each other's failures, in simulated time: the detector is the production
// code; the network loses, delays and cuts messages, and instances die, stop and run slowly.
#pragma once

#include "Membership/Detector.h"

#include <functional>
#include <queue>
#include <set>

namespace Tanagerbay::MembershipTests {

struct NetworkModel
{
    double lossRate = 0.001;
    Common::Milliseconds minDelay{1};
    Common::Milliseconds maxDelay{4};
    // Whether a message may pass; for cuts.
    std::function<bool(std::size_t from, std::size_t to)> mayPass;
};

class DetectorSimulation
{
public:
    DetectorSimulation(std::size_t instances, std::uint64_t seed);

    void runFor(Common::Duration duration);
    // Each instance learns of all others, as after a start with the store's list.
    void introduceAll();
    // Instance `index` learns of one other only.
    void introduce(std::size_t index, std::size_t other);
    // All live instances read a list that names these.
    void list(const std::vector<std::size_t> &listed);
    void kill(std::size_t index);
    // The clock has stepped by `clockStep` beside the time that has passed since the last start.
    void restart(std::size_t index, std::int64_t clockStep = 0);
    void freeze(std::size_t index);
    void wake(std::size_t index);
    // Messages are processed this much later at the instance.
    void setSlowness(std::size_t index, Common::Milliseconds delay);
    // Whether the directory of `observer` names `subject`.
    bool believesAlive(std::size_t observer, std::size_t subject) const;
    // Number of live instances that believe the subject to be alive.
    std::size_t believers(std::size_t subject) const;
    // Number of live instances that know the subject's current start.
    std::size_t hearers(std::size_t subject) const;
    std::size_t liveCount() const;
    // Pairs of live instances of which one does not believe the other to be alive.
    std::size_t falseSuspicions() const;
    // Bytes that one instance sends in a second, on average since the start.
    double bytesPerSecond() const;

    NetworkModel network;
    Common::Time now{std::chrono::hours(1)};

private:
    struct Instance
    {
        Membership::Members members;
        Membership::Detector detector;
        std::uint64_t incarnation = 1000;
        std::uint64_t sequence = 1;
        bool isRunning = true;
        bool isFrozen = false;
        Common::Milliseconds slowness{0};
        std::optional<Common::Time> askedForAllAt;
        // Messages that wait while the instance is frozen.
        std::vector<std::function<void()>> waiting;
    };
    struct Event
    {
        Common::Time at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };
    struct Datagram
    {
        Membership::ProbeMessage message;
        std::vector<Membership::MemberNews> news;
    };

    Membership::MemberReport ownReport(std::size_t index) const;
    Common::Address addressOf(std::size_t index) const;
    void schedule(Common::Duration delay, std::function<void()> action);
    void tickLater(std::size_t index);
    void sendAll(std::size_t from, const std::vector<Membership::ProbeMessage> &messages);
    void deliver(std::size_t from, std::size_t to, const Datagram &datagram);
    void receive(std::size_t from, std::size_t to, const Datagram &datagram);
    // `index` asks `other` for all that it knows, as over a connection, unless it has asked
    // somebody within the interval.
    void askForAll(std::size_t index, std::size_t other, Common::Duration interval);
    void raiseSequence(std::size_t index, std::uint64_t above);
    void raiseIncarnation(std::size_t index, std::uint64_t reported);

    std::vector<Instance> instances;
    std::vector<Common::InstanceId> ids;
    std::map<Common::Address, std::size_t> indexByAddress;
    std::priority_queue<Event> events;
    std::uint64_t lastEvent = 0;
    std::mt19937_64 random;
    double bytesSent = 0;
    Common::Time startedAt = this->now;
};

} // namespace Tanagerbay::MembershipTests
