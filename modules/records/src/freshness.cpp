#include "hickorypost/records/freshness.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost::records {

namespace {

constexpr std::size_t max_pending_queries = 64;

/// A log command with its wall-clock timestamp, as nodes send it to each other.
struct stamped_command {
    std::int64_t wall_ms = 0;
    std::string command;
};

micros scaled(millis span, double factor)
{
    const auto exact = static_cast<double>(micros{span}.count()) * factor;
    return micros{static_cast<std::int64_t>(exact)};
}

} // namespace

instant in_force_at(instant committed, const freshness_options& options)
{
    return committed + scaled(options.lease, 1.0 + options.clock_drift);
}

wire::fresh_query record_replica::make_query(instant now)
{
    queries_.push_back({next_query_, now});
    if (queries_.size() > max_pending_queries) {
        queries_.pop_front();
    }
    return {next_query_++, state_.index()};
}

bool record_replica::take_reply(const wire::fresh_reply& reply)
{
    const auto pending = std::find_if(queries_.begin(), queries_.end(),
                                      [&](const pending_query& it) { return it.id == reply.id; });
    if (pending == queries_.end() || !reply.valid) {
        return false;
    }
    // Subtracts the age from the time at which the query was sent, not from the arrival of the
    // reply: otherwise a delayed reply would make the mark look younger than it is.
    const instant origin = pending->sent - micros{static_cast<std::int64_t>(reply.age_us)};
    queries_.erase(pending);
    const std::uint64_t before = state_.index();
    if (!reply.snapshot.empty() && reply.snapshot_index > state_.index()) {
        if (state_.load(reply.snapshot)) {
            recent_.clear();
            recent_after_ = state_.index();
        }
    }
    for (const auto& it : reply.changes) {
        if (it.index <= state_.index()) {
            continue;
        }
        if (const auto stamped = wire::try_decode<stamped_command>(it.command)) {
            apply_and_retain(it.index, stamped->wall_ms, stamped->command);
        }
    }
    const bool newer = !mark_origin_ || origin > *mark_origin_;
    if (newer && reply.index <= state_.index()) {
        mark_origin_ = origin;
        mark_index_ = std::max(mark_index_, reply.index);
    }
    return state_.index() != before;
}

wire::fresh_reply record_replica::answer(const wire::fresh_query& query, instant now) const
{
    wire::fresh_reply out;
    out.id = query.id;
    out.valid = fresh(now);
    if (!out.valid) {
        return out;
    }
    out.index = state_.index();
    out.age_us = static_cast<std::uint64_t>((now - *mark_origin_).count());
    if (query.have_index >= state_.index()) {
        return out;
    }
    if (query.have_index < recent_after_) {
        out.snapshot = state_.save();
        out.snapshot_index = state_.index();
        return out;
    }
    for (const auto& it : recent_) {
        if (it.index > query.have_index) {
            out.changes.push_back(it);
        }
    }
    return out;
}

bool record_replica::fresh(instant now) const
{
    return mark_origin_ && state_.index() >= mark_index_ && lease_left(now) > micros{0};
}

micros record_replica::lease_left(instant now) const
{
    if (!mark_origin_) {
        return micros{0};
    }
    return *mark_origin_ + scaled(options_.lease, 1.0 - options_.clock_drift) - now;
}

void record_replica::apply_and_retain(std::uint64_t index, std::int64_t wall_ms,
                                      std::string_view command)
{
    last_result_ = state_.apply_encoded(index, wall_ms, command);
    recent_.push_back({index, wire::encode(stamped_command{wall_ms, std::string{command}})});
    if (recent_.size() > options_.kept_changes) {
        recent_after_ = recent_.front().index;
        recent_.pop_front();
    }
}

void record_replica::take_committed(std::uint64_t index, std::int64_t wall_ms,
                                    std::string_view command)
{
    apply_and_retain(index, wall_ms, command);
}

void record_replica::take_snapshot(std::string_view state)
{
    if (state_.load(state)) {
        recent_.clear();
        recent_after_ = state_.index();
    }
}

void record_replica::take_own_mark(std::uint64_t index, instant now)
{
    mark_origin_ = now;
    mark_index_ = std::max(mark_index_, index);
}

} // namespace hickorypost::records
