#include "hickorypost/membership/agent_subset.h"

#include <algorithm>
#include <map>

namespace hickorypost::membership {

namespace {

struct ranked_agent {
    std::uint64_t rank = 0;
    const wire::agent_info* agent = nullptr;
};

/// All agents, the failure domains taken in turn, each domain in the entry's own order.
std::vector<const wire::agent_info*> in_turn(const node_id& entry,
                                             const std::vector<wire::agent_info>& agents)
{
    std::map<std::string, std::vector<ranked_agent>> domains;
    for (const auto& it : agents) {
        // Rendezvous hashing: each pair has its own rank, so others' coming and going changes none.
        domains[it.failure_domain].push_back({hash_bytes(it.node, hash_bytes(entry)), &it});
    }
    std::size_t longest = 0;
    for (auto& [name, members] : domains) {
        std::sort(members.begin(), members.end(),
                  [](const auto& a, const auto& b) { return a.rank < b.rank; });
        longest = std::max(longest, members.size());
    }
    std::vector<const wire::agent_info*> out;
    for (std::size_t n = 0; n < longest; ++n) {
        for (const auto& [name, members] : domains) {
            if (n < members.size()) {
                out.push_back(members[n].agent);
            }
        }
    }
    return out;
}

} // namespace

std::set<node_id> choose_agents(const node_id& entry, const std::vector<wire::agent_info>& agents,
                                const subset_options& options)
{
    const auto order = in_turn(entry, agents);
    std::set<node_id> out;
    std::map<model_version, std::size_t> covered;
    const auto take = [&](const wire::agent_info& agent) {
        if (!out.insert(agent.node).second) {
            return;
        }
        for (const auto& backend : agent.backends) {
            for (const auto& offer : backend.offers) {
                ++covered[offer];
            }
        }
    };
    // First what every version needs, then the rest by turn up to the bound.
    for (const auto* agent : order) {
        const bool wanted =
            std::any_of(agent->backends.begin(), agent->backends.end(), [&](const auto& backend) {
                return std::any_of(
                    backend.offers.begin(), backend.offers.end(),
                    [&](const auto& it) { return covered[it] < options.per_version; });
            });
        if (wanted && out.size() < options.max_agents) {
            take(*agent);
        }
    }
    for (const auto* agent : order) {
        if (out.size() >= options.max_agents) {
            break;
        }
        take(*agent);
    }
    return out;
}

} // namespace hickorypost::membership
