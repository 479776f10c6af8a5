#pragma once

#include "scenario.h"

#include "hickorypost/routing/router.h"

#include <map>

namespace hickorypost::experiment {

/// What one account saw in a run.
struct account_result {
    std::vector<double> first_ms; ///< time to first token
    std::vector<double> gap_ms;   ///< mean time between tokens, per answer
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t in_time = 0;
    std::size_t rejected = 0;
    std::size_t retried = 0;
};

struct fleet_result {
    std::map<std::string, account_result> accounts;
    double seconds = 0;

    [[nodiscard]] account_result all() const;
};

/// Value below which a share of the values lies; 0 without values.
double quantile(std::vector<double> values, double q);

/// Runs traffic through the product's router, retry budget and admission queue against modelled
/// engines, in virtual time. Deterministic per seed.
fleet_result run_fleet(const scenario& s, routing::policy how, std::uint64_t seed);

} // namespace hickorypost::experiment
