#include "hickorypost/gateway/route_table.h"

#include <algorithm>
#include <cctype>

namespace hickorypost::gateway {

namespace {

/// Removes the port and converts to lower case, as host names compare without case.
std::string normalize_host(std::string_view host)
{
    std::string out{host.substr(0, host.find(':'))};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

route_table::route_table(site_config config) : config_{std::move(config)}
{
    for (const auto& it : config_.routes) {
        by_host_[normalize_host(it.host)].push_back(&it);
        for (const auto& service : it.services) {
            auto& smallest =
                smallest_targets_.try_emplace(service.service, it.target_latency).first->second;
            smallest = std::min(smallest, it.target_latency);
        }
    }
    for (auto& [host, routes] : by_host_) {
        std::sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& it : config_.accounts) {
        for (const auto& key : it.keys) {
            by_key_.emplace(key, &it);
        }
    }
    for (const auto& it : config_.services) {
        by_service_.emplace(it.name, &it);
    }
}

const route_spec* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(normalize_host(host));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const std::string_view path_only = path.substr(0, path.find('?'));
    const auto it =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [&](const auto* route) { return path_only.starts_with(route->path_prefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const account_spec* route_table::find_account(std::string_view key) const
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

const service_spec* route_table::find_service(std::string_view name) const
{
    const auto it = by_service_.find(name);
    return it == by_service_.end() ? nullptr : it->second;
}

millis route_table::smallest_target(std::string_view service) const
{
    const auto it = smallest_targets_.find(service);
    return it == smallest_targets_.end() ? millis{0} : it->second;
}

} // namespace hickorypost::gateway
