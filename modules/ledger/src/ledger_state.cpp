#include "hickorypost/ledger/ledger_state.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <utility>

namespace hickorypost::ledger {

namespace {

/// Holds tokens times price before the division, which can overflow 64 bits.
__extension__ using wide_integer = __int128;

constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t session_sweep_ms = 60'000;
constexpr std::uint32_t saved_format = 1;

std::string session_key(const bind_session& bind)
{
    return bind.account + '\n' + bind.session + '\n' + bind.wanted.model;
}

} // namespace

std::string_view name_of(request_outcome outcome) noexcept
{
    switch (outcome) {
    case request_outcome::complete:
        return "complete";
    case request_outcome::failed:
        return "failed";
    case request_outcome::cancelled:
        return "cancelled";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::late:
        return "late";
    }
    return "unknown";
}

std::uint32_t group_of(const request_key& key, std::uint32_t groups) noexcept
{
    return static_cast<std::uint32_t>(hash_key(key) % groups);
}

std::uint32_t group_of_session(std::string_view account, std::string_view session,
                               std::uint32_t groups) noexcept
{
    return static_cast<std::uint32_t>(hash_bytes(session, hash_bytes(account)) % groups);
}

std::int64_t cost_of(const wire::usage& used, std::int64_t price_in,
                     std::int64_t price_out) noexcept
{
    constexpr wide_integer per = 1'000'000;
    const wide_integer exact = static_cast<wide_integer>(used.prompt_tokens) * price_in +
                               static_cast<wide_integer>(used.completion_tokens) * price_out;
    return static_cast<std::int64_t>((exact + per - 1) / per);
}

ledger_batch_reply ledger_state::apply(std::int64_t wall_ms, const ledger_batch& batch)
{
    // A new leader's clock may be behind its predecessor's. Time must not go backwards, or a window
    // that has passed would open again.
    now_ms_ = std::max(now_ms_, wall_ms);
    expire();
    ledger_batch_reply out;
    out.replies.reserve(batch.commands.size());
    for (const auto& it : batch.commands) {
        if (it.open) {
            out.replies.push_back(apply_open(*it.open));
        } else if (it.bind) {
            out.replies.push_back(apply_bind(*it.bind));
        } else if (it.usage) {
            out.replies.push_back(apply_usage(*it.usage));
        } else {
            out.replies.emplace_back();
        }
    }
    return out;
}

ledger_state::request_entry& ledger_state::remember(const request_key& key, bool long_lived)
{
    auto [it, added] = requests_.try_emplace(key);
    request_entry& entry = it->second;
    if (added) {
        entry.first_seen_ms = now_ms_;
        entry.long_lived = long_lived;
        if (long_lived) {
            long_expiry_.push_back({now_ms_ + options_.non_idempotent_window_ms, key});
        } else {
            short_expiry_.push_back({now_ms_ + options_.window_ms, key});
        }
    }
    return entry;
}

ledger_reply ledger_state::apply_open(const open_request& open)
{
    ledger_reply out;
    request_entry& entry = remember(open.key, open.non_idempotent);
    if (!entry.was_opened && !entry.closed) {
        entry.opened = open;
        entry.was_opened = true;
        entry.target = open.target;
        return out;
    }
    if (entry.was_opened && entry.opened.attempt == open.attempt) {
        return out; // the same command, retried because its reply was lost
    }
    out.status = ledger_status::duplicate;
    out.holder = entry.opened;
    if (entry.closed) {
        out.closed = entry.outcome;
    }
    return out;
}

ledger_reply ledger_state::apply_bind(const bind_session& bind)
{
    auto [it, added] = sessions_.try_emplace(session_key(bind));
    if (added) {
        it->second.version = bind.wanted.version;
    }
    it->second.last_ms = now_ms_;
    ledger_reply out;
    out.status = added ? ledger_status::recorded : ledger_status::duplicate;
    out.bound_version = it->second.version;
    return out;
}

ledger_reply ledger_state::apply_usage(const usage_fact& fact)
{
    ledger_reply out;
    const auto known = requests_.find(fact.key);
    if (known != requests_.end() && known->second.closed) {
        out.status = ledger_status::duplicate;
        out.closed = known->second.outcome;
        if (!known->second.was_opened || known->second.opened.attempt != fact.attempt) {
            ++duplicate_usage_;
            for (const auto& it : fact.lines) {
                wasted_tokens_ += it.used.prompt_tokens + it.used.completion_tokens;
            }
        }
        return out;
    }
    const std::int64_t window =
        fact.non_idempotent ? options_.non_idempotent_window_ms : options_.window_ms;
    if (known == requests_.end() && fact.started_wall_ms + window < now_ms_) {
        // The request may have been billed before its key expired, so billing it now could bill it
        // twice.
        usage_fact late = fact;
        late.outcome = request_outcome::late;
        for (auto& it : late.lines) {
            it.cost = 0;
        }
        count(late);
        out.status = ledger_status::late;
        return out;
    }
    request_entry& entry = remember(fact.key, fact.non_idempotent);
    entry.closed = true;
    entry.outcome = fact.outcome;
    entry.cost = 0;
    if (!entry.was_opened) {
        entry.opened.key = fact.key;
        entry.opened.attempt = fact.attempt;
        entry.was_opened = true;
    }
    for (const auto& it : fact.lines) {
        entry.cost += it.cost;
        entry.target = it.target;
    }
    count(fact);
    ++facts_;
    return out;
}

report_row& ledger_state::row(const row_key& key)
{
    auto [it, added] = rows_.try_emplace(key);
    if (added) {
        it->second.account = key.account;
        it->second.target = key.target;
        it->second.hour_ms = key.hour_ms;
        it->second.outcome = key.outcome;
    }
    return it->second;
}

void ledger_state::count(const usage_fact& fact)
{
    const std::int64_t hour = now_ms_ / hour_ms * hour_ms;
    bool counted = false;
    for (auto it = fact.lines.rbegin(); it != fact.lines.rend(); ++it) {
        // The request counts once, for the version that gave its answer: the last stage.
        report_row& to = row({fact.key.account, it->target, hour, fact.outcome});
        to.requests += counted ? 0U : 1U;
        counted = true;
        ++to.runs;
        to.used.prompt_tokens += it->used.prompt_tokens;
        to.used.cached_tokens += it->used.cached_tokens;
        to.used.completion_tokens += it->used.completion_tokens;
        to.cost += it->cost;
        to.first_ms_sum += it->first_ms;
        to.total_ms_sum += it->total_ms;
    }
}

void ledger_state::expire()
{
    expire_from(short_expiry_);
    expire_from(long_expiry_);
    if (now_ms_ >= sessions_swept_ms_ + session_sweep_ms) {
        sessions_swept_ms_ = now_ms_;
        expire_sessions();
    }
}

void ledger_state::expire_from(std::deque<expiry>& queue)
{
    while (!queue.empty() && queue.front().due_ms <= now_ms_) {
        const auto found = requests_.find(queue.front().key);
        if (found != requests_.end() && !found->second.closed) {
            // Opened but never closed: both the entry and the agent were lost before billing.
            const std::int64_t hour = found->second.first_seen_ms / hour_ms * hour_ms;
            report_row& to =
                row({found->first.account, found->second.target, hour, request_outcome::unknown});
            ++to.requests;
        }
        if (found != requests_.end()) {
            requests_.erase(found);
        }
        queue.pop_front();
    }
}

void ledger_state::expire_sessions()
{
    std::erase_if(sessions_, [&](const auto& it) {
        return it.second.last_ms + options_.session_ms < now_ms_;
    });
}

report_answer ledger_state::report(const report_query& query) const
{
    report_answer out;
    out.duplicate_usage = duplicate_usage_;
    out.wasted_tokens = wasted_tokens_;
    out.facts = facts_;
    for (const auto& [key, it] : rows_) {
        const bool in_time = key.hour_ms + hour_ms > query.from_ms &&
                             (query.to_ms == 0 || key.hour_ms < query.to_ms);
        if (in_time && (query.account.empty() || query.account == key.account)) {
            out.rows.push_back(it);
        }
    }
    for (const auto& [key, it] : requests_) {
        out.open += it.closed ? 0U : 1U;
        if (query.details && (query.account.empty() || query.account == key.account)) {
            out.details.push_back(
                {key, it.outcome, it.closed, it.target, it.cost, it.first_seen_ms});
        }
    }
    return out;
}

namespace {

struct saved_request {
    request_key key;
    open_request opened;
    bool was_opened = false;
    bool closed = false;
    request_outcome outcome = request_outcome::unknown;
    model_version target;
    std::int64_t cost = 0;
    std::int64_t first_seen_ms = 0;
    bool long_lived = false;
};

struct saved_session {
    std::string key;
    std::string version;
    std::int64_t last_ms = 0;
};

} // namespace

struct ledger_state::saved_state {
    std::uint32_t format = saved_format;
    std::int64_t now_ms = 0;
    std::vector<saved_request> requests; ///< in expiry order, short window first
    std::vector<saved_session> sessions;
    std::vector<report_row> rows;
    std::uint64_t facts = 0;
    std::uint64_t duplicate_usage = 0;
    std::uint64_t wasted_tokens = 0;
};

std::string ledger_state::save() const
{
    saved_state out;
    out.now_ms = now_ms_;
    for (const auto* queue : {&short_expiry_, &long_expiry_}) {
        for (const auto& due : *queue) {
            if (const auto it = requests_.find(due.key); it != requests_.end()) {
                const auto& entry = it->second;
                out.requests.push_back({it->first, entry.opened, entry.was_opened, entry.closed,
                                        entry.outcome, entry.target, entry.cost,
                                        entry.first_seen_ms, entry.long_lived});
            }
        }
    }
    for (const auto& [key, it] : sessions_) {
        out.sessions.push_back({key, it.version, it.last_ms});
    }
    for (const auto& [key, it] : rows_) {
        out.rows.push_back(it);
    }
    out.facts = facts_;
    out.duplicate_usage = duplicate_usage_;
    out.wasted_tokens = wasted_tokens_;
    return wire::encode(out);
}

bool ledger_state::load(std::string_view bytes)
{
    saved_state saved;
    if (!bytes.empty()) {
        auto decoded = wire::try_decode<saved_state>(bytes);
        if (!decoded || decoded->format > saved_format) {
            return false;
        }
        saved = std::move(*decoded);
    }
    *this = ledger_state{options_};
    now_ms_ = saved.now_ms;
    facts_ = saved.facts;
    duplicate_usage_ = saved.duplicate_usage;
    wasted_tokens_ = saved.wasted_tokens;
    for (auto& it : saved.requests) {
        auto& queue = it.long_lived ? long_expiry_ : short_expiry_;
        const std::int64_t window =
            it.long_lived ? options_.non_idempotent_window_ms : options_.window_ms;
        queue.push_back({it.first_seen_ms + window, it.key});
        requests_[it.key] = {std::move(it.opened), it.was_opened, it.closed,        it.outcome,
                             std::move(it.target), it.cost,       it.first_seen_ms, it.long_lived};
    }
    for (auto& it : saved.sessions) {
        sessions_[it.key] = {std::move(it.version), it.last_ms};
    }
    for (auto& it : saved.rows) {
        rows_[{it.account, it.target, it.hour_ms, it.outcome}] = it;
    }
    return true;
}

} // namespace hickorypost::ledger
