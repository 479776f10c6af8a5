#include "hickorypost/gateway/backend_limits.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using kind = limit_statement::kind_type;

struct one_host {
    instant now{millis{100'000}};
    std::vector<limit_change> changes;
    int unreadable = 0;
    int requested = 0;
    backend_limits limits{{},
                          [this] { return now; },
                          [] { return std::size_t{4}; },
                          [this](const limit_change& it) { changes.push_back(it); },
                          [this](const std::string&) { ++unreadable; },
                          [this] { ++requested; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_limits_suite)

// Guards against a limit of which nobody is notified, and against one that outlasts its end.
BOOST_AUTO_TEST_CASE(limit_begins_changes_and_ends_with_the_answers)
{
    one_host it;
    it.limits.saw("i-1", {});
    BOOST_TEST(it.changes.empty());
    it.limits.saw("i-1", {kind::named, 2.5});
    BOOST_TEST(it.limits.limit_of("i-1").value_or(0) == 2.5);
    it.now += millis{2000};
    it.limits.saw("i-1", {kind::named, 4});
    it.limits.saw("i-1", {});
    BOOST_TEST(it.limits.empty());
    BOOST_REQUIRE(it.changes.size() == 3U);
    BOOST_TEST(it.changes[1].per_second.value_or(0) == 4);
    BOOST_TEST(!it.changes[2].per_second.has_value());
}

// Guards against a line and a message for each answer, when each names another value.
BOOST_AUTO_TEST_CASE(changes_are_announced_at_a_bounded_rate)
{
    one_host it;
    for (int n = 0; n < 1000; ++n) {
        it.limits.saw("i-1", {kind::named, 2.0 + n % 7});
        it.now += millis{5};
    }
    BOOST_TEST(it.changes.size() <= 6U);
}

// Guards against a value that cannot be understood, which neither ends a limit nor floods the log.
BOOST_AUTO_TEST_CASE(unreadable_limit_changes_nothing)
{
    one_host it;
    it.limits.saw("i-1", {kind::named, 2.5});
    for (int n = 0; n < 100; ++n) {
        it.limits.saw("i-1", {kind::unreadable, 0});
        it.limits.saw("i-2", {kind::unreadable, 0});
    }
    BOOST_TEST(it.limits.limit_of("i-1").value_or(0) == 2.5);
    BOOST_TEST(!it.limits.limit_of("i-2").has_value());
    BOOST_TEST(it.unreadable == 1);
}

// Guards against a limit that lasts for ever, when no answer comes any more.
BOOST_AUTO_TEST_CASE(limit_that_no_answer_names_is_forgotten)
{
    one_host it;
    it.limits.saw("i-1", {kind::named, 0});
    it.now += millis{61'000};
    it.limits.expire();
    BOOST_TEST(it.limits.empty());
}

// Guards against limits that nobody uses, where more are limited than a message has room for.
BOOST_AUTO_TEST_CASE(permits_are_requested_for_all_limited_backends_in_turn)
{
    one_host it;
    std::map<std::string, int> asked;
    for (int turn = 0; turn < 200; ++turn) {
        for (int n = 0; n < 150; ++n) {
            const std::string backend = "i-" + std::to_string(n);
            it.limits.take(backend, 2.5);
            it.limits.request_permit(backend, 1);
        }
        for (const auto& request : it.limits.take_requests()) {
            ++asked[request.backend];
            it.limits.replied({request.backend, false, {}});
        }
        it.now += millis{20};
    }
    BOOST_TEST(asked.size() == 150U);
    for (const auto& [backend, n] : asked) {
        BOOST_TEST(n >= 5);
    }
}

// Guards against a host that forgets a limit, and exceeds it, as others get all the answers.
BOOST_AUTO_TEST_CASE(limit_is_kept_while_answers_to_other_hosts_name_it)
{
    one_host near;
    one_host far;
    std::size_t messages = 0;
    for (int n = 0; n < 3000; ++n) {
        const std::size_t before = near.changes.size();
        near.limits.saw("i-1", {kind::named, 2.4});
        if (near.changes.size() > before) {
            ++messages;
            far.limits.take("i-1", 2.4);
        }
        near.now += millis{100};
        far.now += millis{100};
        near.limits.expire();
        far.limits.expire();
        BOOST_REQUIRE(far.limits.limit_of("i-1").has_value());
    }
    BOOST_TEST(messages <= 31U);
}

// Guards against refreshes that are not passed on, and copies of one that go round for ever.
BOOST_AUTO_TEST_CASE(announcement_is_passed_on_once)
{
    one_host it;
    BOOST_TEST(it.limits.take("i-1", 2.4).is_news);
    it.now += millis{5};
    BOOST_TEST(!it.limits.take("i-1", 2.4).is_news);
    it.now += millis{10'000};
    const auto refresh = it.limits.take("i-1", 2.4);
    BOOST_TEST(refresh.is_news);
    BOOST_TEST(!refresh.change.has_value());
    BOOST_TEST(!it.limits.take("i-1", 2.4).is_news);
    BOOST_TEST(it.limits.take("i-1", std::nullopt).is_news);
    BOOST_TEST(!it.limits.take("i-1", std::nullopt).is_news);
}

// Guards against telling a caller to come back late for a limit that has just ended.
BOOST_AUTO_TEST_CASE(ended_limit_has_room_at_once)
{
    one_host it;
    it.limits.take("i-1", 0.5);
    const std::vector<std::string> backends{"i-1", "i-2"};
    BOOST_TEST(it.limits.room_in(backends).count() == 0);
    BOOST_TEST(it.limits.room_in(std::span{backends}.first(1)).count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
