#include "hickorypost/scheduling/account_shares.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;

const instant start{millis{1'000'000}};

std::map<std::string, work_rate> constant(const std::map<std::string, double>& ms_per_s)
{
    std::map<std::string, work_rate> out;
    for (const auto& [account, rate] : ms_per_s) {
        out[account] = {rate, rate};
    }
    return out;
}

/// Shares of a host that knows these rates of all accounts.
account_shares with_rates(const std::map<std::string, double>& ms_per_s)
{
    account_shares out{{}};
    out.set_remote_state(remote_usage::reported, 2);
    out.set_remote(constant(ms_per_s));
    return out;
}

/// Accounts over their share of the capacity.
std::vector<std::string> over_share(const account_shares& it, double capacity_ms_per_s)
{
    std::vector<std::string> out;
    for (const auto& row : it.rows(start, capacity_ms_per_s)) {
        BOOST_TEST(row.over_share == it.is_over_share(row.account, capacity_ms_per_s, start));
        if (row.over_share) {
            out.push_back(row.account);
        }
    }
    return out;
}

using names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(account_shares_suite)

// Guards against delaying accounts of usual size because of a large one.
BOOST_AUTO_TEST_CASE(unused_shares_go_to_the_accounts_that_can_use_them)
{
    const auto it = with_rates({{"a", 7000}, {"b", 1000}, {"c", 2000}, {"d", 500}, {"e", 1500}});
    BOOST_TEST(over_share(it, 10'000) == names{"a"});
    // 9,000 without headroom: b, d and e use 3,000, c and a are left 3,000 each.
    for (const auto& row : it.rows(start, 10'000)) {
        BOOST_TEST(row.share_ms_per_s == 4000, boost::test_tools::tolerance(0.001));
    }
}

// Guards against weights without effect.
BOOST_AUTO_TEST_CASE(shares_are_proportional_to_weights)
{
    auto it = with_rates({{"a", 4000}, {"b", 4000}, {"c", 4000}});
    BOOST_TEST(over_share(it, 7000).empty());
    it.set_weights({{"a", 4}, {"b", 2}});
    BOOST_TEST(over_share(it, 7000) == names{"c"});
    it.set_weights({{"b", 10}});
    BOOST_TEST(over_share(it, 7000) == (names{"a", "c"}));
}

// Guards against treating every account as over its share in a shortage that none of them causes,
// such as the loss of engines, or because the capacity is estimated too low.
BOOST_AUTO_TEST_CASE(accounts_of_similar_usage_are_within_their_shares)
{
    const auto it = with_rates({{"a", 900}, {"b", 1000}, {"c", 1100}, {"d", 1050}});
    BOOST_TEST(over_share(it, 2000).empty());
    BOOST_TEST(over_share(it, 1e9).empty());
}

// Guards against an account that crowds out the others: with all capacity in use, each of them
// admits as much as it gets, and none looks as if it wanted more.
BOOST_AUTO_TEST_CASE(account_that_crowds_out_others_is_over_its_share_once_capacity_is_in_use)
{
    const auto it = with_rates({{"a", 3000}, {"b", 500}, {"c", 500}});
    BOOST_TEST(over_share(it, 4000) == names{"a"});
    BOOST_TEST(over_share(it, 100'000) == names{"a"});
}

// Guards against shares that depend on the estimate of the host alone until reports arrive.
BOOST_AUTO_TEST_CASE(host_without_reports_since_its_start_has_no_account_over_its_share)
{
    account_shares it{{}};
    it.record("a", 5000, start);
    it.record("b", 100, start);
    BOOST_TEST(over_share(it, 1000).empty());
    it.set_remote_state(remote_usage::reported, 30);
    BOOST_TEST(over_share(it, 1000) == names{"a"});
}

// Guards against a host that, cut off from the others, compares its part of the usage with the
// capacity of all engines.
BOOST_AUTO_TEST_CASE(own_usage_of_a_cut_off_host_counts_for_all_hosts)
{
    account_shares it{{}};
    it.set_remote(constant({{"b", 90'000}}));
    it.record("a", 500, start);
    it.record("b", 50, start);
    it.record("c", 50, start);
    it.set_remote_state(remote_usage::missing, 30);
    BOOST_TEST(it.rows(start).front().ms_per_s == 30 * it.own_rate("a", start));
    BOOST_TEST(over_share(it, 30'000) == names{"a"});
}

// Guards against rates that outlive the usage, and against memory for accounts without any.
BOOST_AUTO_TEST_CASE(rate_follows_the_work_of_the_last_second)
{
    account_shares it{{}};
    instant now = start;
    for (; now < start + millis{5000}; now += millis{50}) {
        it.record("a", 50, now);
    }
    BOOST_TEST(it.own_rate("a", now) == 1000, boost::test_tools::tolerance(0.06));
    BOOST_TEST(it.own_rate("a", now + millis{1000}) < 150);
    BOOST_TEST(it.own_rates(now).size() == 1U);
    BOOST_TEST(it.own_rates(now + millis{10'000}).empty());
    // Long pauses must not exceed the range of the scaled rates.
    now += std::chrono::hours{24 * 400};
    it.record("a", 50, now);
    BOOST_TEST(it.own_rate("a", now) == 100, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(switched_off_shares_have_no_account_over_its_share)
{
    account_shares it{{.enabled = false}};
    it.set_remote_state(remote_usage::reported, 2);
    it.set_remote(constant({{"a", 7000}, {"b", 1000}, {"c", 1000}}));
    BOOST_TEST(over_share(it, 1000).empty());
}

// Guards against shares that work only for usage that exceeds the capacity: with a queue in front
// of the engines, the admitted work of all accounts is the capacity, and that of a surging account
// replaces that of the others. Unused capacity must still go to the surging account.
BOOST_AUTO_TEST_CASE(usual_accounts_do_not_wait_behind_a_surging_one)
{
    constexpr millis step{50};
    constexpr double capacity = 12'000;
    constexpr double step_capacity = 600;
    constexpr double usual = 50; // in each step
    const names accounts{"surging", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
    for (const double estimate : {capacity, 3 * capacity}) {
        account_shares it{{}};
        it.set_remote_state(remote_usage::missing, 1);
        std::map<std::string, double> waiting;
        double served_of_surging = 0;
        instant now = start;
        for (; now < start + millis{10'000}; now += step) {
            // Work that has waited for two seconds is given up.
            const double demand = now < start + millis{2000} ? usual : 7 * usual;
            waiting["surging"] = std::min(waiting["surging"] + demand, 2 * capacity);
            for (auto account = accounts.begin() + 1; account != accounts.end(); ++account) {
                waiting[*account] += usual;
            }
            double room = step_capacity;
            for (const bool over : {false, true}) {
                names turn;
                double sum = 0;
                for (const auto& account : accounts) {
                    if (it.is_over_share(account, estimate, now) == over) {
                        turn.push_back(account);
                        sum += waiting[account];
                    }
                }
                // Requests that arrived in random order are served in that order.
                const double part = sum <= room ? 1 : room / sum;
                for (const auto& account : turn) {
                    const double work = part * waiting[account];
                    waiting[account] -= work;
                    room -= work;
                    it.record(account, work, now);
                    if (account == "surging" && now >= start + millis{4000}) {
                        served_of_surging += work;
                    }
                }
            }
            if (now >= start + millis{4000}) {
                for (auto account = accounts.begin() + 1; account != accounts.end(); ++account) {
                    BOOST_TEST(waiting[*account] < usual);
                }
            }
        }
        // What the nine others leave, for six seconds.
        BOOST_TEST(served_of_surging == 6 * (capacity - 9000), boost::test_tools::tolerance(0.01));
    }
}

BOOST_AUTO_TEST_SUITE_END()
