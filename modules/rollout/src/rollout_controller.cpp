#include "hickorypost/rollout/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace hickorypost::rollout {

namespace {

using records::rollout_state;

/// Answers reserved in the log ahead of the grants, in multiples of the bound; each reservation is
/// one log entry, so this keeps them rare.
constexpr std::uint64_t reserve_bounds = 4;
/// Ratings of the incumbent from which the rated share of answers is estimated.
constexpr std::uint64_t ratings_in_use = 20;
/// Error share of a test after the roll-out, against that of the roll-out's own.
constexpr double watch_strictness = 1e-4;
/// Evidence towards bad from which on exposure shrinks, and what it shrinks to.
constexpr double suspicion = 1.0;
constexpr std::uint64_t suspected_bound = 2;
/// An entry gets at most this part of what may be granted, so that others get some too.
constexpr std::uint64_t entry_part = 2;

test_options options_of(const records::rollout_record& record)
{
    test_options out;
    out.max_worse = record.max_worse;
    out.confidence = record.confidence;
    return out;
}

/// Whether enough ratings came in to tell which share of the answers is rated at all.
bool sampling_known(const rollout_controller::standing& it)
{
    return it.incumbent_ratings.answers >= ratings_in_use;
}

} // namespace

rollout_controller::rollout_controller(controller_options options, wall_clock_fn wall,
                                       commit_fn commit)
    : options_{options}, wall_{std::move(wall)}, commit_{std::move(commit)}
{
}

