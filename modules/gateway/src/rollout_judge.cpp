#include "hickorypost/gateway/rollout_judge.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

/// The elapsed time is written to the control log at least this often, so that a new leader knows
/// how far a roll-out has come.
constexpr std::uint64_t progress_write_interval_ms = 2000;

/// The fraction of its duration that a roll-out has run.
double progress_of(const rollout_status& status)
{
    return static_cast<double>(status.elapsed_ms) /
           static_cast<double>(std::max<std::uint64_t>(1, status.duration_ms));
}

} // namespace

void rollout_judge::follow(const std::map<std::string, rollout_status>& rollouts, instant now)
{
    for (const auto& [service, status] : rollouts) {
        auto& tracked = rollouts_[service];
        if (tracked.status.target != status.target) {
            tracked = {};
        }
        const auto elapsed = millis{static_cast<std::int64_t>(status.elapsed_ms)};
        const bool first = tracked.status.target.empty();
        tracked.status = status;
        // The earlier of two starts: by the time that a leader wrote, or by this process's clock.
        tracked.started = first ? now - elapsed : std::min(tracked.started, now - elapsed);
    }
}

void rollout_judge::take(const rollout_view::report_row& row, instant now)
{
    const auto found = rollouts_.find(row.service);
    if (found == rollouts_.end() || found->second.status.phase != rollout_phase::running) {
        return;
    }
    found->second.reports.emplace_back(now, row);
}

void rollout_judge::tick(instant now)
{
    for (auto& [service, tracked] : rollouts_) {
        if (tracked.status.phase == rollout_phase::running) {
            decide(tracked, now);
        }
    }
}

std::uint32_t rollout_judge::scheduled_share(const rollout_status& status) const
{
    if (status.elapsed_ms < static_cast<std::uint64_t>(settings_.trial_delay.count())) {
        return 0;
    }
    const double progress = progress_of(status);
    constexpr std::uint32_t all_permille = 1000;
    if (progress >= settings_.full_traffic_start) {
        return all_permille;
    }
    if (progress >= settings_.second_step_start) {
        return settings_.second_step_permille;
    }
    return progress >= settings_.trial_end ? settings_.first_step_permille
                                           : settings_.trial_permille;
}

rollout_judge::comparison rollout_judge::compare(tracked_rollout& tracked, instant now) const
{
    while (!tracked.reports.empty() &&
           tracked.reports.front().first + settings_.evidence_window < now) {
        tracked.reports.pop_front();
    }
    comparison out;
    for (const auto& [received, row] : tracked.reports) {
        auto& side = row.version == tracked.status.target ? out.candidate : out.incumbent;
        side.answers += row.seen.answers;
        side.bad += row.seen.bad;
        side.paced += row.seen.paced;
        side.slow += row.seen.slow;
    }
    return out;
}

void rollout_judge::decide(tracked_rollout& tracked, instant now)
{
    rollout_status next = tracked.status;
    const auto elapsed = std::max<std::int64_t>(0, to_millis(now - tracked.started));
    next.elapsed_ms = static_cast<std::uint64_t>(elapsed);
    const double progress = progress_of(next);
    const auto [candidate, incumbent] = compare(tracked, now);
    const auto error_result = rollout::judge({candidate.answers, candidate.bad},
                                             {incumbent.answers, incumbent.bad}, settings_.test);
    const double min_incumbent_paced =
        settings_.min_incumbent_ratio * static_cast<double>(candidate.paced);
    const bool comparable = incumbent.paced >= settings_.min_paced_answers &&
                            static_cast<double>(incumbent.paced) >= min_incumbent_paced;
    const auto pace_result = rollout::judge({candidate.paced, candidate.slow},
                                            {incumbent.paced, incumbent.slow}, settings_.pace_test);
    if (comparable && pace_result.verdict == rollout::test_verdict::bad) {
        next.phase = rollout_phase::rolled_back;
        next.share_permille = 0;
        next.reason = std::to_string(candidate.slow) + " of " + std::to_string(candidate.paced) +
                      " answers slow, old version " + std::to_string(incumbent.slow) + " of " +
                      std::to_string(incumbent.paced);
    } else if (error_result.verdict == rollout::test_verdict::bad) {
        next.phase = rollout_phase::rolled_back;
        next.share_permille = 0;
        next.reason = std::to_string(candidate.bad) + " of " + std::to_string(candidate.answers) +
                      " answers bad, old version " + std::to_string(incumbent.bad) + " of " +
                      std::to_string(incumbent.answers);
    } else if (progress >= settings_.completion && error_result.bad_log_likelihood_ratio <= 0) {
        next.phase = rollout_phase::completed;
        next.reason = std::to_string(candidate.answers) + " answers, " +
                      std::to_string(candidate.bad) + " bad";
    } else if (error_result.bad_log_likelihood_ratio <= 0) {
        // While the evidence leans towards bad, the share does not grow.
        next.share_permille = std::max(next.share_permille, scheduled_share(next));
    }
    const bool changed = next.phase != tracked.status.phase ||
                         next.share_permille != tracked.status.share_permille ||
                         next.elapsed_ms > tracked.status.elapsed_ms + progress_write_interval_ms;
    if (changed) {
        step_(next);
    }
}

} // namespace hickorypost::gateway
