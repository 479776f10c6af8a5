#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/rollout_view.h"
#include "hickorypost/rollout/sequential_test.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace hickorypost::gateway {

/// Schedule and statistical tests of a roll-out. Times in the schedule are fractions of the
/// roll-out's duration.
struct judge_settings {
    /// Share of requests, in thousandths, that goes to the new version during the trial. Small, so
    /// that few requests reach a version that starts to fail late.
    std::uint32_t trial_permille = 50;
    /// Time between the roll-out command and the trial, in which all processes receive the command
    /// and report sessions that use the old version.
    millis trial_delay{500};
    /// Fraction of the duration at which the trial ends. Sessions that began on the old version
    /// must not move in the first half.
    double trial_end = 0.5;
    /// Shares after the trial, and the fraction of the duration at which each begins. The load
    /// grows in steps because some versions fail only under load; each step is short enough for
    /// the bound on requests that a bad version may receive.
    std::uint32_t first_step_permille = 250;
    double second_step_start = 0.58;
    std::uint32_t second_step_permille = 500;
    double full_traffic_start = 0.66;
    /// Fraction of the duration at which a version is completed. All traffic has gone to that
    /// version since `full_traffic_start`, so streams that began on the old version have ended.
    double completion = 0.84;
    /// Older answers are ignored: earlier good answers must not hide a version that starts to fail
    /// late or under load.
    millis evidence_window{4000};
    /// Test of answers that are slow by their pace (see `rollout_view::record_pace`). About a
    /// quarter of the old version's answers lie above its upper quartile, by chance some more. Load
    /// changes the pace of both versions, so the test applies only while the evidence window holds
    /// at least `min_paced_answers` answers of the old version.
    rollout::test_options pace_test{.max_worse = 0.3, .confidence = 0.995, .floor_ratio = 0.25};
    std::uint64_t min_paced_answers = 20;
    /// Nor does the test apply once the old version has less than this fraction of the new
    /// version's number of answers: its last streams then run on idle engines. Good versions under
    /// twice the load were rolled back (95 of 226 answers slow, old version 3 of 30) because all
    /// traffic had moved to them.
    double min_incumbent_ratio = 0.5;
    /// Test of bad answers: failures, and answers far slower than the old version's.
    rollout::test_options test{.max_worse = 0.2, .confidence = 0.995, .floor_ratio = 0.02};
};

/// Decides on the control log's leader when a roll-out gets a larger share, completes or is rolled
/// back, from the reports of all processes. A decision takes effect once its command is committed.
/// Performs no I/O itself.
class rollout_judge {
public:
    /// Called with the proposed next status of a roll-out.
    using step_fn = std::function<void(const rollout_status&)>;

    rollout_judge(judge_settings settings, step_fn step)
        : settings_{settings}, step_{std::move(step)}
    {
    }

    /// Takes the committed state and starts to track roll-outs that are new in it.
    void follow(const std::map<std::string, rollout_status>& rollouts, instant now);
    /// Adds a process's report. Ignored unless the service has a running roll-out.
    void take(const rollout_view::report_row& row, instant now);
    /// Decides on each running roll-out.
    void tick(instant now);

private:
    struct tracked_rollout {
        rollout_status status;
        /// By this process's clock: when it first saw the roll-out, less the committed elapsed
        /// time.
        instant started;
        std::deque<std::pair<instant, rollout_view::report_row>> reports; ///< the newest last
    };
    /// Totals of both versions within the evidence window.
    struct comparison {
        version_tally candidate;
        version_tally incumbent;
    };

    void decide(tracked_rollout& tracked, instant now);
    comparison compare(tracked_rollout& tracked, instant now) const;
    /// The share, in thousandths, that the schedule allows at this time.
    [[nodiscard]] std::uint32_t scheduled_share(const rollout_status& status) const;

    judge_settings settings_;
    step_fn step_;
    std::map<std::string, tracked_rollout> rollouts_; ///< by service
};

} // namespace hickorypost::gateway
