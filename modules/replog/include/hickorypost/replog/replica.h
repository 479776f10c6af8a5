#pragma once

#include "hickorypost/replog/types.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace hickorypost::replog {

/// Actions that the caller must carry out after a step of the replica. Batches in `persist` are
/// written to disk in order, messages in `send` may be sent immediately, `install` replaces the
/// state of the state machine, and then `committed` is applied in order.
struct effects {
    std::vector<persist_batch> persist;
    std::vector<outgoing> send;
    std::vector<entry> committed;
    std::optional<snapshot> install;
};

/// One replica of a replicated log group: election with pre-vote, check-quorum leader lease,
/// learners, one membership change at a time, and catch-up by snapshots sent in pieces.
///
/// Performs no I/O: its inputs are messages, ticks and disk completions, its output is `effects`.
class replica {
public:
    /// `founders` are the hosts that form the group at its first start. The first of them creates
    /// the initial configuration.
    replica(recovered_state recovered, std::vector<node_id> founders, replica_options options,
            random_fn random, instant now);

    /// Drives timeouts; must be called at least once per `replica_options::heartbeat`.
    void tick(instant now);
    void receive(const message& msg, instant now);
    /// Reports that all batches up to `ticket` are synced to disk.
    void persisted(std::uint64_t ticket, instant now);

    /// Appends a command if this replica leads. Returns its index, or nothing on any other replica.
    std::optional<std::uint64_t> propose(std::string command, std::int64_t wall_ms, instant now);
    /// Stores `state`, the state machine's state after `index`, as the new snapshot and drops log
    /// entries except the last `replica_options::retained_entries` before it.
    void compact(std::uint64_t index, std::string state);
    /// Transfers leadership to the voter with the longest replicated log, if this replica leads.
    void hand_over(instant now);
    /// Adds a host that is neither founder nor voter, such as a replacement host. A fresh replica
    /// probes it, and a leader admits its disk as a learner.
    void add_contact(const node_id& node);
    /// Sets the founding hosts of a group whose hosts were not known at construction. The first of
    /// them creates the initial configuration. Has no effect unless the disk is fresh.
    void set_founders(std::vector<node_id> founders);
    /// True if this disk belongs to the group, or once another host has reported that the group
    /// exists: the group must not be founded again.
    [[nodiscard]] bool group_exists() const noexcept
    {
        return group_exists_ || role_ != replica_role::fresh;
    }
    /// Sends heartbeats immediately; their replies make `leadership_confirmed_since` true.
    void request_confirmation(instant now);
    /// True if a quorum has replied to messages that this leader sent at `since` or later. Then no
    /// other leader had been elected in a later term before `since`, whatever the hosts' clocks
    /// show.
    [[nodiscard]] bool leadership_confirmed_since(instant since) const;

    /// Returns the actions collected since the last call.
    effects take_effects();

    /// True while no other replica can have committed an entry that this leader does not know: a
    /// quorum has replied within the lease duration, and the first entry of this term is committed.
    [[nodiscard]] bool lease_valid(instant now) const;
    [[nodiscard]] replica_role role() const noexcept { return role_; }
    [[nodiscard]] const node_id& leader() const noexcept { return leader_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return hard_state_.term; }
    [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_; }
    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] const group_config& config() const noexcept { return config_; }
    [[nodiscard]] const member& self() const noexcept { return self_; }
    /// Number of log entries in memory, including those retained before the last snapshot.
    [[nodiscard]] std::size_t log_entries() const noexcept { return log_.size(); }

