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
    const bool known = found != records_.end() && !found->second.marks.empty();
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
        return add_mark(fact);
    case crash_fact::kind_type::cleared:
        return add_clear(fact);
    case crash_fact::kind_type::tried: {
        record& it = open(fact.identity);
        return std::exchange(it.tried, std::max(it.tried, fact.at)) < fact.at;
    }
    }
    return false;
}

crash_ledger::record& crash_ledger::open(const request_identity& identity)
{
    if (const auto found = records_.find(identity); found != records_.end()) {
        return found->second;
    }
    make_room();
    ++outlines_[identity.outline];
    ++facts_;
    return records_[identity];
}

void crash_ledger::make_room()
{
    while (facts_ >= settings_.max_facts && !records_.empty()) {
        const auto newest = [](const record& it) {
            return it.marks.empty() ? it.cleared : it.marks.back().ended;
        };
        const auto least =
            std::min_element(records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
                return std::pair{a.second.marks.size(), newest(a.second)} <
                       std::pair{b.second.marks.size(), newest(b.second)};
            });
        erase(least);
    }
}

void crash_ledger::erase(record_map::iterator at)
{
    const request_identity identity = at->first;
    while (!at->second.marks.empty()) {
        drop_mark(identity, at->second.marks.back());
        at->second.marks.pop_back();
    }
    records_.erase(at);
    --facts_;
    if (const auto outline = outlines_.find(identity.outline); --outline->second == 0) {
        outlines_.erase(outline);
    }
}

void crash_ledger::drop_mark(const request_identity& identity, const mark& it)
{
    --facts_;
    const auto found = victims_.find(it.backend);
    std::erase(found->second.identities, identity);
    if (found->second.identities.empty()) {
        victims_.erase(found);
    }
}

bool crash_ledger::add_mark(const crash_fact& fact)
{
    make_room();
    record& it = open(fact.identity);
    if (fact.at <= it.cleared) {
        return false;
    }
    auto known = std::find_if(it.marks.begin(), it.marks.end(),
                              [&](const mark& m) { return m.backend == fact.backend; });
    const bool news = known == it.marks.end();
    if (news) {
        it.marks.push_back({fact.backend, fact.crashes_before, fact.at});
        auto& victims = victims_[fact.backend];
        victims.identities.push_back(fact.identity);
        if (fact.at > victims.ended) {
            victims.ended = fact.at;
            victims.alive_since = {};
        }
        ++facts_;
    } else {
        known->crashes_before = std::min(known->crashes_before, fact.crashes_before);
        known->ended = std::min(known->ended, fact.at);
    }
    std::sort(it.marks.begin(), it.marks.end(),
              [](const mark& a, const mark& b) { return a.ended < b.ended; });
    return news;
}

bool crash_ledger::add_clear(const crash_fact& fact)
{
    record& it = open(fact.identity);
    if (fact.at <= it.cleared) {
        return false;
    }
    it.cleared = fact.at;
    std::erase_if(it.marks, [&](const mark& m) {
        const bool is_void = m.ended <= fact.at;
        if (is_void) {
            drop_mark(fact.identity, m);
        }
        return is_void;
    });
    return true;
}

void crash_ledger::heartbeat(std::string_view backend)
{
    const auto found = victims_.find(backend);
    if (found == victims_.end()) {
        return;
    }
    // Several heartbeats from before the crash may arrive after it: by different paths, or all at
    // once when a cut ends. Only a living sender goes on.
    auto& [victims, ended, alive_since] = found->second;
    const instant now = now_();
    if (now < ended + settings_.max_heartbeat_delay) {
        return;
    }
    if (alive_since == instant{}) {
        alive_since = now;
    }
    if (now < alive_since + settings_.max_heartbeat_delay) {
        return;
    }
    const auto identities = std::move(victims);
    victims_.erase(found);
    for (const auto& identity : identities) {
        auto& marks = records_.at(identity).marks;
        facts_ -= std::erase_if(marks, [&](const mark& m) { return m.backend == backend; });
    }
    if (refuted_) {
        refuted_(backend, identities.size());
    }
}

void crash_ledger::expire()
{
    const instant now = now_();
    for (auto at = records_.begin(); at != records_.end();) {
        const record& it = at->second;
        const bool over = it.marks.empty()
                              ? now > std::max(it.cleared, it.tried) + settings_.clear_retention
                              : now > it.marks.back().ended + settings_.retention;
        const auto next = std::next(at);
        if (over) {
            erase(at);
        }
        at = next;
    }
}

bool crash_ledger::explained(const record& it, const mark& crash) const
{
    const auto& in_flight = victims_.find(crash.backend)->second.identities;
    return std::any_of(in_flight.begin(), in_flight.end(), [&](const request_identity& other) {
        return records_.at(other).marks.size() > it.marks.size();
    });
}

std::uint32_t crash_ledger::count(const record& it) const
{
    std::vector<std::uint32_t> levels;
    for (const auto& crash : it.marks) {
        if (!explained(it, crash)) {
            levels.push_back(crash.crashes_before);
        }
    }
    std::sort(levels.begin(), levels.end());
    return static_cast<std::uint32_t>(
        std::distance(levels.begin(), std::unique(levels.begin(), levels.end())));
}

std::uint32_t crash_ledger::crashes(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    return found == records_.end() ? 0 : count(found->second);
}

std::size_t crash_ledger::known_crashes(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    return found == records_.end() ? 0 : found->second.marks.size();
}

instant crash_ledger::trial_due(const record& it, std::uint32_t crashes) const
{
    constexpr std::uint32_t max_doublings = 10;
    const auto doublings = std::min(crashes - settings_.max_crashes, max_doublings);
    const millis wait =
        std::min(settings_.first_trial * (1U << doublings), settings_.longest_trial);
    return std::max(it.marks.back().ended, it.tried) + wait;
}

crash_ledger::standing crash_ledger::standing_of(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    if (found == records_.end() || found->second.marks.empty()) {
        return standing::unknown;
    }
    const std::uint32_t n = count(found->second);
    if (n < settings_.max_crashes) {
        return standing::suspect;
    }
    return now_() < trial_due(found->second, n) ? standing::refused : standing::trial;
}

std::vector<crash_fact> crash_ledger::all() const
{
    std::vector<crash_fact> out;
    for (const auto& [identity, it] : records_) {
        for (const auto& crash : it.marks) {
            out.push_back({crash_fact::kind_type::crashed, identity, crash.backend,
                           crash.crashes_before, crash.ended});
        }
        if (it.cleared != instant{}) {
            out.push_back({crash_fact::kind_type::cleared, identity, {}, 0, it.cleared});
        }
        if (it.tried != instant{}) {
            out.push_back({crash_fact::kind_type::tried, identity, {}, 0, it.tried});
        }
    }
    return out;
}

std::vector<crash_ledger::suspect> crash_ledger::suspects() const
{
    std::vector<suspect> out;
    for (const auto& [identity, it] : records_) {
        if (it.marks.empty()) {
            continue;
        }
        suspect row{identity, count(it), false, {}, now_() - it.marks.back().ended};
        row.refused = row.crashes >= settings_.max_crashes;
        for (const auto& crash : it.marks) {
            row.backends.push_back(crash.backend);
        }
        out.push_back(std::move(row));
    }
    std::sort(out.begin(), out.end(),
              [](const suspect& a, const suspect& b) { return a.crashes > b.crashes; });
    return out;
}

} // namespace hickorypost::gateway
