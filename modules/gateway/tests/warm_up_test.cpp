/// Tests of the request rate of backend servers that warm up, over all hosts together.

#include "hickorypost/gateway/permit_coordinator.h"
#include "one_gateway.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::testing;

constexpr double cold_per_second = 12;
constexpr millis warm_up{3000};

struct warming_host {
    explicit warming_host(const instant& now)
        : limits{{},
                 [&now] { return now; },
                 [] { return std::size_t{29}; },
                 [](const limit_change&) {},
                 [](const std::string&) {},
                 [] {}}
    {
    }
    backend_limits limits;
};

/// Hosts that all prefer one cold backend server, and the coordinators that they ask. Replies
/// arrive after `reply_delay`.
struct warming_site {
    explicit warming_site(std::size_t hosts)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            all.push_back(std::make_unique<warming_host>(now));
            all.back()->limits.set_warm_up("cold", cold_per_second, now + warm_up);
        }
    }
    /// Lets each host try one request and ask `coordinator_of(host)`, or nobody if that is null.
    void step(const std::function<permit_coordinator*(std::size_t host)>& coordinator_of)
    {
        now += step_time;
        for (std::size_t host = 0; host < all.size(); ++host) {
            auto& limits = all[host]->limits;
            if (limits.has_room("cold", 0)) {
                limits.sent("cold");
                arrivals.push_back(now);
            } else {
                limits.request_permit("cold", 0);
            }
            auto* const coordinator = coordinator_of(host);
            for (const auto& request : limits.take_requests()) {
                if (coordinator != nullptr) {
                    replies.emplace_back(
                        host, now + reply_delay,
                        coordinator->ask("h" + std::to_string(host), request, now));
                }
            }
        }
        std::erase_if(replies, [&](const auto& it) {
            const auto& [host, due, reply] = it;
            if (due <= now) {
                all[host]->limits.replied(reply);
            }
            return due <= now;
        });
    }
    void grant(permit_coordinator& coordinator)
    {
        for (const auto& it : coordinator.due(now)) {
            replies.emplace_back(std::stoul(it.host.substr(1)), now + reply_delay,
                                 permit_reply{it.backend, true, {}});
        }
    }
    /// Returns the highest number of arrivals in any second.
    [[nodiscard]] std::size_t busiest_second() const
    {
        std::size_t out = 0;
        for (const auto first : arrivals) {
            const auto n = std::count_if(arrivals.begin(), arrivals.end(), [&](instant it) {
                return it >= first && it < first + millis{1000};
            });
            out = std::max(out, static_cast<std::size_t>(n));
        }
        return out;
    }

    static constexpr millis step_time{10};
    static constexpr millis reply_delay{20};
    instant now{millis{100'000}};
    std::vector<std::unique_ptr<warming_host>> all;
    std::vector<std::tuple<std::size_t, instant, permit_reply>> replies;
    std::vector<instant> arrivals;
};

constexpr std::size_t max_per_second = 23; // 1.5 * 12 + 5

} // namespace

BOOST_AUTO_TEST_SUITE(warm_up_limits)

// Guards against a burst on a backend server that has just started: it has no load, so that all
// hosts prefer it at once.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_the_rate_of_a_cold_backend)
{
    for (const std::size_t hosts : {4U, 29U, 300U}) {
        warming_site it{hosts};
        permit_coordinator coordinator{{}};
        const auto ask = [&](std::size_t) { return &coordinator; };
        for (instant end = it.now + warm_up; it.now + millis{10} < end;) {
            it.step(ask);
            it.grant(coordinator);
        }
        BOOST_TEST(it.busiest_second() <= max_per_second);
        BOOST_TEST(it.arrivals.size() >= 20U);
    }
}

// Guards against two coordinators that each grant the whole rate. A leader that has lost its quorum
// grants nothing, so only the change from one leader to the next remains.
BOOST_AUTO_TEST_CASE(rate_holds_while_the_coordinator_changes)
{
    warming_site it{29};
    permit_coordinator first{{}};
    permit_coordinator second{{}};
    const instant change = it.now + millis{1500};
    for (instant end = it.now + warm_up; it.now + millis{10} < end;) {
        auto& current = it.now < change ? first : second;
        it.step([&](std::size_t) { return &current; });
        it.grant(current);
    }
    BOOST_TEST(it.busiest_second() <= max_per_second);
}

// Guards against hosts that each send a request of their own when nobody grants permits.
BOOST_AUTO_TEST_CASE(cold_backend_gets_nothing_without_a_coordinator)
{
    warming_site it{29};
    while (it.now < instant{millis{100'000}} + warm_up - millis{10}) {
        it.step([](std::size_t) { return nullptr; });
    }
    BOOST_TEST(it.arrivals.empty());
    it.step([](std::size_t) { return nullptr; });
    BOOST_TEST(it.arrivals.size() == 29U);
}

// Guards against a limit that a backend server states itself and that the end of its warm-up drops.
BOOST_AUTO_TEST_CASE(stated_limit_outlives_the_warm_up)
{
    one_gateway it;
    it.limits.set_warm_up("b1", cold_per_second, it.timers.now + warm_up);
    BOOST_TEST(!it.limits.limit_of("b1").has_value());
    BOOST_TEST(it.limits.all().empty());
    it.limits.saw("b1", {limit_statement::kind_type::named, 2});
    it.limits.request_permit("b1", 0);
    BOOST_TEST(it.limits.take_requests().front().per_second == 2);
    it.limits.replied({"b1", false, millis{500}});
    it.timers.run_for(warm_up);
    it.limits.expire();
    BOOST_TEST(it.limits.limit_of("b1").value_or(0) == 2);
    BOOST_TEST(!it.limits.has_room("b1", 0));
    it.limits.saw("b1", {});
    BOOST_TEST(it.limits.empty());
}

// Guards against requests that wait for a cold backend server while another one has room, and
// against requests that are sent to a cold one without a permit.
BOOST_AUTO_TEST_CASE(request_goes_to_a_warm_backend_without_a_permit)
{
    one_gateway it;
    site_config config = it.table->config();
    config.services.front().cold_per_second = cold_per_second;
    it.table = std::make_shared<const route_table>(config);
    for (const auto* const id : {"b1", "b2"}) {
        it.directory.take(
            {id, "app", std::string{id} + ":1", "d", "v1", 4, backend_state::ready, 3000, 2},
            it.timers.now);
    }
    for (int n = 0; n < 20; ++n) {
        it.ask(as_is);
        BOOST_REQUIRE(it.backends.last().target.backend == "b3");
    }
    it.timers.run_for(warm_up);
    it.ask(as_is);
    BOOST_TEST(it.backends.last().target.backend != "b3");
}

BOOST_AUTO_TEST_SUITE_END()
