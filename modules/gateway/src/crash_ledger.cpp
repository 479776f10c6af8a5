#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Returns the entry of `crashes` for an incarnation, or its end.
auto find_backend(auto& crashes, std::string_view backend)
{
    return std::find_if(crashes.begin(), crashes.end(),
                        [&](const auto& it) { return it.backend == backend; });
}

} // namespace

crash_ledger::crash_ledger(crash_ledger_settings settings, clock_fn now, share_fn share,
                           refuted_fn refuted, refused_fn refused)
    : settings_{settings}, now_{std::move(now)}, share_{std::move(share)}, refuted_{std::move(
                                                                               refuted)},
      refused_{std::move(refused)}, successes_{settings.alibi_time, settings.max_recent_parts}
{
}

void crash_ledger::crashed(const crashed_attempt& attempt)
{
    crashed(attempt.identity, attempt.backend, attempt.crashes_before);
    for (const auto& part : attempt.parts) {
        if (!successes_.contains(part.id, now_())) {
            crashed(identity_of_part(part.id), attempt.backend, part.crashes_before);
        }
    }
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
    const auto found = records_.find(identity);
    if (found == records_.end() || found->second.events.empty()) {
        return false;
    }
    // Copied: storing the first clearance may evict the record.
    const auto crashes = found->second.events;
    for (const auto& crash : crashes) {
        const crash_fact fact{crash_fact::kind_type::cleared, identity, crash.backend, 0, now_()};
        if (take(fact)) {
            share_(fact);
        }
    }
    return true;
}

void crash_ledger::part_succeeded(std::uint64_t part)
{
    successes_.add(part, now_());
    if (may_contain(part_outline)) {
        clear(identity_of_part(part));
    }
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
    if (expired(fact)) {
        return false;
    }
    switch (fact.kind) {
    case crash_fact::kind_type::crashed:
        if (!add_crash(fact)) {
            return false;
        }
        if (is_part(fact.identity) && successes_.contains(fact.identity.digest, now_())) {
            clear(fact.identity);
        } else {
            report_if_refused(fact.identity);
        }
        return true;
    case crash_fact::kind_type::cleared:
        return fact.backend.empty() ? clear_earlier_crashes(fact) : add_clearance(fact);
    case crash_fact::kind_type::tried:
        return add_trial(fact);
    }
    return false;
}

bool crash_ledger::expired(const crash_fact& fact) const
{
    const bool is_clearance = fact.kind == crash_fact::kind_type::cleared;
    return now_() > fact.at + (is_clearance ? settings_.clear_retention : settings_.retention);
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
            return !entry.events.empty()   ? entry.events.back().crashed_at
                   : !entry.voided.empty() ? entry.voided.back().cleared_at
                                           : entry.tried;
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
    facts_ -= at->second.voided.size();
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
    const auto by_time = [](const crash_event& a, const crash_event& b) {
        return a.crashed_at < b.crashed_at;
    };
    if (const auto found = records_.find(fact.identity); found != records_.end()) {
        auto& events = found->second.events;
        const auto& voided = found->second.voided;
        if (find_backend(voided, fact.backend) != voided.end()) {
            return false;
        }
        if (const auto known = find_backend(events, fact.backend); known != events.end()) {
            known->crashes_before = std::min(known->crashes_before, fact.crashes_before);
            known->crashed_at = std::min(known->crashed_at, fact.at);
            std::sort(events.begin(), events.end(), by_time);
            return false;
        }
    }
    evict();
    auto& events = find_or_add(fact.identity).events;
    events.push_back({fact.backend, fact.crashes_before, fact.at});
    std::sort(events.begin(), events.end(), by_time);
    ++facts_;
    auto& backend = crashed_backends_[fact.backend];
    backend.identities.push_back(fact.identity);
    if (fact.at > backend.crashed_at) {
        backend.crashed_at = fact.at;
        backend.alive_since = {};
    }
    return true;
}

bool crash_ledger::add_clearance(const crash_fact& fact)
{
    if (const auto found = records_.find(fact.identity); found != records_.end()) {
        auto& voided = found->second.voided;
        if (const auto known = find_backend(voided, fact.backend); known != voided.end()) {
            known->cleared_at = std::min(known->cleared_at, fact.at);
            return false;
        }
    }
    evict();
    record& entry = find_or_add(fact.identity);
    if (const auto event = find_backend(entry.events, fact.backend); event != entry.events.end()) {
        unindex(fact.identity, *event);
        entry.events.erase(event);
    }
    entry.voided.push_back({fact.backend, fact.at});
    ++facts_;
    return true;
}

bool crash_ledger::clear_earlier_crashes(const crash_fact& fact)
{
    const auto found = records_.find(fact.identity);
    if (found == records_.end()) {
        return false;
    }
    bool news = false;
    const auto crashes = found->second.events;
    for (const auto& crash : crashes) {
        if (crash.crashed_at <= fact.at) {
            crash_fact clearance = fact;
            clearance.backend = crash.backend;
            news = add_clearance(clearance) || news;
        }
    }
    return news;
}

bool crash_ledger::add_trial(const crash_fact& fact)
{
    record& entry = find_or_add(fact.identity);
    // Trials are at least `first_trial` apart, so this one is a copy, or began at the same time.
    if (entry.tried != instant{} && fact.at < entry.tried + settings_.first_trial / 2) {
        return false;
    }
    entry.tried = fact.at;
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
    const instant forgotten_before = now_() - settings_.max_copy_delay;
    for (auto at = records_.begin(); at != records_.end();) {
        record& entry = at->second;
        facts_ -= std::erase_if(entry.voided, [&](const void_crash& it) {
            return it.cleared_at + settings_.clear_retention < forgotten_before;
        });
        const bool over =
            entry.events.empty()
                ? entry.voided.empty() && entry.tried + settings_.clear_retention < forgotten_before
                : entry.events.back().crashed_at + settings_.retention < forgotten_before;
        const auto next = std::next(at);
        if (over) {
            erase(at);
        }
        at = next;
    }
}

std::vector<crash_fact> crash_ledger::all() const
{
    std::vector<crash_fact> out;
    for (const auto& [identity, entry] : records_) {
        for (const auto& crash : entry.events) {
            out.push_back({crash_fact::kind_type::crashed, identity, crash.backend,
                           crash.crashes_before, crash.crashed_at});
        }
        for (const auto& crash : entry.voided) {
            out.push_back(
                {crash_fact::kind_type::cleared, identity, crash.backend, 0, crash.cleared_at});
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
            identity, crashes(identity), false, {}, now_() - entry.events.back().crashed_at};
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
