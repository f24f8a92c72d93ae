#include "Node/WorkspaceLimiter.h"

#include "Node/MessageBatches.h"

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

constexpr Common::Milliseconds kShareRoundInterval{250};
// Number of rounds from one loan request to the next.
constexpr std::uint32_t kRoundsPerLoanRequest = 4;
// A loan lasts longer than the longest deadline of the plan by this margin.
constexpr Common::Milliseconds kLoanPeriodMargin{3000};
constexpr int kMaxWorkspacesPerMessage = 200;
constexpr Common::Milliseconds kConcurrencyRetryAfter{200};

Limits::Amount limitOf(const Lists::Plan &plan)
{
    return {static_cast<std::uint32_t>(plan.concurrency), static_cast<double>(plan.ratePerSecond)};
}

// Returns the duration of loans for the plan's workspaces. It exceeds the plan's longest deadline,
// up to the maximum for loans, so that a request admitted under a grant ends before the grant
// expires.
Common::Duration loanPeriodOf(const Lists::Plan &plan)
{
    Common::Milliseconds longest = plan.defaultServiceLevel.deadline;
    for (const auto &[action, serviceLevel] : plan.serviceLevels)
        longest = std::max(longest, serviceLevel.deadline);
    return std::min(longest + kLoanPeriodMargin, kMaxLoanPeriod);
}

} // namespace

WorkspaceLimiter::Ticket::Ticket(WorkspaceLimiter *limiter, Common::WorkspaceId workspace,
                                 Limits::ShareSource source)
    : limiter(limiter), workspace(std::move(workspace)), source(source)
{
}

WorkspaceLimiter::Ticket::~Ticket()
{
    if (!this->limiter)
        return;
    this->limiter->localShares.with(this->workspace, [this](WorkspaceShare &share) {
        Limits::release(share.holder, this->source);
    });
}

WorkspaceLimiter::Ticket::Ticket(Ticket &&other) noexcept
    : limiter(std::exchange(other.limiter, nullptr)), workspace(std::move(other.workspace)),
      source(other.source)
{
}

WorkspaceLimiter::Ticket &WorkspaceLimiter::Ticket::operator=(Ticket &&other) noexcept
{
    std::swap(this->limiter, other.limiter);
    std::swap(this->workspace, other.workspace);
    std::swap(this->source, other.source);
    return *this;
}

WorkspaceLimiter::WorkspaceLimiter(Worker &worker, SharedState &shared, PeerService &peers,
                                   SlotAssignment &slots)
    : worker(worker), shared(shared), peers(peers), slots(slots), startedAt(clockNow())
{
}

void WorkspaceLimiter::start()
{
    this->peers.onShareMessage([this](const Peer::Envelope &message) { this->receive(message); });
    asio::co_spawn(this->worker.context, this->shareLoop(), asio::detached);
}

void WorkspaceLimiter::stop()
{
    this->stopping = true;
}

void WorkspaceLimiter::updateBaseShare(WorkspaceShare &share, const Common::WorkspaceId &workspace,
                                       const Lists::Plan &plan, Common::Time now)
{
    share.lastUsedAt = now;
    share.loanPeriod = loanPeriodOf(plan);
    const Limits::Amount limit = limitOf(plan);
    const std::optional<Limits::HeldSlot> current = this->slots.current();
    const bool usable = current && now >= current->usableFrom;
    const std::size_t slotNumber = usable ? current->slot : SIZE_MAX;
    const std::uint64_t version = usable ? current->version : 0;
    const bool sameLimit = share.limit.concurrency == limit.concurrency
        && share.limit.ratePerSecond == limit.ratePerSecond;
    if (slotNumber == share.baseSlot && version == share.baseVersion && sameLimit)
        return;
    // Loans from the share of an earlier slot no longer belong to this instance.
    if (slotNumber != share.baseSlot || version != share.baseVersion) {
        share.holder.lent = {};
        share.holder.lentUntil = {};
        share.holder.previousLent = {};
        share.holder.previousLentUntil = {};
    }
    share.baseSlot = slotNumber;
    share.baseVersion = version;
    share.limit = limit;
    share.holder.base = usable
        ? Limits::baseShare(limit, slotNumber, this->shared.settings.limits.instances, workspace)
        : Limits::Amount{};
}

