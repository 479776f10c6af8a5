#include "hickorypost/gateway/heartbeat_relay.h"

#include <boost/test/unit_test.hpp>

namespace {

using hickorypost::gateway::heartbeat_relay;
using heartbeats = std::map<std::string, std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_relay_suite)

// A host without a disk receives a heartbeat from a backend server, then heartbeats from other
// hosts before its next message. Guards against losing its own heartbeat, and against forwarding
// the others.
BOOST_AUTO_TEST_CASE(own_heartbeat_is_sent_after_heartbeats_from_other_hosts)
{
    heartbeat_relay it{false};
    it.took("own", 3);
    it.heard("other", 7, true);
    BOOST_TEST((it.take() == heartbeats{{"own", 3}}));
    BOOST_TEST(it.take().empty());
}

// Guards against two hosts with a disk that forward the same heartbeat to each other forever.
BOOST_AUTO_TEST_CASE(known_heartbeat_is_not_forwarded_again)
{
    heartbeat_relay it{true};
    it.heard("other", 7, true);
    BOOST_TEST((it.take() == heartbeats{{"other", 7}}));
    it.heard("other", 7, false);
    BOOST_TEST(it.take().empty());
}

BOOST_AUTO_TEST_CASE(newest_sequence_is_sent)
{
    heartbeat_relay it{true};
    it.took("b", 5);
    it.heard("b", 4, true);
    BOOST_TEST((it.take() == heartbeats{{"b", 5}}));
}

BOOST_AUTO_TEST_SUITE_END()
