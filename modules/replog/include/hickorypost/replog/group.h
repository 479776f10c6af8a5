#pragma once

#include "hickorypost/replog/replica.h"
#include "hickorypost/replog/state_machine.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace hickorypost::replog {

enum class group_status : std::uint8_t { done, not_leader, unavailable };

/// Outcome of a proposal or a read.
struct group_answer {
    group_status status = group_status::done;
    node_id leader;     ///< leader known to this replica; may be empty
    std::string result; ///< result of the state machine if `status` is `done`
};

/// Callbacks through which a group sends messages, persists data and reports applied commands.
struct group_hooks {
    std::function<void(const node_id& to, const message&)> send;
    std::function<void(persist_batch)> persist;
    /// Called after each committed command has been applied to the state machine.
    std::function<void(const entry&)> applied;
};

struct group_options {
    /// Number of log entries applied between two snapshots of the state.
    std::uint64_t snapshot_every = 20'000;
};

/// Combines a replica with its state machine: takes proposals and reads, and returns their results
/// through callbacks. Performs no I/O itself.
class group {
public:
    using answer_fn = std::function<void(const group_answer&)>;

    group(std::unique_ptr<replica> core, std::unique_ptr<state_machine> machine, group_hooks hooks,
          group_options options);

    void tick(instant now);
    void receive(const message& msg, instant now);
    void persisted(std::uint64_t ticket, instant now);

    /// Calls `done` once: with the state machine's result after the command has been committed and
    /// applied, or with `not_leader` or `unavailable`. After `unavailable`, the command may or may
    /// not have been committed.
    void propose(std::string command, std::int64_t wall_ms, instant now, answer_fn done);
    /// Linearizable read, served only by a leader that holds a valid lease; otherwise `done` gets
    /// `not_leader` or `unavailable`.
    void read(std::string_view query, instant now, const answer_fn& done);
    /// Linearizable read that does not depend on clocks: `done` is called once a quorum has
    /// confirmed, after this call began, that this replica is the leader. For hosts whose clocks
    /// may stop.
    void read_confirmed(std::string_view query, instant now, answer_fn done);
    /// Transfers leadership to the voter with the longest replicated log, if this replica leads.
    void hand_over(instant now);

    /// True while this replica leads under a valid lease.
    [[nodiscard]] bool leads(instant now) const { return core_->lease_valid(now); }
    [[nodiscard]] std::uint64_t applied_index() const noexcept { return applied_; }
    [[nodiscard]] const replica& core() const noexcept { return *core_; }
    [[nodiscard]] replica& core() noexcept { return *core_; }
    [[nodiscard]] const state_machine& machine() const noexcept { return *machine_; }
    [[nodiscard]] state_machine& machine() noexcept { return *machine_; }

private:
    struct pending_proposal {
        std::uint64_t term = 0;
        answer_fn done;
    };

    struct pending_read {
        instant since;
        std::string query;
        answer_fn done;
    };

    void process_effects();
    void answer_reads();
    void apply(const entry& it);
    void fail_pending();

    std::unique_ptr<replica> core_;
    std::unique_ptr<state_machine> machine_;
    group_hooks hooks_;
    group_options options_;
    std::unordered_map<std::uint64_t, pending_proposal> pending_;
    std::vector<pending_read> reads_;
    std::uint64_t applied_ = 0;
    std::uint64_t snapshot_index_ = 0;
    bool processing_effects_ = false;
};

} // namespace hickorypost::replog
