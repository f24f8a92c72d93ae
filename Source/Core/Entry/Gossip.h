// Probes between entry instances over UDP, by which they detect failures and pass on what they know
// of each other and of leaving endpoints. The traffic of one instance does not grow with the number
// of instances.
#pragma once

#include "Entry/PeerDatagrams.h"
#include "Membership/Detector.h"

namespace Tanagerbay::Entry {

class Gossip
{
public:
    Gossip(State &state, PeerDatagrams &datagrams);

    void start();
    // Tells some other instances at once, after a change that all must learn of.
    void announce();
    // Checks at once whether an instance is alive, since it has not answered otherwise.
    void check(const Common::InstanceId &instance);
    // Asks an instance for all that it knows.
    void askForAll(const Common::InstanceId &instance);
    // Sets the handler that asks another instance for all that it knows.
    void onAskAll(std::function<void(const Common::Address &)> action);
    // All that this instance knows of the others and has from them, and the reverse.
    boost::json::object allReports();
    void applyAll(const boost::json::object &message);
    // Relative capacity of this instance, by which duties are distributed over the instances.
    double strength() const;
    // Sets the handler that is called for each report of another instance that is newer than the
    // last known one.
    void onReport(std::function<void(const Membership::MemberReport &)> action);
    // Passes on that an endpoint has announced that it leaves.
    void publishLeaving(const LeavingEndpoint &leaving);
    // Sets the handler that is called for each leaving endpoint that another instance names.
    void onLeavingEndpoint(std::function<void(const LeavingEndpoint &)> action);
    // Adds handlers that attach to each datagram and read what others attached. `attach` gets the
    // number of datagrams to which each item is attached, and returns whether it added any.
    void onDatagram(std::function<bool(boost::json::object &, std::uint32_t)> attach,
                    std::function<void(const boost::json::object &)> read);
    // Adds a handler that attaches to an answer with all that this instance knows.
    void onAllReports(std::function<void(boost::json::object &)> attach);
    // Applies the store's list of instances: adds those that are not known.
    void noteListed(const std::vector<ListedInstance> &instances);

private:
    Http::Awaitable<void> sendLoop();
    void send(const std::vector<Membership::ProbeMessage> &messages);
    boost::json::object datagramFor(const Membership::ProbeMessage &message);
    Membership::MemberReport ownReport() const;
    // Raises the sequence if the state that other instances have to know of has changed.
    void noteOwnState();
    void raiseSequence(std::uint64_t above);
    // Raises the number of this start above one that another instance has reported.
    void raiseIncarnation(std::uint64_t reported);
    void askAll(const Common::Address &peer, Common::Duration minInterval);
    void handleDatagram(const boost::json::object &message, const Common::Address &sender);
    void handleNews(const Membership::MemberNews &news, const Common::Address &sender);
    void handleLeaving(const boost::json::array &endpoints);

    State &state;
    PeerDatagrams &datagrams;
    Membership::Detector detector;
    std::function<void(const Membership::MemberReport &)> reportHandler;
    std::function<void(const LeavingEndpoint &)> leavingHandler;
    std::function<void(const Common::Address &)> askAllHandler;
    std::vector<std::function<bool(boost::json::object &, std::uint32_t)>> attachHandlers;
    std::vector<std::function<void(const boost::json::object &)>> attachmentHandlers;
    std::vector<std::function<void(boost::json::object &)>> attachAllHandlers;
    Membership::News<Common::EndpointId, LeavingEndpoint> leavingNews;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 1;
    // The state of the last report that was passed on.
    bool wasReady = false;
    bool wasLeaving = false;
    bool hadLostPaths = false;
    std::optional<Common::Time> askedAllAt;
};

// Returns the instance that sent a datagram, by its own report.
std::optional<Common::InstanceId> senderOf(const boost::json::object &message);

} // namespace Tanagerbay::Entry
