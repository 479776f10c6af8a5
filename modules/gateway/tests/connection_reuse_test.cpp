#include "hickorypost/gateway/connection_reuse.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

struct test_reuse {
    void fail_one()
    {
        now += millis{1};
        reuse.stale("b1", now);
    }

    instant now{millis{100'000}};
    connection_reuse reuse{{}, [this] { return now; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_reuse_suite)

// Guards against sending request after request on connections that the backend server closes.
BOOST_AUTO_TEST_CASE(reuse_pauses_after_stale_connections_in_a_row)
{
    test_reuse it;
    it.fail_one();
    BOOST_TEST(it.reuse.allows("b1"));
    it.fail_one();
    BOOST_TEST(!it.reuse.allows("b1"));
    BOOST_TEST(it.reuse.allows("b2"));
}

// Guards against opening a connection for each request of a backend server that closes one
// connection now and then.
BOOST_AUTO_TEST_CASE(answers_on_reused_connections_clear_the_count)
{
    test_reuse it;
    for (int n = 0; n < 100; ++n) {
        it.fail_one();
        BOOST_TEST(it.reuse.allows("b1"));
        it.reuse.answered("b1");
    }
}

// Guards against the same after a network fault that resets all connections at once.
BOOST_AUTO_TEST_CASE(connections_lost_together_are_one_failure)
{
    test_reuse it;
    const instant sent = it.now;
    it.now += millis{5};
    for (int n = 0; n < 10; ++n) {
        it.reuse.stale("b1", sent);
    }
    BOOST_TEST(it.reuse.allows("b1"));
}

// Guards against never reusing connections again.
BOOST_AUTO_TEST_CASE(reuse_is_tried_again_after_growing_pauses)
{
    test_reuse it;
    const connection_reuse_settings settings;
    it.fail_one();
    for (millis pause = settings.first_pause; pause < settings.longest_pause; pause *= 2) {
        it.fail_one();
        it.now += pause - millis{1};
        BOOST_TEST(!it.reuse.allows("b1"));
        it.now += millis{1};
        BOOST_TEST(it.reuse.allows("b1"));
    }
    for (int n = 0; n < 40; ++n) {
        it.fail_one();
    }
    it.now += settings.longest_pause;
    BOOST_TEST(it.reuse.allows("b1"));
}

BOOST_AUTO_TEST_SUITE_END()
