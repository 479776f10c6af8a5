#include "hickorypost/rollout/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hickorypost::rollout {

namespace {

constexpr double highest_ratio = 0.999;
/// Answers that the incumbent's assumed floor counts for until its own ratio is known.
constexpr double prior_answers = 20;
/// Ratios of bad answers that are tested for, in multiples of the limit beyond the old version's.
constexpr std::array alternatives{1.0, 4.0, 10.0};
/// Keeps the mixture within a double; far past any bound.
constexpr double largest_log = 500;

} // namespace

evidence judge(const tally& candidate, const tally& incumbent, const test_options& options)
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
        return {};
    }
    const double bad = static_cast<double>(candidate.bad);
    const double good = static_cast<double>(candidate.answers) - bad;
    const auto log_ratio = [&](double ratio_if_worse) {
        return bad * std::log(ratio_if_worse / as_good) +
               good * std::log((1 - ratio_if_worse) / (1 - as_good));
    };
    // Against being bad a mixture of alternatives is weighed: a version that is far worse than the
    // limit shows it much sooner than one that is just beyond. The mean of likelihood ratios keeps
    // the error bound of a single one.
    double mixture = 0;
    for (const double steps : alternatives) {
        mixture += std::exp(std::min(
            log_ratio(std::min(as_good + steps * options.max_worse, highest_ratio)), largest_log));
    }
    mixture /= static_cast<double>(alternatives.size());
    const double error = 1 - options.confidence;
    const double bound = std::log((1 - error) / error);
    evidence out;
    out.bad_log_likelihood_ratio = std::log(mixture);
    if (out.bad_log_likelihood_ratio >= bound) {
        out.verdict = test_verdict::bad;
    } else if (log_ratio(worse) <= -bound) {
        out.verdict = test_verdict::good;
    }
    return out;
}

} // namespace hickorypost::rollout
