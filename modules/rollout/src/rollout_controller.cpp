#include "hickorypost/rollout/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace hickorypost::rollout {

namespace {

using records::rollout_state;

/// Number of answers reserved in the log ahead of the grants, in multiples of the bound. Each
/// reservation is one log entry; reserving several bounds at once keeps these entries rare.
constexpr std::uint64_t reservation_bounds = 4;
/// Minimum number of the incumbent's ratings for an estimate of the rated share of answers.
constexpr std::uint64_t min_incumbent_ratings = 20;
/// Error probability of the tests after the roll-out, relative to that of the roll-out's own test.
constexpr double monitoring_error_factor = 1e-4;
/// Above this log likelihood ratio of "bad", the bound is reduced to `reduced_bound` answers.
constexpr double reduced_exposure_log_ratio = 1.0;
constexpr std::uint64_t reduced_bound = 2;
/// One grant takes at most 1/entry_share_divisor of the grantable answers, so that other entries
/// get some.
constexpr std::uint64_t entry_share_divisor = 2;

test_options options_of(const records::rollout_record& record)
{
    test_options out;
    out.max_worse = record.max_worse;
    out.confidence = record.confidence;
    return out;
}

/// Whether there are enough ratings to estimate the share of answers that are rated.
bool rated_share_known(const rollout_controller::tracked_rollout& it)
{
    return it.incumbent_ratings.answers >= min_incumbent_ratings;
}

} // namespace

rollout_controller::rollout_controller(controller_options options, wall_clock_fn wall,
                                       commit_fn commit)
    : options_{options}, wall_{std::move(wall)}, commit_{std::move(commit)}
{
}

void rollout_controller::follow(const records::records_state& state)
{
    std::erase_if(tracked_rollouts_,
                  [&](const auto& it) { return !state.rollouts().contains(it.first); });
    for (const auto& [name, record] : state.rollouts()) {
        const std::uint64_t number = state.number_of(records::record_kind::rollout, name);
        tracked_rollout& it = tracked_rollouts_[name];
        if (it.progress.number != number) {
            it = tracked_rollout{};
            it.progress.rollout = name;
            it.progress.number = number;
            it.bound = record.first_answers;
        }
        it.record = record;
        if (const auto* progress = state.progress_of(name); progress != nullptr) {
            it.progress = *progress;
        }
    }
}

void rollout_controller::start_leading(const records::records_state& state, instant now)
{
    leading_ = true;
    entries_.clear();
    tracked_rollouts_.clear();
    follow(state);
    // This replica doesn't know which of the former leader's grants are unspent. It waits until
    // the last of them has expired and then starts with the smallest bound, so that the exposure
    // never exceeds one bound.
    granting_from_ = now + options_.grant_lifetime;
    for (auto& [name, it] : tracked_rollouts_) {
        it.granted = it.progress.granted;
        it.settled = it.progress.granted;
        it.judged = it.settled;
    }
}

void rollout_controller::stop_leading()
{
    leading_ = false;
    entries_.clear();
}

void rollout_controller::add_evidence(const wire::version_evidence& evidence, entry_state& from)
{
    for (auto& [name, it] : tracked_rollouts_) {
        if (it.record.model != evidence.version.model) {
            continue;
        }
        const bool candidate = evidence.version.version == it.record.to;
        if (!candidate && evidence.version.version != it.record.from) {
            continue;
        }
        tally& errors = candidate ? it.candidate_errors : it.incumbent_errors;
        tally& ratings = candidate ? it.candidate_ratings : it.incumbent_ratings;
        errors.answers += evidence.answers;
        errors.bad += evidence.errors + evidence.slow;
        ratings.answers += evidence.rated_good + evidence.rated_bad;
        ratings.bad += evidence.rated_bad;
        if (candidate) {
            auto& outstanding = from.outstanding[name];
            outstanding -= std::min(outstanding, evidence.answers);
        }
        update_judged(it);
        update_bound(it);
        if (it.progress.state == rollout_state::completed) {
            monitor_completed(it);
        } else {
            evaluate(it);
        }
    }
}

void rollout_controller::update_judged(tracked_rollout& it)
{
    // If answers are rated, the number of judged answers is the number of rated ones divided by the
    // share of answers that are rated.
    std::uint64_t judged = it.candidate_errors.answers;
    if (it.record.rated && !rated_share_known(it)) {
        // Ratings arrive late. While the rated share is unknown, only rated answers count as
        // judged.
        judged = std::min(judged, it.candidate_ratings.answers);
    } else if (it.record.rated) {
        const double answers_per_rating = static_cast<double>(it.incumbent_errors.answers) /
                                          static_cast<double>(it.incumbent_ratings.answers);
        const auto judged_by_ratings = static_cast<std::uint64_t>(
            static_cast<double>(it.candidate_ratings.answers) * std::max(1.0, answers_per_rating));
        judged = std::min(judged, judged_by_ratings);
    }
    it.judged = it.settled + judged;
}

void rollout_controller::update_bound(tracked_rollout& it) const
{
    const test_options options = options_of(it.record);
    const double errors =
        judge(it.candidate_errors, it.incumbent_errors, options).bad_log_likelihood_ratio;
    const double ratings =
        judge(it.candidate_ratings, it.incumbent_ratings, options).bad_log_likelihood_ratio;
    if (std::max(errors, ratings) > reduced_exposure_log_ratio) {
        // Ratings arrive late: while the evidence points to bad, exposure stays at a minimum.
        it.bound = reduced_bound;
        return;
    }
    // Only answers judged by this leader raise the bound. Settled answers, which were never rated
    // or were granted by an earlier leader, are not good evidence.
    const auto grown_bound = static_cast<std::uint64_t>(
        static_cast<double>(it.judged - it.settled) * (options_.growth - 1.0));
    it.bound = std::clamp(grown_bound, it.record.first_answers,
                          std::max(it.record.first_answers, options_.max_bound));
}

