#include "Node/ListSync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *kListsTable = "lists";
constexpr Common::Milliseconds kInForcePollInterval{10};
constexpr Common::Milliseconds kResolveRetryDelay{50};
constexpr Common::Milliseconds kResolveTimeout{3000};

// The head row of a list holds only its edit id. It is written in the same transaction as the body
// row, so both always have the same version, and a poll need not read the body.
Storage::RowName headRow(Lists::ListKind kind)
{
    return {kListsTable, std::string(Common::nameOf(kind)) + ".head"};
}

Storage::RowName bodyRow(Lists::ListKind kind)
{
    return {kListsTable, std::string(Common::nameOf(kind))};
}

std::string encodeStored(const std::string &editId, const std::string &body)
{
    return json::serialize(json::object{{"editId", editId}, {"body", body}});
}

std::optional<Lists::Document> decodeStored(const Storage::Row &row)
{
    Common::JsonFaults faults;
    const auto document = Common::parseJson(row.body, faults);
    if (!document)
        return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    Lists::Document stored{row.version, reader.text("editId"), reader.text("body")};
    if (!faults.empty())
        return std::nullopt;
    return stored;
}

Lists::ListKind otherKind(Lists::ListKind kind)
{
    return kind == Lists::ListKind::Plans ? Lists::ListKind::Entitlements : Lists::ListKind::Plans;
}

std::vector<std::string> faultLines(const Common::JsonFaults &faults)
{
    std::vector<std::string> lines;
    for (const Common::JsonFault &fault : faults)
        lines.push_back((fault.path.empty() ? "(document)" : fault.path) + ": " + fault.message);
    return lines;
}

} // namespace

ListSync::ListSync(Worker &worker, SharedState &shared, PeerService &peers)
    : worker(worker), shared(shared), peers(peers)
{
}

void ListSync::start()
{
    asio::co_spawn(this->worker.context, this->pollLoop(), asio::detached);
}

void ListSync::stop()
{
    this->stopping = true;
}

Http::Awaitable<bool> ListSync::fetch(Lists::ListKind kind)
{
    Storage::RowName name = bodyRow(kind);
    const auto row = co_await this->worker.table.readOne(std::move(name));
    if (!row)
        co_return false;
    const auto document = decodeStored(*row);
    if (document)
        this->shared.applyList(kind, *document);
    co_return true;
}

Http::Awaitable<bool> ListSync::poll()
{
    std::vector<Storage::RowName> heads;
    for (const auto &[kind, name] : Common::EnumNames<Lists::ListKind>::table)
        heads.push_back(headRow(kind));
    const Common::Time requestedAt = clockNow();
    const auto rows = co_await this->worker.table.read(std::move(heads));
    if (!rows) {
        this->shared.counters.add(Common::Counter::ListPollFailures);
        co_return false;
    }
    bool complete = true;
    for (std::size_t i = 0; i < rows->size(); ++i) {
        const Lists::ListKind kind = Common::EnumNames<Lists::ListKind>::table[i].first;
        const std::uint64_t own = this->shared.lists.current()->document(kind).version;
        if ((*rows)[i].version < own)
            this->shared.counters.add(Common::Counter::ListsStaleIgnored);
        if ((*rows)[i].version > own)
            complete = co_await this->fetch(kind) && complete;
    }
    if (complete)
        this->shared.recordContact(requestedAt);
    co_return complete;
}

Http::Awaitable<void> ListSync::pollLoop()
{
    while (!this->stopping && !this->worker.ending) {
        const bool answered = co_await this->poll();
        if (!answered)
            this->peers.requestLists();
        const Lists::Versions versions = this->shared.lists.current()->versions();
        // If the store cannot be read, lists received from another instance are sufficient.
        const bool hasLists = answered || (versions.plans > 0 && versions.entitlements > 0);
        Phase starting = Phase::Starting;
        if (hasLists && this->shared.phase.compare_exchange_strong(starting, Phase::Serving)) {
            LOG(INFO) << "ready with plans version " << versions.plans
                      << " and entitlements version " << versions.entitlements
                      << (answered ? " from the store" : " from another instance");
            this->peers.sendHeartbeats(true);
        }
        const bool waiting = this->shared.phase.load() == Phase::Starting;
        const Common::Milliseconds interval
            = waiting ? Common::Milliseconds(200) : this->shared.settings.platform.listPollInterval;
        co_await this->worker.sleepFor(withJitter(interval, this->worker.random));
    }
}

std::vector<Common::InstanceId> ListSync::missing(const Lists::Versions &wanted) const
{
    return this->shared.members.with([&](Membership::Members &members) {
        std::vector<Lists::InstanceVersions> reported;
        for (const auto &[id, member] : members.byId) {
            if (!member.lastReportAt)
                continue;
            reported.push_back(
                {id, {member.report.plansVersion, member.report.entitlementsVersion}});
        }
        return Lists::missingInstances(wanted, Membership::acceptanceSet(members, clockNow()),
                                       reported);
    });
}

