#include "hickorypost/scheduling/admission_coordinator.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

constexpr millis bound{500};
constexpr room no_room{800, 820, 10};
constexpr room idle{0, 20, 10};

/// A coordinator in virtual time.
struct one_host {
    void run_for(millis time)
    {
        const instant end = now + time;
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto timer = timers.extract(timers.begin());
            now = std::max(now, timer.key());
            timer.mapped()();
        }
        now = end;
    }

    instant now{millis{100'000}};
    std::multimap<instant, std::function<void()>> timers;
    admission_coordinator coordinator{[this] { return now; }, seeded_random_fn(1),
                                      [this](instant due, std::function<void()> callback) {
                                          timers.emplace(due, std::move(callback));
                                      }};
};

/// A request that asks for admission again at each of its turns.
struct request final : admission_waiter {
    request(one_host& on, int priority, millis deadline) : host{on}
    {
        it.id = host.coordinator.new_id();
        it.priority = priority;
        it.arrived = host.now;
        it.target = host.now + millis{1000};
        it.deadline = host.now + deadline;
        it.work_ms = 20;
    }
    void ask()
    {
        const auto verdict = host.coordinator.decide("s", bound, it, at, *this);
        is_sent = verdict.what == admission::send;
        turns.push_back(host.now);
        if (!is_sent && verdict.what != admission::wait) {
            on_hopeless(verdict.retry_after);
        }
    }
    void on_turn() override { ask(); }
    void on_hopeless(millis) override
    {
        is_rejected = true;
        when_rejected();
    }

    one_host& host;
    waiting_request it;
    room at = no_room;
    std::vector<instant> turns;
    bool is_sent = false;
    bool is_rejected = false;
    std::function<void()> when_rejected = [] {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission_coordinator_suite)

// Guards against evaluating the queue with each of hundreds of load reports a second.
BOOST_AUTO_TEST_CASE(turns_are_given_at_most_once_in_five_milliseconds)
{
    one_host host;
    request one{host, 0, millis{8000}};
    one.ask();
    for (int ms = 0; ms < 100; ++ms) {
        host.coordinator.load_changed();
        host.run_for(millis{1});
    }
    BOOST_TEST(one.turns.size() > 15U);
    for (std::size_t n = 2; n < one.turns.size(); ++n) {
        BOOST_TEST((one.turns[n] - one.turns[n - 1] >= millis{5}));
    }
}

// Guards against requests that wait for good because no load is reported any more.
BOOST_AUTO_TEST_CASE(turns_are_given_without_changes_of_load)
{
    one_host host;
    request one{host, 0, millis{8000}};
    one.ask();
    one.at = idle;
    host.run_for(millis{20});
    BOOST_TEST(one.is_sent);
    BOOST_TEST(host.coordinator.waiting().at("s") == 0U);
    host.run_for(millis{100});
    BOOST_TEST(host.timers.empty());
}

// Guards against sending more than there is room for, or not in queue order.
BOOST_AUTO_TEST_CASE(requests_are_sent_in_queue_order_until_one_finds_no_room)
{
    one_host host;
    request third{host, 2, millis{8000}};
    request second{host, 1, millis{8000}};
    request first{host, 0, millis{8000}};
    for (auto* const it : {&third, &second, &first}) {
        it->ask();
    }
    first.at = third.at = idle;
    host.run_for(millis{20});
    BOOST_TEST(first.is_sent);
    BOOST_TEST(!second.is_sent);
    BOOST_TEST(!third.is_sent);
    second.at = idle;
    host.run_for(millis{20});
    BOOST_TEST(second.is_sent);
    BOOST_TEST(third.is_sent);
}

// Guards against telling a request that no longer exists: the end of one may end another.
BOOST_AUTO_TEST_CASE(rejected_request_may_end_another_one)
{
    one_host host;
    request ahead{host, 0, millis{8000}};
    request one{host, 1, millis{1000}};
    auto other = std::make_unique<request>(host, 2, millis{1000});
    ahead.ask();
    one.ask();
    other->ask();
    one.when_rejected = [&] {
        host.coordinator.leave("s", other->it.id);
        other.reset();
    };
    host.run_for(millis{190});
    BOOST_TEST(one.is_rejected);
    BOOST_TEST(other == nullptr);
    BOOST_TEST(host.coordinator.waiting().at("s") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
