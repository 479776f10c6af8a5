#pragma once

#include "hickorypost/base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hickorypost::dispatch {

/// Caches the version to which the ledger has bound a session. Bindings are write-once in the
/// ledger, so a cached version never becomes stale. Evicts the oldest entry when full.
class session_cache {
public:
    explicit session_cache(std::size_t max_sessions) : max_sessions_{max_sessions} {}

    struct session_key {
        std::string account;
        std::string session;
        std::string model;
        friend auto operator<=>(const session_key&, const session_key&) = default;
    };

    [[nodiscard]] std::optional<std::string> find(const session_key& key) const;
    void put(const session_key& key, const std::string& version);
    [[nodiscard]] std::size_t size() const noexcept { return versions_.size(); }

private:
    std::size_t max_sessions_;
    std::map<session_key, std::string> versions_;
    std::deque<session_key> order_;
};

} // namespace hickorypost::dispatch