Common::Result<WorkspaceLimiter::Ticket>
WorkspaceLimiter::admit(const Lists::Access &access, Common::Time deadline, Common::Time now)
{
    const Common::WorkspaceId &workspace = access.workspace->id;
    const Limits::ShareDecision decision
        = this->localShares.with(workspace, [&](WorkspaceShare &share) {
              this->updateBaseShare(share, workspace, *access.plan, now);
              return Limits::admit(share.holder, deadline, now);
          });
    if (decision.verdict == Limits::ShareVerdict::Admitted)
        return Ticket(this, workspace, decision.source);
    if (decision.verdict == Limits::ShareVerdict::OverRate) {
        this->shared.counters.add(Counter::RateRefusals);
        const auto after
            = Common::Milliseconds(1000 / std::max<std::int64_t>(access.plan->ratePerSecond, 1));
        return Common::notRun(ErrorCode::LimitReached, "the workspace's rate limit is reached",
                              std::max(after, Common::Milliseconds(50)));
    }
    this->shared.counters.add(Counter::ConcurrencyRefusals);
    return Common::notRun(ErrorCode::LimitReached, "the workspace's concurrency limit is reached",
                          kConcurrencyRetryAfter);
}

Common::Milliseconds WorkspaceLimiter::remainingLoanTime(Common::Time now)
{
    Common::Milliseconds longest{0};
    this->localShares.retainIf([&longest, now](const Common::WorkspaceId &, WorkspaceShare &entry) {
        if (now < Limits::latestLoanEnd(entry.holder)) {
            const auto left = std::chrono::ceil<Common::Milliseconds>(
                Limits::latestLoanEnd(entry.holder) - now);
            longest = std::max(longest, left);
        }
        return true;
    });
    return longest;
}

const Lists::Plan *WorkspaceLimiter::planOf(const Lists::Snapshot &lists,
                                            const Common::WorkspaceId &workspace)
{
    const auto found = lists.plans.workspaceById.find(workspace);
    if (found == lists.plans.workspaceById.end())
        return nullptr;
    return lists.plans.findPlan(lists.plans.workspaces[found->second].plan);
}

std::optional<Common::Address> WorkspaceLimiter::coordinatorOf(const Common::WorkspaceId &workspace)
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

std::optional<Common::Time> WorkspaceLimiter::timeOfStamp(std::uint64_t stamp) const
{
    const Common::Time time{Common::Duration(static_cast<Common::Duration::rep>(stamp))};
    if (time < this->startedAt || time > clockNow())
        return std::nullopt;
    return time;
}

Http::Awaitable<void> WorkspaceLimiter::shareLoop()
{
    for (std::uint32_t round = 0; !this->stopping && !this->worker.ending; ++round) {
        const Common::Time now = clockNow();
        for (auto entry = this->coordinated.begin(); entry != this->coordinated.end();) {
            const bool keep = Limits::removeExpired(entry->second, now);
            entry = keep ? std::next(entry) : this->coordinated.erase(entry);
        }
        if (round % kRoundsPerLoanRequest == 0)
            this->requestLoans(now);
        this->requestGrants(now);
        this->localShares.retainIf([now](const Common::WorkspaceId &, WorkspaceShare &share) {
            const bool inUse = share.holder.baseInUse + share.holder.grantInUse > 0;
            return inUse || now < Limits::latestLoanEnd(share.holder)
                || now - share.lastUsedAt < share.loanPeriod;
        });
        co_await this->worker.sleepFor(kShareRoundInterval);
    }
}

void WorkspaceLimiter::requestLoans(Common::Time now)
{
    if (this->coordinated.empty())
        return;
    const std::vector<Common::Address> others = this->peers.knownPeers();
    const Common::Address &own = this->shared.settings.peer.address;
    MessageBatches<Peer::Envelope> batches(kMaxWorkspacesPerMessage);
    const auto rowCount
        = [](const Peer::Envelope &message) { return message.lend_request().wanted_size(); };
    for (const auto &[workspace, coordinator] : this->coordinated) {
        const Limits::Amount amount
            = Limits::amountToBorrowPerLender(coordinator, others.size() + 1);
        wire::LendRequest &body = *batches.openFor(own, rowCount).mutable_lend_request();
        body.set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        wire::Wanted &row = *body.add_wanted();
        row.set_workspace(workspace.value);
        row.set_concurrency(amount.concurrency);
        row.set_rate_per_second(amount.ratePerSecond);
    }
    // The same messages go to all.
    for (auto &[address, message] : batches.takeAll()) {
        for (const Common::Address &peer : others)
            this->deliver(peer, message);
        this->deliver(address, message);
    }
}

