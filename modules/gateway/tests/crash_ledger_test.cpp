#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using standing = crash_ledger::standing;

constexpr request_identity crasher{1, 1};
constexpr request_identity good{2, 2};
constexpr request_identity other{3, 3};

struct test_ledger {
    explicit test_ledger(crash_ledger_settings settings = {})
        : ledger{settings, now_fn(), share_fn()}
    {
    }

    clock_fn now_fn()
    {
        return [this] { return now; };
    }
    crash_ledger::share_fn share_fn()
    {
        return [this](const crash_fact& it) { shared.push_back(it); };
    }
    /// A backend server crashes while these are in flight, each sent when all earlier crashes were
    /// known.
    void crash(const std::string& backend, const std::vector<request_identity>& in_flight)
    {
        now += millis{200};
        for (const auto& it : in_flight) {
            ledger.crashed(it, backend, ledger.crashes(it));
        }
    }

    instant now{millis{100'000}};
    std::vector<crash_fact> shared;
    crash_ledger ledger;
};

std::vector<std::uint32_t> counts(const crash_ledger& it)
{
    return {it.crashes(crasher), it.crashes(good), it.crashes(other)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_ledger_suite)

// Guards against a request that crashes more than three backend servers.
BOOST_AUTO_TEST_CASE(request_is_refused_after_three_crashes)
{
    test_ledger it;
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::unknown));
    it.crash("i-1", {crasher});
    it.crash("i-2", {crasher});
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::suspect));
    it.crash("i-3", {crasher});
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::refused));
}

// Guards against refusing requests that were in flight beside the one that crashes.
BOOST_AUTO_TEST_CASE(requests_in_flight_beside_a_crashing_one_are_not_refused)
{
    test_ledger it;
    it.crash("i-1", {crasher, good});
    it.crash("i-2", {crasher, other});
    it.crash("i-3", {crasher, good});
    it.crash("i-4", {crasher, good});
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::refused));
    BOOST_TEST((it.ledger.standing_of(good) == standing::suspect));
    BOOST_TEST((it.ledger.standing_of(other) == standing::suspect));
}

// Guards against refusing a request that has succeeded since.
BOOST_AUTO_TEST_CASE(success_voids_earlier_crashes)
{
    test_ledger it;
    it.crash("i-1", {good});
    it.crash("i-2", {good});
    BOOST_TEST(it.ledger.clear(good));
    it.crash("i-3", {good});
    BOOST_TEST(it.ledger.crashes(good) == 1U);
    BOOST_TEST(!it.ledger.clear(crasher));
}

// Guards against refusing equal requests of many callers after several backend servers have crashed
// at the same moment.
BOOST_AUTO_TEST_CASE(backends_that_end_at_the_same_moment_count_once)
{
    test_ledger it;
    for (const auto* const backend : {"i-1", "i-2", "i-3", "i-4"}) {
        it.ledger.crashed(good, backend, 0);
        it.now += millis{5};
    }
    BOOST_TEST(it.ledger.crashes(good) == 1U);
}

