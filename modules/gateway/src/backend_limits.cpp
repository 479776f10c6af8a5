#include "hickorypost/gateway/backend_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorypost::gateway {

backend_limits::backend_limits(limit_settings settings, clock_fn now,
                               std::function<std::size_t()> hosts, changed_fn changed,
                               unreadable_fn unreadable, requested_fn requested)
    : settings_{settings}, now_{std::move(now)}, hosts_{std::move(hosts)}, changed_{std::move(
                                                                               changed)},
      unreadable_{std::move(unreadable)}, requested_{std::move(requested)}
{
}

void backend_limits::set_limit(const std::string& backend, double per_second)
{
    const instant now = now_();
    entry& it = entries_[backend];
    if (!it.stated) {
        it.uncoordinated_due = now;
    }
    it.stated = per_second;
    it.confirmed_at = now;
}

void backend_limits::clear_limit(std::string_view backend)
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return;
    }
    found->second.stated.reset();
    found->second.announced.reset();
    if (!is_warming_up(found->second)) {
        entries_.erase(found);
    }
}

void backend_limits::set_warm_up(const std::string& backend, double per_second, instant until)
{
    entry& it = entries_[backend];
    it.warm_up_per_second = per_second;
    it.warm_up_until = until;
}

bool backend_limits::is_warming_up(const entry& it) const
{
    return now_() < it.warm_up_until;
}

std::optional<double> backend_limits::effective_limit(const entry& it) const
{
    if (!is_warming_up(it)) {
        return it.stated;
    }
    return it.stated ? std::min(*it.stated, it.warm_up_per_second) : it.warm_up_per_second;
}

void backend_limits::saw(const std::string& backend, const limit_statement& statement)
{
    if (statement.kind == limit_statement::kind_type::unreadable) {
        if (now_() >= unreadable_report_due_) {
            unreadable_report_due_ = now_() + settings_.min_announce_interval;
            unreadable_(backend);
        }
        return;
    }
    if (statement.kind == limit_statement::kind_type::none) {
        if (limit_of(backend)) {
            const limit_change change{backend, std::nullopt, entries_.at(backend).sent};
            clear_limit(backend);
            changed_(change);
        }
        return;
    }
    set_limit(backend, statement.per_second);
    entry& it = entries_.at(backend);
    const instant now = now_();
    const bool differs =
        !it.announced || std::abs(*it.announced - *it.stated) >
                             settings_.min_announced_change * std::max(*it.announced, *it.stated);
    const millis interval = differs ? settings_.min_announce_interval : settings_.refresh_interval;
    if (!it.announced || now >= it.announced_at + interval) {
        it.announced = it.stated;
        it.announced_at = now;
        changed_({backend, it.stated, it.sent});
    }
}

backend_limits::announcement backend_limits::take(const std::string& backend,
                                                  std::optional<double> limit)
{
    const auto found = entries_.find(backend);
    const bool known = found != entries_.end();
    const std::uint64_t sent = known ? found->second.sent : 0;
    const bool changed = limit_of(backend) != limit;
    // Half the refresh interval is less than the time between refreshes and more than the time in
    // which duplicates of one refresh arrive.
    const bool is_refresh =
        known && limit && now_() >= found->second.announced_at + settings_.refresh_interval / 2;
    if (limit) {
        set_limit(backend, *limit);
        entry& it = entries_.at(backend);
        it.announced = limit;
        it.announced_at = now_();
    } else {
        clear_limit(backend);
    }
    return {changed || is_refresh,
            changed ? std::optional{limit_change{backend, limit, sent}} : std::nullopt};
}

void backend_limits::forget(std::string_view backend)
{
    if (const auto found = entries_.find(backend); found != entries_.end()) {
        entries_.erase(found);
    }
}

void backend_limits::expire()
{
    const instant now = now_();
    for (auto& [backend, it] : entries_) {
        if (now > it.confirmed_at + settings_.lifetime) {
            it.stated.reset();
        }
    }
    std::erase_if(entries_, [&](const auto& it) { return !effective_limit(it.second); });
}

std::optional<double> backend_limits::limit_of(std::string_view backend) const
{
    const auto found = entries_.find(backend);
    return found == entries_.end() ? std::nullopt : found->second.stated;
}

bool backend_limits::may_send_uncoordinated(const entry& it) const
{
    const instant now = now_();
    return !is_warming_up(it) && it.no_reply_since &&
           now > *it.no_reply_since + settings_.reply_timeout && now >= it.uncoordinated_due;
}

