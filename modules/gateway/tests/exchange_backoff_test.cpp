/// Backend servers that ask for no requests for a time, as seen by requests.

#include "one_gateway.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;
using kind = backoff_statement::kind_type;

/// Lets the backend servers reject a request and ask for `seconds` without further ones.
void back_off(one_gateway& it, const std::vector<std::string>& backends, double seconds)
{
    backend_answer rejection;
    rejection.status = 503;
    rejection.ran = false;
    rejection.backoff = {kind::named, seconds};
    for (const auto& backend : backends) {
        it.backoffs.saw(backend, rejection, "earlier");
    }
}

/// The other two of the three backend servers.
std::vector<std::string> others(const std::string& backend)
{
    std::vector<std::string> out{"b1", "b2", "b3"};
    std::erase(out, backend);
    return out;
}

/// Starts a roll-out from v1, on b1 to b3, to v2, on "new", which all requests should run on.
void run_rollout(one_gateway& it)
{
    it.rollouts.set_versions({{"app", {{}, "v1"}}});
    it.rollouts.follow({{"app", {"app", "v2", 20'000, rollout_phase::running, 1000, 10'000, {}}}},
                       it.timers.now);
    it.directory.take({"new", "app", "new:1", "d", "v2", 4, backend_state::ready, 0, 1},
                      it.timers.now);
    it.timers.run_for(millis{1000});
    it.ask(as_is, millis{4000}, "s");
    BOOST_REQUIRE(it.backends.last().target.backend == "new");
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_backoff)

// Guards against a rejected attempt whose Retry-After is ignored by the retry and by later
// requests.
BOOST_AUTO_TEST_CASE(backend_that_is_backing_off_is_not_chosen)
{
    one_gateway it;
    it.ask(as_is);
    const std::string resting = it.backends.last().target.backend;
    it.backoff_in_answers = {kind::named, 3};
    it.answer(503, {}, false);
    it.backoff_in_answers = {};
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.backend != resting);
    for (int n = 0; n < 20; ++n) {
        it.ask(as_is);
        BOOST_REQUIRE(it.backends.last().target.backend != resting);
        it.timers.run_for(millis{100});
    }
    BOOST_TEST(it.records.empty());
}

// Guards against requests that are sent all the same where no other backend server is left, and
// against a time to come back that is too short.
BOOST_AUTO_TEST_CASE(request_is_rejected_at_once_if_all_backends_are_backing_off)
{
    one_gateway it;
    back_off(it, {"b1"}, 3);
    back_off(it, {"b2", "b3"}, 2);
    it.ask(as_is);
    BOOST_TEST(it.caller.status == 503U);
    BOOST_TEST(it.backends.attempts.empty());
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(it.records.back().backing_off.size() == 3U);
    const auto wait = it.records.back().retry_after.value_or(millis{0});
    BOOST_TEST(wait.count() >= 2000);
    BOOST_TEST(wait.count() <= 2000 + 200 + 450);
}

// Guards against naming a short time to callers whose request was rejected by the last backend
// server that was not backing off.
BOOST_AUTO_TEST_CASE(rejected_request_names_the_end_of_the_backoffs)
{
    one_gateway it;
    it.ask(as_is);
    it.backoff_in_answers = {kind::named, 4};
    for (int n = 0; n < 3; ++n) {
        it.answer(503, {}, false);
    }
    BOOST_TEST(it.caller.status == 503U);
    BOOST_REQUIRE(it.records.size() == 1U);
    BOOST_TEST(it.records.back().retry_after.value_or(millis{0}).count() >= 4000);
}

// Guards against rejecting a request shortly before a backend server is available again.
BOOST_AUTO_TEST_CASE(request_waits_for_a_backoff_that_ends_soon)
{
    one_gateway it;
    back_off(it, {"b1", "b2", "b3"}, 0.08);
    it.ask(as_is);
    BOOST_TEST(it.backends.attempts.empty());
    it.timers.run_for(millis{90});
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    it.answer(200, "good");
    it.complete();
    BOOST_TEST(it.caller.body == "good");
}

// Guards against sending everything that waits as soon as a backoff ends.
BOOST_AUTO_TEST_CASE(requests_are_paced_after_a_backoff_until_one_is_accepted)
{
    one_gateway it;
    back_off(it, {"b1", "b2", "b3"}, 1);
    it.timers.run_for(millis{1100});
    std::vector<std::unique_ptr<exchange>> all;
    for (int n = 0; n < 20; ++n) {
        it.ask(as_is);
        all.push_back(std::move(it.current));
    }
    BOOST_TEST(it.backends.attempts.size() == 3U);
    it.answer(200, "good");
    const std::string accepting = it.backends.last().target.backend;
    for (int n = 0; n < 5; ++n) {
        it.ask(as_is);
        all.push_back(std::move(it.current));
        BOOST_TEST(it.backends.last().target.backend == accepting);
    }
    BOOST_TEST(it.backends.attempts.size() == 8U);
}

