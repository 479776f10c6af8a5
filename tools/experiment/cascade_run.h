#pragma once

#include "scenario.h"

namespace hickorypost::experiment {

enum class cascade_choice : std::uint8_t { learned, always_cheap, always_strong, fixed_cascade };

struct cascade_result {
    double cost = 0;    ///< per answer
    double quality = 0; ///< share of good answers
};

/// Two stages and two kinds of task per account, with ratings that are sometimes wrong.
cascade_result run_cascade(const scenario& s, cascade_choice how, std::uint64_t seed);

} // namespace hickorypost::experiment
