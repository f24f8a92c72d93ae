// Keeps what is believed of cold endpoints, from the list, from their answers and from failed
// calls, and computes how often this instance may send to one.
//
// Takes effect only where the settings bound what a cold endpoint may get and the catalog states
// the rate of its service.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/ColdMessages.h"
#include "Entry/Gossip.h"
#include "Routing/ColdEndpoints.h"

#include <functional>

namespace Tanagerbay::Entry {

class ColdWatch
{
public:
    ColdWatch(State &state, Gossip &gossip);

    void start();

    // Sets the handler that is called when the gates of endpoints have to be set anew.
    void onChange(std::function<void()> action);
    // Takes note of an entry of the list.
    void noteEntry(const ListedEndpoint &listed, Routing::ProcessNews process);
    // Takes note of what the head of an answer to a request sent at `sentAt` states.
    void noteAnswer(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
                    Common::Time sentAt);
    // Takes note of which process an endpoint states to be. A later one than listed has started
    // since the list was read; an earlier one was stated before.
    void noteProcess(const Routing::Endpoint &endpoint, std::uint64_t process);
    // Takes note of a failed call. An endpoint that is believed to be down may run again, unlisted
    // and cold, when it is tried the next time.
    void noteFailure(const std::string &service, const Common::EndpointId &id);
    // Takes note that endpoints of a failure domain may be used again, where nothing was to be sent
    // before: they may have become cold meanwhile, and the list may not show it yet.
    void noteReturned(const Common::FailureDomain &domain);
    // Sets the endpoint's rate and returns the minimum time between two sends of this instance:
    // zero while the endpoint is believed warm, `kNoSends` if others send.
    Common::Duration applyTo(const std::string &service, Routing::Endpoint &endpoint,
                             Common::Time now);
    // Forgets beliefs whose time is over. Returns whether there were any.
    bool dropWarm(Common::Time now);
    bool hasBeliefs() const;

private:
    // This instance's part of the rate of a cold endpoint.
    struct Part
    {
        Common::Duration interval{0};
        double perSecond = 0;
        Common::Time computedAt;
    };

    // Returns how processes of the service start, if there is a bound on what cold ones may get.
    std::optional<Catalog::ColdStart> coldStartOf(const std::string &service) const;
    // Returns the service of a listed endpoint; empty if it is not listed.
    std::string serviceOf(const Common::EndpointId &id) const;
    void note(Routing::ColdChange change, const std::string &service, const Common::EndpointId &id);
    void countCold(Common::Time now);
    Common::Duration partOf(const Common::EndpointId &id, double perSecond, Common::Time now);

    // Tells other instances, unless they find it out as this one did or have told it.
    void spread(Routing::ColdChange change, const Common::EndpointId &id);
    // Returns the beliefs of these endpoints that others are told of.
    std::vector<ColdNews> newsOf(const std::vector<Common::EndpointId> &ids) const;
    void noteTold(const ColdNews &news);

    State &state;
    Gossip &gossip;
    Routing::ColdBeliefs beliefs;
    Routing::ColdEnds ends;
    std::map<Common::EndpointId, Part> parts;
    // Until when others were last told that an endpoint is cold.
    std::map<Common::EndpointId, Common::Time> toldUntil;
    Membership::News<Common::EndpointId, Common::EndpointId> news;
    Common::DelayedAction announcement;
    bool isAnnouncementPending = false;
    std::function<void()> changeHandler;
};

} // namespace Tanagerbay::Entry
