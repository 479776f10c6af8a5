#include "hickorypost/membership/directory.h"

#include <utility>

namespace hickorypost::membership {

bool directory::take(const wire::agent_info& agent)
{
    auto& entry = agents_[agent.node];
    const auto known = std::pair{entry.info.life, entry.info.sequence};
    // Incarnations are random numbers without an order, so a different incarnation always replaces
    // the known one. Within an incarnation the sequence identifies outdated announcements.
    const bool outdated =
        entry.version > 0 && known.first == agent.life && agent.sequence <= known.second;
    entry.lost_at.reset();
    if (outdated) {
        return false;
    }
    entry.info = agent;
    entry.version = ++version_;
    return true;
}

void directory::lost(const node_id& node, incarnation life, instant now)
{
    const auto it = agents_.find(node);
    if (it != agents_.end() && it->second.info.life == life) {
        it->second.lost_at = now;
    }
}

bool directory::expire(instant now)
{
    bool removed_any = false;
    for (auto it = agents_.begin(); it != agents_.end();) {
        const auto& entry = it->second;
        if (!entry.lost_at || now < *entry.lost_at + options_.lost_grace) {
            ++it;
            continue;
        }
        removals_.push_back({it->first, ++version_});
        if (removals_.size() > options_.kept_removals) {
            removals_kept_after_ = removals_.front().version;
            removals_.pop_front();
        }
        it = agents_.erase(it);
        removed_any = true;
    }
    return removed_any;
}

wire::directory_reply directory::changes_since(const wire::directory_query& query) const
{
    wire::directory_reply out;
    out.epoch = epoch_;
    out.version = version_;
    out.whole = query.epoch != epoch_ || query.version < removals_kept_after_;
    for (const auto& [node, it] : agents_) {
        if (out.whole || it.version > query.version) {
            out.changed.push_back(it.info);
        }
    }
    for (const auto& it : removals_) {
        if (!out.whole && it.version > query.version) {
            out.removed.push_back(it.node);
        }
    }
    return out;
}

std::vector<wire::agent_info> directory::list() const
{
    std::vector<wire::agent_info> out;
    for (const auto& [node, it] : agents_) {
        out.push_back(it.info);
    }
    return out;
}

} // namespace hickorypost::membership
