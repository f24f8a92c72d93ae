#include "Admission/Queue.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Admission {

namespace {

// Every so many turns a patient request goes first.
constexpr std::uint32_t kPatientTurn = 6;
// A request is urgent once less time is left than this many times its expected duration.
constexpr double kUrgentFactor = 1.6;
// Durations are predicted a little too short rather than too long at times; this covers it.
constexpr double kSafety = 1.1;
// How much of the slots that look free one instance takes beyond its even share. Others see the
// same slots, so taking all of them would overshoot.
constexpr double kFreeShare = 0.5;

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

ClassLine &lineOf(Queue &queue, const Waiter &waiter)
{
    return queue.lines[indexOf(waiter.workClass)];
}

Common::Duration scaled(Common::Duration duration, double factor)
{
    return std::chrono::duration_cast<Common::Duration>(duration * factor);
}

bool isHopeless(const Waiter &waiter, Common::Time now)
{
    return now + scaled(waiter.expected, kSafety) > waiter.deadline;
}

void beginService(Queue &queue, Waiter &waiter)
{
    ++queue.inService;
    queue.expectedInService += waiter.expected;
    ++lineOf(queue, waiter).workspaces[waiter.workspace].inService;
}

void link(Queue &queue, Waiter &waiter)
{
    ClassLine &line = lineOf(queue, waiter);
    line.workspaces[waiter.workspace].waiting.insert(waiter);
    ++line.waiting;
    line.expectedWaiting += waiter.expected;
}

void unlink(Queue &queue, Waiter &waiter)
{
    ClassLine &line = lineOf(queue, waiter);
    const auto found = line.workspaces.find(waiter.workspace);
    found->second.waiting.erase(found->second.waiting.iterator_to(waiter));
    --line.waiting;
    line.expectedWaiting -= waiter.expected;
    if (found->second.waiting.empty() && found->second.inService == 0)
        line.workspaces.erase(found);
}

// The workspace with the least work in service; the earliest deadline decides between equals.
Waiter *headOf(ClassLine &line)
{
    WorkspaceLine *best = nullptr;
    for (auto &[id, workspace] : line.workspaces) {
        if (workspace.waiting.empty())
            continue;
        const bool fewer = !best || workspace.inService < best->inService;
        const bool earlier = best && workspace.inService == best->inService
            && ByDeadline()(*workspace.waiting.begin(), *best->waiting.begin());
        if (fewer || earlier)
            best = &workspace;
    }
    return best ? &*best->waiting.begin() : nullptr;
}

bool isUrgent(const Waiter &waiter, Common::Time now)
{
    return now + scaled(waiter.expected, kUrgentFactor) > waiter.deadline;
}

Waiter *nextOf(Queue &queue, Common::Time now)
{
    Waiter *interactive = headOf(queue.lines[indexOf(WorkClass::Interactive)]);
    Waiter *patient = headOf(queue.lines[indexOf(WorkClass::Patient)]);
    if (!interactive || !patient)
        return interactive ? interactive : patient;
    const bool patientFirst = queue.turnsSincePatient >= kPatientTurn || isUrgent(*patient, now);
    return patientFirst ? patient : interactive;
}

void collectHopeless(Queue &queue, Common::Time now, std::vector<Waiter *> &hopeless)
{
    for (ClassLine &line : queue.lines) {
        for (auto &[id, workspace] : line.workspaces) {
            // Sorted by deadline: one that still has time ends the search.
            for (Waiter &waiter : workspace.waiting) {
                if (!isHopeless(waiter, now))
                    break;
                hopeless.push_back(&waiter);
            }
        }
    }
    for (Waiter *waiter : hopeless)
        unlink(queue, *waiter);
}

} // namespace

Window windowOf(const PoolView &view)
{
    const double target = view.slots * view.occupancyTarget;
    const double even = target / static_cast<double>(std::max<std::size_t>(view.liveInstances, 1));
    const double free = target - view.others - view.own;
    const double permitted = std::max(even, view.own + std::max(free, 0.0) * kFreeShare);
    return {std::max(static_cast<std::uint32_t>(std::ceil(permitted)), 1u)};
}

Common::Duration predictedWait(const Queue &queue, const Waiter &waiter, const Window &window)
{
    const std::uint32_t permitted = std::max(window.permitted, 1u);
    // Everything ahead of the class. Half of what is in service is done, on average.
    Common::Duration ahead = queue.expectedInService / 2;
    ahead += queue.lines[indexOf(WorkClass::Interactive)].expectedWaiting;
    if (waiter.workClass == WorkClass::Patient)
        ahead += queue.lines[indexOf(WorkClass::Patient)].expectedWaiting;
    const Common::Duration inTurn = ahead / permitted;
    // A workspace waits for its own work only, at its even part of the window, and for one turn.
    const ClassLine &line = queue.lines[indexOf(waiter.workClass)];
    const auto own = line.workspaces.find(waiter.workspace);
    std::size_t workspaces = line.workspaces.size();
    std::size_t ownWaiting = 0;
    if (own == line.workspaces.end())
        ++workspaces;
    else
        ownWaiting = own->second.waiting.size();
    const auto turns = static_cast<std::int64_t>((ownWaiting + 1) * workspaces);
    const Common::Duration byFairness = waiter.expected * turns / permitted;
    return std::min(inTurn, byFairness);
}

Arrival arrive(Queue &queue, Waiter &waiter, const Window &window, Common::Time now)
{
    const std::size_t waiting = queue.lines[0].waiting + queue.lines[1].waiting;
    if (isHopeless(waiter, now))
        return {ArrivalVerdict::Refuse, Common::Duration::zero()};
    if (waiting == 0 && queue.inService < window.permitted) {
        beginService(queue, waiter);
        return {ArrivalVerdict::Admit};
    }
    const Common::Duration wait = predictedWait(queue, waiter, window);
    const Common::Time end = now + wait + scaled(waiter.expected, kSafety);
    if (waiting >= queue.mostWaiting || end > waiter.deadline)
        return {ArrivalVerdict::Refuse, wait};
    link(queue, waiter);
    return {ArrivalVerdict::Wait};
}

void finish(Queue &queue, const Waiter &waiter)
{
    --queue.inService;
    queue.expectedInService -= waiter.expected;
    ClassLine &line = lineOf(queue, waiter);
    const auto found = line.workspaces.find(waiter.workspace);
    --found->second.inService;
    if (found->second.inService == 0 && found->second.waiting.empty())
        line.workspaces.erase(found);
}

void leave(Queue &queue, Waiter &waiter)
{
    if (waiter.is_linked())
        unlink(queue, waiter);
}

Release release(Queue &queue, const Window &window, Common::Time now)
{
    Release result;
    collectHopeless(queue, now, result.hopeless);
    while (queue.inService < window.permitted) {
        Waiter *waiter = nextOf(queue, now);
        if (!waiter)
            break;
        const bool patient = waiter->workClass == WorkClass::Patient;
        queue.turnsSincePatient = patient ? 0 : queue.turnsSincePatient + 1;
        unlink(queue, *waiter);
        beginService(queue, *waiter);
        result.admitted.push_back(waiter);
    }
    return result;
}

} // namespace Tanagerbay::Admission
