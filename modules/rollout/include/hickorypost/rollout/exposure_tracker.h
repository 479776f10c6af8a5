#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <map>
#include <optional>

namespace hickorypost::rollout {

struct exposure_options {
    /// An unused grant expires after this time. Must be well below the controller's own
    /// `grant_lifetime`, so that no answer starts on a grant that the controller has written off.
    millis grant_lifetime{4000};
    millis report_period{200};
    millis resend_after{1000};
};

/// The entry's part of roll-outs: spends granted answers on candidate versions and collects
/// evidence about the answers of each version. Does no I/O.
class exposure_tracker {
public:
    /// `first_sequence` must be higher than every sequence number that this entry used before a
    /// restart, otherwise the controller takes its first requests for resent ones. The wall clock
    /// in milliseconds is sufficient.
    exposure_tracker(exposure_options options, random_fn random, std::uint64_t first_sequence)
        : options_{options}, random_{std::move(random)}, sequence_{first_sequence}
    {
    }

    /// Returns whether the model's next answer may come from the candidate. If so, spends one
    /// granted answer.
    bool take(const model_version& candidate, instant now);
    /// Returns a granted answer that was taken but did not start.
    void return_answer(const model_version& candidate);

    void record_answer(const model_version& version, bool error, bool slow);
    void record_rating(const model_version& version, bool good);

    /// Returns the request to send now, if one is due. An unanswered request is sent again after
    /// `resend_after`.
    std::optional<wire::exposure_request> due(instant now);
    void apply_grant(const wire::exposure_grant& grant, instant now);

private:
    struct lease {
        std::uint64_t answers = 0;
        double share = 0;
        instant expires;
    };

    wire::version_evidence& evidence_of(const model_version& version);

    exposure_options options_;
    random_fn random_;
    std::map<model_version, lease> leases_;
    std::map<model_version, wire::version_evidence> evidence_;
    std::optional<wire::exposure_request> sent_;
    instant sent_at_;
    std::uint64_t sequence_;
};

} // namespace hickorypost::rollout
