// State shared by all threads of an instance. Each mutable part is atomic or has its own lock.
#pragma once

#include "Common/Counters.h"
#include "Lists/Snapshot.h"
#include "Membership/Members.h"
#include "Node/Metrics.h"
#include "Node/Settings.h"
#include "Routing/Pool.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace Tanagerbay::Node {

// The routing state of one pool of endpoints, with its own lock.
struct PoolShard
{
    PoolShard();

    mutable std::mutex lock;
    Routing::Pool pool;
};

// The lists in use. Readers get an immutable snapshot. Thread-safe.
class ListsInUse
{
public:
    ListsInUse();

    Lists::SnapshotPtr current() const;
    // Applies a document if it is valid and newer. Returns the outcome.
    Lists::ApplyOutcome apply(Lists::ListKind kind, const Lists::Document &document);

private:
    mutable std::mutex lock;
    Lists::SnapshotPtr snapshot;
};

// The known instances, this one included, under one lock.
class LockedMembers
{
public:
    template <typename Action>
    auto with(Action &&action)
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        return action(this->members);
    }

private:
    std::mutex lock;
    Membership::Members members;
};

// The phases of an instance's life cycle, in order.
enum class Phase {
    // The lists have not been obtained yet.
    Starting,
    Serving,
    // Other instances and callers are informed that this one leaves. New work is still accepted.
    Leaving,
    // New work is refused. Work in progress continues.
    Draining,
};

} // namespace Tanagerbay::Node

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Node::Phase>
{
    using Phase = Node::Phase;
    static constexpr NameTable<Phase, 4> table = {{
        {Phase::Starting, "starting"},
        {Phase::Serving, "serving"},
        {Phase::Leaving, "leaving"},
        {Phase::Draining, "draining"},
    }};
};

namespace Tanagerbay::Node {

// Counts a request as in progress during the guard's lifetime.
class InProgressGuard
{
public:
    explicit InProgressGuard(std::atomic<std::uint32_t> &count) : count(count)
    {
        this->count.fetch_add(1);
    }
    ~InProgressGuard()
    {
        this->count.fetch_sub(1);
    }
    InProgressGuard(const InProgressGuard &) = delete;
    InProgressGuard &operator=(const InProgressGuard &) = delete;

private:
    std::atomic<std::uint32_t> &count;
};

struct SharedState
{
    explicit SharedState(Settings settings);

    const Settings settings;
    Common::Counters counters;
    Metrics metrics;
    ListsInUse lists;
    LockedMembers members;
    std::atomic<Phase> phase{Phase::Starting};
    // Monotonic time, in ticks, of the last confirmed contact with the store or another instance.
    std::atomic<Common::Duration::rep> lastContactTicks{0};
    // Pools by name. The set of pools is fixed by the settings.
    std::map<std::string, std::unique_ptr<PoolShard>, std::less<>> pools;
    std::atomic<std::uint32_t> requestsInProgress{0};
    std::atomic<std::uint32_t> operatorRequestsInProgress{0};
    // Number of instances listed to callers, this one included.
    std::atomic<std::size_t> liveInstances{1};

    PoolShard &poolNamed(std::string_view name);
    // Applies a list from the store or from another instance, and counts and logs the outcome.
    Lists::ApplyOutcome applyList(Lists::ListKind kind, const Lists::Document &document);
    // Records a contact with the store or another instance at the given time. Earlier times than
    // the last recorded one are ignored.
    void recordContact(Common::Time at);
    // Returns whether the last contact with the store or another instance is too long ago.
    bool isCutOff(Common::Time now) const;
};

} // namespace Tanagerbay::Node
