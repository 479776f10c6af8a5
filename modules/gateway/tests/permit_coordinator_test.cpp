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

/// Simulates several hosts and one rate-limited backend server, with a message delay between hosts.
class limit_simulation {
public:
    limit_simulation(std::size_t hosts, double limit)
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

    /// A request arrives at `host`. Returns true if it may be sent.
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
                in_flight_.push_back({now + delay, n, reply});
            }
        }
        for (const auto& it : coordinator_.due(now)) {
            in_flight_.push_back({now + delay, std::stoul(it.host), {it.backend, true, {}}});
        }
        while (!in_flight_.empty() && in_flight_.front().at <= now) {
            hosts_[in_flight_.front().host]->replied(in_flight_.front().reply);
            in_flight_.pop_front();
        }
    }

    /// Simulates requests at random hosts, `per_second` in total.
    void run(millis time, double per_second)
    {
        std::mt19937 random{11};
        const std::uniform_real_distribution<double> unit{0, 1};
        auto draw = unit;
        for (const instant end = now + time; now < end;) {
            step();
            for (double due = per_second / 200; draw(random) < due; due -= 1) {
                // Uneven demand: half of the requests arrive at a tenth of the hosts.
                const bool from_busy_hosts = draw(random) < 0.5;
                const auto host_count =
                    static_cast<double>(hosts_.size()) * (from_busy_hosts ? 0.1 : 1.0);
                request(static_cast<std::size_t>(draw(random) * host_count));
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
    std::deque<message> in_flight_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(permit_coordinator_suite)

// Guards against hosts that each stay below the limit but exceed it together, and against permits
// that stay unused although there is demand.
BOOST_AUTO_TEST_CASE(total_rate_of_all_hosts_stays_below_and_near_the_limit)
{
    for (const auto& [hosts, limit, demand] : {std::tuple{std::size_t{8}, 2.4, 40.0},
                                               {std::size_t{105}, 2.4, 900.0},
                                               {std::size_t{105}, 60.0, 900.0}}) {
        limit_simulation it{hosts, limit};
        it.run(millis{20'000}, demand);
        const double per_window = limit * static_cast<double>(window.count()) / 1000;
        BOOST_TEST(static_cast<double>(it.busiest_window()) <= 1.5 * per_window + 5);
        BOOST_TEST(static_cast<double>(it.sent.size()) >= 0.7 * limit * 20);
    }
}

// Guards against one permit message per request.
BOOST_AUTO_TEST_CASE(permit_messages_are_bounded_under_overload)
{
    limit_simulation it{8, 2.4};
    it.run(millis{10'000}, 2000);
    constexpr std::size_t hosts_times_quarters = std::size_t{8} * 40;
    BOOST_TEST(it.messages <= hosts_times_quarters + it.sent.size() + 8U);
}

// Guards against hosts that exceed the limit when the coordinator does not reply.
BOOST_AUTO_TEST_CASE(hosts_without_a_coordinator_send_less_than_their_share)
{
    limit_simulation it{8, 4};
    it.coordinator_answers = false;
    it.run(millis{20'000}, 400);
    BOOST_TEST(it.sent.size() > 0U);
    BOOST_TEST(static_cast<double>(it.busiest_window()) <= 4 * 4 + 5);
}

// Guards against a limit of zero that lasts forever because no request is sent whose response could
// end it.
BOOST_AUTO_TEST_CASE(limit_of_zero_still_permits_occasional_requests)
{
    limit_simulation it{8, 0};
    it.run(millis{20'000}, 40);
    BOOST_TEST(it.sent.size() >= 2U);
    BOOST_TEST(it.busiest_window() <= 5U);
}

// Guards against less urgent requests that use the permits while urgent ones are rejected.
BOOST_AUTO_TEST_CASE(more_urgent_requests_come_first)
{
    limit_simulation it{2, 5};
    std::size_t urgent = 0;
    std::size_t other = 0;
    for (int n = 0; n < 4000; ++n) {
        it.step();
        urgent += n % 10 == 0 && it.request(1, 0) ? 1 : 0;
        other += it.request(0, 2) ? 1 : 0;
    }
    BOOST_TEST(urgent > 5 * other);
}

// Guards against permits that expire unused because they are reserved for rare urgent requests.
BOOST_AUTO_TEST_CASE(few_urgent_requests_do_not_keep_others_from_unused_permits)
{
    limit_simulation it{8, 12};
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

// Guards against granting a permit to a host that no longer requests one.
BOOST_AUTO_TEST_CASE(permit_request_that_is_not_repeated_is_dropped)
{
    permit_coordinator coordinator{{}};
    const instant now{millis{1000}};
    BOOST_TEST(coordinator.ask("a", {"i-1", 1, 0}, now).granted);
    BOOST_TEST(!coordinator.ask("b", {"i-1", 1, 0}, now).granted);
    BOOST_TEST(coordinator.due(now + millis{1500}).empty());
    BOOST_TEST(coordinator.idle());
}

// Guards against a retry delay that ends before a permit can be granted.
BOOST_AUTO_TEST_CASE(reply_states_the_expected_time_until_a_permit)
{
    permit_coordinator coordinator{{}};
    const instant now{millis{1000}};
    coordinator.ask("a", {"i-1", 2, 0}, now);
    BOOST_TEST(coordinator.ask("b", {"i-1", 2, 1}, now).room_in.count() == 500);
    BOOST_TEST(coordinator.ask("c", {"i-1", 2, 1}, now).room_in.count() == 1000);
    BOOST_TEST(coordinator.ask("d", {"i-1", 2, 0}, now).room_in.count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()
