#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/wire/messages.h"

#include <deque>

namespace hickorypost::records {

struct freshness_options {
    /// How old a mark may be. A change is in force everywhere once this has passed after its
    /// commit: whoever has not seen it by then holds no usable mark and starts nothing new.
    millis lease{2000};
    /// Bound on how much faster one host's monotonic clock runs than another's.
    double clock_drift = 0.01;
    std::size_t kept_changes = 256; ///< a node further behind than this gets the whole state
};

/// When a change committed at `committed` is in force everywhere, by the committing leader's clock.
instant in_force_at(instant committed, const freshness_options& options);

/// A node's copy of the records and its freshness lease. Sans I/O.
///
/// A mark says "at `origin` the newest committed change was `index`". Marks come from the leader or
/// are relayed by any node that holds one; their age grows on the way, so the lease ends at the
/// same time wherever the mark is used.
class record_replica {
public:
    explicit record_replica(freshness_options options) : options_{options} {}

    /// A question to be sent to a control host or to any peer.
    wire::fresh_query make_query(instant now);
    /// Takes the answer to a question of ours; true if records changed.
    bool take_reply(const wire::fresh_reply& reply);
    /// Answers a peer from what is held here.
    [[nodiscard]] wire::fresh_reply answer(const wire::fresh_query& query, instant now) const;

    /// May new work start here now?
    [[nodiscard]] bool fresh(instant now) const;
    [[nodiscard]] micros lease_left(instant now) const;
    [[nodiscard]] const records_state& state() const noexcept { return state_; }

    /// For a control host: its own log feeds the records, its leadership the mark.
    void take_committed(std::uint64_t index, std::int64_t wall_ms, std::string_view command);
    void take_snapshot(std::string_view state);
    void take_own_mark(std::uint64_t index, instant now);
    change_result last_result() const { return last_result_; }

private:
    struct open_query {
        std::uint64_t id = 0;
        instant sent;
    };

    void keep(std::uint64_t index, std::int64_t wall_ms, std::string_view command);

    freshness_options options_;
    records_state state_;
    std::deque<wire::record_entry> recent_;
    std::uint64_t recent_after_ = 0; ///< `recent_` holds all changes after this index
    std::uint64_t mark_index_ = 0;
    std::optional<instant> mark_origin_;
    std::deque<open_query> queries_;
    std::uint64_t next_query_ = 1;
    change_result last_result_;
};

} // namespace hickorypost::records
