#pragma once

#include "scenario.h"

namespace hickorypost::experiment {

enum class rollout_policy : std::uint8_t { sequential, fixed_steps };

struct rollout_result {
    std::size_t answers_on_new = 0;
    std::size_t bad_on_new = 0;
    double full_at_s = -1;   ///< when all traffic went to the new version; -1: never
    double halted_at_s = -1; ///< -1: never
};

/// Rolls a version out by the product's controller and exposure book, or by fixed percentage steps
/// that halt when a human-set limit on errors is passed. Deterministic per seed.
rollout_result run_rollout(const scenario& s, rollout_policy how, std::uint64_t seed);

} // namespace hickorypost::experiment