// Writes the edit in a transaction that is guarded by the versions of both lists.
Http::Awaitable<Lists::EditState> ListSync::write(const Edit &edit, const std::string &editId)
{
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const Lists::ListKind other = otherKind(edit.kind);
    Storage::Transaction transaction;
    transaction.checks.push_back({headRow(edit.kind), edit.expectedVersion});
    transaction.checks.push_back({headRow(other), lists->document(other).version});
    transaction.puts.push_back({headRow(edit.kind), encodeStored(editId, "-")});
    transaction.puts.push_back({bodyRow(edit.kind), encodeStored(editId, edit.body)});
    const auto result = co_await this->worker.table.commit(std::move(transaction));
    switch (result.state) {
    case Storage::CommitState::Committed:
        co_return Lists::EditState::Committed;
    case Storage::CommitState::Conflict:
    case Storage::CommitState::NotApplied:
        co_return Lists::EditState::NotWritten;
    case Storage::CommitState::Unknown:
        break;
    }
    co_return co_await this->resolve(edit, editId);
}

// Reads the head row until it shows whether a write whose reply was lost has been committed, or a
// time-out passes.
Http::Awaitable<Lists::EditState> ListSync::resolve(const Edit &edit, const std::string &editId)
{
    const Common::Time deadline = clockNow() + kResolveTimeout;
    Lists::EditState state = Lists::EditState::Unknown;
    while (state == Lists::EditState::Unknown && clockNow() < deadline && !this->stopping
           && !this->worker.ending) {
        Storage::RowName name = headRow(edit.kind);
        const auto row = co_await this->worker.table.readOne(std::move(name));
        const auto head = row && row->version > 0 ? decodeStored(*row) : std::nullopt;
        state = Lists::resolveEdit(Lists::WriteReply::Lost, head ? &*head : nullptr,
                                   edit.expectedVersion, editId);
        if (state == Lists::EditState::Unknown)
            co_await this->worker.sleepFor(kResolveRetryDelay);
    }
    co_return state;
}

Http::Awaitable<void> ListSync::awaitInForce(const Edit &edit, EditOutcome &outcome)
{
    Lists::Versions wanted;
    (edit.kind == Lists::ListKind::Plans ? wanted.plans : wanted.entitlements) = outcome.version;
    const Common::Time deadline = clockNow() + edit.inForceTimeout;
    this->peers.sendHeartbeats(true);
    while (true) {
        outcome.missing = this->missing(wanted);
        if (outcome.missing.empty())
            outcome.kind = EditOutcome::Kind::InForce;
        const bool isEnding = this->stopping || this->worker.ending;
        if (outcome.missing.empty() || clockNow() >= deadline || isEnding)
            break;
        co_await this->worker.sleepFor(kInForcePollInterval);
    }
}

Http::Awaitable<EditOutcome> ListSync::apply(Edit edit)
{
    EditOutcome outcome;
    outcome.kind = EditOutcome::Kind::Rejected;
    if (this->stopping) {
        outcome.lines.push_back("this instance is draining; nothing was written");
        co_return outcome;
    }
    if (!co_await this->poll()) {
        outcome.lines.push_back("the table service is unreachable; nothing was written");
        co_return outcome;
    }
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const Lists::Document &stored = lists->document(edit.kind);
    if (stored.version != edit.expectedVersion) {
        outcome.kind = EditOutcome::Kind::Conflict;
        outcome.version = stored.version;
        outcome.lines = Lists::describeDifference(edit.kind, stored.body, edit.body);
        co_return outcome;
    }
    const Lists::EditCheck check = Lists::checkEdit(*lists, edit.kind, edit.body);
    if (!check.faults.empty()) {
        outcome.lines = faultLines(check.faults);
        co_return outcome;
    }
    if (!check.warnings.empty() && !edit.acceptWarnings) {
        outcome.kind = EditOutcome::Kind::NeedsConfirmation;
        outcome.lines = faultLines(check.warnings);
        co_return outcome;
    }
    outcome.editId = randomId(this->worker.random);
    const Lists::EditState state = co_await this->write(edit, outcome.editId);
    if (state == Lists::EditState::Unknown) {
        outcome.kind = EditOutcome::Kind::Unknown;
        co_return outcome;
    }
    if (state == Lists::EditState::NotWritten) {
        const bool answered = co_await this->poll();
        const Lists::Document &winner = this->shared.lists.current()->document(edit.kind);
        outcome.version = winner.version;
        const bool overtaken = answered && winner.version != edit.expectedVersion;
        outcome.kind = overtaken ? EditOutcome::Kind::Conflict : EditOutcome::Kind::Rejected;
        outcome.lines = overtaken
            ? Lists::describeDifference(edit.kind, winner.body, edit.body)
            : std::vector<std::string>{
                answered ? "the other list was edited concurrently; nothing was written, try again"
                         : "the store did not apply the edit; nothing was written"};
        co_return outcome;
    }
    outcome.kind = EditOutcome::Kind::Committed;
    outcome.version = edit.expectedVersion + 1;
    const Lists::Document document{outcome.version, outcome.editId, edit.body};
    this->shared.applyList(edit.kind, document);
    this->peers.pushList(edit.kind, document);
    co_await this->awaitInForce(edit, outcome);
    co_return outcome;
}

} // namespace Tanagerbay::Node
