#include "hickorypost/dispatch/session_cache.h"

namespace hickorypost::dispatch {

std::optional<std::string> session_cache::find(const session_key& key) const
{
    const auto it = versions_.find(key);
    return it == versions_.end() ? std::nullopt : std::optional{it->second};
}

void session_cache::put(const session_key& key, const std::string& version)
{
    if (!versions_.try_emplace(key, version).second) {
        return;
    }
    order_.push_back(key);
    if (order_.size() > max_sessions_) {
        versions_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace hickorypost::dispatch