bool backend_limits::has_room(std::string_view backend, int priority) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end() || !effective_limit(found->second)) {
        return true;
    }
    const instant now = now_();
    const bool yields = priority > rejected_priority_ && now < urgent_until_;
    const millis reserved = yields ? settings_.urgent_reserve : millis{0};
    const auto& permits = found->second.permits;
    const bool permitted = std::any_of(permits.begin(), permits.end(), [&](instant granted) {
        return now >= granted + reserved && now < granted + settings_.permit_lifetime;
    });
    return permitted || may_send_uncoordinated(found->second);
}

void backend_limits::sent(std::string_view backend)
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return;
    }
    entry& it = found->second;
    const instant now = now_();
    it.pending_priority.reset();
    ++it.sent;
    std::erase_if(it.permits,
                  [&](instant granted) { return now >= granted + settings_.permit_lifetime; });
    if (!it.permits.empty()) {
        it.permits.erase(it.permits.begin());
        return;
    }
    if (!it.stated) {
        return; // the warm-up has ended since the permit was granted
    }
    constexpr double micros_per_second = 1e6;
    const double share = settings_.uncoordinated_share * *it.stated /
                         static_cast<double>(std::max<std::size_t>(1, hosts_()));
    const double gap = std::min(micros_per_second / std::max(share, 1e-9),
                                static_cast<double>(micros{settings_.lifetime}.count()));
    it.uncoordinated_due = now + micros{static_cast<std::int64_t>(gap)};
}

void backend_limits::request_permit(std::string_view backend, int priority)
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return;
    }
    entry& it = found->second;
    it.pending_priority = it.pending_priority ? std::min(*it.pending_priority, priority) : priority;
    if (now_() >= it.requested_at + settings_.request_retry_interval) {
        requested_();
    }
}

void backend_limits::note_rejection(int priority)
{
    const instant now = now_();
    if (now >= urgent_until_ || priority <= rejected_priority_) {
        rejected_priority_ = priority;
        urgent_until_ = now + settings_.urgent_hold;
    }
}

void backend_limits::replied(const permit_reply& reply)
{
    const auto found = entries_.find(reply.backend);
    if (found == entries_.end()) {
        return;
    }
    entry& it = found->second;
    const instant now = now_();
    it.no_reply_since.reset();
    if (reply.granted) {
        it.permits.push_back(now);
        it.requested_at = {};
    } else {
        it.expected_permit_at = now + reply.room_in;
    }
}

millis backend_limits::room_in(std::span<const std::string> backends) const
{
    const instant now = now_();
    micros out = settings_.lifetime;
    for (const auto& backend : backends) {
        const auto found = entries_.find(backend);
        const auto limit = found == entries_.end() ? std::nullopt : effective_limit(found->second);
        if (!limit) {
            return millis{0}; // the limit has ended
        }
        const entry& it = found->second;
        // Without a reply, assume that all hosts are served in rotation.
        constexpr double micros_per_second = 1e6;
        constexpr double min_per_second = 1e-3;
        const double rotation_us =
            micros_per_second * static_cast<double>(hosts_()) / std::max(*limit, min_per_second);
        micros known = it.expected_permit_at > now ? it.expected_permit_at - now
                                                   : micros{static_cast<std::int64_t>(rotation_us)};
        if (!it.stated) {
            known = std::min(known, it.warm_up_until - now);
        }
        out = std::min(out, known);
    }
    return std::chrono::duration_cast<millis>(out);
}

std::vector<permit_request> backend_limits::take_requests()
{
    const instant now = now_();
    std::vector<std::pair<const std::string*, entry*>> due;
    for (auto& [backend, it] : entries_) {
        if (it.pending_priority && effective_limit(it) &&
            now >= it.requested_at + settings_.request_retry_interval) {
            due.emplace_back(&backend, &it);
        }
    }
    // Round robin among equal priorities, so that permits are requested for every limit.
    std::stable_sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
        return std::pair{*a.second->pending_priority, a.second->requested_at} <
               std::pair{*b.second->pending_priority, b.second->requested_at};
    });
    due.resize(std::min(due.size(), settings_.max_requests_per_message));
    std::vector<permit_request> out;
    for (const auto& [backend, it] : due) {
        out.push_back({*backend, *effective_limit(*it), *it->pending_priority});
        it->requested_at = now;
        it->pending_priority.reset();
        if (!it->no_reply_since) {
            it->no_reply_since = now;
        }
    }
    return out;
}

std::map<std::string, double> backend_limits::all() const
{
    std::map<std::string, double> out;
    for (const auto& [backend, it] : entries_) {
        if (it.stated) {
            out.emplace(backend, *it.stated);
        }
    }
    return out;
}

} // namespace hickorypost::gateway
