#include "port_block.h"

#include "deployment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace hickorypost::testing;

BOOST_AUTO_TEST_SUITE(port_block_suite)

// Guards against a server that can't listen because a client's socket has its port.
BOOST_AUTO_TEST_CASE(ports_of_servers_are_not_those_of_clients)
{
    std::ifstream range{"/proc/sys/net/ipv4/ip_local_port_range"};
    std::uint16_t first = 0;
    range >> first;
    for (const auto port : free_ports(100)) {
        BOOST_TEST(port < first);
    }
}

// Guards against two test programs that start servers on the same port.
BOOST_AUTO_TEST_CASE(blocks_share_no_port)
{
    port_block one;
    port_block two;
    auto ports = one.take(200);
    const auto others = two.take(200);
    ports.insert(ports.end(), others.begin(), others.end());
    std::sort(ports.begin(), ports.end());
    BOOST_TEST((std::adjacent_find(ports.begin(), ports.end()) == ports.end()));
}

BOOST_AUTO_TEST_CASE(ports_taken_one_after_another_differ)
{
    BOOST_TEST(free_ports(1) != free_ports(1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