void rollout_controller::evaluate(tracked_rollout& it)
{
    if (!leading_ || it.progress.state != rollout_state::running) {
        return;
    }
    const test_options options = options_of(it.record);
    const auto errors = judge(it.candidate_errors, it.incumbent_errors, options).verdict;
    const auto ratings = judge(it.candidate_ratings, it.incumbent_ratings, options).verdict;
    if (errors == test_verdict::bad) {
        finish(it, rollout_state::halted, "errors or slow answers");
    } else if (it.record.rated && ratings == test_verdict::bad) {
        finish(it, rollout_state::halted, "ratings");
    } else if (errors == test_verdict::good &&
               (!it.record.rated || ratings == test_verdict::good)) {
        finish(it, rollout_state::completed, "as good as the version before");
    }
}

void rollout_controller::monitor_completed(tracked_rollout& it)
{
    // After the roll-out, the counts are cleared at each verdict `good`, so that a version which
    // regresses later is not shielded by a long good history.
    // The test runs thousands of times while the version serves. Its error probability must be far
    // lower than that of a single test, otherwise a good version would eventually be halted.
    test_options options = options_of(it.record);
    options.confidence = 1.0 - (1.0 - options.confidence) * monitoring_error_factor;
    const auto errors = judge(it.candidate_errors, it.incumbent_errors, options).verdict;
    const auto ratings = judge(it.candidate_ratings, it.incumbent_ratings, options).verdict;
    if (errors == test_verdict::bad || ratings == test_verdict::bad) {
        finish(it, rollout_state::halted, "turned bad after the roll-out");
        return;
    }
    if (errors == test_verdict::good) {
        it.candidate_errors = {};
    }
    if (ratings == test_verdict::good) {
        it.candidate_ratings = {};
    }
}

void rollout_controller::finish(tracked_rollout& it, rollout_state state, std::string reason)
{
    if (!leading_) {
        return;
    }
    records::rollout_progress next = it.progress;
    next.state = state;
    next.reason = std::move(reason);
    next.judged = it.judged;
    next.granted = std::max(next.granted, it.granted);
    next.wall_ms = wall_();
    // Takes effect on the leader at once; the other replicas learn the state from the log.
    it.progress.state = state;
    it.progress.reason = next.reason;
    if (state == rollout_state::completed) {
        it.candidate_errors = {};
        it.candidate_ratings = {};
    }
    commit_(next);
}

void rollout_controller::commit_reservation(tracked_rollout& it, std::uint64_t granted)
{
    records::rollout_progress next = it.progress;
    next.granted = granted;
    next.judged = it.judged;
    next.share = options_.trial_share;
    next.wall_ms = wall_();
    commit_(next);
}

std::uint64_t rollout_controller::grant(tracked_rollout& it, entry_state& to)
{
    const std::uint64_t ceiling = it.judged + it.bound;
    const std::uint64_t grantable = ceiling > it.granted ? ceiling - it.granted : 0;
    if (it.progress.granted < it.granted + grantable) {
        commit_reservation(it, it.granted + it.bound * reservation_bounds);
    }
    const std::uint64_t reserved =
        it.progress.granted > it.granted ? it.progress.granted - it.granted : 0;
    const std::uint64_t entry_limit = (grantable + entry_share_divisor - 1) / entry_share_divisor;
    const std::uint64_t answers = std::min(entry_limit, reserved);
    it.granted += answers;
    to.outstanding[it.record.name] += answers;
    return answers;
}

wire::exposure_grant rollout_controller::take(const node_id& entry,
                                              const wire::exposure_request& request, instant now)
{
    entry_state& from_entry = entries_[entry];
    from_entry.last_seen = now;
    if (request.sequence <= from_entry.last_sequence) {
        return from_entry.last_grant; // resent request: evidence and grant were already counted
    }
    for (const auto& it : request.evidence) {
        add_evidence(it, from_entry);
    }
    wire::exposure_grant out;
    out.sequence = request.sequence;
    for (auto& [name, it] : tracked_rollouts_) {
        const bool granting = leading_ && now >= granting_from_ && !it.record.paused &&
                              it.progress.state == rollout_state::running;
        if (!granting) {
            continue;
        }
        out.leases.push_back(
            {{it.record.model, it.record.to}, grant(it, from_entry), options_.trial_share});
    }
    from_entry.last_sequence = request.sequence;
    from_entry.last_grant = out;
    return out;
}

void rollout_controller::settle_unrated(tracked_rollout& it, instant now) const
{
    if (it.granted <= it.judged || it.progress.state != rollout_state::running) {
        it.last_progress = now;
        return;
    }
    if (it.last_judged != it.judged || it.last_progress == instant{}) {
        it.last_judged = it.judged;
        it.last_progress = now;
    }
    if (now >= it.last_progress + options_.rating_wait) {
        it.settled += it.granted - it.judged;
        it.judged = it.granted;
        it.last_progress = now;
    }
}

void rollout_controller::tick(instant now)
{
    for (auto& [name, it] : tracked_rollouts_) {
        settle_unrated(it, now);
    }
    // Answers granted to an entry that no longer reports can't start any more: the entry's own
    // grant lifetime is much shorter than the controller's.
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (now < entry->second.last_seen + options_.grant_lifetime) {
            ++entry;
            continue;
        }
        for (const auto& [name, outstanding] : entry->second.outstanding) {
            if (const auto it = tracked_rollouts_.find(name); it != tracked_rollouts_.end()) {
                it->second.granted -= std::min(it->second.granted, outstanding);
            }
        }
        entry = entries_.erase(entry);
    }
}

} // namespace hickorypost::rollout
