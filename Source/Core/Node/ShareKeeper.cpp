#include "Node/ShareKeeper.h"

#include "Common/Hash.h"
#include "Peer/Generated/Peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <easylogging++.h>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace wire = ::tanagerbay::peer;

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr Common::Milliseconds kShareRound{250};
// Rounds between two requests for loans of the same workspaces.
constexpr std::uint32_t kRoundsPerLoan = 4;
// Loans outlast the longest deadline of a plan by this much.
constexpr Common::Milliseconds kPeriodMargin{3000};
// Workspaces in one message.
constexpr int kMostWorkspacesPerMessage = 200;
constexpr Common::Milliseconds kConcurrencyRetryAfter{200};

Limits::Amount limitOf(const Lists::Plan &plan)
{
    return {static_cast<std::uint32_t>(plan.concurrency), static_cast<double>(plan.ratePerSecond)};
}

// How long shares of the plan's workspaces are lent: a request that is admitted by a grant ends
// before the grant does.
Common::Duration lendingPeriod(const Lists::Plan &plan)
{
    Common::Milliseconds longest = plan.defaultServiceLevel.deadline;
    for (const auto &[action, serviceLevel] : plan.serviceLevels)
        longest = std::max(longest, serviceLevel.deadline);
    return std::min(longest + kPeriodMargin, kLongestLoan);
}

} // namespace

ShareKeeper::Ticket::Ticket(ShareKeeper *keeper, Common::WorkspaceId workspace,
                            Limits::ShareSource source)
    : keeper(keeper), workspace(std::move(workspace)), source(source)
{
}

ShareKeeper::Ticket::~Ticket()
{
    if (!this->keeper)
        return;
    this->keeper->holders.with(this->workspace,
                               [this](Held &held) { Limits::release(held.holder, this->source); });
}

ShareKeeper::Ticket::Ticket(Ticket &&other) noexcept
    : keeper(std::exchange(other.keeper, nullptr)), workspace(std::move(other.workspace)),
      source(other.source)
{
}

ShareKeeper::Ticket &ShareKeeper::Ticket::operator=(Ticket &&other) noexcept
{
    std::swap(this->keeper, other.keeper);
    std::swap(this->workspace, other.workspace);
    std::swap(this->source, other.source);
    return *this;
}

ShareKeeper::ShareKeeper(Worker &worker, Shared &shared, PeerService &peers, SlotKeeper &slots)
    : worker(worker), shared(shared), peers(peers), slots(slots), startedAt(clockNow())
{
}

void ShareKeeper::start()
{
    this->peers.onShareMessage([this](const Peer::Envelope &message) { this->receive(message); });
    asio::co_spawn(this->worker.context, this->shareLoop(), asio::detached);
}

void ShareKeeper::stop()
{
    this->stopping = true;
}

void ShareKeeper::prepare(Held &held, const Common::WorkspaceId &workspace, const Lists::Plan &plan,
                          Common::Time now)
{
    held.usedAt = now;
    held.period = lendingPeriod(plan);
    const Limits::Amount limit = limitOf(plan);
    const std::optional<Limits::HeldSlot> current = this->slots.current();
    const bool usable = current && now >= current->usableFrom;
    const std::size_t slotNumber = usable ? current->slot : SIZE_MAX;
    const std::uint64_t version = usable ? current->version : 0;
    const bool sameLimit = held.limit.concurrency == limit.concurrency
        && held.limit.ratePerSecond == limit.ratePerSecond;
    if (slotNumber == held.baseSlot && version == held.baseVersion && sameLimit)
        return;
    // What was lent of another slot is not this instance's any more.
    if (slotNumber != held.baseSlot || version != held.baseVersion) {
        held.holder.lent = {};
        held.holder.lentUntil = {};
        held.holder.previousLent = {};
        held.holder.previousLentUntil = {};
    }
    held.baseSlot = slotNumber;
    held.baseVersion = version;
    held.limit = limit;
    held.holder.base = usable
        ? Limits::baseShare(limit, slotNumber, this->shared.settings.limits.instances, workspace)
        : Limits::Amount{};
}

