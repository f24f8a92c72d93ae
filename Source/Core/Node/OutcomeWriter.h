// Writes the outcomes of once-only calls to the ledger, several in one transaction.
//
// The caller is answered before its outcome is written: until then a repetition hears that the key
// is in progress, which is true. Where an instance dies before the write, the claim stays and the
// key's outcome is unknown for good, so the call is not run again either.
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

    // Records an outcome for a row that is claimed at the given version.
    void record(std::string key, std::uint64_t claimedVersion, Once::LedgerRow row);
    // Makes sure that an attempt which sent nothing cannot take effect any more.
    void voidAttempt(std::string key, Once::LedgerRow row);
    // Outcomes and voids that are not written yet.
    std::size_t pending() const
    {
        return this->queue.size() + this->writing + this->voiding;
    }

private:
    struct Entry
    {
        std::string key;
        std::uint64_t claimedVersion = 0;
        Once::LedgerRow row;
        std::uint32_t tries = 0;
    };

    Http::Awaitable<void> writeLoop();
    Http::Awaitable<bool> writeBatch(const std::vector<Entry> &batch);
    Http::Awaitable<bool> writeOne(const Entry &entry);
    Http::Awaitable<void> voidLoop(std::string key, Once::LedgerRow row);
    Storage::Transaction transactionFor(const std::vector<Entry> &batch) const;

    Worker &worker;
    SharedState &shared;
    std::deque<Entry> queue;
    std::size_t writing = 0;
    std::size_t voiding = 0;
    bool loopRuns = false;
};

} // namespace Tanagerbay::Node