// Guards against blaming a request for a network partition that refuses connections while the
// backend server is alive.
BOOST_AUTO_TEST_CASE(heartbeats_of_a_backend_refute_its_crash)
{
    test_ledger it;
    it.crash("i-1", {good});
    const instant ended = it.now;
    while (it.ledger.crashes(good) == 1U && it.now < ended + millis{60'000}) {
        it.now += millis{1200};
        it.ledger.heartbeat("i-1");
    }
    BOOST_TEST(it.ledger.crashes(good) == 0U);
    BOOST_TEST((it.now < ended + millis{15'000}));
}

// Guards against refuting a crash by heartbeats that were sent before the crash.
BOOST_AUTO_TEST_CASE(heartbeats_sent_before_a_crash_do_not_refute_it)
{
    test_ledger it;
    it.crash("i-1", {crasher});
    // Delayed by less than the longest delay of a heartbeat, on paths through several hosts.
    for (int n = 0; n < 50; ++n) {
        it.ledger.heartbeat("i-1");
        it.now += millis{110};
    }
    BOOST_TEST(it.ledger.crashes(crasher) == 1U);
    // Held up by a network partition, all delivered when the partition ends.
    it.now += millis{20'000};
    for (int n = 0; n < 50; ++n) {
        it.ledger.heartbeat("i-1");
        it.now += millis{20};
    }
    BOOST_TEST(it.ledger.crashes(crasher) == 1U);
}

// Guards against refuting a crash by heartbeats that were sent after an earlier reported crash but
// before this one.
BOOST_AUTO_TEST_CASE(heartbeats_between_two_reported_crashes_refute_neither)
{
    test_ledger it;
    it.crash("i-1", {good});
    it.now += millis{7000};
    it.ledger.heartbeat("i-1");
    it.crash("i-1", {other});
    it.now += millis{6500};
    it.ledger.heartbeat("i-1");
    BOOST_TEST(it.ledger.crashes(good) == 1U);
    BOOST_TEST(it.ledger.crashes(other) == 1U);
}

// Guards against refusing a request forever after a new version has fixed the crash.
BOOST_AUTO_TEST_CASE(refused_request_is_tried_again_at_growing_intervals)
{
    test_ledger it;
    for (const auto* const backend : {"i-1", "i-2", "i-3"}) {
        it.crash(backend, {crasher});
    }
    it.now += millis{59'000};
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::refused));
    it.now += millis{2000};
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::trial));
    it.ledger.tried(crasher);
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::refused));
    it.crash("i-4", {crasher});
    it.now += millis{61'000};
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::refused));
    it.now += millis{60'000};
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::trial));
    it.ledger.clear(crasher);
    BOOST_TEST((it.ledger.standing_of(crasher) == standing::unknown));
}

// Guards against hosts that decide differently after a network partition.
BOOST_AUTO_TEST_CASE(merged_facts_give_equal_counts_in_any_order)
{
    test_ledger here;
    here.crash("i-1", {crasher, good});
    here.crash("i-2", {crasher, good, other});
    here.ledger.clear(good);
    here.crash("i-3", {crasher, good});
    here.crash("i-4", {crasher});
    std::mt19937 random{7};
    for (int turn = 0; turn < 200; ++turn) {
        test_ledger there;
        there.now = here.now;
        auto facts = here.shared;
        facts.insert(facts.end(), here.shared.begin(), here.shared.end());
        std::shuffle(facts.begin(), facts.end(), random);
        std::size_t news = 0;
        for (const auto& fact : facts) {
            news += there.ledger.take(fact) ? 1 : 0;
        }
        BOOST_REQUIRE(news <= here.shared.size());
        BOOST_REQUIRE((counts(there.ledger) == counts(here.ledger)));
        for (const auto& fact : here.ledger.all()) {
            BOOST_REQUIRE(!there.ledger.take(fact));
        }
    }
}

// Guards against a host that counts fewer crashes than others because facts reach it late.
BOOST_AUTO_TEST_CASE(crash_counts_do_not_depend_on_the_delay_of_facts)
{
    test_ledger here;
    for (const auto* const backend : {"i-1", "i-2", "i-3"}) {
        here.crash(backend, {crasher});
    }
    test_ledger there;
    there.now = here.now;
    millis delay{900};
    for (auto fact : here.shared) {
        fact.at += delay;
        delay -= millis{400};
        there.ledger.take(fact);
    }
    BOOST_TEST((here.ledger.standing_of(crasher) == standing::refused));
    BOOST_TEST((there.ledger.standing_of(crasher) == standing::refused));
}

