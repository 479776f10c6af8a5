/// Backend servers that fall silent or refuse connections while a request waits for them.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using namespace hickorypost::testing;

/// A service of engines: silent ones are asked for a sign of life.
void on_engines(one_gateway& it)
{
    site_config config = it.table->config();
    config.services.front().engine.emplace();
    it.table = std::make_shared<const route_table>(config);
}

/// A stream that may pause for 1.5 s has had its first event from an engine.
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

// The route's time is shorter than the usual patience with a silent backend server. Half of it is
// enough to wait for the first.
BOOST_AUTO_TEST_CASE(a_silent_backend_server_leaves_time_for_another)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.timeout = millis{400}; });
    it.timers.run_for(millis{210});
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// One backend server hangs while an idempotent request waits for it. Another one gets it in time.
BOOST_AUTO_TEST_CASE(a_silent_backend_server_is_left)
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

// The small model's answer would not do, and the large one streams, in the second of three attempts
// that the route allows, when its backend server falls silent. One attempt is left: the stream goes
// on elsewhere after the usual patience, not only once the connection is given up.
BOOST_AUTO_TEST_CASE(a_silent_stream_is_resumed_on_the_last_attempt_that_is_left)
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

// An engine goes dark in the middle of a stream. After a third of the longest pause it is asked for
// a sign of life, gives none, and the stream goes on elsewhere before that pause is over. Others
// hear of the engine.
BOOST_AUTO_TEST_CASE(a_stream_leaves_an_engine_that_gives_no_sign_of_life)
{
    one_gateway it;
    begin_stream_on_engine(it);
    const std::string dark = it.backends.last().target.backend;
    it.timers.run_for(millis{500});
    BOOST_TEST(it.probes.attempts.empty());
    it.timers.run_for(millis{400});
    BOOST_REQUIRE(it.probes.attempts.size() == 1U);
    BOOST_TEST(it.probes.last().target.backend == dark);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().head == "model= after=0");
    BOOST_REQUIRE(it.found_silent.size() == 1U);
    BOOST_TEST(it.found_silent.front() == dark);
}

// The engine reads a long prompt: its streams pause, and it answers the question. The stream stays,
// and is left only after the usual patience.
BOOST_AUTO_TEST_CASE(a_stream_stays_with_an_engine_that_gives_a_sign_of_life)
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
    BOOST_TEST(it.found_silent.empty());
    it.answer(200, event(1));
    BOOST_TEST(it.caller.body == event(0) + event(1));
}

// Requests of which no second run is allowed wait for their answer however silent it is there, and
// nobody asks. A question whose connection is refused is no word of silence.
BOOST_AUTO_TEST_CASE(only_silence_of_an_engine_that_can_be_left_is_doubted)
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
    BOOST_TEST(it.found_silent.empty());
}

// Six of nine backend servers have crashed and refuse connections. They have no work, so they look
// best, and the request meets them one after the other. It reaches a sound one all the same, and
// all hosts hear of each that nobody listens at.
BOOST_AUTO_TEST_CASE(a_request_gets_past_many_crashed_backend_servers)
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
    BOOST_TEST(it.found_silent.size() == 6U);
}

// Other hosts have a long prompt on the engine, which reads it for two seconds. That its streams
// stand still meanwhile says nothing of it: nobody asks.
BOOST_AUTO_TEST_CASE(silence_of_an_engine_that_reads_is_not_doubted)
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

BOOST_AUTO_TEST_SUITE_END()
