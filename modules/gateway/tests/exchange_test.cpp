#include "fakes.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

/// One gateway process with fakes around it.
struct one_gateway {
    one_gateway()
    {
        site_config config;
        config.version = 3;
        route_spec route;
        route.name = "r";
        route.host = "a";
        route.path_prefix = "/";
        route.kind = request_kind::safe;
        route.timeout = millis{5000};
        route.target_latency = millis{500};
        route.max_attempts = 3;
        route.services = {{"app", 1}};
        config.routes.push_back(route);
        config.services.push_back({"app", "/healthz", 100, std::nullopt});
        table = std::make_shared<const route_table>(config);
        for (const auto* id : {"b1", "b2", "b3"}) {
            add_backend(id);
        }
    }

    void add_backend(const std::string& id)
    {
        directory.take({id, "app", id + ":1", "d", "v1", 4, backend_state::ready, 0, 1},
                       timers.now);
    }

    /// A request on a route changed by `change`.
    exchange& ask(const std::function<void(route_spec&)>& change, millis wait = millis{4000})
    {
        asked_route = table->config().routes.front();
        change(asked_route);
        caller_request request;
        request.id = "q";
        request.method = "POST";
        request.target = "/x";
        request.wait = wait;
        request.any_model = !asked_route.models.empty();
        request.arrived = timers.now;
        way = std::make_unique<exchange>(services, caller, std::move(request), table, asked_route,
                                         nullptr);
        way->start();
        return *way;
    }

    void answer(unsigned status, const std::string& body, bool ran = true, double confidence = 1)
    {
        auto* const events = backends.last().events;
        http1::response_head head;
        head.status = status;
        head.fields.add("X-Ran", ran ? "1" : "0");
        head.fields.add("X-Confidence", std::to_string(confidence));
        const std::size_t before = backends.attempts.size();
        events->on_head(head);
        if (!ran || backends.attempts.size() != before) {
            return;
        }
        if (!body.empty()) {
            events->on_body(body);
        }
    }

    void complete() { backends.last().events->on_complete(); }
    void fault(attempt_fault how) { backends.last().events->on_fault(how); }

    testing::fake_scheduler timers;
    testing::fake_backends backends;
    testing::fake_backends probes;
    std::vector<std::string> found_silent;
    liveness_probe liveness{{},
                            probes,
                            timers,
                            [this] { return timers.now; },
                            [](const attempt_target&) { return std::string{"alive?"}; },
                            [this](const std::string& it) { found_silent.push_back(it); }};
    testing::fake_caller caller;
    backend_directory directory{{}};
    load_balancer balancer{{}, "d", seeded_random_fn(5), [](const auto&, const auto&) {}};
    rollout_view rollouts{seeded_random_fn(6), millis{10'000}};
    model_choice models{{}};
    std::map<std::string, retry_window> windows;
    std::vector<exchange_record> records;
    route_table_ptr table;
    route_spec asked_route;
    exchange_services services{
        directory,
        balancer,
        rollouts,
        models,
        windows,
        backends,
        liveness,
        timers,
        [this] { return timers.now; },
        seeded_random_fn(7),
        {},
        {.ratio = 1, .slack = 100},
        [] { return std::size_t{1}; },
        [](const caller_request&, const attempt_order& order) {
            return "model=" + order.model + " after=" +
                   std::to_string(order.last_event_id ? static_cast<int>(*order.last_event_id)
                                                      : -1);
        },
        [](const http1::response_head& head) {
            backend_answer out;
            out.status = head.status;
            out.ran = head.fields.find("X-Ran") != "0";
            out.wrong_backend = head.status == 421;
            out.signed_body = !head.fields.find("X-Unsigned");
            out.request_id = head.fields.find("X-Id").value_or("q");
            out.confidence = std::stod(std::string{head.fields.find("X-Confidence").value_or("1")});
            return out;
        },
        [this](const exchange_record& it) { records.push_back(it); },
        [](const exchange_record&, std::string_view, std::string_view) {}};
    std::unique_ptr<exchange> way;
};

void as_is(route_spec&) {}

void as_unsafe(route_spec& it)
{
    it.kind = request_kind::unsafe;
}

void as_stream(route_spec& it)
{
    it.kind = request_kind::streaming;
    it.resumable = true;
    it.target_gap = millis{500};
}

/// A service of engines: silent ones are asked for a sign of life.
void on_engines(one_gateway& it)
{
    site_config config = it.table->config();
    config.services.front().engine.emplace();
    it.table = std::make_shared<const route_table>(config);
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
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
        it.balancer.set_others(id, {1, 2000});
    }
    it.ask(as_stream, millis{4900});
    it.timers.run_for(millis{900});
    BOOST_TEST(it.probes.attempts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
