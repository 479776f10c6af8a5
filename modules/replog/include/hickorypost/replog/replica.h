#pragma once

#include "hickorypost/replog/types.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace hickorypost::replog {

/// What one step asks of its driver. Persist batches go to disk in order; messages in `send` may
/// leave at once; `committed` is applied in order; `install` replaces the state machine's state.
struct effects {
    std::vector<persist_batch> persist;
    std::vector<outgoing> send;
    std::vector<entry> committed;
    std::optional<snapshot> install;
};

/// One replica of a replicated log group: election with pre-vote, check-quorum leader lease,
/// learners, one membership change at a time, and catch-up by snapshot pieces.
///
/// Sans I/O: fed with messages, ticks and disk completions, it answers with effects.
class replica {
public:
    /// `founders`: the hosts that form the group at its very first start; the first of them founds.
    replica(recovered_state recovered, std::vector<node_id> founders, replica_options options,
            random_fn random, instant now);

    /// Drives timeouts; call at least every `heartbeat`.
    void tick(instant now);
    void receive(const message& msg, instant now);
    /// All batches up to `ticket` are synced.
    void persisted(std::uint64_t ticket, instant now);

    /// Appends a command if this replica leads; gives its index.
    std::optional<std::uint64_t> propose(std::string command, std::int64_t wall_ms, instant now);
    /// Tells that the state machine's state after `index` is `state`; forgets entries before it.
    void compact(std::uint64_t index, std::string state);
    /// Gives leadership to the follower with the longest log, if this replica leads.
    void hand_over(instant now);
    /// Adds hosts to speak to, besides founders and members (a replacement host).
    void add_contact(const node_id& node);
    /// Names the founding hosts of a group whose hosts are not known at the start. Only for a disk
    /// that is still fresh; the first of them founds.
    void set_founders(std::vector<node_id> founders);
    /// True once a host has shown that the group exists already: it must not be founded again.
    [[nodiscard]] bool group_exists() const noexcept
    {
        return group_exists_ || role_ != replica_role::fresh;
    }
    /// Asks the followers for a sign at once, for `confirmed_since`.
    void ask_confirmation(instant now);
    /// True if a quorum has answered something that this leader sent at `since` or later: until
    /// then no other leader had been elected, whatever the clocks of the hosts say.
    [[nodiscard]] bool confirmed_since(instant since) const;

    effects take_effects();

    /// True while no other replica can have committed anything that this one does not know: a
    /// quorum answered recently enough, and this term's own first entry is committed.
    [[nodiscard]] bool lease_valid(instant now) const;
    [[nodiscard]] replica_role role() const noexcept { return role_; }
    [[nodiscard]] const node_id& leader() const noexcept { return leader_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return hard_.term; }
    [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_; }
    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] const group_config& config() const noexcept { return config_; }
    [[nodiscard]] const member& self() const noexcept { return self_; }
    /// Entries held in memory since the last snapshot.
    [[nodiscard]] std::size_t log_entries() const noexcept { return log_.size(); }

private:
    struct progress {
        member who;
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::size_t inflight = 0;
        bool probing = true; ///< one append at a time until a match is found
        instant lease_from;  ///< when the newest answered message was sent
        instant last_answer;
        std::optional<std::uint64_t> snapshot_offset;
        std::uint64_t snapshot_index = 0;
        instant snapshot_sent;
    };

    struct held_message {
        std::uint64_t ticket = 0;
        outgoing out;
    };

    // Log access.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    [[nodiscard]] const entry& entry_at(std::uint64_t index) const;
    void append_entry(entry it);
    void truncate_from(std::uint64_t index);
    void trim_log();
    void take_recovered_entries(std::vector<entry> entries);
    void install_base(snapshot base);
    void recompute_config();

    // Membership.
    [[nodiscard]] bool is_voter(const member& who) const;
    [[nodiscard]] bool is_learner(const member& who) const;
    [[nodiscard]] std::size_t quorum() const noexcept { return config_.voters.size() / 2 + 1; }
    [[nodiscard]] std::set<node_id> contacts() const;
    void propose_config(const group_config& config, instant now);
    void consider_membership(instant now);
    bool admit_learner(instant now);
    bool promote_learner(instant now);
    [[nodiscard]] bool is_listed(const node_id& node) const;
    [[nodiscard]] bool is_silent(const member& who, instant now) const;
    [[nodiscard]] std::size_t wanted_voters() const noexcept
    {
        return options_.voters > 0 ? options_.voters : founders_.size();
    }
    void handle_probe(const message& msg, instant now);
    void handle_probe_reply(const message& msg, instant now);
    void handle_found(const message& msg, instant now);
    void try_found(instant now);

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
    /// When the oldest message was sent that a quorum has answered or outdone; `own`: for this one.
    [[nodiscard]] std::optional<instant> quorum_heard(instant own) const;

    // Effects.
    persist_batch& open_batch();
    void save_hard();
    void send_now(const node_id& to, message body);
    void send_after_persist(const node_id& to, message body);
    [[nodiscard]] message make(message_kind kind) const;

    member self_;
    std::vector<node_id> founders_;
    std::set<node_id> extra_contacts_;
    replica_options options_;
    random_fn random_;

    hard_state hard_;
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
    bool heard_any_leader_ = false; ///< since this process began
    instant early_until_;           ///< end of the quick elections after a start
    bool group_exists_ = false;

    instant last_heard_leader_;
    instant election_due_;
    instant heartbeat_due_;
    instant probe_due_;
    std::set<member> votes_;
    std::map<member, progress> peers_;
    std::map<node_id, member> fresh_disks_; ///< hosts seen with a disk that is in no configuration

    std::string incoming_snapshot_;
    std::uint64_t incoming_snapshot_index_ = 0;

    std::uint64_t next_ticket_ = 1;
    std::uint64_t persisted_ticket_ = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> ticket_last_index_;
    std::vector<held_message> held_;
    effects effects_;
};

} // namespace hickorypost::replog
