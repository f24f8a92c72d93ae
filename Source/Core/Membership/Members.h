// Membership view of one entry instance, built from the platform's instance list, which lags, and
// from heartbeats received directly or forwarded by other instances.
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

// Whether an instance answers, as probes by the instances show. In order of precedence: of equally
// new news, the later condition holds.
enum class Condition { Alive, Suspected, Failed };

} // namespace Tanagerbay::Membership

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Membership::MemberState>
{
    using State = Membership::MemberState;
    static constexpr NameTable<State, 2> table
        = {{{State::Live, "live"}, {State::Leaving, "leaving"}}};
};

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Membership::Condition>
{
    using Condition = Membership::Condition;
    static constexpr NameTable<Condition, 3> table = {{
        {Condition::Alive, "alive"},
        {Condition::Suspected, "suspected"},
        {Condition::Failed, "failed"},
    }};
};

namespace Tanagerbay::Membership {

// State that an instance reports about itself in a heartbeat.
struct MemberReport
{
    Common::InstanceId id;
    Common::Address callerAddress;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
    // Start time of the process, which distinguishes a restarted instance from its predecessor.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Live;
    std::uint64_t plansVersion = 0;
    std::uint64_t entitlementsVersion = 0;
    // Version of the catalog, where the platform has one.
    std::uint64_t catalogVersion = 0;
    // Capacity for coordination work relative to other instances; zero where it is not known.
    double strength = 0;
    std::uint32_t requestsInProgress = 0;
    // Slot that the instance holds, if any, and the version of the slot's row.
    std::optional<std::size_t> slot;
    std::uint64_t slotVersion = 0;
};

struct Member
{
    MemberReport report;
    // When the newest report arrived; unset where the instance is known from the list only.
    std::optional<Common::Time> lastReportAt;
    bool inPlatformList = false;
    bool leavingInPlatformList = false;
    Common::Time firstSeenAt;
    // Result of probes; stays `Alive` where instances are judged by the age of their reports.
    Condition condition = Condition::Alive;
    Common::Time conditionSince;
    // The instance has last stated an earlier start than that of the report: its clock has stepped
    // back between its starts, and it has to number this one above the report.
    bool statesEarlierStart = false;
};

struct Members
{
    Common::InstanceId self;
    // An instance is suspected if its newest report is older than this. Zero where instances are
    // judged by probes; then this holds only for instances that have never sent a report, for the
    // time `unheardGrace`.
    Common::Milliseconds suspectAfter{0};
    Common::Milliseconds unheardGrace{0};
    std::map<Common::InstanceId, Member> byId;
    bool hasPlatformList = false;
};

// Entry of the platform's instance list.
struct ListedMember
{
    Common::InstanceId id;
    Common::Address callerAddress;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
    bool leaving = false;
};

// Applies the report of a heartbeat. Returns false, without a change, where a report at least as
// new is known.
bool noteReport(Members &members, const MemberReport &report, Common::Time now);

// Returns the incarnation that an instance uses after it has received a report about itself with
// the incarnation `reported`. Incarnations are taken from the wall clock, which may have stepped
// back between two starts; with the lower incarnation, other instances would discard all reports of
// the new process as outdated.
std::uint64_t incarnationAfter(std::uint64_t own, std::uint64_t reported);

// Applies a newly read instance list of the platform.
void applyPlatformList(Members &members, const std::vector<ListedMember> &listed, Common::Time now);

// Removes instances that are not listed and have sent no report for several suspicion periods, or
// for one such period where they were leaving.
void removeLost(Members &members, Common::Time now);

// Returns whether the instance is believed not to answer: by probes, or since its newest report is
// older than the suspicion period. An instance never suspects itself.
bool isSuspect(const Members &members, const Member &member, Common::Time now);

// Returns whether the instance has failed, or has been suspected for at least the period. For
// duties that cost much to move: most suspicions are refuted within a few hundred milliseconds.
bool isSuspectFor(const Members &members, const Member &member, Common::Duration period,
                  Common::Time now);

// Returns the instances that must have applied an edit before it is in force: those that the
// platform lists and those that are not suspected.
std::vector<Common::InstanceId> acceptanceSet(const Members &members, Common::Time now);

// Returns the peer addresses of up to `count` other instances, drawn at random, to which a
// heartbeat is sent.
std::vector<Common::Address> heartbeatTargets(const Members &members, std::size_t count,
                                              std::mt19937_64 &random);

// Returns up to `count` reports of other instances, drawn at random, to forward with a heartbeat.
std::vector<MemberReport> reportsToForward(const Members &members, std::size_t count,
                                           std::mt19937_64 &random);

// Returns whether a report of any other instance has arrived since `since`.
bool hasReportSince(const Members &members, Common::Time since);

struct DirectoryEntry
{
    Common::Address address;
    Common::FailureDomain failureDomain;
    std::uint32_t weight = 0;
};

// Returns the directory for a caller: the instances that are live and not suspected, those in the
// caller's failure domain first. The weight of an instance decreases with its load.
std::vector<DirectoryEntry> entriesFor(const Members &members,
                                       const Common::FailureDomain &callerDomain, Common::Time now);

} // namespace Tanagerbay::Membership