// Guards against hosts that forward a known fact again because a copy of it took longer.
BOOST_AUTO_TEST_CASE(delayed_copy_of_a_known_fact_is_not_new)
{
    test_ledger here;
    for (const auto* const backend : {"i-1", "i-2", "i-3"}) {
        here.crash(backend, {crasher});
    }
    here.now += millis{61'000};
    here.ledger.tried(crasher);
    here.crash("i-4", {good});
    here.ledger.clear(good);
    test_ledger there;
    there.now = here.now;
    for (const auto& fact : here.shared) {
        there.ledger.take(fact);
    }
    for (const millis delay : {millis{1}, millis{300}, millis{5000}}) {
        for (auto fact : here.shared) {
            fact.at += delay;
            BOOST_TEST(!there.ledger.take(fact));
        }
    }
    BOOST_TEST((counts(there.ledger) == counts(here.ledger)));
}

// Guards against counting a crash again whose report takes longer than its clearance.
BOOST_AUTO_TEST_CASE(late_report_of_a_cleared_crash_does_not_count)
{
    test_ledger here;
    here.crash("i-1", {good});
    here.now += millis{300};
    here.ledger.clear(good);
    auto late_report = here.shared.front();
    late_report.at += millis{900};

    test_ledger in_order;
    test_ledger reordered;
    in_order.now = reordered.now = here.now;
    in_order.ledger.take(here.shared.front());
    for (auto* const it : {&in_order, &reordered}) {
        it->ledger.take(here.shared.back());
        BOOST_TEST(!it->ledger.take(late_report));
        BOOST_TEST(it->ledger.crashes(good) == 0U);
    }
}

// Guards against hosts that exchange a clearance forever because they forget it at different times.
BOOST_AUTO_TEST_CASE(forgotten_clearance_is_not_new_again)
{
    test_ledger it;
    it.crash("i-1", {good});
    it.ledger.clear(good);
    it.now += millis{71'000};
    it.ledger.expire();
    BOOST_TEST(it.ledger.empty());
    auto delayed_copy = it.shared.back();
    delayed_copy.at += millis{5000};
    BOOST_TEST(!it.ledger.take(delayed_copy));
}

// Guards against ignoring the clearances of hosts that run an earlier release.
BOOST_AUTO_TEST_CASE(clearance_without_a_backend_voids_earlier_crashes)
{
    test_ledger it;
    it.crash("i-1", {good});
    it.crash("i-2", {good});
    const crash_fact clearance{crash_fact::kind_type::cleared, good, {}, 0, it.now};
    it.crash("i-3", {good});
    BOOST_TEST(it.ledger.take(clearance));
    BOOST_TEST(it.ledger.known_crashes(good) == 1U);
    BOOST_TEST(!it.ledger.take(clearance));
}

// Guards against hosts with many facts that make each other forget known facts, which are then new.
BOOST_AUTO_TEST_CASE(copies_of_known_facts_evict_nothing)
{
    test_ledger it{{.max_facts = 64}};
    for (std::uint64_t n = 10; n < 100; ++n) {
        it.crash("i-" + std::to_string(n), {{n, n}});
        if (n % 2 == 0) {
            it.ledger.clear({n, n});
        }
    }
    const auto facts = it.ledger.all();
    for (const auto& fact : facts) {
        BOOST_TEST(!it.ledger.take(fact));
    }
    BOOST_TEST(it.ledger.all().size() == facts.size());
}

// Guards against exhausting memory by many different requests.
BOOST_AUTO_TEST_CASE(facts_are_bounded_and_identities_with_most_crashes_are_kept)
{
    test_ledger it{{.max_facts = 64}};
    it.crash("i-1", {crasher});
    it.crash("i-2", {crasher});
    for (std::uint64_t n = 10; n < 10'000; ++n) {
        it.crash("i-x" + std::to_string(n), {{n, n}});
        BOOST_REQUIRE(it.ledger.all().size() <= 64U);
    }
    BOOST_TEST(it.ledger.crashes(crasher) == 2U);
    it.now += millis{2'000'000};
    it.ledger.expire();
    BOOST_TEST(it.ledger.empty());
    BOOST_TEST(!it.ledger.may_contain(crasher.outline));
}

BOOST_AUTO_TEST_SUITE_END()
