#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/wire/messages.h"

#include <deque>

namespace hickorypost::records {

struct freshness_options {
    /// Maximum age of a freshness mark. A committed change is in force on every node once this time
    /// plus the allowance for clock drift has passed (see `in_force_at`): by then the mark of a
    /// node that has not received the change has expired, and the node starts no new work.
    millis lease{2000};
    /// Maximum relative rate difference between the monotonic clocks of two hosts (0.01 = 1 %).
    double clock_drift = 0.01;
    std::size_t kept_changes = 256; ///< a node that lags by more changes gets a snapshot
};

/// Returns the time from which a change committed at `committed` is in force on every node. Both
/// times are on the clock of the leader that committed the change.
instant in_force_at(instant committed, const freshness_options& options);

/// A node's replica of the records and its freshness lease. Performs no I/O.
///
/// A freshness mark states that the newest committed change at time `origin` had index `index`.
/// The leader issues marks, and any node with a valid mark relays it together with its age. The
/// receiver adds the time since it sent its query to that age, so that, apart from clock drift, a
/// lease from a relayed mark ends no later than the lease from the original mark.
class record_replica {
public:
    explicit record_replica(freshness_options options) : options_{options} {}

    /// Creates a query for a control host or any peer and remembers when it was sent.
    wire::fresh_query make_query(instant now);
    /// Applies the reply to a query from `make_query` and returns true if the records changed.
    /// Ignores replies to unknown queries and replies from peers without a valid mark.
    bool take_reply(const wire::fresh_reply& reply);
    /// Answers a peer's query from this replica; the reply is invalid if the local lease has
    /// expired.
    [[nodiscard]] wire::fresh_reply answer(const wire::fresh_query& query, instant now) const;

    /// Returns true while the lease is valid, that is, while this node may start new work.
    [[nodiscard]] bool fresh(instant now) const;
    [[nodiscard]] micros lease_left(instant now) const;
    [[nodiscard]] const records_state& state() const noexcept { return state_; }

    /// The following functions are for control hosts, which apply changes and snapshots from their
    /// own log and, as the leader, renew their own mark.
    void take_committed(std::uint64_t index, std::int64_t wall_ms, std::string_view command);
    void take_snapshot(std::string_view state);
    void take_own_mark(std::uint64_t index, instant now);
    change_result last_result() const { return last_result_; }

private:
    struct pending_query {
        std::uint64_t id = 0;
        instant sent;
    };

    void apply_and_retain(std::uint64_t index, std::int64_t wall_ms, std::string_view command);

    freshness_options options_;
    records_state state_;
    std::deque<wire::record_entry> recent_;
    std::uint64_t recent_after_ = 0; ///< `recent_` holds all changes after this index
    std::uint64_t mark_index_ = 0;
    std::optional<instant> mark_origin_;
    std::deque<pending_query> queries_;
    std::uint64_t next_query_ = 1;
    change_result last_result_;
};

} // namespace hickorypost::records
