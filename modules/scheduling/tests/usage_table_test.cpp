#include "hickorypost/scheduling/usage_table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;
using namespace hickorypost::scheduling;
using rate_map = std::map<std::string, double>;

/// Constant rates.
std::map<std::string, work_rate> constant(const rate_map& ms_per_s)
{
    std::map<std::string, work_rate> out;
    for (const auto& [account, rate] : ms_per_s) {
        out[account] = {rate, rate};
    }
    return out;
}

usage_report full(const rate_map& ms_per_s)
{
    usage_report out{{}, true};
    for (const auto& [account, rate] : ms_per_s) {
        out.rows.push_back({account, {rate, rate}});
    }
    return out;
}

const instant start{millis{1'000'000}};

instant at(int ms)
{
    return start + millis{ms};
}

/// The report to `host` among the due ones; null if there is none.
const usage_report* find(const std::vector<usage_table::message>& due, const std::string& host)
{
    for (const auto& it : due) {
        if (it.to == host) {
            return &it.report;
        }
    }
    return nullptr;
}

rate_map ms_per_s(const std::map<std::string, work_rate>& rates)
{
    rate_map out;
    for (const auto& [account, rate] : rates) {
        out[account] = rate.ms_per_s;
    }
    return out;
}

rate_map rates(const usage_report& report)
{
    rate_map out;
    for (const auto& row : report.rows) {
        BOOST_TEST(row.rate.recent_ms_per_s == row.rate.ms_per_s);
        out[row.account] = row.rate.ms_per_s;
    }
    return out;
}

/// A host with a disk and one other, to which `d1` and `d2` are attached.
usage_table core_host()
{
    usage_table out{{}, true, start};
    out.set_peers({{"core"}, {"d1", "d2"}, {}, {}});
    return out;
}

/// A host without a disk whose upstream host is `up`.
usage_table attached_host()
{
    usage_table out{{}, false, start};
    out.set_peers({{}, {}, "up", {}});
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_table_suite)

// Guards against counting a host's usage twice, and against hosts that do not learn that of others.
BOOST_AUTO_TEST_CASE(each_host_gets_the_usage_of_all_others_once)
{
    usage_table it = core_host();
    it.set_own(constant({{"a", 100}}));
    BOOST_TEST(it.take("core", full({{"a", 1000}, {"b", 20}}), start));
    BOOST_TEST(it.take("d1", full({{"a", 30}}), start));
    BOOST_TEST(it.take("d2", full({{"c", 50}}), start));
    const auto due = it.take_due(start);
    BOOST_REQUIRE(due.size() == 3U);
    BOOST_TEST((rates(*find(due, "core")) == rate_map{{"a", 130}, {"c", 50}}));
    BOOST_TEST((rates(*find(due, "d1")) == rate_map{{"a", 1100}, {"b", 20}, {"c", 50}}));
    BOOST_TEST((rates(*find(due, "d2")) == rate_map{{"a", 1130}, {"b", 20}}));
    BOOST_TEST((ms_per_s(it.remote(start)) == rate_map{{"a", 1030}, {"b", 20}, {"c", 50}}));
}

// Guards against traffic to hosts that get their reports from another upstream host.
BOOST_AUTO_TEST_CASE(only_downstream_hosts_that_report_get_reports)
{
    usage_table it = core_host();
    it.take("d1", full({}), start);
    const auto due = it.take_due(start);
    BOOST_TEST(find(due, "d1") != nullptr);
    BOOST_TEST(find(due, "d2") == nullptr);
    BOOST_TEST(!it.take("stranger", full({{"a", 1}}), start));
}

// Guards against reports whose number or size grows with the requests or the accounts.
BOOST_AUTO_TEST_CASE(reports_hold_changed_rows_at_most_every_200_ms_and_all_rows_once_a_second)
{
    usage_table it = attached_host();
    it.set_own(constant({{"a", 100}, {"b", 500}}));
    BOOST_TEST(find(it.take_due(at(0)), "up")->full);
    it.set_own(constant({{"a", 200}, {"b", 510}}));
    BOOST_TEST(it.take_due(at(199)).empty());
    const auto changed = it.take_due(at(200));
    BOOST_TEST(!find(changed, "up")->full);
    BOOST_TEST((rates(*find(changed, "up")) == rate_map{{"a", 200}}));
    BOOST_TEST(it.take_due(at(600)).empty());
    it.set_own(constant({{"b", 510}}));
    BOOST_TEST((rates(*find(it.take_due(at(650)), "up")) == rate_map{{"a", 0}}));
    const auto full = it.take_due(at(1000));
    BOOST_TEST(find(full, "up")->full);
    BOOST_TEST((rates(*find(full, "up")) == rate_map{{"b", 510}}));
}

