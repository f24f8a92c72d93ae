// Keeps the limits that endpoints state for all instances together: learns them from answers and
// from the other instances, and opens the gates of the pools' endpoints for this instance's part.
#pragma once

#include "Common/DelayedAction.h"
#include "Entry/ColdWatch.h"
#include "Entry/Gossip.h"
#include "Entry/LimitMessages.h"

namespace Tanagerbay::Entry {

class LimitWatch
{
public:
    LimitWatch(State &state, Gossip &gossip);

    void start();
    // Sets the handler that is called when gates of the pools' endpoints have changed.
    void onChange(std::function<void()> action);
    // Takes note of what the head of an answer to a request sent at `sentAt` states.
    void noteAnswer(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
                    Common::Time sentAt);
    // Sets the gates of the pools' endpoints; called after the pools have changed.
    void applyToPools();
    // Endpoints that are cold; their gates are set here too.
    ColdWatch &coldEndpoints();

private:
    // Applies a change, and passes it on.
    void spread(const Routing::ProcessKey &process, std::string_view learnedFrom);
    // Sets the gates anew as time goes by.
    void refresh(Common::Time now);
    // Returns whether the gate of any endpoint has changed.
    bool updateGates();
    bool updateGate(const std::string &service, Routing::Endpoint &endpoint,
                    const Routing::StatedLimit *limit);
    bool isStageService(const std::string &service) const;
    bool isOnRoutes(const std::string &service) const;
    // Whether the limit permits no requests, or no stage calls where there are no requests.
    bool isBlocked(const std::string &service, double perSecond) const;
    // The part of an endpoint's limit that is left for requests.
    double requestsPart(const std::string &service, double perSecond) const;
    // Drops limits of processes that have not been listed for a while.
    void dropOld(Common::Time now);
    Http::Awaitable<void> followInstances();
    // Asks endpoints for their limit where no answer would show its end: those that permit no
    // sends, and those to which nothing has been sent for a while.
    void askForLimits(Common::Time now);
    // Whether this instance asks the endpoint now. Takes the permit for the question.
    bool beginQuestion(const std::string &service, Routing::Endpoint &endpoint, Common::Time now);
    Http::Awaitable<void> ask(Routing::Endpoint endpoint);
    bool hasLimits() const;

    State &state;
    Gossip &gossip;
    ColdWatch cold;
    Routing::StatedLimits limits;
    Membership::News<Routing::ProcessKey, Routing::ProcessKey> news;
    std::function<void()> changeHandler;
    Common::DelayedAction announcement;
    bool isAnnouncementPending = false;
    std::map<Routing::ProcessKey, Common::Time> askedAt;
};

} // namespace Tanagerbay::Entry
