#pragma once

#include "hickorypost/gateway/site_config.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace hickorypost::gateway {

/// A configuration with indexes for look-ups. Immutable: a request keeps the table that was in
/// force when the request began.
class route_table {
public:
    explicit route_table(site_config config);

    /// The route of this host with the longest prefix that matches the path, or null. `host` may
    /// have a port, and `path` may have a query; both are ignored.
    [[nodiscard]] const route_spec* find_route(std::string_view host, std::string_view path) const;
    /// The client account that owns the key, or null.
    [[nodiscard]] const account_spec* find_account(std::string_view key) const;
    /// The service of this name, or null.
    [[nodiscard]] const service_spec* find_service(std::string_view name) const;
    /// The smallest target latency of the routes to this service; 0 if none has one.
    [[nodiscard]] millis smallest_target(std::string_view service) const;
    [[nodiscard]] const site_config& config() const noexcept { return config_; }

private:
    site_config config_;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route_spec*>> by_host_;
    std::unordered_map<std::string_view, const account_spec*> by_key_;
    std::unordered_map<std::string_view, const service_spec*> by_service_;
    std::unordered_map<std::string_view, millis> smallest_targets_; ///< by service
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace hickorypost::gateway
