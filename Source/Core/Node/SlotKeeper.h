// Claims a slot in the table service, confirms it, and hands it back on drain.
#pragma once

#include "Limits/Slot.h"
#include "Node/PeerService.h"

namespace Tanagerbay::Node {

// No loan of a share is longer than this, so that a slot is soon usable again after a crash.
inline constexpr Common::Milliseconds kLongestLoan{15'000};

class SlotKeeper
{
public:
    SlotKeeper(Worker &worker, Shared &shared, PeerService &peers);

    void start();
    void stop();
    // Tries to claim a slot. Called at start, before requests are accepted.
    Http::Awaitable<void> claim();
    // Hands the slot back; its shares may still be lent for the given time.
    Http::Awaitable<void> release(Common::Milliseconds lentFor);
    // The slot that is held, from any thread.
    std::optional<Limits::HeldSlot> current() const;

private:
    Http::Awaitable<void> loop();
    Http::Awaitable<Storage::CommitState> tryClaim();
    Http::Awaitable<void> confirm();
    Http::Awaitable<std::optional<std::vector<Limits::SlotRow>>> readRows();
    void drop(const char *reason);
    bool takenByPeer();

    Worker &worker;
    Shared &shared;
    PeerService &peers;
    mutable std::mutex lock;
    std::optional<Limits::HeldSlot> slot;
    Common::Time startedAt;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
