#include "hickorypost/gateway/site_config.h"

#include <algorithm>
#include <set>

namespace hickorypost::gateway {

namespace {

std::string at(std::string_view list, std::size_t n, std::string_view member)
{
    std::string out{list};
    out.append("[").append(std::to_string(n)).append("].").append(member);
    return out;
}

std::optional<config_fault> fault_of_route(const route_spec& it, std::size_t n,
                                           const std::set<std::string_view>& services)
{
    std::uint64_t weight = 0;
    for (const auto& target : it.services) {
        if (!services.contains(target.service)) {
            return config_fault{at("routes", n, "services"), "unknown service " + target.service};
        }
        weight += target.weight;
    }
    if (weight == 0) {
        return config_fault{at("routes", n, "services"), "weights add up to 0"};
    }
    if (it.timeout <= millis{0}) {
        return config_fault{at("routes", n, "timeout"), "is not above 0"};
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
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        const auto& it = config.routes[n];
        if (auto fault = fault_of_route(it, n, services)) {
            return fault;
        }
        if (!places.emplace(it.host, it.path_prefix).second) {
            return config_fault{at("routes", n, "path_prefix"),
                                "host and prefix of an earlier route"};
        }
    }
    std::set<std::string_view> keys;
    for (std::size_t n = 0; n < config.accounts.size(); ++n) {
        for (const auto& key : config.accounts[n].keys) {
            if (!keys.insert(key).second) {
                return config_fault{at("accounts", n, "keys"), "a key of another account"};
            }
        }
    }
    return std::nullopt;
}

} // namespace hickorypost::gateway
