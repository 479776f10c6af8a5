#include "hickorypost/gateway/heartbeat_relay.h"

#include <boost/test/unit_test.hpp>

namespace {

using hickorypost::gateway::heartbeat_relay;
using beats = std::map<std::string, std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_relay_suite)

// A backend server brings its heartbeats to a host without a disk. Before that host's turn comes,
// others tell it of theirs. Its own must still be told, and theirs need not be.
BOOST_AUTO_TEST_CASE(what_a_host_took_itself_outlasts_what_others_tell)
{
    heartbeat_relay it{false};
    it.took("own", 3);
    it.heard("other", 7, true);
    BOOST_TEST((it.take() == beats{{"own", 3}}));
    BOOST_TEST(it.take().empty());
}

// Two hosts with a disk tell each other of one heartbeat. What comes back is no news and ends
// there.
BOOST_AUTO_TEST_CASE(an_echo_is_not_passed_on)
{
    heartbeat_relay it{true};
    it.heard("other", 7, true);
    BOOST_TEST((it.take() == beats{{"other", 7}}));
    it.heard("other", 7, false);
    BOOST_TEST(it.take().empty());
}

BOOST_AUTO_TEST_CASE(the_newest_sequence_is_told)
{
    heartbeat_relay it{true};
    it.took("b", 5);
    it.heard("b", 4, true);
    BOOST_TEST((it.take() == beats{{"b", 5}}));
}

BOOST_AUTO_TEST_SUITE_END()
