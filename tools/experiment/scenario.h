#pragma once

#include "engine_model.h"

#include "hickorypost/wire/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace hickorypost::experiment {

/// A client account's traffic in a scenario.
struct traffic {
    std::string account;
    double share = 1; ///< of the load
    wire::priority urgency = wire::priority::normal;
    double prompt_tokens = 300;
    double output_tokens = 60;
    double deadline_ms = 8000;
    std::uint32_t weight = 1;
    std::size_t prefixes = 0; ///< conversations or templates that it draws from; 0: none shared
    double flood = 1; ///< its load is multiplied by this between flood_from_s and flood_to_s
    double flood_from_s = 0;
    double flood_to_s = 0;
};

enum class scenario_kind : std::uint8_t { routing, rollout, cascade };

struct scenario {
    scenario_kind kind = scenario_kind::routing;
    std::string name;
    double seconds = 60;
    // Routing.
    std::size_t entries = 2;
    std::size_t replicas = 9;
    std::size_t domains = 3;
    double load = 0.8; ///< of the fleet's nominal capacity
    double net_ms = 1.5;
    double report_lag_ms = 200;
    double report_period_ms = 250;
    double slow_factor = 1; ///< of replica 0
    double slow_from_s = 0;
    double domain_lost_at_s = -1;
    double domain_lost_for_s = 10;
    engine_parameters engine;
    std::vector<traffic> accounts;
    // Roll-outs.
    double rate = 20; ///< answers a second
    double old_bad = 0.02;
    double new_bad = 0.02;
    double bad_from_s = 0; ///< the new version has old_bad until then
    double rated_share = 0.3;
    double rating_delay_s = 5;
    double fixed_step_s = 120; ///< of the baseline with 1, 5, 25 and 100 %
    std::uint64_t first_answers = 10;
    double max_worse = 0.05;
    double confidence = 0.99;
    // Cascades.
    double easy_share = 0.7;
    double cheap_easy = 0.95; ///< share of good answers
    double cheap_hard = 0.35;
    double strong_easy = 0.97;
    double strong_hard = 0.92;
    double cheap_cost = 1;
    double strong_cost = 8;
    double accept_noise = 0.05; ///< share of ratings that are wrong
};

/// Reads a scenario file; prints faults and gives nothing if there are any.
std::optional<scenario> load_scenario(const std::string& path);

} // namespace hickorypost::experiment
