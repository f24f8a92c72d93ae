// Admission queue in front of a pool of engines: decides which requests are admitted, queued or
// refused, and in which order queued requests are admitted.
//
// Interactive requests take precedence over patient (delay-tolerant) ones, except that a patient
// request is admitted after a number of interactive ones, or when its deadline is near. Within a
// class the workspace with the fewest requests in service is next, and within a workspace the
// request with the earliest deadline.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <boost/intrusive/set.hpp>

namespace Tanagerbay::Admission {

enum class WorkClass { Interactive, Patient };

inline constexpr std::size_t kWorkClassCount = 2;

// A request that passes through the queue. It is owned by the code that calls the queue and linked
// into the queue while it waits.
struct Waiter : boost::intrusive::set_base_hook<>
{
    Common::WorkspaceId workspace;
    WorkClass workClass = WorkClass::Interactive;
    Common::Time arrivedAt;
    Common::Time deadline;
    // Expected service time, without the wait in the queue.
    Common::Duration expected{0};
};

struct ByDeadline
{
    bool operator()(const Waiter &left, const Waiter &right) const
    {
        return left.deadline < right.deadline;
    }
};

using WaiterSet = boost::intrusive::multiset<Waiter, boost::intrusive::compare<ByDeadline>>;

// Requests of one workspace within a class.
struct WorkspaceQueue
{
    WaiterSet waiting;
    std::uint32_t inService = 0;
};

struct ClassQueue
{
    std::map<Common::WorkspaceId, WorkspaceQueue> workspaces;
    std::size_t waiting = 0;
    // Sum of the expected service times of the waiting requests.
    Common::Duration expectedWaiting{0};
};

struct Queue
{
    std::array<ClassQueue, kWorkClassCount> classes;
    std::uint32_t inService = 0;
    // Sum of the expected service times of the requests in service, to predict waiting times.
    Common::Duration expectedInService{0};
    std::uint32_t admissionsSincePatient = 0;
    std::size_t maxWaiting = 1000;
};

// Concurrency window of this instance: the maximum number of its requests in service, derived from
// the state of the pool.
struct Window
{
    std::uint32_t maxInService = 1;
};

struct PoolView
{
    std::uint32_t slots = 0;
    // Estimated calls of other instances in flight.
    double others = 0;
    std::uint32_t own = 0;
    std::size_t liveInstances = 1;
    // Target for the calls of all instances in flight, as a share of the slots of the engines.
    double occupancyTarget = 1;
};

Window windowOf(const PoolView &view);

enum class ArrivalVerdict { Admit, Wait, Refuse };

struct Arrival
{
    ArrivalVerdict verdict = ArrivalVerdict::Admit;
    // Predicted wait in the queue, where the request is refused.
    Common::Duration retryAfter{0};
};

// Decides on a new request. `Admit` counts it as in service; `Wait` links it into the queue. A
// request is refused where the queue is full or where it is predicted to miss its deadline.
Arrival arrive(Queue &queue, Waiter &waiter, const Window &window, Common::Time now);

// Records the end of a request that was in service.
void finish(Queue &queue, const Waiter &waiter);

// Removes a request from the queue. It has no effect on a request that does not wait.
void leave(Queue &queue, Waiter &waiter);

struct Release
{
    // Requests that leave the queue and count as in service.
    std::vector<Waiter *> admitted;
    // Requests that leave the queue since they can no longer finish by their deadline.
    std::vector<Waiter *> unservable;
};

// Removes from the queue the requests that can no longer finish by their deadline, then admits as
// many as the window permits.
Release release(Queue &queue, const Window &window, Common::Time now);

// Predicts how long a new request would wait in the queue.
Common::Duration predictedWait(const Queue &queue, const Waiter &waiter, const Window &window);

} // namespace Tanagerbay::Admission

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Admission::WorkClass>
{
    using Class = Admission::WorkClass;
    static constexpr NameTable<Class, Admission::kWorkClassCount> table
        = {{{Class::Interactive, "interactive"}, {Class::Patient, "patient"}}};
};
