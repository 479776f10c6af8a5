#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/rollout/sequential_test.h"

#include <map>

namespace hickorypost::rollout {

struct controller_options {
    /// The exposure bound grows by this factor per bound's worth of answers judged without alarm.
    double growth = 2.0;
    /// A grant is spent or given back within this time; an entry that vanishes keeps it no longer.
    millis grant_lifetime{10'000};
    /// Ratings come for a sample only. When none has come for this long, the answers that wait for
    /// one are taken for judged by their errors alone, or the roll-out would stand still for ever.
    millis rating_wait{20'000};
    /// Share of the model's traffic at most while the candidate is still on trial.
    double trial_share = 0.5;
    std::uint64_t max_bound = 100'000;
};

/// Runs the roll-outs on the control leader. Exposure is bounded by construction: entries start an
/// answer on a candidate only against a grant, and no more answers are granted than have been
/// judged plus a bound that grows with good evidence. Sans I/O.
///
/// Decisions leave as `rollout_progress` to be committed. `granted` is committed ahead of the
/// grants that it covers, so that a new leader never grants the same answers twice.
class rollout_controller {
public:
    using commit_fn = std::function<void(const records::rollout_progress&)>;

    rollout_controller(controller_options options, wall_clock_fn wall, commit_fn commit);

    /// Follows the records: new roll-outs begin, amended ones begin anew, paused ones stand still.
    void follow(const records::records_state& state);
    /// This replica has just become leader: what was granted but never judged counts as unjudged.
    void start_leading(const records::records_state& state, instant now);
    void stop_leading();

    /// Evidence of an entry, and the answers it may start next.
    wire::exposure_grant take(const node_id& entry, const wire::exposure_request& request,
                              instant now);
    void tick(instant now);

    /// What a roll-out stands at, for `status`.
    struct standing {
        records::rollout_record record;
        records::rollout_progress progress; ///< as committed
        tally candidate_errors;
        tally incumbent_errors;
        tally candidate_ratings;
        tally incumbent_ratings;
        std::uint64_t granted = 0; ///< in this leadership and committed before
        std::uint64_t settled = 0; ///< granted by earlier leaders; run out before this one grants
        std::uint64_t judged = 0;  ///< `settled` and what this leader has judged
        std::uint64_t last_judged = 0;
        instant progressed;      ///< when `judged` last grew, or the first grant was made
        std::uint64_t bound = 0; ///< unjudged answers allowed now
    };
    [[nodiscard]] const std::map<std::string, standing>& tracked_rollouts() const noexcept
    {
        return standings_;
    }

private:
    struct entry_account {
        std::uint64_t last_sequence = 0;
        wire::exposure_grant last_grant;
        std::map<std::string, std::uint64_t> outstanding; ///< by roll-out
        instant last_seen;
    };

    void learn(const wire::version_evidence& evidence, entry_account& from);
    void decide(standing& it);
    void watch(standing& it);
    void finish(standing& it, records::rollout_state state, std::string reason);
    void reserve(standing& it, std::uint64_t upto);
    std::uint64_t grant(standing& it, entry_account& to);
    static void update_judged(standing& it);
    void unblock(standing& it, instant now) const;
    void update_bound(standing& it) const;

    controller_options options_;
    wall_clock_fn wall_;
    commit_fn commit_;
    bool leading_ = false;
    instant granting_from_; ///< grants of an earlier leader have run out by then
    std::map<std::string, standing> standings_;
    std::map<node_id, entry_account> entries_;
};

} // namespace hickorypost::rollout
