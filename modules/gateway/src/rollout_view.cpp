#include "hickorypost/gateway/rollout_view.h"

#include "hickorypost/base/ids.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// An answer of the new version counts as bad if its response time exceeds both this multiple of
/// the old version's expected time and that time plus `slow_extra_ms`. The expected time is that of
/// the same route, model and prompt length. Versions that only slow down in a burst stay below.
constexpr double slow_factor = 4;
constexpr double slow_extra_ms = 150;
constexpr double mean_weight = 0.05;
constexpr double upper_quartile = 0.75;
constexpr double quartile_step = 0.05;
/// An answer counts as slow if its pace exceeds both this multiple of the old version's upper
/// quartile and the quartile plus `noticeable_us`. Callers do not notice smaller differences, and
/// hosts that run the same version differ by less. Bad versions are several times slower.
constexpr double noticeable_factor = 1.25;
constexpr double noticeable_us = 2000;
/// Lower bound of the estimated prefill time: the network and one engine step take as long, so
/// shorter prefills do not show in the response time.
constexpr double min_prefill_ms = 20;
constexpr double micros_per_milli = 1000;
/// At this many bad answers of the new version, less its good ones, this process stops using that
/// version without waiting for the leader, which may be unreachable.
constexpr std::uint32_t trip_limit = 6;
/// Time between learning of a trial and sending the first request to the new version. Other
/// processes report meanwhile which sessions they have sent to the old version.
constexpr millis pin_delay{600};
constexpr std::uint64_t session_buckets = 10'000;
constexpr std::size_t cleanup_threshold = 5000;
constexpr double permille = 1000;

void keep_version(std::vector<const backend_entry*>& candidates, const std::string& version)
{
    std::erase_if(candidates, [&](const auto* entry) { return entry->record.version != version; });
}

/// Maps a session to [0, 1). The session moves to the new version once the share exceeds this
/// value. The value comes from a hash, so all processes agree, and a growing share moves no session
/// back.
double share_position(std::uint64_t session)
{
    return static_cast<double>(session % session_buckets) / static_cast<double>(session_buckets);
}

double share_of(const rollout_status& status)
{
    return static_cast<double>(status.share_permille) / permille;
}

bool in_first_half(const rollout_status& status)
{
    return status.elapsed_ms * 2 < status.duration_ms;
}

} // namespace

void rollout_view::follow(const std::map<std::string, rollout_status>& rollouts, instant now)
{
    for (const auto& [service, status] : rollouts) {
        auto& state = services_[service];
        const bool is_new_rollout = !state.known || state.status.target != status.target;
        if (is_new_rollout) {
            state.tripped = false;
            state.streak = 0;
            state.status.share_permille = 0;
            state.tallies.clear();
        }
        const bool begins = status.phase == rollout_phase::running && status.share_permille > 0 &&
                            state.status.share_permille == 0;
        if (begins) {
            // A process that learns of the roll-out and its trial at once has joined late: other
            // processes have begun the trial.
            state.trial_start = is_new_rollout ? now : now + pin_delay;
        }
        state.status = status;
        state.known = true;
        if (begins) {
            for (auto& [session, record] : state.sessions) {
                if (needs_pin(state, session, record, now)) {
                    state.unshared.push_back(session);
                    record.last_shared = now;
                }
            }
        }
    }
}

void rollout_view::set_versions(const std::map<std::string, service_versions>& versions)
{
    for (const auto& [service, committed] : versions) {
        services_[service].versions = committed;
    }
}

