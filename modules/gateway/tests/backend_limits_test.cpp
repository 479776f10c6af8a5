#include "hickorypost/gateway/backend_limits.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;
using kind = limit_statement::kind_type;

struct limits_host {
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

// Guards against changes of a limit without notification, and against a limit that is kept after
// responses state its end.
BOOST_AUTO_TEST_CASE(limit_follows_the_responses)
{
    limits_host it;
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

// Guards against a log line and a broadcast for each response when every response states another
// limit.
BOOST_AUTO_TEST_CASE(changes_are_announced_at_a_bounded_rate)
{
    limits_host it;
    for (int n = 0; n < 1000; ++n) {
        it.limits.saw("i-1", {kind::named, 2.0 + n % 7});
        it.now += millis{5};
    }
    BOOST_TEST(it.changes.size() <= 6U);
}

// Guards against an unparsable value that ends a limit or floods the log.
BOOST_AUTO_TEST_CASE(unreadable_limit_changes_nothing)
{
    limits_host it;
    it.limits.saw("i-1", {kind::named, 2.5});
    for (int n = 0; n < 100; ++n) {
        it.limits.saw("i-1", {kind::unreadable, 0});
        it.limits.saw("i-2", {kind::unreadable, 0});
    }
    BOOST_TEST(it.limits.limit_of("i-1").value_or(0) == 2.5);
    BOOST_TEST(!it.limits.limit_of("i-2").has_value());
    BOOST_TEST(it.unreadable == 1);
}

// Guards against a limit that is kept forever when responses no longer arrive.
BOOST_AUTO_TEST_CASE(limit_without_responses_expires)
{
    limits_host it;
    it.limits.saw("i-1", {kind::named, 0});
    it.now += millis{61'000};
    it.limits.expire();
    BOOST_TEST(it.limits.empty());
}

// Guards against backend servers for which no permit is ever requested, when there are more of them
// than fit into one message.
BOOST_AUTO_TEST_CASE(permits_are_requested_for_all_limited_backends_round_robin)
{
    limits_host it;
    std::map<std::string, int> requests_sent;
    for (int turn = 0; turn < 200; ++turn) {
        for (int n = 0; n < 150; ++n) {
            const std::string backend = "i-" + std::to_string(n);
            it.limits.take(backend, 2.5);
            it.limits.request_permit(backend, 1);
        }
        for (const auto& request : it.limits.take_requests()) {
            ++requests_sent[request.backend];
            it.limits.replied({request.backend, false, {}});
        }
        it.now += millis{20};
    }
    BOOST_TEST(requests_sent.size() == 150U);
    for (const auto& [backend, n] : requests_sent) {
        BOOST_TEST(n >= 5);
    }
}

// Guards against a host that drops a limit and exceeds it, because only other hosts get responses
// of the backend server.
BOOST_AUTO_TEST_CASE(limit_is_kept_while_responses_to_other_hosts_state_it)
{
    limits_host receiver;
    limits_host observer;
    std::size_t messages = 0;
    for (int n = 0; n < 3000; ++n) {
        const std::size_t before = receiver.changes.size();
        receiver.limits.saw("i-1", {kind::named, 2.4});
        if (receiver.changes.size() > before) {
            ++messages;
            observer.limits.take("i-1", 2.4);
        }
        receiver.now += millis{100};
        observer.now += millis{100};
        receiver.limits.expire();
        observer.limits.expire();
        BOOST_REQUIRE(observer.limits.limit_of("i-1").has_value());
    }
    BOOST_TEST(messages <= 31U);
}

// Guards against refreshes that are not forwarded, and against duplicates that circulate forever.
BOOST_AUTO_TEST_CASE(announcement_is_forwarded_once)
{
    limits_host it;
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

// Guards against a long retry delay to a caller although the limit has just ended.
BOOST_AUTO_TEST_CASE(ended_limit_has_room_at_once)
{
    limits_host it;
    it.limits.take("i-1", 0.5);
    const std::vector<std::string> backends{"i-1", "i-2"};
    BOOST_TEST(it.limits.room_in(backends).count() == 0);
    BOOST_TEST(it.limits.room_in(std::span{backends}.first(1)).count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
