#pragma once

#include "hickorypost/gateway/exchange.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/model_choice.h"
#include "hickorypost/gateway/rollout_judge.h"

#include <span>
#include <string_view>

namespace hickorypost::gateway {

/// The settings of all decisions of one process.
struct decision_settings {
    balancer_settings balancer;
    model_choice_settings models;
    exchange_settings exchange;
    judge_settings judge;
    /// A process that has just started learns the newest state within a second. Requests that come
    /// before wait for it: most callers come back only once after a refusal.
    millis start_hold{1200};
};

/// A part of the decisions that can be switched off, to measure what it is worth.
struct mechanism {
    std::string_view name;
    std::string_view about;
    void (*switch_off)(decision_settings&);
};

/// All of them, by name.
std::span<const mechanism> mechanisms();
/// Null: there is none of that name.
const mechanism* find_mechanism(std::string_view name);

} // namespace hickorypost::gateway
