#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <deque>
#include <map>

namespace hickorypost::membership {

/// Settings of a `directory`.
struct directory_options {
    /// Time for which an agent stays listed after its link is lost, so that it can reconnect.
    millis lost_grace{5000};
    std::size_t kept_removals = 1024; ///< a reader that lags further gets the complete list
};

/// A control host's list of the agents that announced themselves. It is soft state, rebuilt from
/// the agents' announcements after a restart. Readers query the changes since a version.
class directory {
public:
    /// `epoch` identifies this instance: versions of different epochs are not comparable.
    directory(directory_options options, std::uint64_t epoch) : options_{options}, epoch_{epoch} {}

    /// Applies an announcement and returns true if it was new. An announcement of the known
    /// incarnation without a higher sequence only cancels a pending removal and returns false.
    bool take(const wire::agent_info& agent);
    /// Starts the grace period of an agent whose link was lost. Ignores the link of an incarnation
    /// other than the known one.
    void lost(const node_id& node, incarnation life, instant now);
    /// Removes the agents whose grace period has passed and returns true if there were any.
    bool expire(instant now);

    /// Returns the changes since the reader's version, or the complete list if the epoch differs or
    /// removals after that version are no longer kept.
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
    std::uint64_t removals_kept_after_ = 0; ///< `removals_` holds all removals after this version
    std::map<node_id, agent_entry> agents_;
    std::deque<removal> removals_;
};

} // namespace hickorypost::membership
