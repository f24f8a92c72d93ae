// Enforces the workspaces' limits on concurrency and rate across instances. Admits requests within
// this instance's shares, lends base shares to coordinators, requests grants, and acts as
// coordinator for some workspaces.
#pragma once

#include "Common/Sharded.h"
#include "Limits/Shares.h"
#include "Node/SlotAssignment.h"

namespace Tanagerbay::Node {

class WorkspaceLimiter
{
public:
    // The concurrency that an admitted request occupies. Released on destruction.
    class Ticket
    {
    public:
        Ticket() = default;
        Ticket(WorkspaceLimiter *limiter, Common::WorkspaceId workspace,
               Limits::ShareSource source);
        ~Ticket();
        Ticket(Ticket &&other) noexcept;
        Ticket &operator=(Ticket &&other) noexcept;
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;

    private:
        WorkspaceLimiter *limiter = nullptr;
        Common::WorkspaceId workspace;
        Limits::ShareSource source = Limits::ShareSource::Base;
    };

    WorkspaceLimiter(Worker &worker, SharedState &shared, PeerService &peers,
                     SlotAssignment &slots);

    void start();
    void stop();
    // Returns the time until the last loan of this instance's base shares expires.
    Common::Milliseconds remainingLoanTime(Common::Time now);

    // Admits a request of a workspace. Thread-safe. An error means that the request did not run.
    Common::Result<Ticket> admit(const Lists::Access &access, Common::Time deadline,
                                 Common::Time now);

    struct Summary
    {
        std::optional<std::size_t> slot;
        std::size_t workspacesHeld = 0;
        std::size_t workspacesCoordinated = 0;
    };
    Summary summary();

private:
    struct WorkspaceShare
    {
        Limits::ShareHolder holder;
        // The instance to which the base share was last lent.
        Common::InstanceId borrower;
        Common::Time lastUsedAt;
        std::size_t baseSlot = SIZE_MAX;
        std::uint64_t baseVersion = 0;
        Common::Duration loanPeriod{0};
        Limits::Amount limit;
    };

    void updateBaseShare(WorkspaceShare &share, const Common::WorkspaceId &workspace,
                         const Lists::Plan &plan, Common::Time now);
    Http::Awaitable<void> shareLoop();
    void requestLoans(Common::Time now);
    void requestGrants(Common::Time now);
    void deliver(const Common::Address &address, Peer::Envelope &message);
    void receive(const Peer::Envelope &message);
    void handleLendRequest(const Peer::Envelope &message);
    void handleLendReply(const Peer::Envelope &message);
    void handleShareRequest(const Peer::Envelope &message);
    void handleShareReply(const Peer::Envelope &message);
    const Lists::Plan *planOf(const Lists::Snapshot &lists, const Common::WorkspaceId &workspace);
    std::optional<Common::Address> coordinatorOf(const Common::WorkspaceId &workspace);
    // Returns the time of an echoed stamp, or nullopt if it is from before the start of this
    // process.
    std::optional<Common::Time> timeOfStamp(std::uint64_t stamp) const;

    Worker &worker;
    SharedState &shared;
    PeerService &peers;
    SlotAssignment &slots;
    Common::ShardedMap<Common::WorkspaceId, WorkspaceShare> localShares;
    // Accessed only on the worker's thread.
    std::map<Common::WorkspaceId, Limits::Coordinator> coordinated;
    Common::Time startedAt;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
