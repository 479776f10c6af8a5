#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

void limit(one_gateway& it, const std::vector<std::string>& backends)
{
    for (const auto& backend : backends) {
        it.limits.saw(backend, {limit_statement::kind_type::named, 2});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_limits)

// Guards against preferring limited backend servers because they have little load.
BOOST_AUTO_TEST_CASE(backend_with_room_is_chosen_over_limited_ones)
{
    one_gateway it;
    limit(it, {"b1", "b2"});
    for (int n = 0; n < 20; ++n) {
        it.ask(as_is);
        BOOST_REQUIRE(it.backends.last().target.backend == "b3");
    }
    BOOST_TEST(it.permits_requested > 0U);
}

// Guards against a permit that is not used, or used by two requests.
BOOST_AUTO_TEST_CASE(permit_is_used_once)
{
    one_gateway it;
    limit(it, {"b1", "b2", "b3"});
    it.limits.replied({"b2", true, {}});
    it.ask(as_is);
    BOOST_TEST(it.backends.last().target.backend == "b2");
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against rejecting a request while its permit request is in flight.
BOOST_AUTO_TEST_CASE(request_waits_for_the_reply_to_its_permit_request)
{
    one_gateway it;
    limit(it, {"b1", "b2", "b3"});
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.empty());
    it.timers.run_for(millis{10});
    it.limits.replied({"b1", true, {}});
    it.timers.run_for(millis{10});
    BOOST_TEST(it.backends.attempts.size() == 1U);
}

// Guards against requests that wait until their deadline although no backend server has room.
BOOST_AUTO_TEST_CASE(request_without_room_is_rejected_early_with_retry_after)
{
    one_gateway it;
    limit(it, {"b1", "b2", "b3"});
    for (const auto* const backend : {"b1", "b2", "b3"}) {
        it.limits.replied({backend, false, millis{700}});
    }
    it.ask(as_is);
    it.timers.run_for(millis{60});
    BOOST_TEST(it.caller.status == 503U);
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(it.records.back().limited == 3U);
    BOOST_TEST(it.records.back().retry_after.value_or(millis{0}).count() >= 640);
    BOOST_TEST(it.backends.attempts.empty());
}

// Guards against dropping an answer to use a larger model if no backend server has room for a
// second attempt.
BOOST_AUTO_TEST_CASE(answer_is_kept_if_no_backend_has_room_for_a_larger_model)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.models = {"small", "large"}; });
    limit(it, {"b1", "b2", "b3"});
    it.limit_in_answers = {limit_statement::kind_type::named, 2};
    it.answer(200, "fine", true, 0.1);
    it.complete();
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against cancelling a silent attempt if no other backend server has room.
BOOST_AUTO_TEST_CASE(silent_attempt_is_kept_if_no_other_backend_has_room)
{
    one_gateway it;
    it.ask(as_is);
    const std::string at = it.backends.last().target.backend;
    for (const auto* const backend : {"b1", "b2", "b3"}) {
        if (backend != at) {
            limit(it, {backend});
        }
    }
    it.timers.run_for(millis{2000});
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_REQUIRE(!it.backends.last().cancelled);
    it.answer(200, "late");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against probing a limited backend server, as probes count against its limit.
BOOST_AUTO_TEST_CASE(limited_backend_is_not_probed)
{
    one_gateway it;
    it.ask([](route_spec& route) {
        as_stream(route);
        route.target_latency = millis{3000};
    });
    it.limit_in_answers = {limit_statement::kind_type::named, 2};
    it.answer(200, event(0));
    it.timers.run_for(millis{900});
    BOOST_TEST(it.probes.attempts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
