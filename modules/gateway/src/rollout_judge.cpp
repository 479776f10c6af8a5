#include "hickorypost/gateway/rollout_judge.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

/// Without a step that changes the share, the time is written this often, so that a new leader
/// knows how far a roll-out is.
constexpr std::uint64_t time_written_every_ms = 2000;

/// How much of its time a roll-out has had.
double part_of(const rollout_status& status)
{
    return static_cast<double>(status.elapsed_ms) /
           static_cast<double>(std::max<std::uint64_t>(1, status.duration_ms));
}

} // namespace

void rollout_judge::follow(const std::map<std::string, rollout_status>& rollouts, instant now)
{
    for (const auto& [service, status] : rollouts) {
        auto& it = standings_[service];
        if (it.status.target != status.target) {
            it = {};
        }
        const auto known = millis{static_cast<std::int64_t>(status.elapsed_ms)};
        const bool first = it.status.target.empty();
        it.status = status;
        // Whichever says more: what an earlier leader wrote, or what this process has watched.
        it.began = first ? now - known : std::min(it.began, now - known);
    }
}

void rollout_judge::take(const rollout_view::report_row& row, instant now)
{
    const auto found = standings_.find(row.service);
    if (found == standings_.end() || found->second.status.phase != rollout_phase::running) {
        return;
    }
    found->second.rows.emplace_back(now, row);
}

void rollout_judge::tick(instant now)
{
    for (auto& [service, it] : standings_) {
        if (it.status.phase == rollout_phase::running) {
            decide(it, now);
        }
    }
}

std::uint32_t rollout_judge::share_at(const rollout_status& status) const
{
    if (status.elapsed_ms < static_cast<std::uint64_t>(settings_.trial_delay.count())) {
        return 0;
    }
    const double part = part_of(status);
    constexpr std::uint32_t whole = 1000;
    if (part >= settings_.whole_part) {
        return whole;
    }
    if (part >= settings_.second_step_part) {
        return settings_.second_step_permille;
    }
    return part >= settings_.trial_part ? settings_.first_step_permille : settings_.trial_permille;
}

rollout_judge::comparison rollout_judge::compare(standing& it, instant now) const
{
    while (!it.rows.empty() && it.rows.front().first + settings_.evidence_window < now) {
        it.rows.pop_front();
    }
    comparison out;
    for (const auto& [taken, row] : it.rows) {
        auto& side = row.version == it.status.target ? out.candidate : out.incumbent;
        side.answers += row.seen.answers;
        side.bad += row.seen.bad;
        side.paced += row.seen.paced;
        side.slow += row.seen.slow;
    }
    return out;
}

void rollout_judge::decide(standing& it, instant now)
{
    rollout_status next = it.status;
    const auto elapsed = std::max<std::int64_t>(0, to_millis(now - it.began));
    next.elapsed_ms = static_cast<std::uint64_t>(elapsed);
    const double part = part_of(next);
    const auto [candidate, incumbent] = compare(it, now);
    const auto found = rollout::judge({candidate.answers, candidate.bad},
                                      {incumbent.answers, incumbent.bad}, settings_.test);
    const double beside = settings_.least_paced_part * static_cast<double>(candidate.paced);
    const bool comparable =
        incumbent.paced >= settings_.least_paced && static_cast<double>(incumbent.paced) >= beside;
    const auto pace = rollout::judge({candidate.paced, candidate.slow},
                                     {incumbent.paced, incumbent.slow}, settings_.pace_test);
    if (comparable && pace.verdict == rollout::test_verdict::bad) {
        next.phase = rollout_phase::rolled_back;
        next.share_permille = 0;
        next.reason = std::to_string(candidate.slow) + " of " + std::to_string(candidate.paced) +
                      " answers slow, old version " + std::to_string(incumbent.slow) + " of " +
                      std::to_string(incumbent.paced);
    } else if (found.verdict == rollout::test_verdict::bad) {
        next.phase = rollout_phase::rolled_back;
        next.share_permille = 0;
        next.reason = std::to_string(candidate.bad) + " of " + std::to_string(candidate.answers) +
                      " answers bad, old version " + std::to_string(incumbent.bad) + " of " +
                      std::to_string(incumbent.answers);
    } else if (part >= settings_.complete_part && found.bad_log_likelihood_ratio <= 0) {
        next.phase = rollout_phase::completed;
        next.reason = std::to_string(candidate.answers) + " answers, " +
                      std::to_string(candidate.bad) + " bad";
    } else if (found.bad_log_likelihood_ratio <= 0) {
        // Evidence that leans towards bad holds the share where it is until it is clear.
        next.share_permille = std::max(next.share_permille, share_at(next));
    }
    const bool changed = next.phase != it.status.phase ||
                         next.share_permille != it.status.share_permille ||
                         next.elapsed_ms > it.status.elapsed_ms + time_written_every_ms;
    if (changed) {
        step_(next);
    }
}

} // namespace hickorypost::gateway
