#include "hickorypost/gateway/order_progress.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using gateway::order_progress;

const instant start{millis{100'000}};

} // namespace

BOOST_AUTO_TEST_SUITE(order_progress_suite)

// Guards against exhausting the leader's memory after a power loss. All hosts request the leader's
// state, and the answers queue on the leader's link. Resending every quarter of a second would
// lengthen that queue faster than it drains, until the leader is killed for its memory.
BOOST_AUTO_TEST_CASE(order_to_the_leader_is_resent_after_the_long_interval)
{
    order_progress it{start};
    it.sent_to("leader", start);
    BOOST_TEST(!it.ask_again("leader", start + millis{500}));
    BOOST_TEST(it.ask_again("leader", start + millis{601}));
}

// Guards against waiting for a host that is no longer the leader.
BOOST_AUTO_TEST_CASE(order_is_resent_to_a_new_leader_at_the_next_check)
{
    order_progress it{start};
    it.sent_to("old", start);
    BOOST_TEST(!it.ask_again("new", start + millis{40}));
    BOOST_TEST(it.ask_again("new", start + millis{51}));
}

// Guards against a stalled order while no leader is known.
BOOST_AUTO_TEST_CASE(order_is_resent_after_the_short_interval_while_no_leader_is_known)
{
    order_progress it{start};
    it.sent_to("somebody", start);
    BOOST_TEST(!it.ask_again({}, start + millis{200}));
    BOOST_TEST(it.ask_again({}, start + millis{251}));
}

// Guards against the long interval after a refusal by a host that is still believed to lead.
BOOST_AUTO_TEST_CASE(order_refused_by_the_supposed_leader_is_resent_after_the_short_interval)
{
    order_progress it{start};
    it.sent_to("leader", start);
    it.refused();
    BOOST_TEST(!it.ask_again("leader", start + millis{200}));
    BOOST_TEST(it.ask_again("leader", start + millis{251}));
}

// Guards against an order that outlives the operator's client, which moves on after a second.
BOOST_AUTO_TEST_CASE(order_times_out_before_the_client_tries_another_host)
{
    const order_progress it{start};
    BOOST_TEST(!it.expired(start + millis{900}));
    BOOST_TEST(it.expired(start + millis{901}));
}

BOOST_AUTO_TEST_SUITE_END()