Common::Result<ShareKeeper::Ticket> ShareKeeper::admit(const Lists::Access &access,
                                                       Common::Time deadline, Common::Time now)
{
    const Common::WorkspaceId &workspace = access.workspace->id;
    const Limits::ShareDecision decision = this->holders.with(workspace, [&](Held &held) {
        this->prepare(held, workspace, *access.plan, now);
        return Limits::admit(held.holder, deadline, now);
    });
    if (decision.verdict == Limits::ShareVerdict::Admitted)
        return Ticket(this, workspace, decision.source);
    if (decision.verdict == Limits::ShareVerdict::OverRate) {
        this->shared.counters.add(Counter::RateRefusals);
        const auto after
            = Common::Milliseconds(1000 / std::max<std::int64_t>(access.plan->ratePerSecond, 1));
        return Common::notRun(ErrorCode::LimitReached, "the workspace's rate is used up",
                              std::max(after, Common::Milliseconds(50)));
    }
    this->shared.counters.add(Counter::ConcurrencyRefusals);
    return Common::notRun(ErrorCode::LimitReached, "the workspace's concurrency is used up",
                          kConcurrencyRetryAfter);
}

Common::Milliseconds ShareKeeper::lentFor(Common::Time now)
{
    Common::Milliseconds longest{0};
    this->holders.retainIf([&longest, now](const Common::WorkspaceId &, Held &entry) {
        if (now < Limits::latestLoanEnd(entry.holder)) {
            const auto left = std::chrono::ceil<Common::Milliseconds>(
                Limits::latestLoanEnd(entry.holder) - now);
            longest = std::max(longest, left);
        }
        return true;
    });
    return longest;
}

const Lists::Plan *ShareKeeper::planOf(const Lists::Snapshot &lists,
                                       const Common::WorkspaceId &workspace)
{
    const auto found = lists.plans.workspaceById.find(workspace);
    if (found == lists.plans.workspaceById.end())
        return nullptr;
    return lists.plans.findPlan(lists.plans.workspaces[found->second].plan);
}

std::optional<Common::Address> ShareKeeper::coordinatorOf(const Common::WorkspaceId &workspace)
{
    return this->shared.members.with(
        [&](Membership::Members &members) -> std::optional<Common::Address> {
            const Common::Time now = clockNow();
            std::vector<std::string> candidates;
            std::vector<Common::Address> addresses;
            for (const auto &[id, member] : members.byId) {
                const bool leaving = member.report.state == Membership::MemberState::Leaving;
                if (leaving || !member.report.peerAddress.isSet()
                    || Membership::isSuspect(members, member, now))
                    continue;
                candidates.push_back(id.value);
                addresses.push_back(member.report.peerAddress);
            }
            if (candidates.empty())
                return std::nullopt;
            return addresses[Common::rendezvousChoice(workspace.value, candidates)];
        });
}

std::optional<Common::Time> ShareKeeper::timeOfStamp(std::uint64_t stamp) const
{
    const Common::Time time{Common::Duration(static_cast<Common::Duration::rep>(stamp))};
    if (time < this->startedAt || time > clockNow())
        return std::nullopt;
    return time;
}

Http::Awaitable<void> ShareKeeper::shareLoop()
{
    for (std::uint32_t round = 0; !this->stopping && !this->worker.ending; ++round) {
        const Common::Time now = clockNow();
        for (auto entry = this->coordinated.begin(); entry != this->coordinated.end();) {
            const bool keep = Limits::removeExpired(entry->second, now);
            entry = keep ? std::next(entry) : this->coordinated.erase(entry);
        }
        if (round % kRoundsPerLoan == 0)
            this->askForLoans(now);
        this->askForGrants(now);
        this->holders.retainIf([now](const Common::WorkspaceId &, Held &held) {
            const bool inUse = held.holder.baseInUse + held.holder.grantInUse > 0;
            return inUse || now < Limits::latestLoanEnd(held.holder)
                || now - held.usedAt < held.period;
        });
        co_await this->worker.sleepFor(kShareRound);
    }
}

