// A small deterministic world for scenarios: simulated time, a fake store with faults, instances
// that run the aggregates' decisions, services that count runs, and engines that take orders.
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

// Times of the world, chosen like those of the example settings.
inline constexpr Milliseconds kStoreTimeout{500};
inline constexpr Milliseconds kCutOffAfter{8000};
inline constexpr Milliseconds kPollPeriod{2000};
inline constexpr Milliseconds kHeartbeatPeriod{500};
// The platform drops an instance from its list this long after it stopped answering. It must be
// longer than the time after which a cut-off instance refuses work.
inline constexpr Milliseconds kPlatformDropAfter{15'000};
inline constexpr Milliseconds kClaimTimeout{3000};
inline constexpr Milliseconds kLeaseDuration{6000};
inline constexpr Milliseconds kOrderTimeout{1000};

enum class StoreFault {
    None,
    // Refuses before it acts.
    Down,
    // Nothing is answered and nothing takes effect.
    BlackHole,
    // Takes effect, but the reply is lost.
    LoseReplies,
    // The reply is lost and the effect comes seconds later.
    LandLate,
};

enum class ServiceFault { None, Down, DropBefore, DropAfter, Slow };

// What an operator was told of an edit.
enum class EditAnswer { Pending, InForce, Committed, Conflict, Rejected, Unknown };

struct CallAnswer
{
    // `None` until the caller hears anything, and for good where the instance died.
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
    // Runs all events up to the time.
    void runUntil(Milliseconds since);
    void at(Milliseconds since, std::function<void()> action);

    // Actions.
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
    // Keys whose callers have only heard that their calls did not run.
    std::vector<std::string> keysNotRun() const;
    // True where an instance that answered for the key was killed afterwards or before, so that
    // its claim may never be voided.
    bool diedSince(const std::string &key) const;
    EditAnswer editAnswer(const std::string &name) const;
    std::uint64_t version(int instance, Lists::ListKind kind) const;
    bool serves(int instance) const;
    int spent() const
    {
        return this->alertsRun;
    }
    int refusedSpends() const
    {
        return this->alertsRefused;
    }
    int allowanceLimit() const
    {
        return kAllowance;
    }
    // The instances that now believe that they may order engines.
    std::vector<std::string> leaseHolders() const;
    // The instance whose order the engine last acted on.
    std::string engineOrderedBy(bool checksNumbers) const;

    // Promises that were broken, in words. Empty where all hold.
    const std::vector<std::string> &broken() const
    {
        return this->violations;
    }
    // Checks what must hold once all faults are over and some time has passed.
    void checkAtRest();
    // The last events, for a report on a failure.
    std::string trace() const;

private:
    static constexpr int kAllowance = 40;

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
        Time deadSince;
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
    struct EditRun;
    struct EngineState
    {
        bool checksNumbers = true;
        std::uint64_t number = 0;
        std::string orderedBy;
    };

    void after(Milliseconds delay, std::function<void()> action);
    // Runs the action on the instance after the delay: later while it is paused, never once it is
    // dead or was restarted.
    void onInstance(int instance, Milliseconds delay, std::function<void()> action);
    void note(std::string line);
    void violate(std::string line);
    Milliseconds jitter(int most);

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
    void probe();

    void claimCall(std::shared_ptr<Call> call);
    void readCall(std::shared_ptr<Call> call);
    void stepCall(std::shared_ptr<Call> call, Once::ClaimStep step);
    void sendCall(std::shared_ptr<Call> call, int tries);
    void finishCall(std::shared_ptr<Call> call, Common::Ran ran);
    void answerCall(std::shared_ptr<Call> call, CallAnswer::Kind kind);
    void voidCall(std::shared_ptr<Call> call, int tries);
    void writeOutcome(std::shared_ptr<Call> call, Once::LedgerRow row, int tries);

    void commitEdit(std::shared_ptr<EditRun> run);
    void resolveEdit(std::shared_ptr<EditRun> run, int tries);
    void acceptEdit(std::shared_ptr<EditRun> run);
    void awaitInForce(std::shared_ptr<EditRun> run, int tries);

    void spendOne(int instance, int tries);
    void fetchGrant(int instance, std::function<void()> done);

    void leaseLoop(int instance);
    void renewLease(int instance);
    void claimLease(int instance);
    void orderEngines(int instance);

    Time start = Time(std::chrono::hours(1));
    Time time;
    std::uint64_t nextNumber = 0;
    std::priority_queue<Event> events;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::map<std::string, StoredRow> rows;
    StoreFault fault = StoreFault::None;
    Time faultUntil;
    ServiceFault servicefault = ServiceFault::None;
    Time serviceFaultUntil;
    std::map<std::string, int> runsByKey;
    std::map<std::string, std::vector<CallAnswer>> answersByKey;
    std::map<std::string, EditAnswer> editAnswers;
    Lists::Versions accepted;
    int alertsRun = 0;
    int alertsRefused = 0;
    std::vector<EngineState> engines;
    std::set<std::string> everKilled;
    std::vector<std::string> violations;
    std::deque<std::string> lines;
    int nextAttempt = 0;
};

} // namespace Tanagerbay::Scenario
