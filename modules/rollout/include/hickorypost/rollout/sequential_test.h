#pragma once

#include <cstdint>

namespace hickorypost::rollout {

enum class test_verdict : std::uint8_t { undecided, good, bad };

struct test_options {
    /// Increase of the bad-answer ratio over the incumbent's that counts as a regression.
    double max_worse = 0.05;
    /// 1 minus the accepted probability of a wrong verdict, for good and for bad alike.
    double confidence = 0.99;
    /// Lower limit of the bad-answer ratio; assumed for a version without bad answers.
    double floor_ratio = 0.005;
};

/// Number of answers of one version, and how many of them were bad.
struct tally {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
};

/// Result of the test.
struct evidence {
    test_verdict verdict = test_verdict::undecided;
    double bad_log_likelihood_ratio = 0; ///< natural log; positive if "bad" is likelier
};

/// Wald's sequential probability ratio test of the hypothesis "as bad as the incumbent" against
/// "worse by `max_worse`". Its error bounds hold even if it is evaluated after every answer.
/// Source: A. Wald, Sequential Tests of Statistical Hypotheses, 1945.
evidence judge(const tally& candidate, const tally& incumbent, const test_options& options);

} // namespace hickorypost::rollout
