// The lease on sending commands to engines, and the simulated engines that execute them.
#include "UnitTests/Scenario/World.h"

namespace Tanagerbay::Scenario {

namespace {

constexpr const char *kLeaseKey = "lease";
constexpr Milliseconds kLeaseCheckInterval{1000};
const Placement::CommandRules kCommandRules{kCommandTimeout, Milliseconds(500)};

} // namespace

std::vector<std::string> World::leaseHolders() const
{
    std::vector<std::string> holders;
    for (const Instance &instance : this->instances) {
        if (instance.alive && instance.lease && this->time < instance.lease->expiresAt)
            holders.push_back(instance.id);
    }
    return holders;
}

std::string World::lastCommandSender(bool checksFencing) const
{
    for (const EngineState &engine : this->engines) {
        if (engine.checksFencing == checksFencing)
            return engine.lastCommandFrom;
    }
    return "";
}

void World::leaseLoop(int instance)
{
    Instance &target = this->instances[instance];
    if (target.lease && this->time >= target.lease->expiresAt)
        target.lease.reset();
    if (target.lease)
        this->renewLease(instance);
    else
        this->claimLease(instance);
    this->sendCommands(instance);
    this->onInstance(instance, kLeaseCheckInterval,
                     [this, instance] { this->leaseLoop(instance); });
}

void World::renewLease(int instance)
{
    const Time askedAt = this->time;
    Instance &target = this->instances[instance];
    const Placement::LeaseRow row{Common::InstanceId(target.id), kLeaseDuration};
    this->commit(instance, {{kLeaseKey, target.lease->fencingNumber}},
                 {{kLeaseKey, Placement::encodeLeaseRow(row)}},
                 [this, instance, askedAt](CommitState state, std::uint64_t version) {
                     Instance &holder = this->instances[instance];
                     if (!holder.lease)
                         return;
                     if (state == CommitState::Committed)
                         Placement::extendLease(*holder.lease, version, kLeaseDuration, askedAt);
                     else if (state == CommitState::Conflict)
                         holder.lease.reset();
                 });
}

void World::claimLease(int instance)
{
    this->read(instance, {kLeaseKey}, [this, instance](const std::vector<StoredRow> *found) {
        if (!found)
            return;
        Instance &target = this->instances[instance];
        const StoredRow stored = found->front();
        Placement::LeaseRow row;
        if (stored.version > 0)
            row = Placement::decodeLeaseRow(stored.body).value();
        Placement::noteReading(target.leaseWatch, stored.version, row, this->time);
        if (Placement::decideClaim(target.leaseWatch, this->time) == Placement::LeaseStep::Wait)
            return;
        const Time askedAt = this->time;
        const Placement::LeaseRow claimedRow{Common::InstanceId(target.id), kLeaseDuration};
        this->commit(instance, {{kLeaseKey, target.leaseWatch.version}},
                     {{kLeaseKey, Placement::encodeLeaseRow(claimedRow)}},
                     [this, instance, askedAt](CommitState state, std::uint64_t version) {
                         if (state != CommitState::Committed)
                             return;
                         Instance &holder = this->instances[instance];
                         this->recordEvent(holder.id + " claims the lease with fencing number "
                                           + std::to_string(version));
                         holder.lease = Placement::leaseAfterClaim(holder.leaseWatch, version,
                                                                   kLeaseDuration, kCommandTimeout,
                                                                   askedAt, this->time);
                     });
    });
}

void World::sendCommands(int instance)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        const Instance &holder = this->instances[instance];
        if (!holder.lease
            || !Placement::mayCommand(*holder.lease, this->engines[i].checksFencing, kCommandRules,
                                      this->time))
            continue;
        const std::uint64_t fencingNumber = holder.lease->fencingNumber;
        // A pause may occur between the decision and sending the first byte.
        this->onInstance(instance, jitter(3), [this, instance, i, fencingNumber] {
            const std::string id = this->instances[instance].id;
            this->after(jitter(900), [this, i, fencingNumber, id] {
                EngineState &engine = this->engines[i];
                if (engine.checksFencing && fencingNumber < engine.fencingNumber)
                    return;
                engine.fencingNumber = fencingNumber;
                engine.lastCommandFrom = id;
            });
        });
    }
}

} // namespace Tanagerbay::Scenario
