// A deterministic simulation for scenarios: simulated time, a fake store with injected faults,
// instances that run the decision functions of the coordination library, services that count how
// often they run a call, and engines that receive commands.
#pragma once

#include "Limits/Allowance.h"
#include "Lists/EditResolution.h"
#include "Lists/Snapshot.h"
#include "Once/Ledger.h"
#include "Placement/Lease.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace Tanagerbay::Scenario {

using Common::Milliseconds;
using Common::Time;

// The times correspond to those of the example settings.
inline constexpr Milliseconds kStoreTimeout{500};
inline constexpr Milliseconds kCutOffTimeout{8000};
inline constexpr Milliseconds kListPollInterval{2000};
inline constexpr Milliseconds kHeartbeatInterval{500};
// The platform removes an instance from its list this long after the instance stopped answering.
// It must be longer than kCutOffTimeout, after which an instance whose lists have not been
// confirmed refuses work, so that a removed instance does not serve outdated lists.
inline constexpr Milliseconds kPlatformRemovalDelay{15'000};
inline constexpr Milliseconds kClaimTimeout{3000};
inline constexpr Milliseconds kLeaseDuration{6000};
inline constexpr Milliseconds kCommandTimeout{1000};

enum class StoreFault {
    None,
    // Refuses each call without applying it.
    Down,
    // Applies nothing and never replies.
    BlackHole,
    // Applies each write, but its reply is lost.
    LoseReplies,
    // The reply is lost, and the write is applied 0.6 to 4.6 s later.
    ApplyLate,
};

enum class ServiceFault { None, Down, DropBefore, DropAfter, Slow };

// What the operator was told about an edit.
enum class EditOutcome { Pending, InForce, Committed, Conflict, Rejected, Unknown };

struct CallAnswer
{
    // Whether the call ran, as told to the caller. `None` if the caller got no answer yet, and
    // permanently if the instance crashed.
    enum class Kind { None, Yes, No, Maybe } kind = Kind::None;
    std::string instance;
};

class World
{
public:
    explicit World(std::uint64_t seed, int instanceCount);

    Time now() const
    {
        return this->time;
    }
    // Runs all events up to the given time since the start.
    void runUntil(Milliseconds offset);
    void at(Milliseconds offset, std::function<void()> action);

    // Actions. Each is performed at the current simulated time.
    void call(const std::string &key, const std::string &body, int instance);
    void edit(const std::string &name, Lists::ListKind kind, int instance);
    void spend(int count, int instance);
    void kill(int instance);
    void restart(int instance);
    void pause(int instance, Milliseconds period);
    void cutStore(int instance, Milliseconds period);
    void cutPeers(int instance, Milliseconds period);
    void storeFault(StoreFault fault, Milliseconds period);
    void serviceFault(ServiceFault fault, Milliseconds period);
    void heal();

    // Observations.
    int runs(const std::string &key) const;
    std::vector<CallAnswer> answers(const std::string &key) const;
    // Keys whose answers so far all said that the call did not run.
    std::vector<std::string> keysReportedNotRun() const;
    // True if an instance that answered for the key was killed at any time, before or after its
    // answer, so that its claim may never be voided.
    bool wasAnswererKilled(const std::string &key) const;
    EditOutcome editOutcome(const std::string &name) const;
    std::uint64_t version(int instance, Lists::ListKind kind) const;
    bool serves(int instance) const;
    int spent() const
    {
        return this->unitsSpent;
    }
    int refusedSpends() const
    {
        return this->spendsRefused;
    }
    int allowanceLimit() const
    {
        return kAllowanceLimit;
    }
    // The instances that consider themselves lease holders and may send commands.
    std::vector<std::string> leaseHolders() const;
    // The instance whose command was last executed by the engine that does or does not check
    // fencing numbers.
    std::string lastCommandSender(bool checksFencing) const;

    // Descriptions of the invariants that were violated. Empty if all hold.
    const std::vector<std::string> &violations() const
    {
        return this->foundViolations;
    }
    // Checks the invariants that must hold some time after all faults have ended.
    void checkFinalState();
    // The last events, for the report of a failure.
    std::string trace() const;

private:
    static constexpr int kAllowanceLimit = 40;

    struct StoredRow
    {
        std::uint64_t version = 0;
        std::string body;
    };
    enum class CommitState { Committed, Conflict, NotApplied, Unknown };
    struct Check
    {
        std::string key;
        std::uint64_t version = 0;
    };
    struct Put
    {
        std::string key;
        std::string body;
    };
    using CommitReply = std::function<void(CommitState, std::uint64_t version)>;
    using ReadReply = std::function<void(const std::vector<StoredRow> *)>;

    struct Instance
    {
        std::string id;
        bool alive = true;
        int epoch = 0;
        Time pausedUntil;
        Time storeCutUntil;
        Time peersCutUntil;
        Time unresponsiveSince;
        Lists::SnapshotPtr lists = std::make_shared<const Lists::Snapshot>();
        bool started = false;
        Time lastConfirmed;
        std::map<std::string, Lists::InstanceVersions> reports;
        Limits::AllowanceBalance balance;
        Placement::LeaseWatch leaseWatch;
        std::optional<Placement::HeldLease> lease;
    };
    struct Event
    {
        Time at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at > other.at || (this->at == other.at && this->number > other.number);
        }
    };
    struct Call;
    struct PendingEdit;
    struct EngineState
    {
        bool checksFencing = true;
        std::uint64_t fencingNumber = 0;
        std::string lastCommandFrom;
    };

    void after(Milliseconds delay, std::function<void()> action);
    // Runs the action on the instance after the delay: deferred while the instance is paused, and
    // dropped if it has been killed or restarted in the meantime.
    void onInstance(int instance, Milliseconds delay, std::function<void()> action);
    void recordEvent(std::string line);
    void reportViolation(std::string line);
    Milliseconds jitter(int maxMs);

    void commit(int instance, std::vector<Check> checks, std::vector<Put> puts, CommitReply reply);
    void read(int instance, std::vector<std::string> keys, ReadReply reply);
    CommitState applyCommit(const std::vector<Check> &checks, const std::vector<Put> &puts,
                            std::uint64_t &version);

    void startInstance(int instance);
    void pollLoop(int instance);
    void poll(int instance, std::function<void(bool)> done);
    void heartbeatLoop(int instance);
    void deliverHeartbeat(int from, int to, Time sentAt);
    bool connected(int left, int right) const;
    void applyList(int instance, Lists::ListKind kind, const Lists::Document &document);
    std::vector<Common::InstanceId> acceptanceSet() const;
    void checkServedVersions();

    void claimCall(std::shared_ptr<Call> call);
    void readCall(std::shared_ptr<Call> call);
    void stepCall(std::shared_ptr<Call> call, Once::ClaimStep step);
    void sendCall(std::shared_ptr<Call> call, int tries);
    void finishCall(std::shared_ptr<Call> call, Common::Ran ran);
    void answerCall(std::shared_ptr<Call> call, CallAnswer::Kind kind);
    void voidCall(std::shared_ptr<Call> call, int tries);
    void writeOutcome(std::shared_ptr<Call> call, Once::LedgerRow row, int tries);

    void commitEdit(std::shared_ptr<PendingEdit> pending);
    void resolveEdit(std::shared_ptr<PendingEdit> pending, int tries);
    void acceptEdit(std::shared_ptr<PendingEdit> pending);
    void awaitInForce(std::shared_ptr<PendingEdit> pending, int tries);

    void spendOne(int instance, int tries);
    void fetchGrant(int instance, std::function<void()> done);

    void leaseLoop(int instance);
    void renewLease(int instance);
    void claimLease(int instance);
    void sendCommands(int instance);

    Time start = Time(std::chrono::hours(1));
    Time time;
    std::uint64_t nextEventNumber = 0;
    std::priority_queue<Event> events;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::map<std::string, StoredRow> rows;
    StoreFault currentStoreFault = StoreFault::None;
    Time storeFaultUntil;
    ServiceFault currentServiceFault = ServiceFault::None;
    Time serviceFaultUntil;
    std::map<std::string, int> runCounts;
    std::map<std::string, std::vector<CallAnswer>> answersByKey;
    std::map<std::string, EditOutcome> editOutcomes;
    Lists::Versions acceptedVersions;
    int unitsSpent = 0;
    int spendsRefused = 0;
    std::vector<EngineState> engines;
    std::set<std::string> killedInstances;
    std::vector<std::string> foundViolations;
    std::deque<std::string> traceLines;
    int nextAttempt = 0;
};

} // namespace Tanagerbay::Scenario
