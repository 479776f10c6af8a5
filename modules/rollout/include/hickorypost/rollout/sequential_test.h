#pragma once

#include <cstdint>

namespace hickorypost::rollout {

enum class test_verdict : std::uint8_t { undecided, good, bad };

struct test_options {
    double max_worse = 0.05;  ///< ratio of bad answers that is too much more than the old version's
    double confidence = 0.99; ///< 1 - the accepted share of wrong verdicts, each way
    double floor_ratio = 0.005; ///< bad ratio assumed of a version that showed none
};

/// Good and bad answers of one version.
struct tally {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
};

/// What the counts say.
struct evidence {
    test_verdict verdict = test_verdict::undecided;
    double bad_log_likelihood_ratio = 0; ///< log likelihood ratio; above 0 it leans towards bad
};

/// Wald's sequential probability ratio test of "as bad as the incumbent" against "worse by
/// max_worse", on counts: it may be asked after every answer without losing its error bounds.
/// Source: A. Wald, Sequential Tests of Statistical Hypotheses, 1945.
evidence judge(const tally& candidate, const tally& incumbent, const test_options& options);

} // namespace hickorypost::rollout