std::string rollout_view::find_incumbent(const std::string& service,
                                         const std::vector<const backend_entry*>& candidates) const
{
    const auto found = services_.find(service);
    if (found != services_.end() && !found->second.versions.incumbent.empty()) {
        return {};
    }
    std::map<std::string, std::size_t> counts;
    for (const auto* const entry : candidates) {
        const auto& version = entry->record.version;
        if (found == services_.end() || !is_withheld(found->second, version)) {
            ++counts[version];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? std::string{} : most->first;
}

bool rollout_view::is_withheld(const service_state& state, const std::string& version)
{
    const auto& rolled_back_versions = state.versions.rolled_back_versions;
    const bool completed = state.status.phase == rollout_phase::completed;
    return (state.known && !completed && version == state.status.target) ||
           std::find(rolled_back_versions.begin(), rolled_back_versions.end(), version) !=
               rolled_back_versions.end();
}

std::vector<std::uint64_t> rollout_view::take_pinned(instant now)
{
    std::vector<std::uint64_t> out;
    for (auto& [service, state] : services_) {
        for (const auto session : std::exchange(state.unshared, {})) {
            const auto record = state.sessions.find(session);
            if (record != state.sessions.end() && needs_pin(state, session, record->second, now)) {
                out.push_back(session);
            }
        }
    }
    return out;
}

std::vector<std::uint64_t> rollout_view::pinned_sessions(instant now) const
{
    std::vector<std::uint64_t> out;
    for (const auto& [service, state] : services_) {
        for (const auto& [session, record] : state.sessions) {
            if (needs_pin(state, session, record, now) && !is_pinned(session, now)) {
                out.push_back(session);
            }
        }
    }
    for (const auto& [session, received] : pinned_) {
        if (is_pinned(session, now)) {
            out.push_back(session);
        }
    }
    return out;
}

std::vector<std::uint64_t> rollout_view::pin(const std::vector<std::uint64_t>& sessions,
                                             instant now)
{
    std::vector<std::uint64_t> out;
    std::erase_if(pinned_,
                  [&](const auto& entry) { return now >= entry.second + session_memory_; });
    for (const auto session : sessions) {
        const auto [at, is_new] = pinned_.try_emplace(session, now);
        if (is_new || now >= at->second + session_memory_ / 2) {
            at->second = now;
            out.push_back(session);
        }
    }
    return out;
}

bool rollout_view::is_pinned(std::uint64_t session, instant now) const
{
    const auto found = pinned_.find(session);
    return found != pinned_.end() && now < found->second + session_memory_;
}

bool rollout_view::needs_pin(const service_state& state, std::uint64_t session,
                             const session_record& record, instant now) const
{
    return state.known && state.status.phase == rollout_phase::running &&
           in_first_half(state.status) && share_position(session) < share_of(state.status) &&
           record.version != state.status.target && now < record.last_used + session_memory_;
}

bool rollout_view::wants_target(const service_state& state, std::uint64_t session, instant now)
{
    if (now < state.trial_start) {
        return false;
    }
    if (session == 0) {
        return unit_random(random_) < share_of(state.status);
    }
    const auto record = state.sessions.find(session);
    const bool known =
        record != state.sessions.end() && now < record->second.last_used + session_memory_;
    if (known && record->second.version == state.status.target) {
        return true;
    }
    if (in_first_half(state.status) && (known || is_pinned(session, now))) {
        return false;
    }
    return share_position(session) < share_of(state.status);
}

void rollout_view::note_session(service_state& state, std::uint64_t session,
                                const std::string& version, instant now)
{
    if (session == 0) {
        return;
    }
    auto& record = state.sessions[session];
    record.version = version;
    record.last_used = now;
    const bool shared_lately = now < record.last_shared + session_memory_ / 2;
    if (!shared_lately && needs_pin(state, session, record, now)) {
        state.unshared.push_back(session);
        record.last_shared = now;
    }
    if (state.sessions.size() > cleanup_threshold && now > state.cleanup_due) {
        state.cleanup_due = now + session_memory_ / 2;
        std::erase_if(state.sessions, [&](const auto& known) {
            return now > known.second.last_used + session_memory_;
        });
    }
}

void rollout_view::choose_version(const std::string& service, const std::string& session,
                                  std::vector<const backend_entry*>& candidates, instant now)
{
    if (candidates.empty()) {
        return;
    }
    auto& state = services_[service];
    const bool running = state.known && state.status.phase == rollout_phase::running;
    const std::uint64_t key = session.empty() ? 0 : hash_bytes(session, hash_bytes(service));
    const bool target = running && !state.tripped && wants_target(state, key, now);
    auto chosen = candidates;
    // Other versions are excluded even without a roll-out: a new version may register before this
    // process learns of its roll-out.
    keep_version(chosen, target ? state.status.target : state.versions.incumbent);
    if (chosen.empty()) {
        chosen = candidates;
        std::erase_if(chosen,
                      [&](const auto* entry) { return is_withheld(state, entry->record.version); });
    }
    candidates = std::move(chosen);
    if (!candidates.empty()) {
        note_session(state, key, candidates.front()->record.version, now);
    }
}

bool rollout_view::is_on_trial(const std::string& service, std::string_view version) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.known &&
           found->second.status.phase == rollout_phase::running &&
           found->second.status.target == version;
}

void rollout_view::saw(const answer_sample& answer)
{
    const auto& version = answer.version;
    auto& state = services_[answer.service];
    const bool running = state.known && state.status.phase == rollout_phase::running;
    const bool target = running && version == state.status.target;
    if (!target && is_withheld(state, version)) {
        return;
    }
    const double ms = static_cast<double>(answer.response_time.count()) / micros_per_milli;
    // Response times are compared relative to the prefill time, because long prompts and large
    // models take many times as long as short prompts and small models.
    const double prefill = std::max(min_prefill_ms, answer.prefill_ms);
    double& ratio = state.old_time_ratio[{answer.route, answer.model}];
    bool bad = answer.failed;
    if (!target && !bad) {
        const double own = ms / prefill;
        ratio = ratio == 0 ? own : ratio + mean_weight * (own - ratio);
    } else if (target && ratio > 0) {
        const double expected = ratio * prefill;
        bad = bad || (ms > slow_factor * expected && ms > expected + slow_extra_ms);
    }
    if (!running) {
        return;
    }
    auto& tally = state.tallies[version];
    ++tally.answers;
    tally.bad += bad ? 1 : 0;
    if (target) {
        state.streak = bad ? state.streak + 1 : state.streak - std::min(state.streak, 1U);
        state.tripped = state.tripped || state.streak >= trip_limit;
    }
}

void rollout_view::record_pace(const std::string& service, const std::string& group,
                               const std::string& version, micros pace)
{
    auto& state = services_[service];
    const bool running = state.known && state.status.phase == rollout_phase::running;
    const bool target = running && version == state.status.target;
    if (!target && is_withheld(state, version)) {
        return;
    }
    const auto value = static_cast<double>(pace.count());
    auto& quartile =
        state.old_quartile.try_emplace(group, running_quantile{upper_quartile, quartile_step})
            .first->second;
    const bool slow = quartile.known() && value > std::max(noticeable_factor * quartile.value(),
                                                           noticeable_us + quartile.value());
    if (!target) {
        quartile.add(value);
    }
    if (running && quartile.known()) {
        auto& tally = state.tallies[version];
        ++tally.paced;
        tally.slow += slow ? 1 : 0;
    }
}

std::vector<rollout_view::report_row> rollout_view::take_report()
{
    std::vector<report_row> out;
    for (auto& [service, state] : services_) {
        for (const auto& [version, tally] : state.tallies) {
            out.push_back({service, version, tally});
        }
        state.tallies.clear();
    }
    return out;
}

} // namespace hickorypost::gateway
