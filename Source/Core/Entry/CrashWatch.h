// Finds out which endpoints have crashed and which requests must not be sent any more because they
// crash endpoints. Exchanges the evidence with the other instances.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/EvidenceExchange.h"
#include "Entry/Gossip.h"
#include "Quarantine/VerdictDigest.h"

#include <set>

namespace Tanagerbay::Entry {

class CrashWatch
{
public:
    CrashWatch(State &state, Gossip &gossip);

    void start();
    // Sets the handler that is called when other requests than before are quarantined.
    void onChange(std::function<void()> action);
    // Records that the connection to the endpoint was lost before the answer to the request began.
    void noteLost(const Routing::Endpoint &endpoint, const std::vector<Quarantine::Trait> &traits,
                  const std::vector<std::string> &traitNames);
    void noteAnswerBegun(const std::vector<Quarantine::Trait> &traits);
    // Returns the suspicion for which a request with these traits must not be sent, or nullptr.
    const Quarantine::Suspicion *find(const std::vector<Quarantine::Trait> &traits) const;
    // Returns whether this instance sends the request although it is quarantined, as the only one
    // of all instances, to find out whether it still crashes its endpoint.
    bool beginTrial(const Quarantine::Suspicion &suspicion);
    // Takes back a trial whose request was not run, so that the next one may be the trial.
    void cancelTrial(const std::vector<Quarantine::Trait> &suspicionTraits);
    // Returns the names of the traits as far as this instance knows them.
    std::string describe(const Quarantine::Suspicion &suspicion) const;
    boost::json::array dump() const;

private:
    // A lost connection whose cause is not known yet.
    struct Loss
    {
        Common::Time at;
        std::vector<Quarantine::Trait> suspects;
    };

    Http::Awaitable<void> findCause(Quarantine::Process process, Common::Address address);
    void recordCrash(const Quarantine::Process &process, const Loss &loss);
    void apply(const Quarantine::News &news, Common::Time now);
    // Asks for evidence that this instance has missed, if the datagram shows any.
    void compareVerdicts(const boost::json::object &message, Common::Time now);
    // Passes news on, and decides again soon.
    void spread(const Quarantine::News &news);
    void decide();
    void logChanges(const std::vector<Quarantine::Suspicion> &before, Common::Time now);
    void rememberNames(const std::vector<Quarantine::Trait> &traits,
                       const std::vector<std::string> &traitNames);
    bool isTrialInstance(const Quarantine::Suspicion &suspicion, Common::Time now) const;
    Http::Awaitable<void> dropOldEvidence();

    State &state;
    Gossip &gossip;
    Quarantine::Evidence evidence;
    EvidenceExchange exchange;
    std::vector<Quarantine::Suspicion> suspicions;
    Quarantine::DigestComparison comparison;
    std::map<Quarantine::Process, Loss> losses;
    // When this instance last began a trial of a suspicion with these traits.
    std::map<std::vector<Quarantine::Trait>, Common::Time> trials;
    std::map<Quarantine::Trait, std::string> names;
    std::function<void()> changeHandler;
    Common::DelayedAction nextDecision;
    Common::DelayedAction newsAction;
    bool isNewsPending = false;
};

} // namespace Tanagerbay::Entry
