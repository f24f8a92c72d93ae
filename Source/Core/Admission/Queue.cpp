#include "Admission/Queue.h"

#include <algorithm>
#include <cmath>

namespace Tanagerbay::Admission {

namespace {

// Number of interactive requests admitted in a row before a patient request takes precedence.
constexpr std::uint32_t kMaxInteractiveBeforePatient = 6;
// A request is urgent once less time is left than this multiple of its expected service time.
constexpr double kUrgentFactor = 1.6;
// Multiplier on expected service times, which are at times slightly underestimated.
constexpr double kSafetyFactor = 1.1;
// Share of the seemingly free slots that one instance takes beyond its even share. The other
// instances see the same slots as free, so taking all of them would overshoot the target.
constexpr double kFreeShare = 0.5;

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

ClassQueue &classQueueOf(Queue &queue, const Waiter &waiter)
{
    return queue.classes[indexOf(waiter.workClass)];
}

Common::Duration scaled(Common::Duration duration, double factor)
{
    return std::chrono::duration_cast<Common::Duration>(duration * factor);
}

bool wouldMissDeadline(const Waiter &waiter, Common::Time now)
{
    return now + scaled(waiter.expected, kSafetyFactor) > waiter.deadline;
}

void beginService(Queue &queue, Waiter &waiter)
{
    ++queue.inService;
    queue.expectedInService += waiter.expected;
    ++classQueueOf(queue, waiter).workspaces[waiter.workspace].inService;
}

void link(Queue &queue, Waiter &waiter)
{
    ClassQueue &classQueue = classQueueOf(queue, waiter);
    classQueue.workspaces[waiter.workspace].waiting.insert(waiter);
    ++classQueue.waiting;
    classQueue.expectedWaiting += waiter.expected;
}

void unlink(Queue &queue, Waiter &waiter)
{
    ClassQueue &classQueue = classQueueOf(queue, waiter);
    const auto found = classQueue.workspaces.find(waiter.workspace);
    found->second.waiting.erase(found->second.waiting.iterator_to(waiter));
    --classQueue.waiting;
    classQueue.expectedWaiting -= waiter.expected;
    if (found->second.waiting.empty() && found->second.inService == 0)
        classQueue.workspaces.erase(found);
}

// Returns the next request of the class: the one with the earliest deadline in the workspace with
// the fewest requests in service. Ties between workspaces are broken by the earliest deadline.
Waiter *nextOfClass(ClassQueue &classQueue)
{
    WorkspaceQueue *best = nullptr;
    for (auto &[id, workspace] : classQueue.workspaces) {
        if (workspace.waiting.empty())
            continue;
        const bool hasFewerInService = !best || workspace.inService < best->inService;
        const bool hasEarlierDeadline = best && workspace.inService == best->inService
            && ByDeadline()(*workspace.waiting.begin(), *best->waiting.begin());
        if (hasFewerInService || hasEarlierDeadline)
            best = &workspace;
    }
    return best ? &*best->waiting.begin() : nullptr;
}

bool isUrgent(const Waiter &waiter, Common::Time now)
{
    return now + scaled(waiter.expected, kUrgentFactor) > waiter.deadline;
}

Waiter *nextWaiter(Queue &queue, Common::Time now)
{
    Waiter *interactive = nextOfClass(queue.classes[indexOf(WorkClass::Interactive)]);
    Waiter *patient = nextOfClass(queue.classes[indexOf(WorkClass::Patient)]);
    if (!interactive || !patient)
        return interactive ? interactive : patient;
    const bool isPatientFirst
        = queue.admissionsSincePatient >= kMaxInteractiveBeforePatient || isUrgent(*patient, now);
    return isPatientFirst ? patient : interactive;
}

void removeUnservable(Queue &queue, Common::Time now, std::vector<Waiter *> &unservable)
{
    for (ClassQueue &classQueue : queue.classes) {
        for (auto &[id, workspace] : classQueue.workspaces) {
            // Requests are sorted by deadline; the first that can still finish in time ends the
            // search.
            for (Waiter &waiter : workspace.waiting) {
                if (!wouldMissDeadline(waiter, now))
                    break;
                unservable.push_back(&waiter);
            }
        }
    }
    for (Waiter *waiter : unservable)
        unlink(queue, *waiter);
}

} // namespace

Window windowOf(const PoolView &view)
{
    const double target = view.slots * view.occupancyTarget;
    const double evenShare
        = target / static_cast<double>(std::max<std::size_t>(view.liveInstances, 1));
    const double freeSlots = target - view.others - view.own;
    const double maxInService
        = std::max(evenShare, view.own + std::max(freeSlots, 0.0) * kFreeShare);
    return {std::max(static_cast<std::uint32_t>(std::ceil(maxInService)), 1u)};
}

Common::Duration predictedWait(const Queue &queue, const Waiter &waiter, const Window &window)
{
    const std::uint32_t maxInService = std::max(window.maxInService, 1u);
    // All requests ahead of this one in class order. On average, those in service are half done.
    Common::Duration ahead = queue.expectedInService / 2;
    ahead += queue.classes[indexOf(WorkClass::Interactive)].expectedWaiting;
    if (waiter.workClass == WorkClass::Patient)
        ahead += queue.classes[indexOf(WorkClass::Patient)].expectedWaiting;
    const Common::Duration waitInClassOrder = ahead / maxInService;
    // Under fair sharing a request waits only for the requests of its own workspace, which are
    // served at an even share of the window, and for its own turn.
    const ClassQueue &classQueue = queue.classes[indexOf(waiter.workClass)];
    const auto own = classQueue.workspaces.find(waiter.workspace);
    std::size_t workspaces = classQueue.workspaces.size();
    std::size_t ownWaiting = 0;
    if (own == classQueue.workspaces.end())
        ++workspaces;
    else
        ownWaiting = own->second.waiting.size();
    const auto turns = static_cast<std::int64_t>((ownWaiting + 1) * workspaces);
    const Common::Duration waitByFairShare = waiter.expected * turns / maxInService;
    return std::min(waitInClassOrder, waitByFairShare);
}

Arrival arrive(Queue &queue, Waiter &waiter, const Window &window, Common::Time now)
{
    const std::size_t waiting = queue.classes[0].waiting + queue.classes[1].waiting;
    if (wouldMissDeadline(waiter, now))
        return {ArrivalVerdict::Refuse, Common::Duration::zero()};
    if (waiting == 0 && queue.inService < window.maxInService) {
        beginService(queue, waiter);
        return {ArrivalVerdict::Admit};
    }
    const Common::Duration wait = predictedWait(queue, waiter, window);
    const Common::Time end = now + wait + scaled(waiter.expected, kSafetyFactor);
    if (waiting >= queue.maxWaiting || end > waiter.deadline)
        return {ArrivalVerdict::Refuse, wait};
    link(queue, waiter);
    return {ArrivalVerdict::Wait};
}

void finish(Queue &queue, const Waiter &waiter)
{
    --queue.inService;
    queue.expectedInService -= waiter.expected;
    ClassQueue &classQueue = classQueueOf(queue, waiter);
    const auto found = classQueue.workspaces.find(waiter.workspace);
    --found->second.inService;
    if (found->second.inService == 0 && found->second.waiting.empty())
        classQueue.workspaces.erase(found);
}

void leave(Queue &queue, Waiter &waiter)
{
    if (waiter.is_linked())
        unlink(queue, waiter);
}

Release release(Queue &queue, const Window &window, Common::Time now)
{
    Release result;
    removeUnservable(queue, now, result.unservable);
    while (queue.inService < window.maxInService) {
        Waiter *waiter = nextWaiter(queue, now);
        if (!waiter)
            break;
        const bool isPatient = waiter->workClass == WorkClass::Patient;
        queue.admissionsSincePatient = isPatient ? 0 : queue.admissionsSincePatient + 1;
        unlink(queue, *waiter);
        beginService(queue, *waiter);
        result.admitted.push_back(waiter);
    }
    return result;
}

} // namespace Tanagerbay::Admission