void ShareKeeper::askForLoans(Common::Time now)
{
    if (this->coordinated.empty())
        return;
    Peer::Envelope message;
    wire::LendRequest &body = *message.mutable_lend_request();
    body.set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const std::vector<Common::Address> others = this->peers.knownPeers();
    for (const auto &[workspace, coordinator] : this->coordinated) {
        if (body.wanted_size() >= kMostWorkspacesPerMessage)
            break;
        const Limits::Amount amount
            = Limits::amountToBorrowPerLender(coordinator, others.size() + 1);
        wire::Wanted &row = *body.add_wanted();
        row.set_workspace(workspace.value);
        row.set_concurrency(amount.concurrency);
        row.set_rate_per_second(amount.ratePerSecond);
    }
    for (const Common::Address &peer : others)
        this->deliver(peer, message);
    this->deliver(this->shared.settings.peer.address, message);
}

void ShareKeeper::askForGrants(Common::Time now)
{
    std::map<Common::Address, Peer::Envelope> messages;
    this->holders.retainIf([&](const Common::WorkspaceId &workspace, Held &held) {
        const Limits::Demand demand = Limits::measureDemand(held.holder, now);
        if (!Limits::wantsGrant(held.holder, demand, now))
            return true;
        const auto coordinator = this->coordinatorOf(workspace);
        if (!coordinator)
            return true;
        wire::ShareRequest &body = *messages[*coordinator].mutable_share_request();
        body.set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        if (body.demands_size() >= kMostWorkspacesPerMessage)
            return true;
        wire::ShareDemand &row = *body.add_demands();
        row.set_workspace(workspace.value);
        row.set_concurrency_wanted(demand.concurrency);
        row.set_concurrency_used(held.holder.grantInUse);
        row.set_rate_wanted(demand.ratePerSecond);
        row.set_applied_grant(held.holder.grantNumber);
        return true;
    });
    for (auto &[address, message] : messages)
        this->deliver(address, message);
}

// Sends a message to an instance. This instance deals with its own messages by the same rules.
void ShareKeeper::deliver(const Common::Address &address, Peer::Envelope &message)
{
    if (address != this->shared.settings.peer.address) {
        this->peers.send(address, message);
        return;
    }
    message.set_from_instance(this->shared.settings.instance.value);
    message.set_from_address(Common::formatAddress(address));
    this->receive(message);
}

void ShareKeeper::receive(const Peer::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kLendRequest:
        this->takeLendRequest(message);
        break;
    case wire::Envelope::kLendReply:
        this->takeLendReply(message);
        break;
    case wire::Envelope::kShareRequest:
        this->takeShareRequest(message);
        break;
    case wire::Envelope::kShareReply:
        this->takeShareReply(message);
        break;
    default:
        break;
    }
}

void ShareKeeper::takeLendRequest(const Peer::Envelope &message)
{
    Common::Address sender;
    if (!Common::parseAddress(message.from_address(), sender))
        return;
    const Common::Time now = clockNow();
    // An instance that may be cut off lends nothing: it cannot know whether its slot is its own.
    if (this->shared.isCutOff(now))
        return;
    const Lists::SnapshotPtr lists = this->shared.lists.current();
    const Common::InstanceId borrower(message.from_instance());
    Peer::Envelope answer;
    wire::LendReply &body = *answer.mutable_lend_reply();
    body.set_stamp(message.lend_request().stamp());
    for (const wire::Wanted &wanted : message.lend_request().wanted()) {
        const std::string &name = wanted.workspace();
        const Common::WorkspaceId workspace(name);
        const Lists::Plan *plan = this->planOf(*lists, workspace);
        if (!plan)
            continue;
        this->holders.with(workspace, [&](Held &held) {
            this->prepare(held, workspace, *plan, now);
            const bool same = held.borrower == borrower;
            const Limits::Amount amount
                = Limits::lend(held.holder, {wanted.concurrency(), wanted.rate_per_second()},
                               held.period, same, now);
            if (amount.concurrency == 0 && amount.ratePerSecond <= 0)
                return;
            held.borrower = borrower;
            wire::Lent &row = *body.add_lent();
            row.set_workspace(name);
            row.set_concurrency(amount.concurrency);
            row.set_rate_per_second(amount.ratePerSecond);
            row.set_lent_for_ms(static_cast<std::uint32_t>(Common::toMilliseconds(held.period)));
        });
    }
    this->deliver(sender, answer);
}

