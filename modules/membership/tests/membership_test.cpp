#include "hickorypost/membership/agent_subset.h"
#include "hickorypost/membership/directory.h"
#include "hickorypost/membership/fence.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace hickorypost;
using namespace hickorypost::membership;

const instant start{millis{10'000}};

wire::agent_info agent(const std::string& name, const std::string& domain,
                       const std::string& version)
{
    wire::agent_info out;
    out.node = name;
    out.life = 1;
    out.failure_domain = domain;
    wire::backend_info backend;
    backend.name = "engine";
    backend.offers = {{"skills", version}};
    out.backends.push_back(backend);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// A delayed order of a deposed leader arrives after an order of the new leader or after the agent's
// restart. The agent must reject it, because the engine does not check fencing numbers.
BOOST_AUTO_TEST_CASE(orders_of_deposed_leaders_are_rejected)
{
    fence agent_fence{7};
    BOOST_TEST((agent_fence.admit({{2, 5}, 7}) == order_verdict::pass));
    BOOST_TEST((agent_fence.admit({{1, 90}, 7}) == order_verdict::stale));
    BOOST_TEST((agent_fence.admit({{2, 5}, 7}) == order_verdict::pass));
    fence restarted{8};
    BOOST_TEST((restarted.admit({{2, 5}, 7}) == order_verdict::wrong_life));
    BOOST_TEST((restarted.admit({{3, 1}, 8}) == order_verdict::pass));
}

BOOST_AUTO_TEST_CASE(readers_get_only_changes_since_their_version)
{
    directory list{{}, 42};
    list.take(agent("a", "d1", "1"));
    const auto first = list.changes_since({0, 0});
    BOOST_TEST(first.whole);
    list.take(agent("b", "d1", "1"));
    const auto second = list.changes_since({first.epoch, first.version});
    BOOST_TEST(!second.whole);
    BOOST_REQUIRE(second.changed.size() == 1U);
    BOOST_TEST(second.changed.front().node == "b");
    list.lost("a", 1, start);
    BOOST_TEST(!list.expire(start + millis{4000}));
    BOOST_TEST(list.expire(start + millis{5001}));
    const auto third = list.changes_since({second.epoch, second.version});
    BOOST_TEST(third.removed.size() == 1U);
    BOOST_TEST(list.changes_since({41, 9}).whole);
}

// The link of an agent's previous incarnation closes after the new incarnation has announced
// itself. The agent must stay listed.
BOOST_AUTO_TEST_CASE(delayed_link_loss_of_previous_incarnation_is_ignored)
{
    directory list{{}, 42};
    auto restarted_agent = agent("a", "d1", "1");
    list.take(restarted_agent);
    restarted_agent.life = 2;
    list.take(restarted_agent);
    list.lost("a", 1, start);
    BOOST_TEST(!list.expire(start + millis{60'000}));
}

// One version is served by only four of 300 agents. A subset of 60 agents must include these four,
// cover all failure domains, and change by at most one agent when an agent leaves.
BOOST_AUTO_TEST_CASE(agent_subset_covers_versions_and_failure_domains)
{
    std::vector<wire::agent_info> fleet;
    fleet.reserve(300);
    for (int n = 0; n < 300; ++n) {
        fleet.push_back(agent("a" + std::to_string(n), "d" + std::to_string(n % 6),
                              n % 75 == 0 ? "rare" : "common"));
    }
    const auto chosen = choose_agents("e1", fleet, {.max_agents = 60});
    BOOST_TEST(chosen.size() == 60U);
    std::map<std::string, int> domains;
    std::size_t rare = 0;
    for (const auto& it : fleet) {
        if (chosen.contains(it.node)) {
            ++domains[it.failure_domain];
            rare += it.backends.front().offers.front().version == "rare" ? 1U : 0U;
        }
    }
    BOOST_TEST(rare == 4U);
    BOOST_TEST(domains.size() == 6U);
    for (const auto& [domain, n] : domains) {
        BOOST_TEST(n >= 8);
    }
    fleet.erase(fleet.begin() + 1);
    const auto after = choose_agents("e1", fleet, {.max_agents = 60});
    std::size_t kept = 0;
    for (const auto& it : after) {
        kept += chosen.contains(it) ? 1U : 0U;
    }
    BOOST_TEST(kept >= 59U);
}

BOOST_AUTO_TEST_SUITE_END()
