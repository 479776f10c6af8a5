#include "hickorypost/gateway/rollout_view.h"

#include "hickorypost/base/ids.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// An answer of the new version that takes this many times as long as the old one would on the
/// same route with the same model and a prompt of that length, and this much longer, counts as bad:
/// versions that are merely slower under a burst stay below it.
constexpr double slow_factor = 4;
constexpr double slow_extra_ms = 150;
constexpr double mean_weight = 0.05;
constexpr double upper_quartile = 0.75;
constexpr double quartile_step = 0.05;
/// An answer counts as slow beside the old version's upper quartile if it takes this many times as
/// long and this much longer: callers notice no less, and hosts of equal versions differ by less.
/// Bad versions are several times slower.
constexpr double noticed_factor = 1.25;
constexpr double noticed_us = 2000;
/// Estimated prefill times below this do not show: the network and one engine step take as long.
constexpr double least_reckoned_ms = 20;
constexpr double micros_per_milli = 1000;
/// Bad answers of the new version, less good ones, after which this process stops using it without
/// waiting for the leader, which may be cut off.
constexpr std::uint32_t trip_streak = 6;
/// After a trial's share has come, this long passes before the first request goes to the new
/// version: other processes say meanwhile which sessions they have seen on the old one.
constexpr millis pin_time{600};
constexpr std::uint64_t buckets = 10'000;
constexpr std::size_t sessions_before_cleaning = 5000;
constexpr double permille = 1000;

void keep_version(std::vector<const backend_entry*>& candidates, const std::string& version)
{
    std::erase_if(candidates, [&](const auto* it) { return it->record.version != version; });
}

/// Where a session lies between 0 and 1. By hash, so that all processes choose the same for it, and
/// a growing share only adds to the sessions that have moved.
double place_of(std::uint64_t session)
{
    return static_cast<double>(session % buckets) / static_cast<double>(buckets);
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
        auto& it = services_[service];
        const bool is_new_order = !it.known || it.status.target != status.target;
        if (is_new_order) {
            it.tripped = false;
            it.streak = 0;
            it.status.share_permille = 0;
            it.tallies.clear();
        }
        const bool begins = status.phase == rollout_phase::running && status.share_permille > 0 &&
                            it.status.share_permille == 0;
        if (begins) {
            // A process that gets the order and the trial at once comes late: the trial is under
            // way elsewhere.
            it.trial_from = is_new_order ? now : now + pin_time;
        }
        it.status = status;
        it.known = true;
        if (begins) {
            for (auto& [session, mark] : it.sessions) {
                if (needs_pin(it, session, mark, now)) {
                    it.unshared.push_back(session);
                    mark.shared = now;
                }
            }
        }
    }
}

