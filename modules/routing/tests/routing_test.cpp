#include "hickorypost/routing/cascade_policy.h"
#include "hickorypost/routing/retry_budget.h"
#include "hickorypost/routing/router.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::routing;

const instant start{millis{100'000}};

router make_router(std::size_t replicas)
{
    router out{{}, seeded_random_fn(3)};
    for (std::size_t n = 0; n < replicas; ++n) {
        wire::agent_info agent;
        agent.node = "a" + std::to_string(n);
        wire::backend_info backend;
        backend.name = "engine";
        backend.offers = {{"m", "1"}};
        backend.slots = 8;
        agent.backends.push_back(backend);
        out.upsert(agent, instant{});
        out.set_linked(agent.node, true, instant{});
    }
    return out;
}

const route_query query{{"m", "1"}};

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

// Guards against an overload of a recovering backend server: after a failure it must get no request
// during its probation, and then one request at a time until one succeeds.
BOOST_AUTO_TEST_CASE(a_failed_server_gets_one_request_at_a_time_after_probation)
{
    router it = make_router(1);
    const auto choice = it.choose(query, start);
    BOOST_REQUIRE(choice.has_value());
    it.started(choice->backend, 0, start);
    it.ended(choice->backend, {.failed = true}, start);
    BOOST_TEST(!it.choose(query, start + millis{100}).has_value());
    const instant later = start + millis{600};
    BOOST_REQUIRE(it.choose(query, later).has_value());
    it.started(choice->backend, 0, later);
    BOOST_TEST(!it.choose(query, later).has_value());
    it.ended(choice->backend, {false, millis{10}, millis{10}, millis{50}}, later);
    BOOST_TEST(it.choose(query, later).has_value());
}

BOOST_AUTO_TEST_CASE(leaving_unlinked_and_excluded_servers_are_not_chosen)
{
    router it = make_router(3);
    it.set_linked("a0", false, start);
    wire::agent_info leaving;
    leaving.node = "a1";
    leaving.leaving = true;
    leaving.backends.push_back({.name = "engine", .offers = {{"m", "1"}}});
    it.upsert(leaving, start);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(it.choose(query, start)->backend.agent == "a2");
    }
    route_query excluded = query;
    excluded.excluded = {{"a2", "engine"}};
    BOOST_TEST(!it.choose(excluded, start).has_value());
}

BOOST_AUTO_TEST_CASE(slow_servers_are_avoided_and_cached_prefixes_preferred)
{
    router it = make_router(2);
    for (int n = 0; n < 200; ++n) {
        for (const std::string name : {"a0", "a1"}) {
            it.started({name, "engine"}, 0, start);
            const millis first{name == "a0" ? 60 : 10};
            it.ended({name, "engine"}, {false, first, millis{10}, millis{100}}, start);
        }
    }
    BOOST_TEST(it.choose(query, start)->backend.agent == "a1");
    router warm = make_router(2);
    warm.started({"a1", "engine"}, 77, start);
    warm.ended({"a1", "engine"}, {false, millis{10}, millis{10}, millis{50}}, start);
    BOOST_TEST(warm.choose({{"m", "1"}, 77, 600, {}}, start)->backend.agent == "a1");
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    retry_budget budget{{.ratio = 0.1, .burst = 2}};
    std::size_t retries = 0;
    for (int n = 0; n < 100; ++n) {
        budget.first_try();
        retries += budget.try_again(1, millis{1000}) ? 1U : 0U;
    }
    BOOST_TEST(retries <= 12U);
    BOOST_TEST(!budget.try_again(3, millis{1000}));
    retry_budget fresh{{}};
    BOOST_TEST(!fresh.try_again(1, millis{10}));
}

BOOST_AUTO_TEST_CASE(a_cascade_learns_its_start_stage_from_ratings)
{
    cascade_policy policy{seeded_random_fn(1)};
    const std::vector<cascade_stage> stages{{1, 0.8, millis{100}}, {4, 0.95, millis{400}}};
    const cascade_query hard_task{"k", "draft", false, millis{5000}, 0.9};
    BOOST_TEST(policy.start_stage(hard_task, stages) == 0U);
    for (int n = 0; n < 200; ++n) {
        policy.learn(hard_task, 0, n % 10 == 0);
    }
    std::size_t strong = 0;
    for (int n = 0; n < 100; ++n) {
        strong += policy.start_stage(hard_task, stages);
    }
    BOOST_TEST(strong >= 90U);
    const cascade_query non_idempotent{"k", "lookup", true, millis{5000}, 0.9};
    BOOST_TEST(!policy.escalate(non_idempotent, stages, 0));
}

BOOST_AUTO_TEST_SUITE_END()
