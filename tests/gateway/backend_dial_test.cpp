#include "gateway/backend_dial.h"

#include "fakes.h"
#include "loopback_listener.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// A `backend_dial` to a listening socket on the loopback address.
struct dial_fixture {
    net::poller poller;
    fake_scheduler timers;
    loopback_listener server;
    std::optional<bool> refused;
    backend_dial dial{poller, timers, [this] { return timers.now; },
                      "127.0.0.1:" + std::to_string(server.address().port),
                      [this](bool result) { refused = result; }};

    /// Lets the dial finish and checks its result.
    void check_refused(bool expected)
    {
        run_for(millis{0});
        run_for(millis{0});
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(*refused == expected);
    }
    void run_for(millis time)
    {
        run_main_loop();
        timers.run_for(time);
        run_main_loop();
        timers.run_for(millis{0});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_dial_suite)

// Guards against missing a crash of a backend server whose connections are closed before its
// listening socket, so that a new connection is still accepted for a moment.
BOOST_AUTO_TEST_CASE(listener_that_closes_after_the_connection_counts_as_refused)
{
    dial_fixture fixture;
    fixture.run_for(millis{20});
    BOOST_TEST(!fixture.refused.has_value());
    fixture.server.close();
    fixture.check_refused(true);
}

// Guards against missing a crash of a backend server whose reset arrives before the connection is
// reported as open.
BOOST_AUTO_TEST_CASE(reset_before_the_connection_is_reported_counts_as_refused)
{
    dial_fixture fixture;
    fixture.server.close();
    fixture.check_refused(true);
}

// Guards against treating a running backend server as crashed.
BOOST_AUTO_TEST_CASE(open_connection_counts_as_accepted)
{
    dial_fixture fixture;
    fixture.run_for(millis{50});
    BOOST_REQUIRE(fixture.refused.has_value());
    BOOST_TEST(!*fixture.refused);
}

// Guards against connecting endlessly to a backend server that has reached its connection limit and
// closes each new connection.
BOOST_AUTO_TEST_CASE(closed_connections_are_retried_up_to_three_attempts)
{
    dial_fixture fixture;
    std::size_t connections = 0;
    for (int turn = 0; turn < 20; ++turn) {
        fixture.run_for(millis{1});
        connections += fixture.server.accept_and_close();
    }
    BOOST_TEST(connections == 3U);
    BOOST_REQUIRE(fixture.refused.has_value());
    BOOST_TEST(!*fixture.refused);
}

BOOST_AUTO_TEST_SUITE_END()
