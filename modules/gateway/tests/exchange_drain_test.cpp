/// Requests that have not been sent when their host begins to drain, or that arrive later.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using namespace hickorypost::testing;

constexpr millis drain_time{3000};

/// A gateway whose service has three engines, each with a backlog for which requests wait. The
/// deadline of a request is later than the end of a drain, unless it is asked with less time.
struct draining_gateway : one_gateway {
    draining_gateway()
    {
        asked_tokens = 1000;
        site_config config = table->config();
        config.routes.front().target_latency = millis{1000};
        config.services.front().engine = engine_spec{};
        table = std::make_shared<const route_table>(config);
        balancer.on_remote_load = [this] { admission.load_changed(); };
        set_backlog(800);
    }
    void set_backlog(double ms)
    {
        for (const auto* const id : {"b1", "b2", "b3"}) {
            balancer.set_remote_load(id, {1, ms});
        }
        timers.run_for(millis{20});
    }
    void begin_drain()
    {
        services.drain_end = timers.now + drain_time;
        if (current) {
            current->host_drains();
        }
    }
    [[nodiscard]] bool was_rejected() const
    {
        return caller.status == 503U && caller.retry_after && records.size() == 1U &&
               records.back().outcome == exchange_outcome::not_run;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_drain)

// Guards against starting a stream that the end of the drain then cuts.
BOOST_AUTO_TEST_CASE(waiting_stream_is_rejected_when_the_drain_begins)
{
    for (const auto& change : {as_stream, as_unsafe, as_is}) {
        draining_gateway it;
        it.ask(change);
        it.timers.run_for(millis{100});
        it.begin_drain();
        BOOST_REQUIRE(it.was_rejected());
        BOOST_TEST(it.admission.waiting().at("app") == 0U);
        BOOST_TEST(to_millis(it.records.back().waited) >= 100);
        it.set_backlog(0);
        BOOST_TEST(it.backends.attempts.empty());
    }
}

// Guards against a queue that takes requests again in the drain, and against rejecting those that
// need not wait.
BOOST_AUTO_TEST_CASE(request_that_arrives_in_a_drain_begins_at_once_or_is_rejected)
{
    draining_gateway it;
    it.begin_drain();
    it.ask(as_stream);
    BOOST_TEST(it.was_rejected());
    it.set_backlog(0);
    it.ask(as_stream);
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against rejecting a request that the drain can't cut: its time ends before.
BOOST_AUTO_TEST_CASE(request_whose_time_ends_before_the_drain_keeps_its_place)
{
    draining_gateway it;
    it.ask(as_stream, millis{2900});
    it.begin_drain();
    BOOST_TEST(!it.caller.ended);
    it.set_backlog(0);
    BOOST_TEST(it.backends.attempts.size() == 1U);
    it.answer(200, event(0));
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against cutting requests that have been sent.
BOOST_AUTO_TEST_CASE(requests_that_have_begun_go_on_in_a_drain)
{
    draining_gateway it;
    it.ask(as_unsafe);
    it.set_backlog(0);
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    it.begin_drain();
    BOOST_TEST(!it.backends.last().cancelled);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
    it.current->host_drains(); // it is over
    BOOST_TEST(it.records.size() == 1U);
}

// Guards against waiting for a first backend server while other hosts may know one.
BOOST_AUTO_TEST_CASE(draining_host_does_not_wait_for_a_first_backend)
{
    draining_gateway it;
    for (const auto* const id : {"b1", "b2", "b3"}) {
        it.directory.remove(id, it.timers.now);
    }
    it.ask(as_is);
    BOOST_TEST(!it.caller.ended);
    it.begin_drain();
    it.timers.run_for(millis{50});
    BOOST_TEST(it.was_rejected());
}

BOOST_AUTO_TEST_SUITE_END()
