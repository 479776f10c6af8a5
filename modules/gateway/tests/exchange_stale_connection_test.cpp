#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost::testing;

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_stale_connection)

// Guards against losing an idempotent request on a second kept connection that is closed like the
// first one.
BOOST_AUTO_TEST_CASE(retry_after_a_stale_connection_uses_a_new_one)
{
    one_gateway it;
    it.ask(as_is);
    BOOST_TEST(!it.backends.last().target.new_connection);
    it.fault(attempt_fault::stale);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.new_connection);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against blaming a backend server, and avoiding it, for the end of one of its connections.
BOOST_AUTO_TEST_CASE(stale_connection_is_no_failure_of_its_backend)
{
    one_gateway it;
    it.directory.remove("b2", it.timers.now);
    it.directory.remove("b3", it.timers.now);
    for (int n = 0; n < 5; ++n) {
        it.ask(as_is);
        it.fault(attempt_fault::stale);
        BOOST_REQUIRE(it.backends.last().target.backend == "b1");
        BOOST_REQUIRE(it.backends.last().target.new_connection);
        it.answer(200, "good");
        it.complete();
        BOOST_TEST(it.caller.status == 200U);
    }
    BOOST_TEST(it.crashed.empty());
    BOOST_TEST(it.found_unresponsive.empty());
}

// Guards against sending a request that crashed its backend server to the same address again.
BOOST_AUTO_TEST_CASE(stale_connection_of_a_crashed_backend_excludes_it)
{
    one_gateway it;
    it.ask(as_is);
    const auto first = it.backends.last().target.backend;
    it.dials.ended = {first};
    it.fault(attempt_fault::stale);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.backend != first);
    BOOST_REQUIRE(it.crashed.size() == 1U);
    BOOST_TEST(it.crashed.front().backend == first);
}

// Guards against running a request twice that had been sent on a stale connection.
BOOST_AUTO_TEST_CASE(unsafe_request_sent_on_a_stale_connection_is_not_retried)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::stale);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 502U);
    BOOST_TEST(!it.caller.retry_after);
}

// Guards against failing a request of which no byte was sent before its connection was closed.
BOOST_AUTO_TEST_CASE(unsafe_request_not_sent_on_a_stale_connection_is_retried)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::stale_unsent);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.new_connection);
    BOOST_TEST(it.found_unresponsive.empty());
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against more attempts than the route allows because an attempt failed on a stale
// connection.
BOOST_AUTO_TEST_CASE(attempt_on_a_stale_connection_counts_against_the_route)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.max_attempts = 2; });
    it.fault(attempt_fault::stale);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.caller.status == 502U);
}

// Guards against a log that does not tell a closed kept connection from a failed new one.
BOOST_AUTO_TEST_CASE(reason_names_the_kept_connection)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::stale);
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(it.records.back().reason == describe(attempt_fault::stale));
    BOOST_TEST(it.records.back().reason != describe(attempt_fault::silent));
}

BOOST_AUTO_TEST_SUITE_END()
