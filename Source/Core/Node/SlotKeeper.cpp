#include "Node/SlotKeeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

namespace {

constexpr const char *kSlotsTable = "slots";
constexpr Common::Milliseconds kSlotPeriod{1000};
// Tries in a row while other instances claim slots at the same time.
constexpr int kClaimTries = 8;

Storage::RowName slotRow(std::size_t slot)
{
    return {kSlotsTable, std::to_string(slot)};
}

} // namespace

SlotKeeper::SlotKeeper(Worker &worker, Shared &shared, PeerService &peers)
    : worker(worker), shared(shared), peers(peers), startedAt(clockNow())
{
}

void SlotKeeper::start()
{
    asio::co_spawn(this->worker.context, this->loop(), asio::detached);
}

void SlotKeeper::stop()
{
    this->stopping = true;
}

std::optional<Limits::HeldSlot> SlotKeeper::current() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->slot;
}

Http::Awaitable<std::optional<std::vector<Limits::SlotRow>>> SlotKeeper::readRows()
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

Http::Awaitable<void> SlotKeeper::claim()
{
    for (int tries = 0; tries < kClaimTries; ++tries) {
        if (co_await this->tryClaim() != Storage::CommitState::Conflict)
            break;
    }
}

Http::Awaitable<Storage::CommitState> SlotKeeper::tryClaim()
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
    Limits::SlotRow mine;
    mine.holder = this->shared.settings.instance;
    mine.incarnation = static_cast<std::uint64_t>(this->startedAt.time_since_epoch().count());
    Storage::Transaction transaction;
    transaction.checks.push_back({slotRow(choice->slot), choice->version});
    transaction.puts.push_back({slotRow(choice->slot), Limits::encodeSlotRow(mine)});
    const auto result = co_await this->worker.table.commit(std::move(transaction));
    // After a lost reply the row is read again in the next round, where it shows as this
    // instance's own and is taken over like that of an earlier process.
    if (result.state != Storage::CommitState::Committed)
        co_return result.state;
    const Common::Time now = clockNow();
    Limits::HeldSlot held{choice->slot, result.versions.front(), now + choice->wait};
    if (choice->isTakeover) {
        held.usableFrom = now + this->shared.settings.platform.cutOffAfter + kLongestLoan;
    }
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        this->slot = held;
    }
    this->peers.setSlot(held.slot, held.version);
    LOG(INFO) << "slot " << held.slot << " is held at version " << held.version
              << (choice->isTakeover ? ", taken over" : "");
    co_return result.state;
}

void SlotKeeper::drop(const char *reason)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    if (!this->slot)
        return;
    LOG(INFO) << "slot " << this->slot->slot << " is dropped: " << reason;
    this->slot.reset();
    this->peers.setSlot(std::nullopt, 0);
}

bool SlotKeeper::takenByPeer()
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

Http::Awaitable<void> SlotKeeper::confirm()
{
    const std::optional<Limits::HeldSlot> held = this->current();
    Storage::RowName name = slotRow(held->slot);
    const auto row = co_await this->worker.table.readOne(std::move(name));
    // Without the store the slot stays: nobody can take it over then.
    if (row && row->version != held->version)
        this->drop("another instance has taken it over");
}

Http::Awaitable<void> SlotKeeper::loop()
{
    while (!this->stopping && !this->worker.ending) {
        const bool holds = this->current().has_value();
        if (holds && this->takenByPeer())
            this->drop("another instance reports that it has it");
        else if (holds)
            co_await this->confirm();
        else if (this->shared.phase.load() <= Phase::Serving)
            co_await this->claim();
        co_await this->worker.sleepFor(withJitter(kSlotPeriod, this->worker.random));
    }
}

Http::Awaitable<void> SlotKeeper::release(Common::Milliseconds lentFor)
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
    // What was lent is still with the coordinators for a while; the next holder waits for that.
    row.remainingLoanTime = lentFor;
    Storage::Transaction transaction;
    transaction.checks.push_back({slotRow(held->slot), held->version});
    transaction.puts.push_back({slotRow(held->slot), Limits::encodeSlotRow(row)});
    co_await this->worker.table.commit(std::move(transaction));
}

} // namespace Tanagerbay::Node