// Guards against a message that grows with the number of accounts, and against rows that are never
// sent because larger ones come first.
BOOST_AUTO_TEST_CASE(report_holds_the_64_largest_rows_and_the_rest_later)
{
    usage_table it = attached_host();
    rate_map own;
    for (int n = 0; n < 150; ++n) {
        own["account-" + std::to_string(n)] = 100 + n;
    }
    it.set_own(constant(own));
    const auto full = it.take_due(at(0));
    BOOST_TEST(find(full, "up")->rows.size() == 64U);
    BOOST_TEST(find(full, "up")->rows.front().account == "account-149");
    BOOST_TEST(find(full, "up")->rows.back().account == "account-86");
    const auto rest = it.take_due(at(200));
    BOOST_TEST(find(rest, "up")->rows.size() == 64U);
    BOOST_TEST(find(rest, "up")->rows.front().account == "account-85");
    BOOST_TEST(find(it.take_due(at(400)), "up")->rows.size() == 22U);
}

// Guards against usage of a host that has ended or is cut off.
BOOST_AUTO_TEST_CASE(rows_expire_after_two_and_a_half_seconds_without_a_report)
{
    usage_table it = attached_host();
    BOOST_TEST((it.state(at(0)) == remote_usage::unknown));
    it.take("up", full({{"a", 100}}), at(100));
    it.set_host_count(30, at(100));
    BOOST_TEST((it.state(at(2600)) == remote_usage::reported));
    it.set_host_count(2, at(2600));
    BOOST_TEST((it.state(at(2601)) == remote_usage::missing));
    BOOST_TEST(it.remote(at(2601)).empty());
    it.set_host_count(1, at(9000));
    BOOST_TEST(it.known_hosts() == 30U);
}

// Guards against a single host that never applies shares, as no other host reports to it.
BOOST_AUTO_TEST_CASE(host_without_others_counts_its_own_usage_after_the_timeout)
{
    usage_table it{{}, true, start};
    BOOST_TEST((it.state(at(2500)) == remote_usage::unknown));
    BOOST_TEST((it.state(at(2501)) == remote_usage::missing));
    BOOST_TEST(it.known_hosts() == 1U);
}

// Guards against usage that counts at the previous and at the new upstream host.
BOOST_AUTO_TEST_CASE(host_that_changes_its_upstream_host_clears_its_usage_at_the_previous_one)
{
    usage_table it = attached_host();
    it.set_own(constant({{"a", 100}}));
    it.take("up", full({{"a", 70}}), at(0));
    it.take_due(at(0));
    it.set_peers({{}, {}, "next", {}});
    const auto due = it.take_due(at(10));
    BOOST_TEST(find(due, "up")->full);
    BOOST_TEST(find(due, "up")->rows.empty());
    BOOST_TEST((rates(*find(due, "next")) == rate_map{{"a", 100}}));
    // The rows of the previous one count until the new one reports.
    BOOST_TEST(!it.take("up", full({{"a", 90}}), at(20)));
    BOOST_TEST((ms_per_s(it.remote(at(20))) == rate_map{{"a", 70}}));
    it.take("next", full({{"b", 5}}), at(30));
    BOOST_TEST((ms_per_s(it.remote(at(30))) == rate_map{{"b", 5}}));
}

// Guards against a clear report to the upstream host itself after a short loss of the link to it.
BOOST_AUTO_TEST_CASE(host_that_returns_to_its_upstream_host_keeps_its_usage_there)
{
    usage_table it = attached_host();
    it.set_own(constant({{"a", 100}}));
    it.take_due(at(0));
    it.set_peers({});
    it.set_peers({{}, {}, "up", {}});
    for (const auto& message : it.take_due(at(1000))) {
        BOOST_TEST((rates(message.report) == rate_map{{"a", 100}}));
    }
}

// Guards against queueing reports for a host that reads slowly.
BOOST_AUTO_TEST_CASE(congested_host_gets_a_full_report_afterwards)
{
    usage_table it = attached_host();
    it.set_own(constant({{"a", 100}}));
    it.take_due(at(0));
    it.set_peers({{}, {}, "up", {"up"}});
    it.set_own(constant({{"a", 900}}));
    BOOST_TEST(it.take_due(at(300)).empty());
    it.set_peers({{}, {}, "up", {}});
    BOOST_TEST(find(it.take_due(at(500)), "up")->full);
}

// Guards against rates from a faulty host that would put no account, or every account, over its
// share.
BOOST_AUTO_TEST_CASE(rates_that_are_not_positive_numbers_are_ignored)
{
    usage_table it = attached_host();
    constexpr double infinity = std::numeric_limits<double>::infinity();
    constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
    it.take("up", full({{"a", infinity}, {"b", -5}, {"c", not_a_number}, {"d", 8}}), start);
    it.take("up", {{{"e", {8, infinity}}}, false}, start);
    BOOST_TEST((ms_per_s(it.remote(start)) == rate_map{{"d", 8}}));
}

BOOST_AUTO_TEST_SUITE_END()
