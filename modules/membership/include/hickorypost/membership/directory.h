#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <deque>
#include <map>

namespace hickorypost::membership {

struct directory_options {
    /// An agent whose link is lost is listed for this long, in case it only reconnects.
    millis lost_grace{5000};
    std::size_t kept_removals = 1024;
};

/// A control host's list of agents that announced themselves. Soft state: after a restart it fills
/// again from the agents' own announcements; readers ask for what changed since a version.
class directory {
public:
    directory(directory_options options, std::uint64_t epoch) : options_{options}, epoch_{epoch} {}

    /// Takes an announcement; an older (life, sequence) than the one known changes nothing.
    bool take(const wire::agent_info& agent);
    /// The link to this life of the agent went away.
    void lost(const node_id& node, incarnation life, instant now);
    /// Drops agents whose grace is over; true if any.
    bool expire(instant now);

    [[nodiscard]] wire::directory_reply changes_since(const wire::directory_query& query) const;
    [[nodiscard]] std::size_t size() const noexcept { return agents_.size(); }
    [[nodiscard]] std::vector<wire::agent_info> list() const;

private:
    struct agent_entry {
        wire::agent_info info;
        std::uint64_t version = 0;
        std::optional<instant> lost_at;
    };
    struct removal {
        node_id node;
        std::uint64_t version = 0;
    };

    directory_options options_;
    std::uint64_t epoch_;
    std::uint64_t version_ = 0;
    std::uint64_t removals_kept_after_ = 0;
    std::map<node_id, agent_entry> agents_;
    std::deque<removal> removals_;
};

} // namespace hickorypost::membership
