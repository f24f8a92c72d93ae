// The lease on engine orders in a scenario, and the engines that take the orders.
#include "UnitTests/Scenario/World.h"

namespace Tanagerbay::Scenario {

namespace {

constexpr const char *kLeaseKey = "lease";
constexpr Milliseconds kLeasePeriod{1000};
const Placement::CommandRules kRules{kOrderTimeout, Milliseconds(500)};

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

std::string World::engineOrderedBy(bool checksNumbers) const
{
    for (const EngineState &engine : this->engines) {
        if (engine.checksNumbers == checksNumbers)
            return engine.orderedBy;
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
    this->orderEngines(instance);
    this->onInstance(instance, kLeasePeriod, [this, instance] { this->leaseLoop(instance); });
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
        const Placement::LeaseRow mine{Common::InstanceId(target.id), kLeaseDuration};
        this->commit(instance, {{kLeaseKey, target.leaseWatch.version}},
                     {{kLeaseKey, Placement::encodeLeaseRow(mine)}},
                     [this, instance, askedAt](CommitState state, std::uint64_t version) {
                         if (state != CommitState::Committed)
                             return;
                         Instance &holder = this->instances[instance];
                         this->note(holder.id + " takes the lease at " + std::to_string(version));
                         holder.lease = Placement::leaseAfterClaim(holder.leaseWatch, version,
                                                                   kLeaseDuration, kOrderTimeout,
                                                                   askedAt, this->time);
                     });
    });
}

void World::orderEngines(int instance)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        const Instance &holder = this->instances[instance];
        if (!holder.lease
            || !Placement::mayCommand(*holder.lease, this->engines[i].checksNumbers, kRules,
                                      this->time))
            continue;
        const std::uint64_t number = holder.lease->fencingNumber;
        // A pause may come between the decision and the first byte.
        this->onInstance(instance, jitter(3), [this, instance, i, number] {
            const std::string id = this->instances[instance].id;
            this->after(jitter(900), [this, i, number, id] {
                EngineState &engine = this->engines[i];
                if (engine.checksNumbers && number < engine.number)
                    return;
                engine.number = number;
                engine.orderedBy = id;
            });
        });
    }
}

} // namespace Tanagerbay::Scenario
