#include "hickorypost/gateway/control_state.h"

#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Rolled-back versions that are kept for each service. Their backend servers leave within seconds,
/// so older entries are no longer needed.
constexpr std::size_t max_rolled_back = 16;

} // namespace

std::string control_state::apply(const replog::entry& command)
{
    auto decoded = wire::try_decode<control_command>(command.data);
    if (!decoded) {
        // Written by a later release; all hosts skip the entry alike.
        return std::string{result_unreadable};
    }
    if (is_fulfilled(*decoded)) {
        return std::string{result_ok};
    }
    if (is_superseded(*decoded)) {
        return std::string{result_superseded};
    }
    bool changed = false;
    switch (decoded->kind) {
    case control_kind::put_config:
        changed = put_config(*decoded);
        break;
    case control_kind::begin_rollout:
        changed = begin_rollout(decoded->rollout);
        break;
    case control_kind::step_rollout:
        changed = step_rollout(decoded->rollout);
        break;
    case control_kind::set_incumbent:
        changed = set_incumbent(decoded->incumbent);
        break;
    case control_kind::begin_evacuation:
        changed = begin_evacuation(decoded->failure_domain);
        break;
    case control_kind::end_evacuation:
        changed = end_evacuation(decoded->failure_domain);
        break;
    }
    if (changed) {
        ++state_.revision;
    }
    return std::string{result_ok};
}

bool control_state::is_fulfilled(const control_command& command) const
{
    const auto& domains = state_.evacuated_domains;
    switch (command.kind) {
    case control_kind::begin_rollout: {
        const auto known = state_.rollouts.find(command.rollout.service);
        return known != state_.rollouts.end() && known->second.target == command.rollout.target;
    }
    case control_kind::begin_evacuation:
        return std::binary_search(domains.begin(), domains.end(), command.failure_domain);
    case control_kind::end_evacuation:
        return !std::binary_search(domains.begin(), domains.end(), command.failure_domain);
    default:
        return false;
    }
}

bool control_state::is_superseded(const control_command& command) const
{
    if (!command.known_revision) {
        return false;
    }
    switch (command.kind) {
    case control_kind::begin_rollout: {
        const auto known = state_.versions.find(command.rollout.service);
        return known != state_.versions.end() && known->second.ordered_at > *command.known_revision;
    }
    case control_kind::begin_evacuation:
    case control_kind::end_evacuation:
        return state_.evacuations_ordered_at > *command.known_revision;
    default:
        return false;
    }
}

bool control_state::put_config(control_command& command)
{
    const bool has_config = !state_.config_packed.empty();
    if (has_config && command.config_version <= state_.config_version) {
        return false;
    }
    state_.config_version = command.config_version;
    state_.config_packed = std::move(command.config_packed);
    return true;
}

bool control_state::begin_rollout(const rollout_status& status)
{
    const auto known = state_.rollouts.find(status.service);
    if (known != state_.rollouts.end() && known->second.phase == rollout_phase::running) {
        add_rolled_back(known->second);
    }
    auto& versions = state_.versions[status.service];
    std::erase(versions.rolled_back_versions, status.target);
    versions.ordered_at = state_.revision + 1;
    state_.rollouts[status.service] = status;
    return true;
}

void control_state::add_rolled_back(const rollout_status& rollout)
{
    auto& rolled_back_versions = state_.versions[rollout.service].rolled_back_versions;
    std::erase(rolled_back_versions, rollout.target);
    rolled_back_versions.push_back(rollout.target);
    if (rolled_back_versions.size() > max_rolled_back) {
        rolled_back_versions.erase(rolled_back_versions.begin());
    }
}

bool control_state::step_rollout(const rollout_status& step)
{
    const auto known = state_.rollouts.find(step.service);
    if (known == state_.rollouts.end() || known->second.target != step.target ||
        known->second.phase != rollout_phase::running) {
        return false; // decided by a leader that did not know of a newer roll-out or of the end
    }
    known->second = step;
    if (step.phase == rollout_phase::rolled_back) {
        add_rolled_back(step);
    } else if (step.phase == rollout_phase::completed) {
        state_.versions[step.service].incumbent = step.target;
    }
    return true;
}

bool control_state::set_incumbent(const initial_version& initial)
{
    auto& versions = state_.versions[initial.service];
    const auto known = state_.rollouts.find(initial.service);
    const bool is_target =
        known != state_.rollouts.end() && known->second.target == initial.version;
    const bool was_rolled_back =
        std::find(versions.rolled_back_versions.begin(), versions.rolled_back_versions.end(),
                  initial.version) != versions.rolled_back_versions.end();
    if (!versions.incumbent.empty() || is_target || was_rolled_back) {
        return false; // another leader was faster, or did not know that the version is new
    }
    versions.incumbent = initial.version;
    return true;
}

bool control_state::begin_evacuation(const std::string& domain)
{
    auto& domains = state_.evacuated_domains;
    domains.insert(std::lower_bound(domains.begin(), domains.end(), domain), domain);
    state_.evacuations_ordered_at = state_.revision + 1;
    return true;
}

bool control_state::end_evacuation(const std::string& domain)
{
    std::erase(state_.evacuated_domains, domain);
    state_.evacuations_ordered_at = state_.revision + 1;
    return true;
}

std::string control_state::read(std::string_view query) const
{
    const auto request = wire::try_decode<wire::site_query>(query);
    return request && request->have_revision >= state_.revision ? std::string{} : save();
}

std::string control_state::save() const
{
    return wire::encode(state_);
}

void control_state::load(std::string_view state)
{
    state_ = wire::try_decode<site_state>(state).value_or(site_state{});
    // Snapshots of earlier releases have no `versions`: derive them from the roll-outs.
    for (const auto& [service, status] : state_.rollouts) {
        if (state_.versions.contains(service)) {
            continue;
        }
        if (status.phase == rollout_phase::rolled_back) {
            add_rolled_back(status);
        } else if (status.phase == rollout_phase::completed) {
            state_.versions[service].incumbent = status.target;
        }
    }
}

} // namespace hickorypost::gateway
