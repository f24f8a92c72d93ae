#include "TestSupport/FreePort.h"

#include <fstream>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::TestSupport;

BOOST_AUTO_TEST_SUITE(FreePort)

BOOST_AUTO_TEST_CASE(freePort_calledRepeatedly_returnsDistinctTestPorts)
{
    constexpr int kCalls = 50;
    std::set<std::uint16_t> seenPorts;
    for (int i = 0; i < kCalls; ++i) {
        const std::uint16_t port = freePort();
        BOOST_TEST(port > kFirstTestPort);
        BOOST_TEST(port <= kLastTestPort);
        seenPorts.insert(port);
    }
    BOOST_TEST(seenPorts.size() == static_cast<std::size_t>(kCalls));
}

// Guards against an outgoing connection that takes a port between its allocation and its use.
BOOST_AUTO_TEST_CASE(testPorts_ephemeralRange_doNotOverlap)
{
    int firstEphemeralPort = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstEphemeralPort;
    BOOST_TEST(firstEphemeralPort > kLastTestPort);
}

BOOST_AUTO_TEST_SUITE_END()
