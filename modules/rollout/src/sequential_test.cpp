#include "hickorypost/rollout/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hickorypost::rollout {

namespace {

constexpr double max_ratio = 0.999;
/// Number of answers that the incumbent's prior ratio, `floor_ratio`, is weighted as.
constexpr double prior_answers = 20;
/// Alternatives of the test: increases over the incumbent's ratio, in multiples of `max_worse`.
constexpr std::array alternative_multiples{1.0, 4.0, 10.0};
/// Prevents overflow of exp(); far beyond every decision bound.
constexpr double max_log_ratio = 500;

} // namespace

evidence judge(const tally& candidate, const tally& incumbent, const test_options& options)
{
    const double incumbent_answers = static_cast<double>(incumbent.answers);
    const double ratio =
        (static_cast<double>(incumbent.bad) + options.floor_ratio * prior_answers) /
        (incumbent_answers + prior_answers);
    // Adds one standard error to the incumbent's ratio. A few bad answers of the
    // incumbent by chance must not make the limit meaningless, and an incumbent without bad answers
    // must not make a single bad answer of the candidate decisive.
    const double standard_error =
        std::sqrt(std::max(ratio * (1 - ratio), 1e-6) / (incumbent_answers + prior_answers));
    const double baseline_ratio =
        std::clamp(ratio + standard_error, options.floor_ratio, max_ratio);
    const double regressed_ratio = std::min(baseline_ratio + options.max_worse, max_ratio);
    if (regressed_ratio <= baseline_ratio) {
        return {};
    }
    const double bad = static_cast<double>(candidate.bad);
    const double good = static_cast<double>(candidate.answers) - bad;
    const auto log_likelihood_ratio = [&](double alternative_ratio) {
        return bad * std::log(alternative_ratio / baseline_ratio) +
               good * std::log((1 - alternative_ratio) / (1 - baseline_ratio));
    };
    // The verdict `bad` is based on a mixture of alternatives, which detects a version far
    // beyond the limit much sooner than the limit alone would. The mean of several likelihood
    // ratios keeps the error bound of a single one.
    double mixture = 0;
    for (const double multiple : alternative_multiples) {
        mixture += std::exp(std::min(log_likelihood_ratio(std::min(
                                         baseline_ratio + multiple * options.max_worse, max_ratio)),
                                     max_log_ratio));
    }
    mixture /= static_cast<double>(alternative_multiples.size());
    const double error_probability = 1 - options.confidence;
    const double decision_bound = std::log((1 - error_probability) / error_probability);
    evidence out;
    out.bad_log_likelihood_ratio = std::log(mixture);
    if (out.bad_log_likelihood_ratio >= decision_bound) {
        out.verdict = test_verdict::bad;
    } else if (log_likelihood_ratio(regressed_ratio) <= -decision_bound) {
        out.verdict = test_verdict::good;
    }
    return out;
}

} // namespace hickorypost::rollout
