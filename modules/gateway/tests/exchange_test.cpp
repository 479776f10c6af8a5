/// A request's way: choice, attempts, repeats, relay and refusals.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using namespace hickorypost::testing;

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_exchange)

BOOST_AUTO_TEST_CASE(a_whole_answer_reaches_the_caller)
{
    one_gateway it;
    it.ask(as_is);
    it.answer(200, "good");
    BOOST_TEST(!it.caller.ended);
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
    BOOST_TEST(it.caller.body == "good");
    BOOST_TEST((it.records.back().outcome == exchange_outcome::answered));
}

// The backend server breaks off in the middle of an answer to an idempotent request. The caller
// sees only the second one's whole answer, nothing of the first.
BOOST_AUTO_TEST_CASE(a_broken_plain_answer_is_asked_for_again)
{
    one_gateway it;
    it.ask(as_is);
    it.answer(200, "go");
    it.fault(attempt_fault::broken);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.attempts[0]->target.backend != it.backends.attempts[1]->target.backend);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// A request that may run once was sent, and its connection dies. It may have run: no second
// attempt, and the answer must not promise that it has not run.
BOOST_AUTO_TEST_CASE(an_unsafe_request_is_never_sent_again_after_silence)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 502U);
    BOOST_TEST(!it.caller.retry_after);
}

// No byte of it left, or the backend server says that it did not run: another one may have it.
BOOST_AUTO_TEST_CASE(an_unsafe_request_that_did_not_run_goes_elsewhere)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::not_sent);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    it.answer(503, "", false);
    BOOST_REQUIRE(it.backends.attempts.size() == 3U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

BOOST_AUTO_TEST_CASE(a_request_that_all_refuse_is_told_when_to_come_back)
{
    one_gateway it;
    it.ask(as_unsafe);
    for (int n = 0; n < 3; ++n) {
        it.answer(503, "", false);
    }
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.caller.retry_after);
    BOOST_TEST((it.records.back().outcome == exchange_outcome::not_run));
}

BOOST_AUTO_TEST_CASE(no_more_backend_servers_are_tried_than_the_route_allows)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.max_attempts = 2; });
    it.answer(500, "bad1");
    it.complete();
    it.answer(500, "bad2");
    it.complete();
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.caller.status == 500U);
    BOOST_TEST(it.caller.body == "bad2");
}

BOOST_AUTO_TEST_CASE(a_success_without_a_signature_is_none)
{
    one_gateway it;
    it.ask(as_unsafe);
    http1::response_head head;
    head.status = 200;
    head.fields.add("X-Unsigned", "1");
    it.backends.last().events->on_head(head);
    BOOST_TEST(it.caller.status == 502U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped)
{
    one_gateway it;
    it.ask(as_unsafe);
    http1::response_head head;
    head.status = 200;
    head.fields.add("X-Id", "other");
    BOOST_TEST(!it.backends.last().events->on_head(head));
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// A stream breaks off within an event. The next backend server goes on after the last whole event;
// the caller's events are whole and follow each other.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_after_its_last_whole_event)
{
    one_gateway it;
    it.ask(as_stream);
    it.answer(200, event(0) + event(1) + "id: 2\nda");
    it.fault(attempt_fault::broken);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().head.find("after=1") != std::string::npos);
    it.answer(200, event(1) + event(2) + event(3));
    it.complete();
    BOOST_TEST(it.caller.body == event(0) + event(1) + event(2) + event(3));
    BOOST_TEST(it.caller.ended);
}

// A piece is missing in what the second run sends. The stream must not end as if it were whole.
BOOST_AUTO_TEST_CASE(a_stream_with_a_piece_missing_ends_visibly_broken)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_stream(route);
        route.max_attempts = 1;
    });
    it.answer(200, event(0));
    it.backends.last().events->on_body(event(2));
    BOOST_TEST(it.caller.broken);
    BOOST_TEST(!it.caller.ended);
    BOOST_TEST(it.caller.body.find("id: 2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_be_resumed_is_broken_off)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_stream(route);
        route.resumable = false;
    });
    it.answer(200, event(0));
    it.fault(attempt_fault::broken);
    BOOST_TEST(it.caller.broken);
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// The backend server says nothing. At the deadline the caller has its answer, and the attempt is
// gone.
BOOST_AUTO_TEST_CASE(the_deadline_is_answered_on_time)
{
    one_gateway it;
    it.ask(as_unsafe, millis{1000});
    it.timers.run_for(millis{970});
    BOOST_TEST(it.caller.status == 0U);
    it.timers.run_for(millis{30});
    BOOST_TEST(it.caller.status == 504U);
    BOOST_TEST(it.backends.last().cancelled);
}

BOOST_AUTO_TEST_CASE(the_routes_timeout_goes_before_a_longer_wait)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_unsafe(route);
        route.timeout = millis{300};
    });
    it.timers.run_for(millis{310});
    BOOST_TEST(it.caller.status == 504U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_its_attempt)
{
    one_gateway it;
    it.ask(as_stream);
    it.answer(200, event(0));
    it.way->caller_left();
    BOOST_TEST(it.backends.last().cancelled);
    BOOST_TEST((it.records.back().outcome == exchange_outcome::caller_left));
}

// A process has just started and knows no backend server. A request waits for the first heartbeat
// instead of being turned away; if none comes it hears when to come back.
BOOST_AUTO_TEST_CASE(a_request_waits_for_the_first_backend_server)
{
    one_gateway it;
    for (const auto* id : {"b1", "b2", "b3"}) {
        it.directory.remove(id, it.timers.now);
    }
    it.ask(as_unsafe);
    it.timers.run_for(millis{300});
    BOOST_TEST(it.caller.status == 0U);
    it.add_backend("b4");
    it.timers.run_for(millis{100});
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    it.directory.remove("b4", it.timers.now);
    it.ask(as_unsafe);
    it.timers.run_for(millis{1500});
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.caller.retry_after);
}

// The smallest model answers and is not sure of it. Nothing of that answer has reached the caller,
// so the largest is asked and its answer is the one delivered.
BOOST_AUTO_TEST_CASE(an_unsure_answer_is_asked_for_of_a_larger_model)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_stream(route);
        route.models = {"small", "large"};
    });
    BOOST_TEST(it.backends.last().head.find("model=small") != std::string::npos);
    it.answer(200, event(0), true, 0.2);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.attempts[0]->cancelled);
    BOOST_TEST(it.backends.last().head.find("model=large") != std::string::npos);
    it.answer(200, event(0), true, 0.1);
    it.complete();
    BOOST_TEST(it.caller.body == event(0));
}

// All connections that this process may have to a backend server are taken. The request goes
// elsewhere and uses up no try; the backend server is not taken for unreachable.
BOOST_AUTO_TEST_CASE(a_full_connection_limit_sends_a_request_elsewhere)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_unsafe(route);
        route.max_attempts = 1;
    });
    it.fault(attempt_fault::no_room);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Three addresses in a row were taken over by other incarnations. None of the three has seen the
// request, so it may still go to the one that is really there.
BOOST_AUTO_TEST_CASE(addresses_taken_over_use_up_no_tries)
{
    one_gateway it;
    it.add_backend("b4");
    it.ask([](route_spec& route) {
        as_unsafe(route);
        route.max_attempts = 1;
    });
    for (int n = 0; n < 3; ++n) {
        it.answer(421, "", false);
    }
    BOOST_REQUIRE(it.backends.attempts.size() == 4U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
