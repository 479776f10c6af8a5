#pragma once

#include "hickorypost/wire/messages.h"

#include <set>
#include <vector>

namespace hickorypost::membership {

struct subset_options {
    std::size_t max_agents = 64;
    /// Agents wanted for every version, as far as there are so many.
    std::size_t per_version = 4;
};

/// The agents that an entry keeps links to. Deterministic per entry, spread over failure domains,
/// and stable: an agent that comes or goes moves few links. Keeps an entry's links, and the
/// messages on them, flat while the fleet grows.
std::set<node_id> choose_agents(const node_id& entry, const std::vector<wire::agent_info>& agents,
                                const subset_options& options);

} // namespace hickorypost::membership
