#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// Each attempt ends its backend server.
void crash_all(one_gateway& it)
{
    it.dials.ended = {"b1", "b2", "b3", "b4", "b5"};
}

void crash_under(one_gateway& it, std::size_t attempts)
{
    for (std::size_t n = 0; n < attempts; ++n) {
        it.timers.run_for(millis{100});
        it.fault(attempt_fault::silent);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_crashes)

// Guards against attempts of a request after it is known to crash what runs it, in any attempt of
// its caller.
BOOST_AUTO_TEST_CASE(request_known_to_crash_is_refused_for_good_and_not_sent)
{
    one_gateway it;
    crash_all(it);
    it.ask(as_is);
    crash_under(it, 3);
    BOOST_TEST(it.backends.attempts.size() == 3U);
    BOOST_TEST(it.caller.status == 502U);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 3U);
    BOOST_TEST(it.caller.status == 400U);
    BOOST_TEST(!it.caller.retry_after);
    BOOST_REQUIRE(it.records.size() == 2U);
    BOOST_TEST((it.records.back().outcome == exchange_outcome::rejected));
    BOOST_TEST(it.records.back().identity.has_value());
}

// Guards against an attempt that goes on before it is known whether the last one crashed.
BOOST_AUTO_TEST_CASE(further_attempt_waits_until_the_crash_is_known)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_is);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.timers.run_for(millis{300});
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.suspects.empty());
}

// Guards against a result for a request whose time has passed meanwhile.
BOOST_AUTO_TEST_CASE(deadline_passes_while_the_crash_is_checked)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_is, millis{150});
    it.fault(attempt_fault::silent);
    it.timers.run_for(millis{400});
    BOOST_TEST(it.caller.status == 504U);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.records.size() == 1U);
}

// Guards against blame for requests that succeed at another backend server.
BOOST_AUTO_TEST_CASE(success_after_a_crash_clears_the_request)
{
    one_gateway it;
    it.dials.ended = {"b1", "b2", "b3"};
    it.ask(as_is);
    crash_under(it, 1);
    BOOST_TEST(!it.suspects.suspects().empty());
    it.answer(200, "fine");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
    BOOST_TEST(it.suspects.suspects().empty());
}

// Guards against answering as refused what has run: only a request that may be repeated is.
BOOST_AUTO_TEST_CASE(request_that_may_run_once_fails_at_once)
{
    one_gateway it;
    it.dials.unanswered = true;
    it.ask(as_unsafe);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.caller.status == 502U);
    it.dials.unanswered = false;
}

// Guards against streams that are broken off without an end, or resumed at yet another backend.
BOOST_AUTO_TEST_CASE(stream_known_to_crash_is_broken_off)
{
    one_gateway it;
    crash_all(it);
    it.add_backend("b4");
    it.add_backend("b5");
    it.ask([](route_spec& route) {
        as_stream(route);
        route.max_attempts = 5;
    });
    it.answer(200, event(0));
    crash_under(it, 3);
    BOOST_TEST(it.caller.broken);
    BOOST_TEST(it.backends.attempts.size() == 3U);
}

// Guards against blame for attempts that this side has ended.
BOOST_AUTO_TEST_CASE(deadline_and_departure_of_the_caller_are_no_crash)
{
    one_gateway it;
    crash_all(it);
    it.ask(as_unsafe, millis{100});
    it.timers.run_for(millis{200});
    BOOST_TEST(it.caller.status == 504U);
    it.ask(as_unsafe).caller_left();
    it.timers.run_for(millis{200});
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.suspects.empty());
}

BOOST_AUTO_TEST_SUITE_END()
