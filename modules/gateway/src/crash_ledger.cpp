#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

crash_ledger::crash_ledger(crash_ledger_settings settings, clock_fn now, share_fn share,
                           refuted_fn refuted)
    : settings_{settings}, now_{std::move(now)}, share_{std::move(share)}, refuted_{
                                                                               std::move(refuted)}
{
}

void crash_ledger::crashed(const request_identity& identity, std::string_view backend,
                           std::uint32_t crashes_before)
{
    const crash_fact fact{crash_fact::kind_type::crashed, identity, std::string{backend},
                          crashes_before, now_()};
    if (take(fact)) {
        share_(fact);
    }
}

bool crash_ledger::clear(const request_identity& identity)
{
    const crash_fact fact{crash_fact::kind_type::cleared, identity, {}, 0, now_()};
    const auto found = records_.find(identity);
    const bool known = found != records_.end() && !found->second.events.empty();
    if (known && take(fact)) {
        share_(fact);
    }
    return known;
}

void crash_ledger::tried(const request_identity& identity)
{
    const crash_fact fact{crash_fact::kind_type::tried, identity, {}, 0, now_()};
    if (take(fact)) {
        share_(fact);
    }
}

bool crash_ledger::take(const crash_fact& fact)
{
    switch (fact.kind) {
    case crash_fact::kind_type::crashed:
        return add_crash(fact);
    case crash_fact::kind_type::cleared:
        return add_clearance(fact);
    case crash_fact::kind_type::tried: {
        record& entry = find_or_add(fact.identity);
        return std::exchange(entry.tried, std::max(entry.tried, fact.at)) < fact.at;
    }
    }
    return false;
}

crash_ledger::record& crash_ledger::find_or_add(const request_identity& identity)
{
    if (const auto found = records_.find(identity); found != records_.end()) {
        return found->second;
    }
    evict();
    ++outlines_[identity.outline];
    ++facts_;
    return records_[identity];
}

void crash_ledger::evict()
{
    while (facts_ >= settings_.max_facts && !records_.empty()) {
        const auto newest = [](const record& entry) {
            return entry.events.empty() ? entry.cleared : entry.events.back().crashed_at;
        };
        const auto least =
            std::min_element(records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
                return std::pair{a.second.events.size(), newest(a.second)} <
                       std::pair{b.second.events.size(), newest(b.second)};
            });
        erase(least);
    }
}

void crash_ledger::erase(record_map::iterator at)
{
    const request_identity identity = at->first;
    while (!at->second.events.empty()) {
        unindex(identity, at->second.events.back());
        at->second.events.pop_back();
    }
    records_.erase(at);
    --facts_;
    if (const auto outline = outlines_.find(identity.outline); --outline->second == 0) {
        outlines_.erase(outline);
    }
}

void crash_ledger::unindex(const request_identity& identity, const crash_event& event)
{
    --facts_;
    const auto found = crashed_backends_.find(event.backend);
    std::erase(found->second.identities, identity);
    if (found->second.identities.empty()) {
        crashed_backends_.erase(found);
    }
}

bool crash_ledger::add_crash(const crash_fact& fact)
{
    evict();
    record& entry = find_or_add(fact.identity);
    if (fact.at <= entry.cleared) {
        return false;
    }
    auto known =
        std::find_if(entry.events.begin(), entry.events.end(),
                     [&](const crash_event& event) { return event.backend == fact.backend; });
    const bool news = known == entry.events.end();
    if (news) {
        entry.events.push_back({fact.backend, fact.crashes_before, fact.at});
        auto& backend = crashed_backends_[fact.backend];
        backend.identities.push_back(fact.identity);
        if (fact.at > backend.crashed_at) {
            backend.crashed_at = fact.at;
            backend.alive_since = {};
        }
        ++facts_;
    } else {
        known->crashes_before = std::min(known->crashes_before, fact.crashes_before);
        known->crashed_at = std::min(known->crashed_at, fact.at);
    }
    std::sort(
        entry.events.begin(), entry.events.end(),
        [](const crash_event& a, const crash_event& b) { return a.crashed_at < b.crashed_at; });
    return news;
}

bool crash_ledger::add_clearance(const crash_fact& fact)
{
    record& entry = find_or_add(fact.identity);
    if (fact.at <= entry.cleared) {
        return false;
    }
    entry.cleared = fact.at;
    std::erase_if(entry.events, [&](const crash_event& event) {
        const bool is_void = event.crashed_at <= fact.at;
        if (is_void) {
            unindex(fact.identity, event);
        }
        return is_void;
    });
    return true;
}

