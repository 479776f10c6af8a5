#include "hickorypost/gateway/permit_coordinator.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

constexpr millis window{4000};

/// Many hosts and one backend server with a limit, in virtual time with a delay between hosts.
class limited_site {
public:
    limited_site(std::size_t hosts, double limit)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            hosts_.push_back(std::make_unique<backend_limits>(
                limit_settings{}, [this] { return now; }, [hosts] { return hosts; },
                [](const limit_change&) {}, [](const std::string&) {}, [] {}));
        }
        set_limit(limit);
    }

    void set_limit(double limit)
    {
        for (auto& it : hosts_) {
            it->take("i-1", limit);
        }
    }

    /// A request of that priority at that host. Returns true if it may be sent.
    bool request(std::size_t host, int priority = 0)
    {
        auto& limits = *hosts_[host];
        if (limits.has_room("i-1", priority)) {
            limits.sent("i-1");
            sent.push_back(now);
            return true;
        }
        limits.request_permit("i-1", priority);
        limits.note_rejection(priority);
        return false;
    }

    void step()
    {
        now += millis{5};
        for (std::size_t n = 0; n < hosts_.size(); ++n) {
            for (const auto& wanted : hosts_[n]->take_requests()) {
                if (!coordinator_answers) {
                    continue;
                }
                ++messages;
                const auto reply = coordinator_.ask(std::to_string(n), wanted, now);
                on_the_way_.push_back({now + delay, n, reply});
            }
        }
        for (const auto& it : coordinator_.due(now)) {
            on_the_way_.push_back({now + delay, std::stoul(it.host), {it.backend, true, {}}});
        }
        while (!on_the_way_.empty() && on_the_way_.front().at <= now) {
            hosts_[on_the_way_.front().host]->replied(on_the_way_.front().reply);
            on_the_way_.pop_front();
        }
    }

    /// Requests at random hosts, `per_second` of them in all.
    void run(millis time, double per_second)
    {
        std::mt19937 random{11};
        const std::uniform_real_distribution<double> unit{0, 1};
        auto draw = unit;
        for (const instant end = now + time; now < end;) {
            step();
            for (double due = per_second / 200; draw(random) < due; due -= 1) {
                // Demand is uneven: half of the requests come to a tenth of the hosts.
                const bool busy = draw(random) < 0.5;
                const auto part = static_cast<double>(hosts_.size()) * (busy ? 0.1 : 1.0);
                request(static_cast<std::size_t>(draw(random) * part));
            }
        }
    }

    [[nodiscard]] std::size_t busiest_window() const
    {
        std::size_t out = 0;
        for (const auto from : sent) {
            const auto n = std::count_if(sent.begin(), sent.end(), [from](instant at) {
                return at >= from && at < from + window;
            });
            out = std::max(out, static_cast<std::size_t>(n));
        }
        return out;
    }

    instant now{millis{100'000}};
    std::vector<instant> sent;
    std::size_t messages = 0;
    bool coordinator_answers = true;

private:
    struct message {
        instant at;
        std::size_t host = 0;
        permit_reply reply;
    };
    static constexpr millis delay{6};

    std::vector<std::unique_ptr<backend_limits>> hosts_;
    permit_coordinator coordinator_{{}};
    std::deque<message> on_the_way_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(permit_coordinator_suite)

// Guards against hosts that keep the limit each by itself and exceed it together, and against a
// limited backend server that gets less than it takes.
BOOST_AUTO_TEST_CASE(sum_over_all_hosts_keeps_the_limit_and_uses_it)
{
    for (const auto& [hosts, limit, demand] : {std::tuple{std::size_t{8}, 2.4, 40.0},
                                               {std::size_t{105}, 2.4, 900.0},
                                               {std::size_t{105}, 60.0, 900.0}}) {
        limited_site it{hosts, limit};
        it.run(millis{20'000}, demand);
        const double per_window = limit * static_cast<double>(window.count()) / 1000;
        BOOST_TEST(static_cast<double>(it.busiest_window()) <= 1.5 * per_window + 5);
        BOOST_TEST(static_cast<double>(it.sent.size()) >= 0.7 * limit * 20);
    }
}

// Guards against asking for permits with a message for each request.
BOOST_AUTO_TEST_CASE(permit_requests_are_bounded_however_many_requests_come)
{
    limited_site it{8, 2.4};
    it.run(millis{10'000}, 2000);
    constexpr std::size_t hosts_times_quarters = std::size_t{8} * 40;
    BOOST_TEST(it.messages <= hosts_times_quarters + it.sent.size() + 8U);
}

// Guards against hosts that send more, not less, when nobody grants permits.
BOOST_AUTO_TEST_CASE(hosts_without_a_coordinator_send_less_than_their_share)
{
    limited_site it{8, 4};
    it.coordinator_answers = false;
    it.run(millis{20'000}, 400);
    BOOST_TEST(it.sent.size() > 0U);
    BOOST_TEST(static_cast<double>(it.busiest_window()) <= 4 * 4 + 5);
}

// Guards against a limit so low that no request, and so no answer that ends it, ever comes.
BOOST_AUTO_TEST_CASE(limit_of_zero_still_lets_a_request_through_now_and_then)
{
    limited_site it{8, 0};
    it.run(millis{20'000}, 40);
    BOOST_TEST(it.sent.size() >= 2U);
    BOOST_TEST(it.busiest_window() <= 5U);
}

// Guards against urgent requests that are rejected while less urgent ones use the permits.
BOOST_AUTO_TEST_CASE(more_urgent_requests_come_first)
{
    limited_site it{2, 5};
    std::size_t urgent = 0;
    std::size_t other = 0;
    for (int n = 0; n < 4000; ++n) {
        it.step();
        urgent += n % 10 == 0 && it.request(1, 0) ? 1 : 0;
        other += it.request(0, 2) ? 1 : 0;
    }
    BOOST_TEST(urgent > 5 * other);
}

// Guards against permits that expire unused, reserved for urgent requests that seldom come.
BOOST_AUTO_TEST_CASE(few_urgent_requests_do_not_keep_others_from_unused_permits)
{
    limited_site it{8, 12};
    std::mt19937 random{5};
    std::uniform_int_distribution<std::size_t> host{0, 7};
    for (int n = 0; n < 4000; ++n) {
        it.step();
        if (n % 40 == 0) {
            it.request(host(random), 0);
        }
        it.request(host(random), 2);
    }
    BOOST_TEST(static_cast<double>(it.sent.size()) >= 0.7 * 12 * 20);
}

// Guards against a permit for a host that has stopped asking.
BOOST_AUTO_TEST_CASE(permit_request_that_is_not_repeated_is_dropped)
{
    permit_coordinator coordinator{{}};
    const instant now{millis{1000}};
    BOOST_TEST(coordinator.ask("a", {"i-1", 1, 0}, now).granted);
    BOOST_TEST(!coordinator.ask("b", {"i-1", 1, 0}, now).granted);
    BOOST_TEST(coordinator.due(now + millis{1500}).empty());
    BOOST_TEST(coordinator.idle());
}

// Guards against telling callers to come back before there can be room.
BOOST_AUTO_TEST_CASE(reply_says_when_there_is_room)
{
    permit_coordinator coordinator{{}};
    const instant now{millis{1000}};
    coordinator.ask("a", {"i-1", 2, 0}, now);
    BOOST_TEST(coordinator.ask("b", {"i-1", 2, 1}, now).room_in.count() == 500);
    BOOST_TEST(coordinator.ask("c", {"i-1", 2, 1}, now).room_in.count() == 1000);
    BOOST_TEST(coordinator.ask("d", {"i-1", 2, 0}, now).room_in.count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()
