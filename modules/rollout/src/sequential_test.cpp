#include "hickorypost/rollout/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace hickorypost::rollout {

namespace {

constexpr double highest_ratio = 0.999;
/// Answers that the incumbent's assumed floor counts for until its own ratio is known.
constexpr double prior_answers = 20;

} // namespace

test_verdict judge(const tally& candidate, const tally& incumbent, const test_options& options)
{
    const double seen = static_cast<double>(incumbent.answers);
    const double ratio =
        (static_cast<double>(incumbent.bad) + options.floor_ratio * prior_answers) /
        (seen + prior_answers);
    // A few bad answers of the incumbent by chance must not make the candidate's bar meaningless,
    // nor none at all make a single bad answer fatal: the ratio carries its own uncertainty.
    const double spread = std::sqrt(std::max(ratio * (1 - ratio), 1e-6) / (seen + prior_answers));
    const double as_good = std::clamp(ratio + spread, options.floor_ratio, highest_ratio);
    const double worse = std::min(as_good + options.max_worse, highest_ratio);
    if (worse <= as_good) {
        return test_verdict::undecided;
    }
    const double bad = static_cast<double>(candidate.bad);
    const double good = static_cast<double>(candidate.answers) - bad;
    const double evidence =
        bad * std::log(worse / as_good) + good * std::log((1 - worse) / (1 - as_good));
    const double error = 1 - options.confidence;
    const double bound = std::log((1 - error) / error);
    if (evidence >= bound) {
        return test_verdict::bad;
    }
    return evidence <= -bound ? test_verdict::good : test_verdict::undecided;
}

} // namespace hickorypost::rollout