private:
    struct progress {
        member who;
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::size_t inflight = 0;
        bool probing = true;     ///< one append in flight at a time until the logs match
        instant acked_send_time; ///< send time of the newest message that has been replied to
        instant last_answer;
        std::optional<std::uint64_t> snapshot_offset;
        std::uint64_t snapshot_index = 0;
        instant snapshot_sent;
    };

    struct deferred_message {
        std::uint64_t ticket = 0;
        outgoing out;
    };

    // Log access.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    [[nodiscard]] const entry& entry_at(std::uint64_t index) const;
    void append_entry(entry it);
    void truncate_from(std::uint64_t index);
    void trim_log();
    void load_recovered_entries(std::vector<entry> entries);
    void install_base(snapshot base);
    void recompute_config();

    // Membership.
    [[nodiscard]] bool is_voter(const member& who) const;
    [[nodiscard]] bool is_learner(const member& who) const;
    [[nodiscard]] std::size_t quorum() const noexcept { return config_.voters.size() / 2 + 1; }
    [[nodiscard]] std::set<node_id> contacts() const;
    void propose_config(const group_config& config, instant now);
    void update_membership(instant now);
    bool admit_learner(instant now);
    bool promote_learner(instant now);
    [[nodiscard]] bool may_join(const node_id& node) const;
    [[nodiscard]] bool is_silent(const member& who, instant now) const;
    [[nodiscard]] std::size_t target_voters() const noexcept
    {
        return options_.voters > 0 ? options_.voters : founders_.size();
    }
    void handle_probe(const message& msg, instant now);
    void handle_probe_reply(const message& msg, instant now);
    void handle_found(const message& msg, instant now);
    void try_found_group(instant now);

    // Elections.
    void become_follower(std::uint64_t term, const node_id& leader, instant now);
    void start_election(bool pre_vote, bool handover, instant now);
    void become_leader(instant now);
    void handle_vote_query(const message& msg, instant now);
    void handle_vote_reply(const message& msg, instant now);
    void reset_election_timer(instant now);
    [[nodiscard]] bool heard_leader_recently(instant now) const;

    // Replication.
    void handle_append(const message& msg, instant now);
    void handle_append_reply(const message& msg, instant now);
    void handle_snapshot_piece(const message& msg, instant now);
    void handle_snapshot_reply(const message& msg, instant now);
    void broadcast(instant now, bool heartbeat);
    void send_append(progress& peer, instant now, bool heartbeat);
    void send_snapshot_piece(progress& peer, instant now);
    void continue_snapshot(progress& peer, instant now);
    void advance_commit(instant now);
    void deliver_committed();
    void rebuild_progress(instant now);
    void check_quorum(instant now);
    /// Latest time such that a quorum has replied to messages sent at that time or later; `own` is
    /// the time counted for this replica itself. Nothing if no quorum has replied yet.
    [[nodiscard]] std::optional<instant> quorum_contact_time(instant own) const;

    // Effects.
    persist_batch& open_batch();
    void save_hard_state();
    void send_now(const node_id& to, message body);
    void send_after_persist(const node_id& to, message body);
    [[nodiscard]] message make_message(message_kind kind) const;

    member self_;
    std::vector<node_id> founders_;
    std::set<node_id> extra_contacts_;
    replica_options options_;
    random_fn random_;

    hard_state hard_state_;
    std::optional<snapshot> base_;
    std::deque<entry> log_; ///< entries after `log_start_index_`
    std::uint64_t log_start_index_ = 0;
    std::uint64_t log_start_term_ = 0;
    group_config config_;
    std::uint64_t config_index_ = 0;

    replica_role role_ = replica_role::fresh;
    node_id leader_;
    std::uint64_t commit_ = 0;
    std::uint64_t delivered_ = 0;
    std::uint64_t persisted_index_ = 0;
    std::uint64_t term_start_index_ = 0;
    bool lease_given_up_ = false;
    bool heard_any_leader_ = false; ///< since the process started
    instant fast_elections_until_;  ///< end of the shorter election timeouts after a start
    bool group_exists_ = false;

    instant last_heard_leader_;
    instant election_due_;
    instant heartbeat_due_;
    instant probe_due_;
    std::set<member> votes_;
    std::map<member, progress> peers_;
    std::map<node_id, member> fresh_disks_; ///< latest fresh disk reported by each host

    std::string incoming_snapshot_;
    std::uint64_t incoming_snapshot_index_ = 0;

    std::uint64_t next_ticket_ = 1;
    std::uint64_t persisted_ticket_ = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> ticket_last_index_;
    std::vector<deferred_message> deferred_messages_;
    effects effects_;
};

} // namespace hickorypost::replog
