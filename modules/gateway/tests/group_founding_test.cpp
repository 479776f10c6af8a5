#include "hickorypost/gateway/group_founding.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace hickorypost;
using namespace hickorypost::gateway;

const instant start{millis{1000}};
const instant hours_later = start + millis{3'600'000};
const std::map<node_id, std::string> three_disks{{"a", "d1"}, {"b", "d2"}, {"c", "d3"}};

std::vector<node_id> founders(founding_settings settings,
                              const std::map<node_id, std::string>& core, instant now,
                              const std::set<node_id>& linked = {"a", "b", "c", "d", "e"})
{
    return group_founding{std::move(settings), start}.founders(
        core, [&](const node_id& host) { return linked.contains(host); }, now);
}

founding_settings first_start_of(const node_id& self, std::vector<node_id> seeds = {"a", "b", "c"})
{
    return {.self = self, .failure_domain = "d1", .first_start_seeds = std::move(seeds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_founding_suite)

// Guards against a host that lost its disk founding a second group while the others are down.
BOOST_AUTO_TEST_CASE(disk_outside_the_first_start_never_founds)
{
    const founding_settings settings{.self = "a", .failure_domain = "d1"};
    BOOST_TEST(founders(settings, {{"a", "d1"}}, hours_later).empty());
    BOOST_TEST(founders(settings, three_disks, hours_later).empty());
}

// Guards against a group whose acknowledged commands are lost with one disk.
BOOST_AUTO_TEST_CASE(lone_host_does_not_found_a_group_that_tolerates_a_loss)
{
    BOOST_TEST(founders(first_start_of("a"), {{"a", "d1"}}, hours_later).empty());
}

BOOST_AUTO_TEST_CASE(first_seed_founds_with_all_voters)
{
    BOOST_TEST(founders(first_start_of("a"), three_disks, start) ==
               (std::vector<node_id>{"a", "b", "c"}));
    BOOST_TEST(founders(first_start_of("b"), three_disks, hours_later).empty());
}

BOOST_AUTO_TEST_CASE(missing_voter_delays_founding)
{
    const std::map<node_id, std::string> two_disks{{"a", "d1"}, {"b", "d2"}};
    BOOST_TEST(founders(first_start_of("a"), two_disks, start + millis{1000}).empty());
    BOOST_TEST(founders(first_start_of("a"), two_disks, hours_later) ==
               (std::vector<node_id>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(lone_host_founds_a_group_that_tolerates_no_loss)
{
    auto settings = first_start_of("a", {});
    settings.tolerated_losses = 0;
    BOOST_TEST(founders(settings, {{"a", "d1"}}, start) == (std::vector<node_id>{"a"}));
}

BOOST_AUTO_TEST_CASE(seed_without_a_link_may_have_a_disk)
{
    const std::map<node_id, std::string> core{{"b", "d2"}, {"c", "d3"}, {"d", "d4"}};
    BOOST_TEST(founders(first_start_of("b"), core, hours_later, {"c", "d"}).empty());
    BOOST_TEST(founders(first_start_of("b"), core, hours_later).size() == 3U);
}

BOOST_AUTO_TEST_CASE(voters_come_from_distinct_failure_domains_first)
{
    const std::map<node_id, std::string> core{
        {"a", "d1"}, {"b", "d1"}, {"c", "d1"}, {"d", "d2"}, {"e", "d3"}};
    BOOST_TEST(founders(first_start_of("a"), core, start) == (std::vector<node_id>{"a", "d", "e"}));
}

BOOST_AUTO_TEST_SUITE_END()
