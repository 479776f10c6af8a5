#include "hickorypost/gateway/connection_share.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <vector>

namespace {

using namespace hickorypost::gateway;

constexpr double limit = 100;

std::size_t sum(const std::vector<std::size_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_share_suite)

// Guards against a host that may not use what the other hosts leave unused.
BOOST_AUTO_TEST_CASE(host_with_all_callers_may_use_what_is_not_reserved)
{
    const connection_share it{{}};
    BOOST_TEST(it.allowed(limit, {30, 0, true, 4}) == 50.0);
    BOOST_TEST(it.allowed(limit, {30, 60, true, 4}) == 20.0);
    BOOST_TEST(it.allowed(limit, {0, 80, true, 4}) == 10.0);
    BOOST_TEST(it.allowed(limit, {30, 0, false, 4}) == 20.0);
}

// Guards against exceeding what a backend server accepts while hosts know old counts only.
BOOST_AUTO_TEST_CASE(all_hosts_together_stay_below_the_limit_while_reports_are_late)
{
    const connection_share it{{}};
    constexpr int report_every = 5;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random{seed};
        std::vector<std::size_t> open(8);
        std::vector<std::size_t> reported(8);
        for (int n = 0; n < 2000; ++n) {
            // Most connections are opened by one host, another one every 200 steps.
            const std::size_t host = random() % 10 < 9 ? (n / 200) % open.size() : random() % 8;
            const std::size_t known = sum(reported) - reported[host];
            const connection_use use{open[host], static_cast<double>(known), true, open.size()};
            if (static_cast<double>(use.own) < it.allowed(limit, use)) {
                ++open[host];
            }
            if (const std::size_t other = random() % 8; open[other] > 0 && random() % 3 == 0) {
                --open[other];
            }
            if (n % report_every == 0) {
                reported = open;
            }
            BOOST_REQUIRE(static_cast<double>(sum(open)) <= limit);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
