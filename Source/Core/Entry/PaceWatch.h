// Passes the lasting paces of endpoints that instances learn on to the other instances, with the
// datagrams that they exchange anyway. One instance alone sends to an endpoint too seldom.
#pragma once

#include "Entry/Gossip.h"

namespace Tanagerbay::Entry {

class PaceWatch
{
public:
    PaceWatch(State &state, Gossip &gossip);

    void start();
    // Passes on what this instance has learnt of the endpoint.
    void publish(const Routing::Endpoint &endpoint);

private:
    void attach(boost::json::object &message, std::uint32_t repeats);
    void read(const boost::json::object &message);
    Routing::Endpoint *find(const Common::EndpointId &id);

    State &state;
    Gossip &gossip;
    Membership::News<Common::EndpointId, Common::EndpointId> news;
};

} // namespace Tanagerbay::Entry
