#include "Node/SlotAssignment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

namespace {

constexpr const char *kSlotsTable = "slots";
constexpr Common::Milliseconds kSlotCheckInterval{1000};
// Claims are repeated without delay on conflicts with instances that claim slots at the same time.
constexpr int kMaxClaimAttempts = 8;

Storage::RowName slotRow(std::size_t slot)
{
    return {kSlotsTable, std::to_string(slot)};
}

} // namespace

SlotAssignment::SlotAssignment(Worker &worker, SharedState &shared, PeerService &peers)
    : worker(worker), shared(shared), peers(peers), startedAt(clockNow())
{
}

void SlotAssignment::start()
{
    asio::co_spawn(this->worker.context, this->maintainLoop(), asio::detached);
}

void SlotAssignment::stop()
{
    this->stopping = true;
}

std::optional<Limits::HeldSlot> SlotAssignment::current() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->slot;
}

Http::Awaitable<std::optional<std::vector<Limits::SlotRow>>> SlotAssignment::readRows()
{
    std::vector<Storage::RowName> names;
    for (std::size_t i = 0; i < this->shared.settings.limits.instances; ++i)
        names.push_back(slotRow(i));
    const auto stored = co_await this->worker.table.read(std::move(names));
    if (!stored)
        co_return std::nullopt;
    std::vector<Limits::SlotRow> rows;
    for (const Storage::Row &row : *stored) {
        const auto decoded = Limits::decodeSlotRow(row.version, row.body);
        if (!decoded)
            co_return std::nullopt;
        rows.push_back(*decoded);
    }
    co_return rows;
}

Http::Awaitable<void> SlotAssignment::claim()
{
    for (int attempt = 0; attempt < kMaxClaimAttempts; ++attempt) {
        if (co_await this->tryClaim() != Storage::CommitState::Conflict)
            break;
    }
}

Http::Awaitable<Storage::CommitState> SlotAssignment::tryClaim()
{
    const auto rows = co_await this->readRows();
    if (!rows)
        co_return Storage::CommitState::NotApplied;
    const auto isLost = [this](const Common::InstanceId &id) {
        return this->shared.members.with([&](Membership::Members &members) {
            const auto found = members.byId.find(id);
            const bool known = found != members.byId.end();
            return members.hasPlatformList && !known;
        });
    };
    const auto choice = Limits::chooseSlot(*rows, this->shared.settings.instance, isLost);
    if (!choice)
        co_return Storage::CommitState::NotApplied;
    Limits::SlotRow claimed;
    claimed.holder = this->shared.settings.instance;
    claimed.incarnation = static_cast<std::uint64_t>(this->startedAt.time_since_epoch().count());
    Storage::Transaction transaction;
    transaction.checks.push_back({slotRow(choice->slot), choice->version});
    transaction.puts.push_back({slotRow(choice->slot), Limits::encodeSlotRow(claimed)});
    const auto result = co_await this->worker.table.commit(std::move(transaction));
    // If the reply was lost, the next round reads the row again. If the row then names this
    // instance, it is taken over like the slot of an earlier process.
    if (result.state != Storage::CommitState::Committed)
        co_return result.state;
    const Common::Time now = clockNow();
    Limits::HeldSlot held{choice->slot, result.versions.front(), now + choice->wait};
    if (choice->isTakeover) {
        held.usableFrom = now + this->shared.settings.platform.cutOffAfter + kMaxLoanPeriod;
    }
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->slot = held;
    }
    this->peers.setSlot(held.slot, held.version);
    LOG(INFO) << "slot " << held.slot << " claimed at row version " << held.version
              << (choice->isTakeover ? ", taken over without a release" : "");
    co_return result.state;
}

void SlotAssignment::drop(const char *reason)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    if (!this->slot)
        return;
    LOG(INFO) << "slot " << this->slot->slot << " lost: " << reason;
    this->slot.reset();
    this->peers.setSlot(std::nullopt, 0);
}

bool SlotAssignment::isTakenByPeer()
{
    const std::optional<Limits::HeldSlot> held = this->current();
    if (!held)
        return false;
    return this->shared.members.with([&](Membership::Members &members) {
        for (const auto &[id, member] : members.byId) {
            if (id != members.self && member.report.slot
                && Limits::isTakenOver(*held, *member.report.slot, member.report.slotVersion))
                return true;
        }
        return false;
    });
}

Http::Awaitable<void> SlotAssignment::confirm()
{
    const std::optional<Limits::HeldSlot> held = this->current();
    Storage::RowName name = slotRow(held->slot);
    const auto row = co_await this->worker.table.readOne(std::move(name));
    // If the store is unreachable the slot is kept: no instance can take it over meanwhile.
    if (row && row->version != held->version)
        this->drop("another instance has taken it over");
}

Http::Awaitable<void> SlotAssignment::maintainLoop()
{
    while (!this->stopping && !this->worker.ending) {
        const bool isHeld = this->current().has_value();
        if (isHeld && this->isTakenByPeer())
            this->drop("another instance reports that it holds the slot");
        else if (isHeld)
            co_await this->confirm();
        else if (this->shared.phase.load() <= Phase::Serving)
            co_await this->claim();
        co_await this->worker.sleepFor(withJitter(kSlotCheckInterval, this->worker.random));
    }
}

Http::Awaitable<void> SlotAssignment::release(Common::Milliseconds remainingLoanTime)
{
    std::optional<Limits::HeldSlot> held;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        held = std::exchange(this->slot, std::nullopt);
    }
    this->peers.setSlot(std::nullopt, 0);
    if (!held)
        co_return;
    Limits::SlotRow row;
    row.holder = this->shared.settings.instance;
    row.released = true;
    // Coordinators may use lent shares until the loans expire. The next holder waits for that.
    row.remainingLoanTime = remainingLoanTime;
    Storage::Transaction transaction;
    transaction.checks.push_back({slotRow(held->slot), held->version});
    transaction.puts.push_back({slotRow(held->slot), Limits::encodeSlotRow(row)});
    co_await this->worker.table.commit(std::move(transaction));
}

} // namespace Tanagerbay::Node
