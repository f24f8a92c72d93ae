// Keeps this instance's belief of which failure domains the operator has evacuated, and passes what
// it learns on to the other instances: attached to probes while it is news, and to the reports of
// readers of the store and to answers with all that is known.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/EvacuationMessages.h"
#include "Entry/Gossip.h"

namespace Tanagerbay::Entry {

class EvacuationWatch
{
public:
    EvacuationWatch(State &state, Gossip &gossip);

    void start();
    // Sets the handler that is called when a domain has been evacuated or its evacuation was taken
    // back.
    void onChange(std::function<void()> action);
    // Sets the handler that is called for each domain whose evacuation was taken back, before that
    // of all changes: its endpoints may have become cold meanwhile.
    void onReturn(std::function<void(const Common::FailureDomain &)> action);
    // Applies a reading of the store by this instance, which ends at the position. Returns whether
    // it brought news.
    bool applyReading(const CatalogUpdate &reading, const StorePosition &position);
    // Applies what another instance states. `origin` is for the log.
    void applyReport(const EvacuationReport &report, std::string_view origin);

private:
    void noteChanges(const std::vector<EvacuationChange> &changes, std::string_view origin);
    void logTurn(const Common::FailureDomain &domain, std::string_view origin);
    Http::Awaitable<void> endLostBeliefs();

    State &state;
    Gossip &gossip;
    Membership::News<Common::FailureDomain, Common::FailureDomain> news;
    std::function<void()> changeHandler;
    std::function<void(const Common::FailureDomain &)> returnHandler;
    Common::DelayedAction announcement;
    bool isAnnouncementPending = false;
};

} // namespace Tanagerbay::Entry