void WorkspaceLimiter::requestGrants(Common::Time now)
{
    MessageBatches<Peer::Envelope> batches(kMaxWorkspacesPerMessage);
    const auto rowCount
        = [](const Peer::Envelope &message) { return message.share_request().demands_size(); };
    this->localShares.retainIf([&](const Common::WorkspaceId &workspace, WorkspaceShare &share) {
        const Limits::Demand demand = Limits::measureDemand(share.holder, now);
        if (!Limits::wantsGrant(share.holder, demand, now))
            return true;
        const auto coordinator = this->coordinatorOf(workspace);
        if (!coordinator)
            return true;
        wire::ShareRequest &body = *batches.openFor(*coordinator, rowCount).mutable_share_request();
        body.set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        wire::ShareDemand &row = *body.add_demands();
        row.set_workspace(workspace.value);
        row.set_concurrency_wanted(demand.concurrency);
        row.set_concurrency_used(share.holder.grantInUse);
        row.set_rate_wanted(demand.ratePerSecond);
        row.set_applied_grant(share.holder.grantNumber);
        return true;
    });
    for (auto &[address, message] : batches.takeAll())
        this->deliver(address, message);
}

// Sends a message to an instance. A message to this instance is handled directly, by the same
// rules.
void WorkspaceLimiter::deliver(const Common::Address &address, Peer::Envelope &message)
{
    if (address != this->shared.settings.peer.address) {
        this->peers.send(address, message);
        return;
    }
    message.set_from_instance(this->shared.settings.instance.value);
    message.set_from_address(Common::formatAddress(address));
    this->receive(message);
}

void WorkspaceLimiter::receive(const Peer::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kLendRequest:
        this->handleLendRequest(message);
        break;
    case wire::Envelope::kLendReply:
        this->handleLendReply(message);
        break;
    case wire::Envelope::kShareRequest:
        this->handleShareRequest(message);
        break;
    case wire::Envelope::kShareReply:
        this->handleShareReply(message);
        break;
    default:
        break;
    }
}

void WorkspaceLimiter::handleLendRequest(const Peer::Envelope &message)
{
    Common::Address sender;
    if (!Common::parseAddress(message.from_address(), sender))
        return;
    const Common::Time now = clockNow();
    // An instance that may be cut off lends nothing: its slot may have been taken over.
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
        this->localShares.with(workspace, [&](WorkspaceShare &share) {
            this->updateBaseShare(share, workspace, *plan, now);
            const bool same = share.borrower == borrower;
            const Limits::Amount amount
                = Limits::lend(share.holder, {wanted.concurrency(), wanted.rate_per_second()},
                               share.loanPeriod, same, now);
            if (amount.concurrency == 0 && amount.ratePerSecond <= 0)
                return;
            share.borrower = borrower;
            wire::Lent &row = *body.add_lent();
            row.set_workspace(name);
            row.set_concurrency(amount.concurrency);
            row.set_rate_per_second(amount.ratePerSecond);
            row.set_lent_for_ms(
                static_cast<std::uint32_t>(Common::toMilliseconds(share.loanPeriod)));
        });
    }
    this->deliver(sender, answer);
}

void WorkspaceLimiter::handleLendReply(const Peer::Envelope &message)
{
    const auto requestedAt = this->timeOfStamp(message.lend_reply().stamp());
    if (!requestedAt)
        return;
    for (const wire::Lent &row : message.lend_reply().lent()) {
        const auto found = this->coordinated.find(Common::WorkspaceId(row.workspace()));
        if (found == this->coordinated.end())
            continue;
        Limits::recordLoan(found->second, Common::InstanceId(message.from_instance()),
                           {row.concurrency(), row.rate_per_second()},
                           Common::Milliseconds(row.lent_for_ms()), *requestedAt);
    }
}

void WorkspaceLimiter::handleShareRequest(const Peer::Envelope &message)
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
    // The first request for a workspace finds no loans yet, so request them without delay.
    if (this->coordinated.size() > known)
        this->requestLoans(now);
    if (body.grants_size() == 0)
        return;
    this->deliver(sender, answer);
}

void WorkspaceLimiter::handleShareReply(const Peer::Envelope &message)
{
    const auto requestedAt = this->timeOfStamp(message.share_reply().stamp());
    if (!requestedAt)
        return;
    for (const wire::ShareGrant &row : message.share_reply().grants()) {
        this->localShares.with(Common::WorkspaceId(row.workspace()), [&](WorkspaceShare &share) {
            Limits::receiveGrant(share.holder, {row.concurrency(), row.rate_per_second()},
                                 row.grant(), Common::Milliseconds(row.valid_for_ms()),
                                 *requestedAt);
        });
    }
}

WorkspaceLimiter::Summary WorkspaceLimiter::summary()
{
    Summary summary;
    if (const auto heldSlot = this->slots.current())
        summary.slot = heldSlot->slot;
    summary.workspacesHeld = this->localShares.size();
    summary.workspacesCoordinated = this->coordinated.size();
    return summary;
}

} // namespace Tanagerbay::Node
