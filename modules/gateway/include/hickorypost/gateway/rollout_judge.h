#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/rollout_view.h"
#include "hickorypost/rollout/sequential_test.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace hickorypost::gateway {

struct judge_settings {
    /// Share of requests on trial: small enough that a version that turns bad late has met few.
    std::uint32_t trial_permille = 50;
    /// After the order, the time until the trial. Processes have heard of the order by then, and
    /// say which sessions they have seen.
    millis trial_delay{500};
    /// Part of the time that the trial lasts. Sessions that began on the old version may not move
    /// in the first half.
    double trial_part = 0.5;
    /// Shares after the trial, and the part of the time at which each begins. Some versions fail
    /// only under load, so load grows in steps, each short enough for the bound on exposure.
    std::uint32_t first_step_permille = 250;
    double second_step_part = 0.58;
    std::uint32_t second_step_permille = 500;
    double whole_part = 0.66;
    /// The part of the time at which a version that has had all traffic since `whole_part` is
    /// completed: streams that began on the old one have ended by then.
    double complete_part = 0.84;
    /// Answers older than this are left out: a version that turns bad late, or under load, must not
    /// be covered by the good answers from before.
    millis evidence_window{4000};
    /// Slowness by its pace: a quarter of the old version's answers count as slow, by chance some
    /// more. Judged only while both versions answer, as load changes the pace of both: at least
    /// this many of the old version's in the window.
    rollout::test_options pace_test{.max_worse = 0.3, .confidence = 0.995, .floor_ratio = 0.25};
    std::uint64_t min_paced_answers = 20;
    /// Nor is it judged once the old version has less than this part of the new one's answers: its
    /// stragglers have engines to themselves. Good versions that met twice the load on all traffic
    /// were sent back for it (95 of 226 answers slow, old version 3 of 30).
    double least_paced_part = 0.5;
    rollout::test_options test{.max_worse = 0.2, .confidence = 0.995, .floor_ratio = 0.02};
};

/// The leader's part of roll-outs: gathers what all processes saw, and decides on shares, end or
/// return. Its steps take effect only once they are committed. Sans I/O.
class rollout_judge {
public:
    using step_fn = std::function<void(const rollout_status&)>;

    rollout_judge(judge_settings settings, step_fn step)
        : settings_{settings}, step_{std::move(step)}
    {
    }

    /// Takes the committed state; roll-outs that are new here begin to be watched.
    void follow(const std::map<std::string, rollout_status>& rollouts, instant now);
    void take(const rollout_view::report_row& row, instant now);
    void tick(instant now);

private:
    struct standing {
        rollout_status status;
        instant began; ///< by this process's clock, from when it first saw the order
        std::deque<std::pair<instant, rollout_view::report_row>> rows; ///< the newest last
    };
    /// What the candidate and the incumbent did within the window.
    struct comparison {
        version_tally candidate;
        version_tally incumbent;
    };

    void decide(standing& it, instant now);
    comparison compare(standing& it, instant now) const;
    [[nodiscard]] std::uint32_t share_at(const rollout_status& status) const;

    judge_settings settings_;
    step_fn step_;
    std::map<std::string, standing> standings_;
};

} // namespace hickorypost::gateway
