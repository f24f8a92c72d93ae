// State that all threads of an instance share. Each part is under a lock of its own.
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

// One pool of endpoints: a shard of the routing state.
struct PoolShard
{
    PoolShard();

    mutable std::mutex lock;
    Routing::Pool pool;
};

// The lists in use. Readers get an immutable snapshot.
class ListsInUse
{
public:
    ListsInUse();

    Lists::SnapshotPtr current() const;
    // Applies a document; returns what came of it.
    Lists::ApplyOutcome apply(Lists::ListKind kind, const Lists::Document &document);

private:
    mutable std::mutex lock;
    Lists::SnapshotPtr snapshot;
};

// The other instances, under one lock.
class MembersShard
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

// The life of an instance, in order.
enum class Phase {
    // Lists were not read yet.
    Starting,
    Serving,
    // Other instances and callers are told; new work is still accepted.
    Leaving,
    // New work is refused; work in progress goes on.
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

struct Shared
{
    explicit Shared(Settings settings);

    const Settings settings;
    Common::Counters counters;
    Metrics metrics;
    ListsInUse lists;
    MembersShard members;
    std::atomic<Phase> phase{Phase::Starting};
    // Monotonic time, in ticks, of the last exchange with the store or another instance.
    std::atomic<Common::Duration::rep> lastConfirmed{0};
    // By pool name; the set of pools is fixed by the settings.
    std::map<std::string, std::unique_ptr<PoolShard>, std::less<>> pools;
    std::atomic<std::uint32_t> requestsInProgress{0};
    // Instances that callers are told of, this one included.
    std::atomic<std::size_t> liveInstances{1};

    PoolShard &poolNamed(std::string_view name);
    // Applies a list from the store or from another instance, and counts what came of it.
    Lists::ApplyOutcome applyList(Lists::ListKind kind, const Lists::Document &document);
    // Notes that the store or another instance was in contact at the given time.
    void noteConfirmed(Common::Time at);
    // True where neither the store nor any instance was heard of for too long.
    bool isCutOff(Common::Time now) const;
};

} // namespace Tanagerbay::Node
