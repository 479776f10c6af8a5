#pragma once

#include "hickorypost/gateway/exchange.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/model_choice.h"
#include "hickorypost/gateway/rollout_judge.h"
#include "hickorypost/scheduling/account_shares.h"

#include <span>
#include <string_view>

namespace hickorypost::gateway {

/// Settings of all request-handling decisions of one gateway process.
struct decision_settings {
    balancer_settings balancer;
    model_choice_settings models;
    exchange_settings exchange;
    judge_settings judge;
    scheduling::share_settings shares;
    /// Longest time for which requests wait after the start of the process until it has the current
    /// state, which takes up to a second. They wait because most callers retry only once after a
    /// refusal.
    millis start_hold{1200};
};

/// A mechanism that can be switched off, to measure its effect.
struct mechanism {
    std::string_view name;
    std::string_view about; ///< one line for the list of mechanisms
    void (*switch_off)(decision_settings&);
};

/// All mechanisms, sorted by name.
std::span<const mechanism> mechanisms();
/// Returns null if there is no mechanism of that name.
const mechanism* find_mechanism(std::string_view name);

} // namespace hickorypost::gateway
