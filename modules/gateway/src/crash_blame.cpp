/// Crash ledger, part two: which suspects the known crashes count against.

#include "hickorypost/gateway/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

namespace {

std::uint32_t count_distinct(std::vector<std::uint32_t> values)
{
    std::sort(values.begin(), values.end());
    return static_cast<std::uint32_t>(
        std::distance(values.begin(), std::unique(values.begin(), values.end())));
}

/// The number of groups of times, in ascending order, that lie within `span` of the group's first.
std::uint32_t count_groups(std::span<const instant> times, millis span)
{
    std::uint32_t out = 0;
    instant first;
    for (const auto at : times) {
        if (out == 0 || at >= first + span) {
            first = at;
            ++out;
        }
    }
    return out;
}

/// A request is not sent as a trial if something else about it is refused.
int severity(crash_ledger::standing it)
{
    switch (it) {
    case crash_ledger::standing::unknown:
        return 0;
    case crash_ledger::standing::suspect:
        return 1;
    case crash_ledger::standing::trial:
        return 2;
    case crash_ledger::standing::refused:
        break;
    }
    return 3;
}

} // namespace

bool crash_ledger::has_likelier_suspect(const record_map::value_type& entry,
                                        const crash_event& event,
                                        std::span<const request_identity> same_request) const
{
    const std::size_t n = entry.second.events.size();
    const auto& in_flight = crashed_backends_.find(event.backend)->second.identities;
    return std::any_of(in_flight.begin(), in_flight.end(), [&](const request_identity& other) {
        const std::size_t others = records_.at(other).events.size();
        if (others != n) {
            return others > n;
        }
        return (is_part(other) || is_part(entry.first)) &&
               std::find(same_request.begin(), same_request.end(), other) == same_request.end();
    });
}

std::uint32_t crash_ledger::count_crashes(const record_map::value_type& entry,
                                          std::span<const request_identity> same_request) const
{
    std::vector<std::uint32_t> known_before;
    std::vector<instant> times;
    for (const auto& event : entry.second.events) {
        if (!has_likelier_suspect(entry, event, same_request)) {
            known_before.push_back(event.crashes_before);
            times.push_back(event.crashed_at);
        }
    }
    const std::uint32_t independent = count_distinct(std::move(known_before));
    return is_part(entry.first) ? std::max(independent, count_groups(times, settings_.simultaneous))
                                : independent;
}

std::uint32_t crash_ledger::crashes(const request_identity& identity) const
{
    const auto found = records_.find(identity);
    return found == records_.end() ? 0 : count_crashes(*found, inseparable_suspects(*found));
}

std::vector<request_identity>
crash_ledger::inseparable_suspects(const record_map::value_type& entry) const
{
    std::vector<request_identity> out{entry.first};
    const auto& events = entry.second.events;
    if (!is_part(entry.first) || events.empty()) {
        return out;
    }
    for (const auto& other : crashed_backends_.find(events.back().backend)->second.identities) {
        const auto& others = records_.at(other).events;
        const bool same_crashes =
            others.size() == events.size() &&
            std::all_of(events.begin(), events.end(), [&others](const crash_event& event) {
                return std::any_of(others.begin(), others.end(), [&event](const auto& it) {
                    return it.backend == event.backend;
                });
            });
        if (is_part(other) && other != entry.first && same_crashes) {
            out.push_back(other);
        }
    }
    return out;
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

crash_ledger::standing
crash_ledger::standing_of(const record_map::value_type& entry,
                          std::span<const request_identity> same_request) const
{
    if (entry.second.events.empty()) {
        return standing::unknown;
    }
    const std::uint32_t counted = count_crashes(entry, same_request);
    if (counted < settings_.max_crashes) {
        // Most parts in flight in a crash are sound: only those that may be to blame are suspects.
        return counted == 0 && is_part(entry.first) ? standing::unknown : standing::suspect;
    }
    return now_() < trial_due(entry.second, counted) ? standing::refused : standing::trial;
}

crash_ledger::judgement crash_ledger::judge(std::span<const request_identity> suspects) const
{
    judgement out;
    for (const auto& identity : suspects) {
        const auto found = records_.find(identity);
        if (found == records_.end()) {
            continue;
        }
        const standing it = standing_of(*found, suspects);
        if (severity(it) > severity(out.result)) {
            out = {it, {}};
        }
        if (it == out.result && (it == standing::refused || it == standing::trial)) {
            out.culprits.push_back(identity);
        }
    }
    return out;
}

void crash_ledger::report_if_refused(const request_identity& identity)
{
    const auto found = records_.find(identity);
    const bool refused = found->second.events.size() >= settings_.max_crashes &&
                         crashes(identity) >= settings_.max_crashes;
    const bool is_new = refused && !found->second.reported_refused;
    found->second.reported_refused = refused;
    if (is_new && refused_) {
        refused_(identity);
    }
}

} // namespace hickorypost::gateway
