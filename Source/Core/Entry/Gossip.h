// Heartbeats between entry instances, as datagrams. Each carries the sender's own report and some
// that it heard, so that what one instance sends does not grow with their number.
#pragma once

#include "Entry/State.h"

#include <functional>

#include <boost/asio/ip/udp.hpp>

namespace Tanagerbay::Entry {

class Gossip
{
public:
    explicit Gossip(State &state);

    // Returns an empty text, or why the port cannot be opened.
    std::string start();
    // Sends heartbeats at once, after a change that others should hear of.
    void announce();
    // How much of the duties this instance can bear, against others.
    double strength() const;
    // Runs for each report of another instance that is newer than what was known.
    void onReport(std::function<void(const Membership::MemberReport &)> action);
    // Adds an instance that the store lists.
    void addListed(const ListedInstance &instance);

private:
    Http::Awaitable<void> sendLoop();
    Http::Awaitable<void> receiveLoop();
    void send();
    Membership::MemberReport ownReport();
    void take(std::string_view datagram);
    void takeReport(const Membership::MemberReport &report);

    State &state;
    boost::asio::ip::udp::socket socket;
    std::function<void(const Membership::MemberReport &)> reportAction;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

} // namespace Tanagerbay::Entry