void crash_ledger::heartbeat(std::string_view backend)
{
    const auto found = crashed_backends_.find(backend);
    if (found == crashed_backends_.end()) {
        return;
    }
    // Heartbeats that were sent before the crash may arrive after the crash, on several paths or
    // all at once when a network partition ends. Only a live backend server continues to send them.
    auto& [in_flight, crashed_at, alive_since] = found->second;
    const instant now = now_();
    if (now < crashed_at + settings_.max_heartbeat_delay) {
        return;
    }
    if (alive_since == instant{}) {
        alive_since = now;
    }
    if (now < alive_since + settings_.max_heartbeat_delay) {
        return;
    }
    const auto identities = std::move(in_flight);
    crashed_backends_.erase(found);
    for (const auto& identity : identities) {
        auto& events = records_.at(identity).events;
        facts_ -= std::erase_if(events,
                                [&](const crash_event& event) { return event.backend == backend; });
    }
    if (refuted_) {
        refuted_(backend, identities.size());
    }
}

void crash_ledger::expire()
{
    const instant now = now_();
    for (auto at = records_.begin(); at != records_.end();) {
        const record& entry = at->second;
        const bool over =
            entry.events.empty()
                ? now > std::max(entry.cleared, entry.tried) + settings_.clear_retention
                : now > entry.events.back().crashed_at + settings_.retention;
        const auto next = std::next(at);
        if (over) {
            erase(at);
        }
        at = next;
    }
}

bool crash_ledger::has_likelier_suspect(const record& entry, const crash_event& event) const
{
    const auto& in_flight = crashed_backends_.find(event.backend)->second.identities;
    return std::any_of(in_flight.begin(), in_flight.end(), [&](const request_identity& other) {
        return records_.at(other).events.size() > entry.events.size();
    });
}

std::uint32_t crash_ledger::count_crashes(const record& entry) const
{
    std::vector<std::uint32_t> known_before;
    for (const auto& event : entry.events) {
        if (!has_likelier_suspect(entry, event)) {
            known_before.push_back(event.crashes_before);
        }
    }
    std::sort(known_before.begin(), known_before.end());
    return static_cast<std::uint32_t>(
        std::distance(known_before.begin(), std::unique(known_before.begin(), known_before.end())));
}

std::uint32_t crash_ledger::crashes(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    return found == records_.end() ? 0 : count_crashes(found->second);
}

std::size_t crash_ledger::known_crashes(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    return found == records_.end() ? 0 : found->second.events.size();
}

instant crash_ledger::trial_due(const record& entry, std::uint32_t crashes) const
{
    constexpr std::uint32_t max_doublings = 10;
    const auto doublings = std::min(crashes - settings_.max_crashes, max_doublings);
    const millis wait =
        std::min(settings_.first_trial * (1U << doublings), settings_.longest_trial);
    return std::max(entry.events.back().crashed_at, entry.tried) + wait;
}

crash_ledger::standing crash_ledger::standing_of(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    if (found == records_.end() || found->second.events.empty()) {
        return standing::unknown;
    }
    const std::uint32_t counted = count_crashes(found->second);
    if (counted < settings_.max_crashes) {
        return standing::suspect;
    }
    return now_() < trial_due(found->second, counted) ? standing::refused : standing::trial;
}

std::vector<crash_fact> crash_ledger::all() const
{
    std::vector<crash_fact> out;
    for (const auto& [identity, entry] : records_) {
        for (const auto& crash : entry.events) {
            out.push_back({crash_fact::kind_type::crashed, identity, crash.backend,
                           crash.crashes_before, crash.crashed_at});
        }
        if (entry.cleared != instant{}) {
            out.push_back({crash_fact::kind_type::cleared, identity, {}, 0, entry.cleared});
        }
        if (entry.tried != instant{}) {
            out.push_back({crash_fact::kind_type::tried, identity, {}, 0, entry.tried});
        }
    }
    return out;
}

std::vector<crash_ledger::suspect> crash_ledger::suspects() const
{
    std::vector<suspect> out;
    for (const auto& [identity, entry] : records_) {
        if (entry.events.empty()) {
            continue;
        }
        suspect row{
            identity, count_crashes(entry), false, {}, now_() - entry.events.back().crashed_at};
        row.refused = row.crashes >= settings_.max_crashes;
        for (const auto& crash : entry.events) {
            row.backends.push_back(crash.backend);
        }
        out.push_back(std::move(row));
    }
    std::sort(out.begin(), out.end(),
              [](const suspect& a, const suspect& b) { return a.crashes > b.crashes; });
    return out;
}

} // namespace hickorypost::gateway
