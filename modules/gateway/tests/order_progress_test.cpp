#include "hickorypost/gateway/order_progress.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using gateway::order_progress;

const instant start{millis{100'000}};

} // namespace

BOOST_AUTO_TEST_SUITE(order_progress_suite)

// All hosts come back after a loss of power and ask the leader for its state; each answer waits
// behind the others in the leader's link. A host that asked again every quarter of a second would
// lengthen that queue faster than it drains, until the leader is ended for its memory.
BOOST_AUTO_TEST_CASE(a_leader_that_is_busy_answering_is_not_asked_again_at_once)
{
    order_progress it{start};
    it.sent_to("leader", start);
    BOOST_TEST(!it.ask_again("leader", start + millis{500}));
    BOOST_TEST(it.ask_again("leader", start + millis{601}));
}

BOOST_AUTO_TEST_CASE(another_leader_is_asked_at_the_next_turn)
{
    order_progress it{start};
    it.sent_to("old", start);
    BOOST_TEST(!it.ask_again("new", start + millis{40}));
    BOOST_TEST(it.ask_again("new", start + millis{51}));
}

BOOST_AUTO_TEST_CASE(without_a_known_leader_the_next_host_is_tried_soon)
{
    order_progress it{start};
    it.sent_to("somebody", start);
    BOOST_TEST(!it.ask_again({}, start + millis{200}));
    BOOST_TEST(it.ask_again({}, start + millis{251}));
}

BOOST_AUTO_TEST_CASE(a_host_that_said_no_but_is_still_taken_for_the_leader_is_asked_again_soon)
{
    order_progress it{start};
    it.sent_to("leader", start);
    it.refused();
    BOOST_TEST(!it.ask_again("leader", start + millis{200}));
    BOOST_TEST(it.ask_again("leader", start + millis{251}));
}

BOOST_AUTO_TEST_CASE(an_order_ends_before_the_operator_moves_on)
{
    const order_progress it{start};
    BOOST_TEST(!it.expired(start + millis{900}));
    BOOST_TEST(it.expired(start + millis{901}));
}

BOOST_AUTO_TEST_SUITE_END()
