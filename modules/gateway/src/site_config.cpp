#include "hickorypost/gateway/site_config.h"

#include <algorithm>
#include <set>

namespace hickorypost::gateway {

namespace {

std::string member_path(std::string_view list, std::size_t index, std::string_view member)
{
    std::string out{list};
    out.append("[").append(std::to_string(index)).append("].").append(member);
    return out;
}

std::optional<config_fault> find_route_fault(const route_spec& it, std::size_t index,
                                             const std::set<std::string_view>& services)
{
    std::uint64_t weight = 0;
    for (const auto& target : it.services) {
        if (!services.contains(target.service)) {
            return config_fault{member_path("routes", index, "services"),
                                "unknown service " + target.service};
        }
        weight += target.weight;
    }
    if (weight == 0) {
        return config_fault{member_path("routes", index, "services"), "weights add up to 0"};
    }
    if (it.timeout <= millis{0}) {
        return config_fault{member_path("routes", index, "timeout"), "must be greater than 0"};
    }
    return std::nullopt;
}

} // namespace

std::optional<config_fault> find_fault(const site_config& config)
{
    std::set<std::string_view> services;
    for (const auto& it : config.services) {
        services.insert(it.name);
    }
    std::set<std::pair<std::string_view, std::string_view>> prefixes;
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        const auto& it = config.routes[index];
        if (auto fault = find_route_fault(it, index, services)) {
            return fault;
        }
        if (!prefixes.emplace(it.host, it.path_prefix).second) {
            return config_fault{member_path("routes", index, "path_prefix"),
                                "same host and path prefix as an earlier route"};
        }
    }
    std::set<std::string_view> keys;
    for (std::size_t index = 0; index < config.accounts.size(); ++index) {
        for (const auto& key : config.accounts[index].keys) {
            if (!keys.insert(key).second) {
                return config_fault{member_path("accounts", index, "keys"),
                                    "key occurs more than once in the accounts"};
            }
        }
    }
    return std::nullopt;
}

} // namespace hickorypost::gateway
