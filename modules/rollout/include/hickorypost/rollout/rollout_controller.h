#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/rollout/sequential_test.h"

#include <map>

namespace hickorypost::rollout {

struct controller_options {
    /// Growth factor of the exposure bound each time that as many answers as the bound have been
    /// judged without a sign of regression.
    double growth = 2.0;
    /// A grant is spent or returned within this time. After this long without a request from an
    /// entry, its outstanding grants are written off.
    millis grant_lifetime{10'000};
    /// Only a sample of the answers is rated. If no answer has been judged for this long, the
    /// answers that wait for a rating count as judged by their errors alone, otherwise the
    /// roll-out would never proceed.
    millis rating_wait{20'000};
    /// Maximum share of the model's traffic that goes to the candidate until the roll-out ends.
    double trial_share = 0.5;
    /// Upper limit of the exposure bound, in answers.
    std::uint64_t max_bound = 100'000;
};

/// Runs the roll-outs on the leader of the control log. Exposure is bounded by construction:
/// entries start an answer on a candidate only against a grant, and the answers granted never
/// exceed the answers judged plus a bound that grows with good evidence. Does no I/O.
///
/// Decisions are passed to `commit` as `rollout_progress`. `granted` is committed before the grants
/// that it covers are made, so that a new leader never grants the same answers twice.
class rollout_controller {
public:
    using commit_fn = std::function<void(const records::rollout_progress&)>;

    rollout_controller(controller_options options, wall_clock_fn wall, commit_fn commit);

    /// Applies the committed records: starts new roll-outs, restarts amended ones and pauses or
    /// resumes those whose record says so.
    void follow(const records::records_state& state);
    /// Call when this replica has become leader. Answers granted by earlier leaders count as
    /// settled; new grants are made only after the earlier ones have expired.
    void start_leading(const records::records_state& state, instant now);
    void stop_leading();

    /// Processes an entry's evidence and returns the answers that the entry may start next.
    wire::exposure_grant take(const node_id& entry, const wire::exposure_request& request,
                              instant now);
    void tick(instant now);

    /// State of one roll-out; shown by the verb `status`.
    struct tracked_rollout {
        records::rollout_record record;
        records::rollout_progress progress; ///< as committed
        tally candidate_errors;
        tally incumbent_errors;
        tally candidate_ratings;
        tally incumbent_ratings;
        std::uint64_t granted = 0; ///< answers granted, by earlier leaders too
        /// Answers that count as judged without evidence: granted by earlier leaders, whose grants
        /// expire before this one grants, or not rated within `rating_wait`.
        std::uint64_t settled = 0;
        std::uint64_t judged = 0;      ///< `settled` plus the answers that this leader has judged
        std::uint64_t last_judged = 0; ///< value of `judged` at `last_progress`
        instant last_progress;         ///< when `judged` last grew, or the first grant was made
        std::uint64_t bound = 0;       ///< unjudged answers that may be outstanding now
    };
    [[nodiscard]] const std::map<std::string, tracked_rollout>& tracked_rollouts() const noexcept
    {
        return tracked_rollouts_;
    }

private:
    struct entry_state {
        std::uint64_t last_sequence = 0;
        wire::exposure_grant last_grant;
        std::map<std::string, std::uint64_t> outstanding; ///< granted answers by roll-out
        instant last_seen;
    };

    void add_evidence(const wire::version_evidence& evidence, entry_state& from);
    void evaluate(tracked_rollout& it);
    void monitor_completed(tracked_rollout& it);
    void finish(tracked_rollout& it, records::rollout_state state, std::string reason);
    void commit_reservation(tracked_rollout& it, std::uint64_t granted);
    std::uint64_t grant(tracked_rollout& it, entry_state& to);
    static void update_judged(tracked_rollout& it);
    void settle_unrated(tracked_rollout& it, instant now) const;
    void update_bound(tracked_rollout& it) const;

    controller_options options_;
    wall_clock_fn wall_;
    commit_fn commit_;
    bool leading_ = false;
    instant granting_from_; ///< grants of an earlier leader have expired by then
    std::map<std::string, tracked_rollout> tracked_rollouts_;
    std::map<node_id, entry_state> entries_;
};

} // namespace hickorypost::rollout