void rollout_view::set_versions(const std::map<std::string, service_versions>& versions)
{
    for (const auto& [service, it] : versions) {
        services_[service].versions = it;
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
    for (const auto* const it : candidates) {
        const auto& version = it->record.version;
        if (found == services_.end() || !is_withheld(found->second, version)) {
            ++counts[version];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? std::string{} : most->first;
}

bool rollout_view::is_withheld(const service_view& it, const std::string& version)
{
    const auto& returned = it.versions.returned;
    const bool completed = it.status.phase == rollout_phase::completed;
    return (it.known && !completed && version == it.status.target) ||
           std::find(returned.begin(), returned.end(), version) != returned.end();
}

std::vector<std::uint64_t> rollout_view::take_pinned(instant now)
{
    std::vector<std::uint64_t> out;
    for (auto& [service, it] : services_) {
        for (const auto session : std::exchange(it.unshared, {})) {
            const auto mark = it.sessions.find(session);
            if (mark != it.sessions.end() && needs_pin(it, session, mark->second, now)) {
                out.push_back(session);
            }
        }
    }
    return out;
}

std::vector<std::uint64_t> rollout_view::pinned_sessions(instant now) const
{
    std::vector<std::uint64_t> out;
    for (const auto& [service, it] : services_) {
        for (const auto& [session, mark] : it.sessions) {
            if (needs_pin(it, session, mark, now) && !is_pinned(session, now)) {
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
    std::erase_if(pinned_, [&](const auto& it) { return now >= it.second + session_memory_; });
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
    const auto it = pinned_.find(session);
    return it != pinned_.end() && now < it->second + session_memory_;
}

bool rollout_view::needs_pin(const service_view& it, std::uint64_t session,
                             const session_mark& mark, instant now) const
{
    return it.known && it.status.phase == rollout_phase::running && in_first_half(it.status) &&
           place_of(session) < share_of(it.status) && mark.version != it.status.target &&
           now < mark.used + session_memory_;
}

bool rollout_view::wants_target(const service_view& it, std::uint64_t session, instant now)
{
    if (now < it.trial_from) {
        return false;
    }
    if (session == 0) {
        return unit_random(random_) < share_of(it.status);
    }
    const auto mark = it.sessions.find(session);
    const bool known = mark != it.sessions.end() && now < mark->second.used + session_memory_;
    if (known && mark->second.version == it.status.target) {
        return true;
    }
    if (in_first_half(it.status) && (known || is_pinned(session, now))) {
        return false;
    }
    return place_of(session) < share_of(it.status);
}

void rollout_view::note_session(service_view& it, std::uint64_t session, const std::string& version,
                                instant now)
{
    if (session == 0) {
        return;
    }
    auto& mark = it.sessions[session];
    mark.version = version;
    mark.used = now;
    const bool shared_lately = now < mark.shared + session_memory_ / 2;
    if (!shared_lately && needs_pin(it, session, mark, now)) {
        it.unshared.push_back(session);
        mark.shared = now;
    }
    if (it.sessions.size() > sessions_before_cleaning && now > it.clean_due) {
        it.clean_due = now + session_memory_ / 2;
        std::erase_if(it.sessions,
                      [&](const auto& at) { return now > at.second.used + session_memory_; });
    }
}

void rollout_view::choose_version(const std::string& service, const std::string& session,
                                  std::vector<const backend_entry*>& candidates, instant now)
{
    if (candidates.empty()) {
        return;
    }
    auto& it = services_[service];
    const bool running = it.known && it.status.phase == rollout_phase::running;
    const std::uint64_t key = session.empty() ? 0 : hash_bytes(session, hash_bytes(service));
    const bool target = running && !it.tripped && wants_target(it, key, now);
    auto chosen = candidates;
    // Only the incumbent, as a new version registers before its order has reached every process.
    keep_version(chosen, target ? it.status.target : it.versions.incumbent);
    if (chosen.empty()) {
        chosen = candidates;
        std::erase_if(chosen, [&](const auto* at) { return is_withheld(it, at->record.version); });
    }
    candidates = std::move(chosen);
    if (!candidates.empty()) {
        note_session(it, key, candidates.front()->record.version, now);
    }
}

void rollout_view::saw(const seen_answer& answer)
{
    const auto& version = answer.version;
    auto& it = services_[answer.service];
    const bool running = it.known && it.status.phase == rollout_phase::running;
    const bool target = running && version == it.status.target;
    if (!target && is_withheld(it, version)) {
        return;
    }
    const double ms = static_cast<double>(answer.took.count()) / micros_per_milli;
    // Long prompts and large models take many times as long as short and small ones.
    const double reckoned = std::max(least_reckoned_ms, answer.reading_ms);
    double& pace = it.old_pace[{answer.route, answer.model}];
    bool bad = answer.failed;
    if (!target && !bad) {
        const double own = ms / reckoned;
        pace = pace == 0 ? own : pace + mean_weight * (own - pace);
    } else if (target && pace > 0) {
        const double expected = pace * reckoned;
        bad = bad || (ms > slow_factor * expected && ms > expected + slow_extra_ms);
    }
    if (!running) {
        return;
    }
    auto& tally = it.tallies[version];
    ++tally.answers;
    tally.bad += bad ? 1 : 0;
    if (target) {
        it.streak = bad ? it.streak + 1 : it.streak - std::min(it.streak, 1U);
        it.tripped = it.tripped || it.streak >= trip_streak;
    }
}

void rollout_view::record_pace(const std::string& service, const std::string& like,
                               const std::string& version, micros pace)
{
    auto& it = services_[service];
    const bool running = it.known && it.status.phase == rollout_phase::running;
    const bool target = running && version == it.status.target;
    if (!target && is_withheld(it, version)) {
        return;
    }
    const auto value = static_cast<double>(pace.count());
    auto& quartile =
        it.old_quartile.try_emplace(like, running_quantile{upper_quartile, quartile_step})
            .first->second;
    const bool slow = quartile.known() && value > std::max(noticed_factor * quartile.value(),
                                                           noticed_us + quartile.value());
    if (!target) {
        quartile.add(value);
    }
    if (running && quartile.known()) {
        auto& tally = it.tallies[version];
        ++tally.paced;
        tally.slow += slow ? 1 : 0;
    }
}

std::vector<rollout_view::report_row> rollout_view::take_report()
{
    std::vector<report_row> out;
    for (auto& [service, it] : services_) {
        for (const auto& [version, tally] : it.tallies) {
            out.push_back({service, version, tally});
        }
        it.tallies.clear();
    }
    return out;
}

} // namespace hickorypost::gateway