// Guards against cancelling a silent attempt for backend servers that are backing off.
BOOST_AUTO_TEST_CASE(silent_attempt_is_kept_if_all_others_are_backing_off)
{
    one_gateway it;
    it.ask(as_is);
    back_off(it, others(it.backends.last().target.backend), 10);
    it.timers.run_for(millis{2000});
    BOOST_REQUIRE(it.backends.attempts.size() == 1U);
    BOOST_REQUIRE(!it.backends.last().cancelled);
    it.answer(200, "late");
    it.complete();
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against dropping an answer for a larger model that no backend server would run.
BOOST_AUTO_TEST_CASE(answer_is_kept_if_all_backends_are_backing_off)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.models = {"small", "large"}; });
    back_off(it, {"b1", "b2", "b3"}, 3);
    it.answer(200, "fine", true, 0.1);
    it.complete();
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against dropping an answer for a larger model while all other backend servers reject.
BOOST_AUTO_TEST_CASE(answer_is_kept_if_all_other_backends_have_just_rejected)
{
    one_gateway it;
    it.ask([](route_spec& route) { route.models = {"small", "large"}; });
    const std::string answering = it.backends.last().target.backend;
    for (const auto& backend : others(answering)) {
        auto ticket = it.balancer.started(*it.directory.find(backend), {}, it.timers.now);
        it.balancer.ended(ticket, attempt_result::refused, it.timers.now);
    }
    back_off(it, {answering}, 3);
    it.answer(200, "fine", true, 0.1);
    it.complete();
    BOOST_TEST(it.backends.attempts.size() == 1U);
    BOOST_TEST(it.caller.status == 200U);
}

// Guards against resuming a stream on a backend server that is backing off.
BOOST_AUTO_TEST_CASE(broken_stream_resumes_on_a_backend_that_is_not_backing_off)
{
    one_gateway it;
    it.ask(as_stream);
    const auto rest = others(it.backends.last().target.backend);
    it.answer(200, event(0));
    back_off(it, {rest.front()}, 3);
    it.fault(attempt_fault::broken);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.backend == rest.back());
}

// Guards against counting a request that was withheld as sent, or its backend server as
// unreachable.
BOOST_AUTO_TEST_CASE(withheld_request_is_sent_elsewhere)
{
    one_gateway it;
    it.ask(as_unsafe);
    const std::string resting = it.backends.last().target.backend;
    back_off(it, {resting}, 1);
    it.fault(attempt_fault::withheld);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.backend != resting);
    BOOST_TEST(it.found_unresponsive.empty());
    BOOST_TEST(it.crashed.empty());
}

// Guards against believing another incarnation, and the late answer to another request.
BOOST_AUTO_TEST_CASE(only_answers_of_the_chosen_incarnation_to_this_request_count)
{
    one_gateway it;
    it.ask(as_is);
    it.backoff_in_answers = {kind::named, 3};
    http1::response_head stale;
    stale.status = 503;
    stale.fields.add("X-Id", "another");
    BOOST_TEST(!it.backends.last().events->on_head(stale));
    it.answer(421, {}, false);
    BOOST_TEST(it.backoff_requests.empty());
    BOOST_TEST(it.backends.attempts.size() == 2U);
}

// Guards against naming the time of a limit although a backoff ends sooner.
BOOST_AUTO_TEST_CASE(earliest_of_limits_and_backoffs_is_named)
{
    one_gateway it;
    it.limits.saw("b1", {limit_statement::kind_type::named, 2});
    it.limits.replied({"b1", false, millis{20'000}});
    back_off(it, {"b2", "b3"}, 5);
    it.ask(as_is);
    it.timers.run_for(millis{60});
    BOOST_TEST(it.caller.status == 503U);
    BOOST_REQUIRE(it.records.size() == 1U);
    const auto wait = it.records.back().retry_after.value_or(millis{0});
    BOOST_TEST(wait.count() >= 4900);
    BOOST_TEST(wait.count() <= 5000 + 500 + 450);
}

// Guards against a probe as one more request to a backend server that is backing off.
BOOST_AUTO_TEST_CASE(backend_that_is_backing_off_is_not_probed)
{
    one_gateway it;
    site_config config = it.table->config();
    config.services.front().engine.emplace();
    it.table = std::make_shared<const route_table>(config);
    it.ask([](route_spec& route) {
        as_stream(route);
        route.target_gap = millis{1500};
    });
    it.answer(200, event(0));
    back_off(it, {it.backends.last().target.backend}, 3);
    it.timers.run_for(millis{1000});
    BOOST_TEST(it.probes.attempts.empty());
}

// Guards against moving a session to another version because the backend servers of its own are
// backing off, and against rejecting requests without a session that another version can run.
BOOST_AUTO_TEST_CASE(only_requests_without_a_session_leave_a_version_on_trial)
{
    one_gateway it;
    run_rollout(it);
    back_off(it, {"new"}, 3);
    it.ask(as_is);
    BOOST_REQUIRE(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.backends.last().target.backend != "new");
    it.ask(as_is, millis{4000}, "s");
    BOOST_TEST(it.backends.attempts.size() == 2U);
    BOOST_TEST(it.caller.status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
