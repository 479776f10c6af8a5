#pragma once

#include "hickorypost/wire/messages.h"

#include <set>
#include <vector>

namespace hickorypost::membership {

/// Limits for `choose_agents`.
struct subset_options {
    std::size_t max_agents = 64;
    /// Minimum number of agents chosen for each version, if that many exist and `max_agents`
    /// permits.
    std::size_t per_version = 4;
};

/// Chooses the agents to which an entry keeps links. The choice is deterministic per entry, spread
/// over the failure domains, and stable: few links change when an agent joins or leaves. The subset
/// bounds an entry's links, and the messages on them, as the number of agents grows.
std::set<node_id> choose_agents(const node_id& entry, const std::vector<wire::agent_info>& agents,
                                const subset_options& options);

} // namespace hickorypost::membership
