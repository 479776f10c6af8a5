#include "hickorypost/gateway/control_state.h"

#include "hickorypost/replog/types.h"
#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/messages.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Returned versions that are remembered for each service. Their backend servers leave within
/// seconds.
constexpr std::size_t max_returned = 16;

} // namespace

std::string control_state::apply(const replog::entry& command)
{
    auto it = wire::try_decode<control_command>(command.data);
    if (!it) {
        return "unreadable"; // written by a later release; equal on all hosts
    }
    bool changed = false;
    switch (it->kind) {
    case control_kind::put_config:
        changed = put_config(*it);
        break;
    case control_kind::begin_rollout:
        changed = begin_rollout(it->rollout);
        break;
    case control_kind::step_rollout:
        changed = step_rollout(it->rollout);
        break;
    case control_kind::set_incumbent:
        changed = set_incumbent(it->incumbent);
        break;
    }
    if (changed) {
        ++state_.revision;
    }
    return "ok";
}

bool control_state::put_config(control_command& command)
{
    if (command.config_version <= state_.config_version) {
        return false;
    }
    state_.config_version = command.config_version;
    state_.config_packed = std::move(command.config_packed);
    return true;
}

bool control_state::begin_rollout(const rollout_status& order)
{
    const auto known = state_.rollouts.find(order.service);
    // A retry of the same order, whose acknowledgement was lost.
    if (known != state_.rollouts.end() && known->second.target == order.target) {
        return false;
    }
    if (known != state_.rollouts.end() && known->second.phase == rollout_phase::running) {
        note_returned(known->second);
    }
    std::erase(state_.versions[order.service].returned, order.target);
    state_.rollouts[order.service] = order;
    return true;
}

void control_state::note_returned(const rollout_status& ended)
{
    auto& returned = state_.versions[ended.service].returned;
    std::erase(returned, ended.target);
    returned.push_back(ended.target);
    if (returned.size() > max_returned) {
        returned.erase(returned.begin());
    }
}

bool control_state::step_rollout(const rollout_status& step)
{
    const auto known = state_.rollouts.find(step.service);
    if (known == state_.rollouts.end() || known->second.target != step.target ||
        known->second.phase != rollout_phase::running) {
        return false; // decided by a leader that did not know of a newer order or an end
    }
    known->second = step;
    if (step.phase == rollout_phase::rolled_back) {
        note_returned(step);
    } else if (step.phase == rollout_phase::completed) {
        state_.versions[step.service].incumbent = step.target;
    }
    return true;
}

bool control_state::set_incumbent(const first_version& first)
{
    auto& it = state_.versions[first.service];
    const auto known = state_.rollouts.find(first.service);
    const bool is_target = known != state_.rollouts.end() && known->second.target == first.version;
    const bool was_returned =
        std::find(it.returned.begin(), it.returned.end(), first.version) != it.returned.end();
    if (!it.incumbent.empty() || is_target || was_returned) {
        return false; // another leader was first, or it was not known to be a new version
    }
    it.incumbent = first.version;
    return true;
}

std::string control_state::read(std::string_view query) const
{
    const auto asked = wire::try_decode<wire::site_query>(query);
    return asked && asked->have_revision >= state_.revision ? std::string{} : save();
}

std::string control_state::save() const
{
    return wire::encode(state_);
}

void control_state::load(std::string_view state)
{
    state_ = wire::try_decode<site_state>(state).value_or(site_state{});
    // Snapshots of earlier releases carry no versions.
    for (const auto& [service, status] : state_.rollouts) {
        if (state_.versions.contains(service)) {
            continue;
        }
        if (status.phase == rollout_phase::rolled_back) {
            note_returned(status);
        } else if (status.phase == rollout_phase::completed) {
            state_.versions[service].incumbent = status.target;
        }
    }
}

} // namespace hickorypost::gateway
