// Keeps this instance's shares of the workspaces' limits on concurrency and rate: lends base
// shares to coordinators, coordinates some workspaces, and asks for grants.
#pragma once

#include "Common/Sharded.h"
#include "Limits/Shares.h"
#include "Node/SlotKeeper.h"

namespace Tanagerbay::Node {

class ShareKeeper
{
public:
    // One admitted request's part of a share. Released when it is destroyed.
    class Ticket
    {
    public:
        Ticket() = default;
        Ticket(ShareKeeper *keeper, Common::WorkspaceId workspace, Limits::ShareSource source);
        ~Ticket();
        Ticket(Ticket &&other) noexcept;
        Ticket &operator=(Ticket &&other) noexcept;
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;

    private:
        ShareKeeper *keeper = nullptr;
        Common::WorkspaceId workspace;
        Limits::ShareSource source = Limits::ShareSource::Base;
    };

    ShareKeeper(Worker &worker, Shared &shared, PeerService &peers, SlotKeeper &slots);

    void start();
    void stop();
    // For how long shares of this instance may still be with coordinators.
    Common::Milliseconds lentFor(Common::Time now);

    // Admits a request of a workspace, from any thread. The error is of a request that did not run.
    Common::Result<Ticket> admit(const Lists::Access &access, Common::Time deadline,
                                 Common::Time now);

    struct Figures
    {
        std::optional<std::size_t> slot;
        std::size_t workspacesHeld = 0;
        std::size_t workspacesCoordinated = 0;
    };
    Figures figures();

private:
    struct Held
    {
        Limits::ShareHolder holder;
        // To whom the base share is lent.
        Common::InstanceId borrower;
        Common::Time usedAt;
        std::size_t baseSlot = SIZE_MAX;
        std::uint64_t baseVersion = 0;
        Common::Duration period{0};
        Limits::Amount limit;
    };

    void prepare(Held &held, const Common::WorkspaceId &workspace, const Lists::Plan &plan,
                 Common::Time now);
    Http::Awaitable<void> shareLoop();
    void askForLoans(Common::Time now);
    void askForGrants(Common::Time now);
    void deliver(const Common::Address &address, Peer::Envelope &message);
    void receive(const Peer::Envelope &message);
    void takeLendRequest(const Peer::Envelope &message);
    void takeLendReply(const Peer::Envelope &message);
    void takeShareRequest(const Peer::Envelope &message);
    void takeShareReply(const Peer::Envelope &message);
    const Lists::Plan *planOf(const Lists::Snapshot &lists, const Common::WorkspaceId &workspace);
    std::optional<Common::Address> coordinatorOf(const Common::WorkspaceId &workspace);
    // Reads the time of an echoed stamp. Returns nothing for a stamp of an earlier process.
    std::optional<Common::Time> timeOfStamp(std::uint64_t stamp) const;

    Worker &worker;
    Shared &shared;
    PeerService &peers;
    SlotKeeper &slots;
    Common::ShardedMap<Common::WorkspaceId, Held> holders;
    // Used on the worker's thread only.
    std::map<Common::WorkspaceId, Limits::Coordinator> coordinated;
    Common::Time startedAt;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
