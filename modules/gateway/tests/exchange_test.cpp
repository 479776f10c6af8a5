/// Request lifecycle: attempts, retries, relay of answers, deadlines and errors.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using namespace hickorypost::testing;

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_exchange)

BOOST_AUTO_TEST_CASE(complete_answer_reaches_the_caller)
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

// Guards against delivering a part of a truncated answer: the request is idempotent and is retried,
// and the caller gets only the complete answer of the second backend server.
BOOST_AUTO_TEST_CASE(request_is_retried_after_a_truncated_plain_answer)
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

// Guards against running a non-idempotent request twice. It may have run when its connection is
// lost, so there is no second attempt, and the status must not promise that it did not run.
BOOST_AUTO_TEST_CASE(unsafe_request_is_not_retried_after_a_lost_connection)
{
    one_gateway it;
    it.ask(as_unsafe);
    it.fault(attempt_fault::silent);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 502U);
    BOOST_TEST(!it.caller.retry_after);
}

// A non-idempotent request may be sent to another backend server if no byte of it was sent, or if
// the first backend server answered that it did not run.
BOOST_AUTO_TEST_CASE(unsafe_request_that_did_not_run_is_retried)
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

BOOST_AUTO_TEST_CASE(request_refused_by_all_backends_gets_retry_after)
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

BOOST_AUTO_TEST_CASE(attempts_stop_at_the_limit_of_the_route)
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

BOOST_AUTO_TEST_CASE(success_without_a_signature_is_not_delivered)
{
    one_gateway it;
    it.ask(as_unsafe);
    http1::response_head head;
    head.status = 200;
    head.fields.add("X-Unsigned", "1");
    it.backends.last().events->on_head(head);
    BOOST_TEST(it.caller.status == 502U);
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_skipped)
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

// Guards against an answer to an earlier request that comes again without its id and passes for the
// answer to the next request on its connection.
BOOST_AUTO_TEST_CASE(answer_without_an_id_is_skipped_behind_identified_answers)
{
    for (const unsigned status : {200U, 500U, 503U, 421U}) {
        one_gateway it;
        it.ask(as_unsafe);
        it.backends.last().identifies_answers = true; // by the answer before
        http1::response_head head;
        head.status = status;
        head.fields.add("X-Id", "");
        BOOST_TEST(!it.backends.last().events->on_head(head));
        BOOST_TEST(!it.caller.ended);
        it.answer(200, "good");
        it.complete();
        BOOST_TEST(it.caller.body == "good");
    }
}

// Guards against waiting for another answer if a backend server never names requests.
BOOST_AUTO_TEST_CASE(answer_without_an_id_is_taken_if_none_had_one)
{
    one_gateway it;
    it.ask(as_unsafe);
    http1::response_head head;
    head.status = 200;
    head.fields.add("X-Id", "");
    BOOST_TEST(it.backends.last().events->on_head(head));
}

// Guards against lost, duplicated or partial events when a stream breaks off inside an event: the
// next backend server resumes after the last complete event.
BOOST_AUTO_TEST_CASE(stream_resumes_after_its_last_complete_event)
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

// Guards against a stream that ends as if it were complete although an event is missing.
BOOST_AUTO_TEST_CASE(stream_with_a_missing_event_is_broken_off)
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

BOOST_AUTO_TEST_CASE(stream_that_is_not_resumable_is_broken_off)
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

// The backend server does not answer. The caller gets an error before its timeout, and the attempt
// is cancelled.
BOOST_AUTO_TEST_CASE(request_times_out_before_its_caller_gives_up)
{
    one_gateway it;
    it.ask(as_unsafe, millis{1000});
    it.timers.run_for(millis{970});
    BOOST_TEST(it.caller.status == 0U);
    it.timers.run_for(millis{30});
    BOOST_TEST(it.caller.status == 504U);
    BOOST_TEST(it.backends.last().cancelled);
}

BOOST_AUTO_TEST_CASE(shorter_timeout_of_the_route_applies)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_unsafe(route);
        route.timeout = millis{300};
    });
    it.timers.run_for(millis{310});
    BOOST_TEST(it.caller.status == 504U);
}

BOOST_AUTO_TEST_CASE(attempt_is_cancelled_when_the_caller_leaves)
{
    one_gateway it;
    it.ask(as_stream);
    it.answer(200, event(0));
    it.current->caller_left("reset");
    BOOST_TEST(it.backends.last().cancelled);
    BOOST_TEST((it.records.back().outcome == exchange_outcome::caller_left));
    BOOST_TEST(it.records.back().reason == "reset");
}

// A process that has just started knows no backend server. A request waits for the first heartbeat
// instead of being rejected; if none arrives, it is rejected with Retry-After.
BOOST_AUTO_TEST_CASE(request_waits_for_the_first_backend_server)
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

// The smallest model answers with a low confidence. Nothing of that answer has been delivered, so
// the request is sent to the largest model, and the caller gets that answer only.
BOOST_AUTO_TEST_CASE(low_confidence_escalates_to_a_larger_model)
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

// Guards against counting an attempt when this process has no free connection to the backend
// server: nothing was sent, the request goes to another one, and the backend server is not treated
// as unreachable.
BOOST_AUTO_TEST_CASE(full_connection_limit_uses_up_no_attempt)
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

// Other incarnations have taken over the addresses of three backend servers. None of the three ran
// the request, so it may still be sent to the fourth.
BOOST_AUTO_TEST_CASE(reused_addresses_use_up_no_attempts)
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

// Guards against taking a backend server out of use because it refuses one request as misdirected.
BOOST_AUTO_TEST_CASE(backend_that_refuses_a_request_itself_stays_in_use)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.max_attempts = 2; });
    for (int n = 0; n < 2; ++n) {
        http1::response_head head;
        head.status = 421;
        head.fields.add("X-Ran", "0");
        head.fields.add("X-Name", it.backends.last().target.name);
        BOOST_TEST(!it.backends.last().target.name.empty());
        it.backends.last().events->on_head(head);
    }
    BOOST_TEST(it.caller.ended);
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    for (const auto* const id : {"b1", "b2", "b3"}) {
        BOOST_TEST(it.directory.find(id) != nullptr, id);
    }
}

BOOST_AUTO_TEST_SUITE_END()
