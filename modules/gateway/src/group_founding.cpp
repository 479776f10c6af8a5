#include "hickorypost/gateway/group_founding.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// The founder waits this long for as many hosts with a disk as the group has voters, then founds
/// it with those that are present.
constexpr millis all_voters_timeout{6000};

} // namespace

group_founding::group_founding(founding_settings settings, instant started)
    : settings_{std::move(settings)}, started_{started}
{
}

bool group_founding::is_founder(const std::map<node_id, std::string>& core,
                                const std::function<bool(const node_id&)>& is_linked) const
{
    // Whether a seed has a disk never changes, so at most one host considers itself the founder.
    for (const auto& seed : *settings_.first_start_seeds) {
        if (core.contains(seed)) {
            return seed == settings_.self;
        }
        if (!is_linked(seed)) {
            return false; // not connected yet; this seed may have a disk
        }
    }
    return !core.empty() && core.begin()->first == settings_.self;
}

std::vector<node_id> group_founding::founders(const std::map<node_id, std::string>& core,
                                              const std::function<bool(const node_id&)>& is_linked,
                                              instant now) const
{
    if (!settings_.first_start_seeds || !is_founder(core, is_linked)) {
        return {};
    }
    const std::size_t voters = 2 * settings_.tolerated_losses + 1;
    // A group of fewer hosts would acknowledge commands that the tolerated losses can destroy.
    const std::size_t required =
        now < started_ + all_voters_timeout ? voters : settings_.tolerated_losses + 1;
    if (core.size() < required) {
        return {};
    }
    std::vector<node_id> out{settings_.self};
    std::set<std::string> domains{settings_.failure_domain};
    // Voters are first chosen from distinct failure domains, then from any.
    for (const bool new_domains : {true, false}) {
        for (const auto& [host, domain] : core) {
            const bool chosen = std::find(out.begin(), out.end(), host) != out.end();
            const bool fits = !new_domains || !domains.contains(domain);
            if (out.size() < voters && !chosen && fits) {
                out.push_back(host);
                domains.insert(domain);
            }
        }
    }
    return out;
}

} // namespace hickorypost::gateway
