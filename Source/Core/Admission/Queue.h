// The queue in front of a pool of engines: who goes next, who waits, and who is refused at once.
//
// Interactive work goes before patient work, but every few turns patient work goes first, and work
// whose deadline is near goes before both. Among workspaces the one with the least work in service
// goes first, and within a workspace the earliest deadline.
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

// One request that waits. Owned by its caller and linked into the queue while it waits.
struct Waiter : boost::intrusive::set_base_hook<>
{
    Common::WorkspaceId workspace;
    WorkClass workClass = WorkClass::Interactive;
    Common::Time arrivedAt;
    Common::Time deadline;
    // How long the request is expected to take once it begins.
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

// One workspace's part of one class.
struct WorkspaceLine
{
    WaiterSet waiting;
    std::uint32_t inService = 0;
};

struct ClassLine
{
    std::map<Common::WorkspaceId, WorkspaceLine> workspaces;
    std::size_t waiting = 0;
    // Sum of the expected durations of those that wait.
    Common::Duration expectedWaiting{0};
};

struct Queue
{
    std::array<ClassLine, kWorkClassCount> lines;
    std::uint32_t inService = 0;
    // Sum of the expected durations of those in service, for the prediction of waits.
    Common::Duration expectedInService{0};
    std::uint32_t turnsSincePatient = 0;
    std::size_t mostWaiting = 1000;
};

// How many requests of this instance may be in service, from what is known of the pool.
struct Window
{
    std::uint32_t permitted = 1;
};

struct PoolView
{
    std::uint32_t slots = 0;
    // Estimated calls of other instances.
    double others = 0;
    std::uint32_t own = 0;
    std::size_t liveInstances = 1;
    // Calls that all instances together may have at the engines, as a share of their slots.
    double occupancyTarget = 1;
};

Window windowOf(const PoolView &view);

enum class ArrivalVerdict { Admit, Wait, Refuse };

struct Arrival
{
    ArrivalVerdict verdict = ArrivalVerdict::Admit;
    // How long the queue is predicted to take, where the request is refused.
    Common::Duration retryAfter{0};
};

// Decides on a new request. `Admit` counts it as in service; `Wait` links it into the queue.
Arrival arrive(Queue &queue, Waiter &waiter, const Window &window, Common::Time now);

// Counts the end of a request that was in service.
void finish(Queue &queue, const Waiter &waiter);

// Removes a request that stopped waiting.
void leave(Queue &queue, Waiter &waiter);

struct Release
{
    // Counted as in service from now on.
    std::vector<Waiter *> admitted;
    // Can no longer be answered in time.
    std::vector<Waiter *> hopeless;
};

// Takes from the queue what may begin and what has become hopeless.
Release release(Queue &queue, const Window &window, Common::Time now);

// Predicts how long a new request would wait.
Common::Duration predictedWait(const Queue &queue, const Waiter &waiter, const Window &window);

} // namespace Tanagerbay::Admission

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Admission::WorkClass>
{
    using Class = Admission::WorkClass;
    static constexpr NameTable<Class, Admission::kWorkClassCount> table
        = {{{Class::Interactive, "interactive"}, {Class::Patient, "patient"}}};
};
