// Writes the outcomes of at-most-once calls to the ledger, in batches of one transaction each.
//
// The caller gets its response before the outcome is written. Until then, a repeated request is
// correctly refused because its key is in progress. If an instance crashes before the write, the
// claim remains and the outcome of the key stays unknown, so the call is not run again either.
#pragma once

#include "Node/SharedState.h"
#include "Node/Worker.h"
#include "Once/Ledger.h"

#include <deque>

namespace Tanagerbay::Node {

inline constexpr const char *kLedgerTable = "once";

// Used on its worker's thread only.
class OutcomeWriter
{
public:
    OutcomeWriter(Worker &worker, SharedState &shared);

    // Queues the outcome of a call whose claim was written at the given version of its row.
    void record(std::string key, std::uint64_t claimedVersion, Once::LedgerRow row);
    // Voids the claim of an attempt that sent nothing, so that it can no longer take effect.
    void voidAttempt(std::string key, Once::LedgerRow row);
    // Number of outcomes and voided claims that are not written yet.
    std::size_t pending() const
    {
        return this->queue.size() + this->writingCount + this->voidingCount;
    }

private:
    struct Entry
    {
        std::string key;
        std::uint64_t claimedVersion = 0;
        Once::LedgerRow row;
        std::uint32_t attempts = 0;
    };

    Http::Awaitable<void> writeLoop();
    Http::Awaitable<bool> writeBatch(const std::vector<Entry> &batch);
    Http::Awaitable<bool> writeOne(const Entry &entry);
    Http::Awaitable<void> voidLoop(std::string key, Once::LedgerRow row);
    Storage::Transaction transactionFor(const std::vector<Entry> &batch) const;

    Worker &worker;
    SharedState &shared;
    std::deque<Entry> queue;
    std::size_t writingCount = 0;
    std::size_t voidingCount = 0;
    bool isWriteLoopRunning = false;
};

} // namespace Tanagerbay::Node
