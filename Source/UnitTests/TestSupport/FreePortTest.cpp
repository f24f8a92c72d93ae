#include "TestSupport/FreePort.h"

#include <fstream>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::TestSupport;

BOOST_AUTO_TEST_SUITE(FreePort)

BOOST_AUTO_TEST_CASE(freePort_calledOften_givesDifferentPortsOfTheTests)
{
    constexpr int kCalls = 50;
    std::set<std::uint16_t> seen;
    for (int i = 0; i < kCalls; ++i) {
        const std::uint16_t port = freePort();
        BOOST_TEST(port > kFirstTestPort);
        BOOST_TEST(port <= kLastTestPort);
        seen.insert(port);
    }
    BOOST_TEST(seen.size() == static_cast<std::size_t>(kCalls));
}

// An outgoing connection must not be able to take a port between its choice and its use.
BOOST_AUTO_TEST_CASE(testPorts_andThoseOfOutgoingConnections_doNotOverlap)
{
    int firstOutgoing = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstOutgoing;
    BOOST_TEST(firstOutgoing > kLastTestPort);
}

BOOST_AUTO_TEST_SUITE_END()
