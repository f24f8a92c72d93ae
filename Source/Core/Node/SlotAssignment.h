// Claims a slot in the table service, checks regularly that this instance still holds it, and
// releases it on drain.
#pragma once

#include "Limits/Slot.h"
#include "Node/PeerService.h"

namespace Tanagerbay::Node {

// Maximum duration of a loan. It bounds how long a slot stays unusable after its holder crashed.
inline constexpr Common::Milliseconds kMaxLoanPeriod{15'000};

class SlotAssignment
{
public:
    SlotAssignment(Worker &worker, SharedState &shared, PeerService &peers);

    void start();
    void stop();
    // Tries to claim a slot. Called at start-up, before requests are accepted.
    Http::Awaitable<void> claim();
    // Releases the slot. Its shares may still be lent for the given time.
    Http::Awaitable<void> release(Common::Milliseconds remainingLoanTime);
    // Returns the slot that this instance holds, if any. Thread-safe.
    std::optional<Limits::HeldSlot> current() const;

private:
    Http::Awaitable<void> maintainLoop();
    Http::Awaitable<Storage::CommitState> tryClaim();
    Http::Awaitable<void> confirm();
    Http::Awaitable<std::optional<std::vector<Limits::SlotRow>>> readRows();
    void drop(const char *reason);
    bool isTakenByPeer();

    Worker &worker;
    SharedState &shared;
    PeerService &peers;
    mutable std::mutex lock;
    std::optional<Limits::HeldSlot> slot;
    Common::Time startedAt;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
