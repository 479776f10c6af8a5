#pragma once

#include "hickorypost/gateway/site_config.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace hickorypost::gateway {

/// A configuration made ready for look-ups. Immutable; requests hold the one they began with.
class route_table {
public:
    explicit route_table(site_config config);

    /// The route of that host with the longest prefix that begins the path, or null.
    [[nodiscard]] const route_spec* find_route(std::string_view host, std::string_view path) const;
    /// The client account that holds the key, or null.
    [[nodiscard]] const account_spec* find_account(std::string_view key) const;
    [[nodiscard]] const service_spec* find_service(std::string_view name) const;
    [[nodiscard]] const site_config& config() const noexcept { return config_; }

private:
    site_config config_;
    std::unordered_map<std::string, std::vector<const route_spec*>> by_host_; ///< longest first
    std::unordered_map<std::string_view, const account_spec*> by_key_;
    std::unordered_map<std::string_view, const service_spec*> by_service_;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace hickorypost::gateway
