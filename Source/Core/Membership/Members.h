// The entry instances as one of them knows the others: from the platform's lagging list and from
// heartbeats, direct or passed on.
#pragma once

#include "Common/Address.h"
#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Tanagerbay::Membership {

enum class MemberState { Live, Leaving };

} // namespace Tanagerbay::Membership

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Membership::MemberState>
{
    using State = Membership::MemberState;
    static constexpr NameTable<State, 2> table
        = {{{State::Live, "live"}, {State::Leaving, "leaving"}}};
};

namespace Tanagerbay::Membership {

// What an instance says of itself in a heartbeat.
struct MemberReport
{
    Common::InstanceId id;
    Common::Address callerAddress;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
    // Start time of the process: a restarted instance is a new one.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Live;
    std::uint64_t plansVersion = 0;
    std::uint64_t entitlementsVersion = 0;
    // Version of the catalog, where the platform keeps one.
    std::uint64_t catalogVersion = 0;
    // How much of the duties the instance can bear, against others; zero where it is not known.
    double strength = 0;
    std::uint32_t requestsInProgress = 0;
    // The slot that the instance holds, if any, and the version of its row.
    std::optional<std::size_t> slot;
    std::uint64_t slotVersion = 0;
};

struct Member
{
    MemberReport report;
    // When the newest sequence number arrived; unset where the instance was only listed.
    std::optional<Common::Time> heardAt;
    bool inPlatformList = false;
    bool leavingInPlatformList = false;
    Common::Time firstSeenAt;
};

struct Members
{
    Common::InstanceId self;
    Common::Milliseconds suspectAfter{0};
    std::map<Common::InstanceId, Member> byId;
    bool platformListRead = false;
};

// An entry of the platform's list.
struct ListedMember
{
    Common::InstanceId id;
    Common::Address callerAddress;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
    bool leaving = false;
};

// Takes a heartbeat. Returns false where it is older than what is known.
bool noteReport(Members &members, const MemberReport &report, Common::Time now);

// Returns the incarnation under which an instance goes on that has heard a report of itself.
// Incarnations follow the time of day, which may have stepped back between two starts; under the
// lower one, the others would take all news of the new process for old.
std::uint64_t incarnationAfter(std::uint64_t own, std::uint64_t heard);

// Takes a new reading of the platform's list.
void applyPlatformList(Members &members, const std::vector<ListedMember> &listed, Common::Time now);

// Forgets instances that are neither listed nor heard of any more.
void forgetLost(Members &members, Common::Time now);

// True where the instance has not been heard of for too long.
bool isSuspect(const Members &members, const Member &member, Common::Time now);

// Instances that must have applied an edit before it is in force: all that the platform lists, and
// all that are heard of.
std::vector<Common::InstanceId> acceptanceSet(const Members &members, Common::Time now);

// Up to `count` other instances to send a heartbeat to, drawn at random. With fewer instances than
// that, all of them.
std::vector<Common::Address> heartbeatTargets(const Members &members, std::size_t count,
                                              std::mt19937_64 &random);

// Up to `count` reports of other instances to pass on, those heard most recently known first by
// chance.
std::vector<MemberReport> reportsToPassOn(const Members &members, std::size_t count,
                                          std::mt19937_64 &random);

// True where some other instance was heard of since `since`.
bool heardAnyoneSince(const Members &members, Common::Time since);

struct EntryAnswer
{
    Common::Address address;
    Common::FailureDomain failureDomain;
    std::uint32_t weight = 0;
};

// The answer to a caller that asks which instances to use: those that are live and not suspected,
// the asker's failure domain first. Weights fall with the work that an instance has.
std::vector<EntryAnswer> entriesFor(const Members &members,
                                    const Common::FailureDomain &askerDomain, Common::Time now);

} // namespace Tanagerbay::Membership
