#include "hickorypost/scheduling/admission_gate.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

const instant start{millis{100'000}};

admission_gate make_gate()
{
    return admission_gate{{millis{500}}, seeded_random_fn(1)};
}

/// A request of the short kind: target 1,000 ms, deadline after 8 s.
waiting_request short_request(std::uint64_t id, instant arrived = start)
{
    return {id, 1, arrived, arrived + millis{1000}, arrived + millis{8000}, 20};
}

/// A request of the long kind: target 3,000 ms, deadline after 20 s.
waiting_request long_request(std::uint64_t id, instant arrived = start)
{
    return {id, 1, arrived, arrived + millis{3000}, arrived + millis{20'000}, 400};
}

const room no_room{600, 620, 10};
const room idle{0, 20, 10};

/// Enters requests into a gate without room, and returns their ids in queue order.
std::vector<std::uint64_t> order_of(std::initializer_list<waiting_request> requests, instant now)
{
    auto gate = make_gate();
    for (const auto& it : requests) {
        BOOST_REQUIRE(gate.decide(it, no_room, now) == admission::wait);
    }
    std::vector<std::uint64_t> out;
    while (const auto id = gate.next(now)) {
        out.push_back(*id);
        gate.remove(*id, now);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_gate_suite)

// Guards against delaying or rejecting requests while there is capacity.
BOOST_AUTO_TEST_CASE(request_is_sent_at_once_if_there_is_room)
{
    auto gate = make_gate();
    BOOST_TEST(gate.try_send(20, idle, start));
    BOOST_CHECK(gate.decide(long_request(1), {500, 900}, start) == admission::send);
    auto late = short_request(2);
    late.deadline = start + millis{1};
    late.over_share = true;
    BOOST_CHECK(gate.decide(late, idle, start) == admission::send);
    BOOST_TEST(gate.waiting() == 0U);
}

// Guards against a backlog that makes the tightest target late on every engine.
BOOST_AUTO_TEST_CASE(request_waits_while_the_backlog_exceeds_its_bound)
{
    auto gate = make_gate();
    BOOST_CHECK(gate.decide(short_request(1), {500.5, 520}, start) == admission::wait);
    BOOST_TEST(gate.waiting() == 1U);
    BOOST_TEST(gate.next(start).value_or(0) == 1U);
    gate.remove(1, start);
    BOOST_TEST(gate.waiting() == 0U);
    BOOST_TEST(!gate.next(start));
}

// Guards against a new request that takes the room for which others wait.
BOOST_AUTO_TEST_CASE(new_request_does_not_overtake_those_ahead_of_it)
{
    auto gate = make_gate();
    BOOST_CHECK(gate.decide(short_request(1), no_room, start) == admission::wait);
    BOOST_TEST(!gate.try_send(20, idle, start));
    BOOST_CHECK(gate.decide(long_request(2), idle, start) == admission::wait);
    auto urgent = short_request(3);
    urgent.priority = 0;
    BOOST_CHECK(gate.decide(urgent, idle, start) == admission::send);
    BOOST_TEST(gate.next(start).value_or(0) == 1U);
}

// Guards against a large request that never finds room because smaller ones fill it first.
BOOST_AUTO_TEST_CASE(large_request_keeps_its_position)
{
    auto gate = make_gate();
    auto large = long_request(1);
    large.priority = 0;
    BOOST_CHECK(gate.decide(large, no_room, start) == admission::wait);
    BOOST_CHECK(gate.decide(short_request(2), idle, start) == admission::wait);
    BOOST_TEST(gate.next(start).value_or(0) == 1U);
}

// Guards against each class of the queue order being ignored, or ranked below a later one.
BOOST_AUTO_TEST_CASE(queue_order)
{
    const instant now = start + millis{5000};
    auto starving = long_request(1, start);
    starving.deadline = start + millis{10'000};
    starving.over_share = true;
    const auto meets = long_request(2, now);
    auto urgent = long_request(3, now);
    urgent.priority = 0;
    auto earlier = long_request(4, now - millis{100});
    auto missed = short_request(5, now - millis{900});
    missed.priority = 0;
    auto over_share = long_request(6, now);
    over_share.priority = 0;
    over_share.over_share = true;
    const std::vector<std::uint64_t> expected{1, 3, 4, 2, 5, 6};
    BOOST_TEST(order_of({over_share, missed, meets, earlier, urgent, starving}, now) == expected,
               boost::test_tools::per_element());
}

// Guards against a client that is rejected twice while others that came later are answered.
BOOST_AUTO_TEST_CASE(client_that_was_rejected_is_ahead_of_one_that_was_not)
{
    auto again = long_request(2);
    again.waited_before = millis{700};
    const std::vector<std::uint64_t> expected{2, 1};
    BOOST_TEST(order_of({long_request(1), again}, start) == expected,
               boost::test_tools::per_element());
}

// Guards against holding a request until its deadline although it can't be answered.
BOOST_AUTO_TEST_CASE(request_that_cannot_be_answered_in_time_is_rejected_at_once)
{
    auto gate = make_gate();
    auto hopeless = short_request(1);
    hopeless.deadline = start + millis{610};
    BOOST_CHECK(gate.decide(hopeless, no_room, start) == admission::reject_hopeless);
    hopeless.deadline = start + millis{630};
    BOOST_CHECK(gate.decide(hopeless, no_room, start) == admission::wait);
    // The work ahead counts: 40 requests of 400 ms take ten engines 1.6 s.
    for (std::uint64_t n = 2; n < 42; ++n) {
        auto it = long_request(n);
        it.priority = 0;
        BOOST_CHECK(gate.decide(it, no_room, start) == admission::wait);
    }
    auto behind = short_request(50);
    behind.deadline = start + millis{2210};
    BOOST_CHECK(gate.decide(behind, no_room, start) == admission::reject_hopeless);
    behind.deadline = start + millis{2230};
    BOOST_CHECK(gate.decide(behind, no_room, start) == admission::wait);
}

// Guards against clients that wait for an answer that will not come.
BOOST_AUTO_TEST_CASE(waiting_request_that_became_hopeless_is_taken)
{
    auto gate = make_gate();
    BOOST_CHECK(gate.decide(short_request(1), no_room, start) == admission::wait);
    BOOST_CHECK(gate.decide(long_request(2), no_room, start) == admission::wait);
    BOOST_TEST(gate.take_hopeless(no_room, start + millis{100}).empty());
    const auto taken = gate.take_hopeless(no_room, start + millis{7500});
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken.front().id == 1U);
    BOOST_TEST(gate.waiting() == 1U);
}

// Guards against an account that floods the queue and makes the requests of others late.
BOOST_AUTO_TEST_CASE(account_over_its_share_is_rejected_when_the_queue_is_full)
{
    auto gate = make_gate();
    auto flood = short_request(1);
    flood.over_share = true;
    BOOST_CHECK(gate.decide(flood, no_room, start) == admission::wait);
    // Ten engines finish 10,000 ms of work within the target of one second.
    for (std::uint64_t n = 2; n < 27; ++n) {
        BOOST_CHECK(gate.decide(long_request(n), no_room, start) == admission::wait);
    }
    flood.id = 50;
    BOOST_CHECK(gate.decide(flood, no_room, start) == admission::reject_over_share);
    BOOST_CHECK(gate.decide(short_request(51), no_room, start) == admission::wait);
}

// Guards against clients that all return at once, or after their deadline.
BOOST_AUTO_TEST_CASE(retry_after_is_the_time_of_the_queue_with_jitter)
{
    auto gate = make_gate();
    for (std::uint64_t n = 1; n < 41; ++n) {
        auto it = long_request(n);
        it.priority = 0;
        BOOST_CHECK(gate.decide(it, no_room, start) == admission::wait);
    }
    // 100 ms until the backlog is at its bound, and 1.6 s of work ahead.
    millis least{10'000};
    millis most{0};
    for (std::uint64_t n = 0; n < 100; ++n) {
        const auto it = gate.retry_after(short_request(100 + n), no_room, start);
        least = std::min(least, it);
        most = std::max(most, it);
    }
    BOOST_TEST(least.count() >= 1700);
    BOOST_TEST(most.count() <= 2125);
    BOOST_TEST(most.count() - least.count() > 300);
    auto hurried = short_request(200);
    hurried.deadline = start + millis{900};
    BOOST_TEST(gate.retry_after(hurried, no_room, start).count() == 300);
}

// Guards against estimates by the speed of all engines while a host gets only a part of them.
BOOST_AUTO_TEST_CASE(rate_of_the_queue_is_measured)
{
    auto gate = make_gate();
    constexpr room idle_for_many{0, 20, 10, 30};
    instant now = start;
    const instant end = start + millis{1'000'000};
    const auto of = [&](std::uint64_t n) {
        auto it = long_request(n);
        it.target = it.deadline = end;
        return it;
    };
    for (std::uint64_t n = 1; n < 41; ++n) {
        BOOST_CHECK(gate.decide(of(n), no_room, now) == admission::wait);
    }
    // One request in 400 ms: the rate of one engine instead of ten.
    for (std::uint64_t n = 1; n < 9; ++n) {
        now += millis{400};
        gate.remove(n, now);
        BOOST_CHECK(gate.decide(of(n), idle_for_many, now) == admission::send);
    }
    const double left_ms = 32 * 400;
    auto last = of(100);
    const auto expected = gate.retry_after(last, idle_for_many, now);
    BOOST_TEST(static_cast<double>(expected.count()) > 0.7 * left_ms);
    BOOST_TEST(static_cast<double>(expected.count()) < 1.5 * left_ms);
}

// Guards against rejecting the whole queue after a pause in which no engine had room.
BOOST_AUTO_TEST_CASE(pause_does_not_make_the_queue_hopeless)
{
    auto gate = make_gate();
    for (std::uint64_t n = 1; n < 41; ++n) {
        BOOST_CHECK(gate.decide(long_request(n), no_room, start) == admission::wait);
    }
    // 16,000 ms of work for ten engines.
    BOOST_TEST(gate.take_hopeless(no_room, start + millis{5000}).empty());
}

// Guards against decisions that delay all requests of a host. The bound is ten times what the
// decision may cost, as the machine that runs the tests may be busy.
BOOST_AUTO_TEST_CASE(decision_is_cheap)
{
    auto gate = make_gate();
    constexpr int waiting = 100;
    for (int n = 0; n < waiting; ++n) {
        gate.decide(long_request(static_cast<std::uint64_t>(n)), no_room, start);
    }
    constexpr int decisions = 2000;
    const auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < decisions; ++n) {
        const auto id = gate.next(start).value_or(0);
        gate.remove(id, start);
        gate.decide(long_request(id), no_room, start);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    BOOST_TEST_MESSAGE("turn of a request among "
                       << waiting << " waiting ones: " << took.count() / decisions << " us");
    BOOST_TEST(took.count() / decisions < 50);
}

BOOST_AUTO_TEST_SUITE_END()
