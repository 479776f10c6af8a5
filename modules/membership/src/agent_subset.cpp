#include "hickorypost/membership/agent_subset.h"

#include <algorithm>
#include <map>

namespace hickorypost::membership {

namespace {

struct ranked_agent {
    std::uint64_t rank = 0;
    const wire::agent_info* agent = nullptr;
};

/// Returns all agents, taken from the failure domains in round-robin order. Within a domain, agents
/// are sorted by their rank for this entry.
std::vector<const wire::agent_info*> interleave_domains(const node_id& entry,
                                                        const std::vector<wire::agent_info>& agents)
{
    std::map<std::string, std::vector<ranked_agent>> domains;
    for (const auto& it : agents) {
        // Rendezvous hashing: the rank depends only on the entry and the agent, so it does not
        // change when other agents join or leave.
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
    const auto order = interleave_domains(entry, agents);
    std::set<node_id> out;
    std::map<model_version, std::size_t> covered;
    const auto add = [&](const wire::agent_info& agent) {
        if (!out.insert(agent.node).second) {
            return;
        }
        for (const auto& backend : agent.backends) {
            for (const auto& offer : backend.offers) {
                ++covered[offer];
            }
        }
    };
    // First chooses `per_version` agents for each version, then fills up to `max_agents` in order.
    for (const auto* agent : order) {
        const bool offers_uncovered_version =
            std::any_of(agent->backends.begin(), agent->backends.end(), [&](const auto& backend) {
                return std::any_of(
                    backend.offers.begin(), backend.offers.end(),
                    [&](const auto& it) { return covered[it] < options.per_version; });
            });
        if (offers_uncovered_version && out.size() < options.max_agents) {
            add(*agent);
        }
    }
    for (const auto* agent : order) {
        if (out.size() >= options.max_agents) {
            break;
        }
        add(*agent);
    }
    return out;
}

} // namespace hickorypost::membership
