#include "Node/OutcomeWriter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
using Common::Counter;

namespace {

constexpr std::size_t kMaxBatchSize = 64;
constexpr std::size_t kMaxQueued = 20'000;
constexpr Common::Milliseconds kInitialRetryDelay{100};
constexpr Common::Milliseconds kMaxRetryDelay{2000};

Common::Milliseconds retryDelay(std::uint32_t attempts)
{
    const std::uint32_t doublings = std::min(attempts, 5u);
    return std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
}

Storage::RowName rowName(const std::string &key)
{
    return {kLedgerTable, key};
}

} // namespace

OutcomeWriter::OutcomeWriter(Worker &worker, SharedState &shared) : worker(worker), shared(shared)
{
}

void OutcomeWriter::record(std::string key, std::uint64_t claimedVersion, Once::LedgerRow row)
{
    // During a long outage of the store, the oldest outcomes are dropped first; their keys stay
    // claimed.
    if (this->queue.size() >= kMaxQueued) {
        this->queue.pop_front();
        this->shared.counters.add(Counter::OnceUnresolved);
    }
    this->queue.push_back({std::move(key), claimedVersion, std::move(row)});
    if (this->isWriteLoopRunning)
        return;
    this->isWriteLoopRunning = true;
    asio::co_spawn(this->worker.context, this->writeLoop(), asio::detached);
}

Storage::Transaction OutcomeWriter::transactionFor(const std::vector<Entry> &batch) const
{
    Storage::Transaction transaction;
    for (const Entry &entry : batch) {
        transaction.checks.push_back({rowName(entry.key), entry.claimedVersion});
        transaction.puts.push_back(
            {rowName(entry.key), Once::encodeRow(entry.row), this->shared.settings.once.retention});
    }
    return transaction;
}

Http::Awaitable<void> OutcomeWriter::writeLoop()
{
    std::uint32_t failures = 0;
    while (!this->queue.empty() && !this->worker.ending) {
        co_await this->worker.sleepFor(this->shared.settings.once.finishBatch);
        std::vector<Entry> batch;
        while (!this->queue.empty() && batch.size() < kMaxBatchSize) {
            batch.push_back(std::move(this->queue.front()));
            this->queue.pop_front();
        }
        this->writingCount = batch.size();
        const bool written = co_await this->writeBatch(batch);
        this->writingCount = 0;
        if (written) {
            failures = 0;
            continue;
        }
        for (auto entry = batch.rbegin(); entry != batch.rend(); ++entry)
            this->queue.push_front(std::move(*entry));
        co_await this->worker.sleepFor(retryDelay(failures));
        ++failures;
    }
    this->isWriteLoopRunning = false;
}

// Returns false if the batch must be retried.
Http::Awaitable<bool> OutcomeWriter::writeBatch(const std::vector<Entry> &batch)
{
    Storage::Transaction transaction = this->transactionFor(batch);
    const Storage::CommitResult result = co_await this->worker.table.commit(std::move(transaction));
    if (result.state == Storage::CommitState::Committed)
        co_return true;
    if (result.state != Storage::CommitState::Conflict)
        co_return false;
    // At least one row has changed, most likely by an earlier write whose reply was lost.
    for (const Entry &entry : batch) {
        if (!co_await this->writeOne(entry))
            co_return false;
    }
    co_return true;
}

Http::Awaitable<bool> OutcomeWriter::writeOne(const Entry &entry)
{
    Storage::RowName name = rowName(entry.key);
    const auto stored = co_await this->worker.table.readOne(std::move(name));
    if (!stored)
        co_return false;
    // The outcome was already written, or the row no longer belongs to this attempt.
    if (stored->version != entry.claimedVersion)
        co_return true;
    std::vector<Entry> single;
    single.push_back(entry);
    Storage::Transaction transaction = this->transactionFor(single);
    const Storage::CommitResult result = co_await this->worker.table.commit(std::move(transaction));
    co_return result.state == Storage::CommitState::Committed
        || result.state == Storage::CommitState::Conflict;
}

void OutcomeWriter::voidAttempt(std::string key, Once::LedgerRow row)
{
    ++this->voidingCount;
    row.state = Once::RowState::Voided;
    asio::co_spawn(this->worker.context, this->voidLoop(std::move(key), std::move(row)),
                   asio::detached);
}

Http::Awaitable<void> OutcomeWriter::voidLoop(std::string key, Once::LedgerRow row)
{
    const Common::Time giveUpAt = clockNow() + this->shared.settings.once.retention;
    for (std::uint32_t attempts = 0; clockNow() < giveUpAt && !this->worker.ending; ++attempts) {
        Storage::RowName name = rowName(key);
        const auto stored = co_await this->worker.table.readOne(std::move(name));
        Once::StoredRow decoded;
        bool isReadable = stored.has_value();
        if (stored && stored->version > 0) {
            const auto parsed = Once::decodeRow(stored->body);
            isReadable = parsed.has_value();
            decoded = {stored->version, parsed.value_or(Once::LedgerRow{})};
        }
        const auto step = Once::stepAfterVoidRead(isReadable ? &decoded : nullptr, row.attempt);
        if (step == Once::VoidStep::Done) {
            this->shared.counters.add(Counter::OnceVoided);
            break;
        }
        if (step == Once::VoidStep::Write) {
            Storage::Transaction transaction;
            transaction.checks.push_back({rowName(key), decoded.version});
            transaction.puts.push_back(
                {rowName(key), Once::encodeRow(row), this->shared.settings.once.retention});
            const auto result = co_await this->worker.table.commit(std::move(transaction));
            if (result.state == Storage::CommitState::Committed) {
                this->shared.counters.add(Counter::OnceVoided);
                break;
            }
        }
        co_await this->worker.sleepFor(retryDelay(attempts));
    }
    --this->voidingCount;
}

} // namespace Tanagerbay::Node
