// Watches the owners of the queues to which this instance has submitted pieces, and submits the
// pieces again where they are lost.
#include "Entry/StageClient.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace {

// While pieces are submitted to an owner, it is pinged at this interval. If no message arrives from
// it for `kOwnerTimeout`, the other instances are asked whether they reach it. A machine that runs
// six times slower still responds in time.
constexpr Common::Milliseconds kPingInterval{200};
constexpr Common::Milliseconds kOwnerTimeout{600};
// A connection that falls silent again within this time counts as a lost owner.
constexpr Common::Milliseconds kSilentLinkMemory{3000};
// Interval of the owner watch without submitted pieces; new submissions wake it.
constexpr Common::Milliseconds kIdleWatchInterval{60'000};

} // namespace

void StageClient::onOwnerLost(const Common::InstanceId &id, const Common::Address &address)
{
    const Common::Time now = clockNow();
    this->excludeOwner(id, now);
    this->mesh.disconnect(address);
    std::vector<WorkId> workIds;
    for (const auto &[workId, work] : this->openWork) {
        const bool isSubmittedThere = std::any_of(
            work.submissions.begin(), work.submissions.end(),
            [&id](const Submission &submission) { return submission.owner.id == id; });
        if (isSubmittedThere)
            workIds.push_back(workId);
    }
    this->silentLinks.erase(id);
    this->state.logState(LogLine("stage-owner-lost")
                             .text("instance", id.value)
                             .number("works", static_cast<std::int64_t>(workIds.size())));
    for (const WorkId workId : workIds) {
        // Submitting one may settle expired pieces of another and so finish it.
        const auto found = this->openWork.find(workId);
        if (found != this->openWork.end())
            this->submitMissing(workId, found->second);
    }
}

void StageClient::resubmitOverNewLink(const Common::InstanceId &id, const Common::Address &address)
{
    const std::uint64_t current = this->mesh.linkNumber(address);
    std::vector<WorkId> workIds;
    for (const auto &[workId, work] : this->openWork) {
        const bool isAffected = std::any_of(
            work.submissions.begin(), work.submissions.end(),
            [&](const Submission &each) { return each.owner.id == id && each.link != current; });
        if (isAffected)
            workIds.push_back(workId);
    }
    for (const WorkId workId : workIds) {
        // Submitting one may settle expired pieces of another and so finish it.
        const auto found = this->openWork.find(workId);
        if (found != this->openWork.end())
            this->submitMissing(workId, found->second);
    }
}

void StageClient::checkOwner(const Owner &owner, Common::Time submittedAt, Common::Time now)
{
    const auto member = this->state.members.byId.find(owner.id);
    const bool isDoubted = member == this->state.members.byId.end()
        || Membership::isSuspect(this->state.members, member->second, now);
    if (this->mesh.isRefusing(owner.address)) {
        this->onOwnerLost(owner.id, owner.address);
        return;
    }
    this->resubmitOverNewLink(owner.id, owner.address);
    const Common::Time lastHeardAt
        = std::max(this->mesh.lastReceivedAt(owner.address).value_or(submittedAt), submittedAt);
    if (now - lastHeardAt <= kOwnerTimeout) {
        this->mesh.send(owner.address, {{"type", "ping"}});
        return;
    }
    // Silence alone does not show that an instance is lost: it may only be busy, and all submitters
    // leaving one after the other would make things worse. The others are asked first.
    const auto silent = this->silentLinks.find(owner.id);
    const bool wasSilentBefore
        = silent != this->silentLinks.end() && now - silent->second < kSilentLinkMemory;
    if (isDoubted || (wasSilentBefore && now - silent->second > kOwnerTimeout)) {
        this->onOwnerLost(owner.id, owner.address);
        return;
    }
    if (this->doubtHandler)
        this->doubtHandler(owner.id);
    if (wasSilentBefore)
        return;
    // The connection may be dead while the owner is alive.
    this->silentLinks[owner.id] = now;
    this->mesh.disconnect(owner.address);
    this->resubmitOverNewLink(owner.id, owner.address);
}

Http::Awaitable<void> StageClient::watchOwners()
{
    while (true) {
        std::map<Common::InstanceId, std::pair<Common::Address, Common::Time>> owners;
        for (const auto &[workId, work] : this->openWork) {
            for (const Submission &submission : work.submissions) {
                const auto [entry, added] = owners.emplace(
                    submission.owner.id, std::pair(submission.owner.address, submission.at));
                if (!added)
                    entry->second.second = std::min(entry->second.second, submission.at);
            }
        }
        const Common::Time now = clockNow();
        for (const auto &[id, owner] : owners)
            this->checkOwner({id, owner.first}, owner.second, now);
        this->watchTimer->expires_after(owners.empty() ? kIdleWatchInterval : kPingInterval);
        boost::system::error_code ignored;
        co_await this->watchTimer->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        // Woken by a new submission: the first ping is delayed by one interval.
        if (ignored)
            co_await this->state.sleepFor(kPingInterval);
    }
}

} // namespace Tanagerbay::Entry