void rollout_controller::follow(const records::records_state& state)
{
    std::erase_if(standings_, [&](const auto& it) { return !state.rollouts().contains(it.first); });
    for (const auto& [name, record] : state.rollouts()) {
        const std::uint64_t number = state.number_of(records::record_kind::rollout, name);
        standing& it = standings_[name];
        if (it.progress.number != number) {
            it = standing{};
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
    standings_.clear();
    follow(state);
    // The former leader's grants are not known here. Wait until the last of them has run out, then
    // begin again with the smallest bound: the exposure never exceeds one bound.
    granting_from_ = now + options_.grant_lifetime;
    for (auto& [name, it] : standings_) {
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

void rollout_controller::learn(const wire::version_evidence& evidence, entry_account& from)
{
    for (auto& [name, it] : standings_) {
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
            auto& owed = from.outstanding[name];
            owed -= std::min(owed, evidence.answers);
        }
        update_judged(it);
        update_bound(it);
        if (it.progress.state == rollout_state::completed) {
            watch(it);
        } else {
            decide(it);
        }
    }
}

void rollout_controller::update_judged(standing& it)
{
    // Where answers are rated, an answer counts as judged once it is rated, or stands for one of
    // the sample that was.
    std::uint64_t judged = it.candidate_errors.answers;
    if (it.record.rated && !sampling_known(it)) {
        // Ratings come late. Until some are in, nothing counts as judged but what was rated.
        judged = std::min(judged, it.candidate_ratings.answers);
    } else if (it.record.rated) {
        const double sampling = static_cast<double>(it.incumbent_errors.answers) /
                                static_cast<double>(it.incumbent_ratings.answers);
        const auto by_rating = static_cast<std::uint64_t>(
            static_cast<double>(it.candidate_ratings.answers) * std::max(1.0, sampling));
        judged = std::min(judged, by_rating);
    }
    it.judged = it.settled + judged;
}

void rollout_controller::update_bound(standing& it) const
{
    const test_options options = options_of(it.record);
    const double errors =
        judge(it.candidate_errors, it.incumbent_errors, options).bad_log_likelihood_ratio;
    const double ratings =
        judge(it.candidate_ratings, it.incumbent_ratings, options).bad_log_likelihood_ratio;
    if (std::max(errors, ratings) > suspicion) {
        // Ratings come late: while they point to bad, hardly anything more is risked on it.
        it.bound = suspected_bound;
        return;
    }
    // Only what was judged here earns more: answers settled for want of a verdict, or granted by an
    // earlier leader, are no good evidence.
    const auto grown = static_cast<std::uint64_t>(static_cast<double>(it.judged - it.settled) *
                                                  (options_.growth - 1.0));
    it.bound = std::clamp(grown, it.record.first_answers,
                          std::max(it.record.first_answers, options_.max_bound));
}

void rollout_controller::decide(standing& it)
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

void rollout_controller::watch(standing& it)
{
    // After the roll-out the test is begun anew whenever it says good, so that a version which
    // turns bad later is met by a test without a long good past.
    // It is asked for as long as the version serves, thousands of times: each time must be wrong
    // far more seldom than a single test, or a good version would be halted in the end.
    test_options options = options_of(it.record);
    options.confidence = 1.0 - (1.0 - options.confidence) * watch_strictness;
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

void rollout_controller::finish(standing& it, rollout_state state, std::string reason)
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
    // Acted on at once here; the log makes it known everywhere.
    it.progress.state = state;
    it.progress.reason = next.reason;
    if (state == rollout_state::completed) {
        it.candidate_errors = {};
        it.candidate_ratings = {};
    }
    commit_(next);
}

void rollout_controller::reserve(standing& it, std::uint64_t upto)
{
    records::rollout_progress next = it.progress;
    next.granted = upto;
    next.judged = it.judged;
    next.share = options_.trial_share;
    next.wall_ms = wall_();
    commit_(next);
}

std::uint64_t rollout_controller::grant(standing& it, entry_account& to)
{
    const std::uint64_t ceiling = it.judged + it.bound;
    const std::uint64_t room = ceiling > it.granted ? ceiling - it.granted : 0;
    if (it.progress.granted < it.granted + room) {
        reserve(it, it.granted + it.bound * reserve_bounds);
    }
    const std::uint64_t covered =
        it.progress.granted > it.granted ? it.progress.granted - it.granted : 0;
    const std::uint64_t part = (room + entry_part - 1) / entry_part;
    const std::uint64_t answers = std::min(part, covered);
    it.granted += answers;
    to.outstanding[it.record.name] += answers;
    return answers;
}

wire::exposure_grant rollout_controller::take(const node_id& entry,
                                              const wire::exposure_request& request, instant now)
{
    entry_account& account = entries_[entry];
    account.last_seen = now;
    if (request.sequence <= account.last_sequence) {
        return account.last_grant; // resent: the evidence was counted, the grant was made
    }
    for (const auto& it : request.evidence) {
        learn(it, account);
    }
    wire::exposure_grant out;
    out.sequence = request.sequence;
    for (auto& [name, it] : standings_) {
        const bool granting = leading_ && now >= granting_from_ && !it.record.paused &&
                              it.progress.state == rollout_state::running;
        if (!granting) {
            continue;
        }
        out.leases.push_back(
            {{it.record.model, it.record.to}, grant(it, account), options_.trial_share});
    }
    account.last_sequence = request.sequence;
    account.last_grant = out;
    return out;
}

void rollout_controller::unblock(standing& it, instant now) const
{
    if (it.granted <= it.judged || it.progress.state != rollout_state::running) {
        it.progressed = now;
        return;
    }
    if (it.last_judged != it.judged || it.progressed == instant{}) {
        it.last_judged = it.judged;
        it.progressed = now;
    }
    if (now >= it.progressed + options_.rating_wait) {
        it.settled += it.granted - it.judged;
        it.judged = it.granted;
        it.progressed = now;
    }
}

void rollout_controller::tick(instant now)
{
    for (auto& [name, it] : standings_) {
        unblock(it, now);
    }
    // What an entry that vanished was granted can no longer be started: entries let grants lapse
    // well before this.
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (now < entry->second.last_seen + options_.grant_lifetime) {
            ++entry;
            continue;
        }
        for (const auto& [name, owed] : entry->second.outstanding) {
            if (const auto it = standings_.find(name); it != standings_.end()) {
                it->second.granted -= std::min(it->second.granted, owed);
            }
        }
        entry = entries_.erase(entry);
    }
}

} // namespace hickorypost::rollout
