#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <map>
#include <optional>

namespace hickorypost::rollout {

struct exposure_options {
    /// A grant that is not used within this lapses; well under the controller's lifetime of it.
    millis grant_lifetime{4000};
    millis report_period{200};
    millis resend_after{1000};
};

/// An entry's side of roll-outs: spends granted answers on candidates and gathers evidence.
/// Sans I/O.
class exposure_tracker {
public:
    /// `first_sequence` must be higher than any that this entry used in an earlier life, or its
    /// first requests would be taken for resent ones; a wall clock's milliseconds will do.
    exposure_tracker(exposure_options options, random_fn random, std::uint64_t first_sequence)
        : options_{options}, random_{std::move(random)}, sequence_{first_sequence}
    {
    }

    /// May the next answer of this model go to the candidate? Spends one granted answer if so.
    bool take(const model_version& candidate, instant now);
    /// The answer did not start after all.
    void return_answer(const model_version& candidate);

    void record_answer(const model_version& version, bool error, bool slow);
    void record_rating(const model_version& version, bool good);

    /// The request to send now, if one is due. The same one is sent again until it is answered.
    std::optional<wire::exposure_request> due(instant now);
    void apply_grant(const wire::exposure_grant& grant, instant now);

private:
    struct lease {
        std::uint64_t answers = 0;
        double share = 0;
        instant lapses;
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
