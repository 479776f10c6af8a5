#include "gateway/backend_dial.h"

#include "fakes.h"
#include "loopback_listener.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

struct one_dial {
    net::poller poller;
    fake_scheduler timers;
    loopback_listener server;
    std::optional<bool> refused;
    backend_dial dial{poller, timers, [this] { return timers.now; },
                      "127.0.0.1:" + std::to_string(server.address().port),
                      [this](bool it) { refused = it; }};

    /// Whether the dial, once it is over, was refused.
    void check_result(bool wanted)
    {
        run_for(millis{0});
        run_for(millis{0});
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(*refused == wanted);
    }
    void run_for(millis time)
    {
        turn_main_loop();
        timers.run_for(time);
        turn_main_loop();
        timers.run_for(millis{0});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_dial_suite)

// Guards against missing a crash whose connections close before the server stops listening.
BOOST_AUTO_TEST_CASE(server_that_accepts_while_it_ends_refuses)
{
    one_dial it;
    it.run_for(millis{20});
    BOOST_TEST(!it.refused.has_value());
    it.server.close();
    it.check_result(true);
}

// Guards against missing a crash whose reset comes before the connection is seen to be open.
BOOST_AUTO_TEST_CASE(server_that_resets_before_the_connection_is_seen_refuses)
{
    one_dial it;
    it.server.close();
    it.check_result(true);
}

// Guards against taking a live server for one that has ended.
BOOST_AUTO_TEST_CASE(server_that_keeps_the_connection_accepts)
{
    one_dial it;
    it.run_for(millis{50});
    BOOST_REQUIRE(it.refused.has_value());
    BOOST_TEST(!*it.refused);
}

// Guards against connecting without end to a server that has reached its connection limit.
BOOST_AUTO_TEST_CASE(server_that_closes_each_connection_is_dialled_three_times)
{
    one_dial it;
    std::size_t dialled = 0;
    for (int turn = 0; turn < 20; ++turn) {
        it.run_for(millis{1});
        dialled += it.server.accept_and_close();
    }
    BOOST_TEST(dialled == 3U);
    BOOST_REQUIRE(it.refused.has_value());
    BOOST_TEST(!*it.refused);
}

BOOST_AUTO_TEST_SUITE_END()
