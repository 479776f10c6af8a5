#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

/// A gateway whose service has three engines. The target of its route is 1,000 ms, so that requests
/// wait while each engine has a backlog of more than 500 ms.
struct engine_gateway : one_gateway {
    engine_gateway()
    {
        asked_tokens = 1000;
        site_config config = table->config();
        config.routes.front().target_latency = millis{1000};
        config.services.front().engine = engine_spec{};
        table = std::make_shared<const route_table>(config);
        services.note = [this](const exchange_record& record, std::string_view what,
                               std::string_view) {
            ++notes[std::string{what}];
            last_waited = record.waited;
        };
        balancer.on_remote_load = [this] { admission.load_changed(); };
    }
    /// Sets the pending prefill that other hosts report for each engine.
    void set_backlog(double ms)
    {
        for (const auto* const id : {"b1", "b2", "b3"}) {
            balancer.set_remote_load(id, {1, ms});
        }
    }

    std::map<std::string, int> notes;
    micros last_waited{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_admission)

// Guards against delays where nothing is scarce.
BOOST_AUTO_TEST_CASE(request_is_sent_at_once_below_the_bound)
{
    engine_gateway it;
    it.set_backlog(499);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.notes.empty());
}

// Guards against requests that wait although one engine is idle, as another one is preferred.
BOOST_AUTO_TEST_CASE(request_does_not_wait_while_any_engine_has_room)
{
    engine_gateway it;
    it.balancer.set_remote_load("b1", {1, 2000});
    it.balancer.set_remote_load("b2", {1, 2000});
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against requests that stay in the queue when an engine has room again.
BOOST_AUTO_TEST_CASE(request_waits_for_room_and_is_sent_when_load_reports_show_it)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.empty());
    BOOST_TEST(it.admission.waiting().at("app") == 1U);
    it.timers.run_for(millis{100});
    BOOST_TEST(it.backends.attempts.empty());
    it.balancer.set_remote_load("b2", {1, 100});
    it.timers.run_for(millis{5});
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.backends.last().target.backend == "b2");
    BOOST_TEST(it.admission.waiting().at("app") == 0U);
    BOOST_TEST(it.notes.at("queued") == 1);
    BOOST_TEST(it.notes.at("dequeued") == 1);
    BOOST_TEST(to_millis(it.last_waited) >= 100);
    it.answer(200, "fine");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against evaluations without end: a timer that is due again at once.
BOOST_AUTO_TEST_CASE(evaluations_are_limited_by_time)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_is);
    for (int n = 0; n < 50; ++n) {
        it.set_backlog(800);
        it.timers.run_for(millis{1});
    }
    BOOST_TEST(it.backends.attempts.empty());
    it.set_backlog(0);
    it.timers.run_for(millis{5});
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against holding a request until its deadline although it can't be answered.
BOOST_AUTO_TEST_CASE(hopeless_request_is_rejected_at_once_with_retry_after)
{
    engine_gateway it;
    it.set_backlog(10'000);
    it.ask(as_is);
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.caller.retry_after);
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(name_of(it.records.back().outcome) == "not_run");
    // At most a third of the time that the client has left.
    BOOST_TEST(it.records.back().retry_after.value_or(millis{0}).count() <= 4000 / 3);
    BOOST_TEST(it.records.back().retry_after.value_or(millis{0}).count() > 1000);
    BOOST_TEST(it.notes.at("rejected_overload") == 1);
}

// Guards against waiting requests that are forgotten: they become hopeless as time passes.
BOOST_AUTO_TEST_CASE(waiting_request_is_rejected_before_its_deadline)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_is);
    it.timers.run_for(millis{3300});
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.admission.waiting().at("app") == 0U);
    BOOST_TEST(it.backends.attempts.empty());
}

// Guards against a place in the queue that is kept for a client that has left.
BOOST_AUTO_TEST_CASE(request_that_ends_leaves_the_queue)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_is).caller_left("reset");
    BOOST_TEST(it.admission.waiting().at("app") == 0U);
    it.ask(as_is);
    it.current.reset();
    BOOST_TEST(it.admission.waiting().at("app") == 0U);
    it.set_backlog(0);
    it.timers.run_for(millis{100});
    BOOST_TEST(it.backends.attempts.empty());
}

// Guards against clients that get no answer, or a false one, when their host exits.
BOOST_AUTO_TEST_CASE(waiting_request_is_answered_503_when_the_host_exits)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_unsafe).host_exits();
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.caller.retry_after);
    BOOST_TEST(it.admission.waiting().at("app") == 0U);
}

// Guards against retries and resumed streams that wait behind new requests.
BOOST_AUTO_TEST_CASE(further_attempts_and_resumed_streams_do_not_wait)
{
    engine_gateway it;
    it.ask(as_stream);
    it.set_backlog(800);
    it.fault(attempt_fault::not_sent);
    BOOST_TEST(it.backends.attempts.size() == 2U);
    it.answer(200, event(0));
    it.fault(attempt_fault::broken);
    BOOST_TEST(it.backends.attempts.size() == 3U);
}

// Guards against second runs with a larger model that fill the engines while first runs wait.
BOOST_AUTO_TEST_CASE(answer_with_low_confidence_is_kept_while_the_engines_have_a_backlog)
{
    const auto attempts_with_backlog = [](double ms) {
        engine_gateway it;
        it.ask([](route_spec& route) {
            as_stream(route);
            route.target_latency = millis{1000};
            route.models = {"small", "large"};
        });
        it.set_backlog(ms);
        it.answer(200, event(0), true, 0.1);
        return it.backends.attempts.size();
    };
    BOOST_TEST(attempts_with_backlog(400) == 2U);
    BOOST_TEST(attempts_with_backlog(800) == 1U);
}

// Guards against a queue on plain services, and against one that can't be disabled.
BOOST_AUTO_TEST_CASE(plain_services_and_hosts_without_admission_control_have_no_queue)
{
    one_gateway plain;
    for (const auto* const id : {"b1", "b2", "b3"}) {
        plain.balancer.set_remote_load(id, {1, 10'000});
    }
    plain.ask(as_is);
    BOOST_TEST(plain.backends.attempts.size() == 1U);
    engine_gateway off;
    off.services.settings.admission = false;
    off.set_backlog(10'000);
    off.ask(as_is);
    BOOST_TEST(off.backends.attempts.size() == 1U);
}

// Guards against requests that wait for good when admission control is disabled while they wait.
BOOST_AUTO_TEST_CASE(waiting_requests_are_sent_when_admission_control_is_disabled)
{
    engine_gateway it;
    it.set_backlog(800);
    it.ask(as_is);
    it.services.settings.admission = false;
    it.timers.run_for(millis{20});
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against a hook for account shares that is not asked, or asked without scarcity.
BOOST_AUTO_TEST_CASE(account_over_its_share_is_asked_only_under_scarcity)
{
    engine_gateway it;
    int asked = 0;
    it.admission.is_over_share = [&](const std::string&) { return ++asked > 0; };
    it.ask(as_is);
    BOOST_TEST(asked == 0);
    it.set_backlog(800);
    it.ask(as_is);
    BOOST_TEST(asked == 1);
}

BOOST_AUTO_TEST_SUITE_END()