void ShareKeeper::takeLendReply(const Peer::Envelope &message)
{
    const auto askedAt = this->timeOfStamp(message.lend_reply().stamp());
    if (!askedAt)
        return;
    for (const wire::Lent &row : message.lend_reply().lent()) {
        const auto found = this->coordinated.find(Common::WorkspaceId(row.workspace()));
        if (found == this->coordinated.end())
            continue;
        Limits::recordLoan(found->second, Common::InstanceId(message.from_instance()),
                           {row.concurrency(), row.rate_per_second()},
                           Common::Milliseconds(row.lent_for_ms()), *askedAt);
    }
}

void ShareKeeper::takeShareRequest(const Peer::Envelope &message)
{
    Common::Address sender;
    if (!Common::parseAddress(message.from_address(), sender))
        return;
    const Common::Time now = clockNow();
    if (this->shared.isCutOff(now))
        return;
    const std::size_t known = this->coordinated.size();
    Peer::Envelope answer;
    wire::ShareReply &body = *answer.mutable_share_reply();
    body.set_stamp(message.share_request().stamp());
    for (const wire::ShareDemand &row : message.share_request().demands()) {
        Limits::Coordinator &coordinator = this->coordinated[Common::WorkspaceId(row.workspace())];
        Limits::ShareRequest request;
        request.from = Common::InstanceId(message.from_instance());
        request.demand = {row.concurrency_wanted(), row.rate_wanted()};
        request.inUse = row.concurrency_used();
        request.appliedGrant = row.applied_grant();
        const Limits::GrantedShare granted = Limits::grantShare(coordinator, request, now);
        if (granted.number == 0)
            continue;
        wire::ShareGrant &out = *body.add_grants();
        out.set_workspace(row.workspace());
        out.set_concurrency(granted.amount.concurrency);
        out.set_rate_per_second(granted.amount.ratePerSecond);
        out.set_grant(granted.number);
        out.set_valid_for_ms(static_cast<std::uint32_t>(Common::toMilliseconds(granted.validFor)));
    }
    // The first request for a workspace finds no loans yet; ask for them without delay.
    if (this->coordinated.size() > known)
        this->askForLoans(now);
    if (body.grants_size() == 0)
        return;
    this->deliver(sender, answer);
}

void ShareKeeper::takeShareReply(const Peer::Envelope &message)
{
    const auto askedAt = this->timeOfStamp(message.share_reply().stamp());
    if (!askedAt)
        return;
    for (const wire::ShareGrant &row : message.share_reply().grants()) {
        this->holders.with(Common::WorkspaceId(row.workspace()), [&](Held &held) {
            Limits::receiveGrant(held.holder, {row.concurrency(), row.rate_per_second()},
                                 row.grant(), Common::Milliseconds(row.valid_for_ms()), *askedAt);
        });
    }
}

ShareKeeper::Figures ShareKeeper::figures()
{
    Figures figures;
    if (const auto held = this->slots.current())
        figures.slot = held->slot;
    figures.workspacesHeld = this->holders.size();
    figures.workspacesCoordinated = this->coordinated.size();
    return figures;
}

} // namespace Tanagerbay::Node
