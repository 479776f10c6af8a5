/// Backend servers that stop responding or refuse connections while a request waits for them.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using namespace hickorypost::testing;

/// Makes the service one of engines, which are probed when they stop responding.
void on_engines(one_gateway& it)
{
    site_config config = it.table->config();
    config.services.front().engine.emplace();
    it.table = std::make_shared<const route_table>(config);
}

/// Starts a stream on an engine, with a target gap of 1.5 s, and delivers its first event.
void begin_stream_on_engine(one_gateway& it)
{
    on_engines(it);
    it.ask([](route_spec& route) {
        as_stream(route);
        route.target_gap = millis{1500};
    });
    it.answer(200, event(0));
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_exchange)

// The route's timeout is shorter than the usual silence limit. The first attempt gets only half of
// it, so that a second one can follow.
BOOST_AUTO_TEST_CASE(failover_leaves_time_for_another_attempt)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.timeout = millis{400}; });
    it.timers.run_for(millis{210});
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// A backend server hangs. An idempotent request is sent to another one before its deadline.
BOOST_AUTO_TEST_CASE(idempotent_request_fails_over_from_a_silent_backend)
{
    one_gateway it;
    it.ask(as_is);
    it.timers.run_for(millis{1600});
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.attempts[0]->cancelled);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// The small model's confidence is too low, and the large model streams in the second of three
// allowed attempts when its backend server stops responding. Guards against an attempt count that
// is one too high: the third attempt must resume the stream after the usual silence limit, without
// waiting until the connection is lost.
BOOST_AUTO_TEST_CASE(silent_stream_is_resumed_with_the_last_attempt)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_stream(route);
        route.models = {"small", "large"};
    });
    it.answer(200, "", true, 0.1);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    it.answer(200, event(0));
    it.timers.run_for(millis{1100});
    BOOST_REQUIRE(it.backends.attempts.size() == 3U);
    BOOST_TEST(it.backends.last().head == "model=large after=0");
}

// An engine hangs in the middle of a stream. It is probed after a third of the longest allowed
// pause and does not answer. The stream is resumed on another engine before that pause is over, and
// the engine is reported as unresponsive.
BOOST_AUTO_TEST_CASE(stream_fails_over_after_a_failed_probe)
{
    one_gateway it;
    begin_stream_on_engine(it);
    const std::string hung = it.backends.last().target.backend;
    it.timers.run_for(millis{500});
    BOOST_TEST(it.probes.attempts.empty());
    it.timers.run_for(millis{400});
    BOOST_REQUIRE(it.probes.attempts.size() == 1U);
    BOOST_TEST(it.probes.last().target.backend == hung);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().head == "model= after=0");
    BOOST_REQUIRE(it.found_unresponsive.size() == 1U);
    BOOST_TEST(it.found_unresponsive.front() == hung);
}

// An engine's streams pause while it prefills a long prompt, but it answers the probe. The stream
// stays there, as the usual silence limit has not been reached.
BOOST_AUTO_TEST_CASE(stream_stays_after_a_successful_probe)
{
    one_gateway it;
    begin_stream_on_engine(it);
    it.timers.run_for(millis{600});
    BOOST_REQUIRE(it.probes.attempts.size() == 1U);
    http1::response_head head;
    it.probes.last().events->on_head(head);
    it.probes.last().events->on_complete();
    it.timers.run_for(millis{1200});
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.found_unresponsive.empty());
    it.answer(200, event(1));
    BOOST_TEST(it.caller.body == event(0) + event(1));
}

// A request that may not run twice waits for its answer, and its engine is not probed. An engine to
// which a probe cannot be sent is not reported as unresponsive.
BOOST_AUTO_TEST_CASE(only_retryable_requests_probe_and_a_failed_connection_is_not_silence)
{
    one_gateway it;
    on_engines(it);
    it.ask(as_unsafe);
    it.timers.run_for(millis{3000});
    BOOST_TEST(it.probes.attempts.empty());
    it.ask(as_stream);
    it.timers.run_for(millis{450});
    BOOST_REQUIRE(it.probes.attempts.size() == 1U);
    it.probes.last().events->on_fault(attempt_fault::not_sent);
    it.timers.run_for(millis{300});
    BOOST_TEST(it.found_unresponsive.empty());
}

// Six of nine backend servers have crashed and refuse connections. They have no load, so they are
// chosen first, one after the other. The request still reaches a healthy one, and each crashed one
// is reported as unresponsive.
BOOST_AUTO_TEST_CASE(request_reaches_a_healthy_backend_past_many_crashed_ones)
{
    one_gateway it;
    for (const auto* id : {"b4", "b5", "b6", "b7", "b8", "b9"}) {
        it.add_backend(id);
    }
    it.ask(as_unsafe);
    for (int n = 0; n < 6; ++n) {
        it.fault(attempt_fault::not_sent);
    }
    BOOST_REQUIRE(it.backends.attempts.size() == 7U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
    BOOST_TEST(it.found_unresponsive.size() == 6U);
}

// Another host has sent the engine a prompt with a prefill time of two seconds. The streams are
// expected to pause meanwhile, so the engine is not probed.
BOOST_AUTO_TEST_CASE(engine_is_not_probed_during_expected_prefill)
{
    one_gateway it;
    on_engines(it);
    for (const auto* id : {"b1", "b2", "b3"}) {
        it.balancer.set_remote_load(id, {1, 2000});
    }
    it.ask(as_stream, millis{4900});
    it.timers.run_for(millis{900});
    BOOST_TEST(it.probes.attempts.empty());
}

// Guards against losing what the answer to a probe says about its backend server.
BOOST_AUTO_TEST_CASE(answers_to_probes_are_passed_on)
{
    one_gateway it;
    begin_stream_on_engine(it);
    it.timers.run_for(millis{700});
    BOOST_REQUIRE(it.probes.attempts.size() == 1U);
    http1::response_head head;
    head.status = 503;
    it.probes.last().events->on_head(head);
    BOOST_REQUIRE(it.probe_answers.size() == 1U);
    BOOST_TEST(it.probe_answers.front().first == it.backends.last().target.backend);
    BOOST_TEST(it.probe_answers.front().second == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
