#pragma once
/// Values and messages of a replicated log group.

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::replog {

/// Identity of a replica: its host and its disk. A host that has lost its disk returns as a new
/// member, so that it cannot vote again in a term whose vote and log entries it has lost.
struct member {
    node_id node;
    std::uint64_t disk = 0;

    friend auto operator<=>(const member&, const member&) = default;
    friend bool operator==(const member&, const member&) = default;
};

struct group_config {
    std::vector<member> voters;
    std::vector<member> learners; ///< receive the log but do not count towards a quorum

    friend bool operator==(const group_config&, const group_config&) = default;
};

enum class entry_kind : std::uint8_t { command, no_op, config };

struct entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::command;
    std::int64_t wall_ms = 0; ///< leader's wall clock; the only time a state machine may use
    std::string data;
};

/// State that a replica must keep across restarts in addition to its log.
struct hard_state {
    std::uint64_t term = 0;
    std::optional<member> voted_for;
};

/// The state machine's state after `index`, with the configuration in force there.
struct snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    group_config config;
    std::string state;
};

/// State that is read from disk at a start.
struct recovered_state {
    member self;
    hard_state hard;
    std::optional<snapshot> base; ///< empty if this disk was never part of the group
    std::vector<entry> entries;   ///< entries after `base`
    /// Seeds of the system's first start; not set if this disk did not take part in it.
    std::optional<std::vector<node_id>> first_start_seeds;
};

/// Kinds of `message`.
enum class message_kind : std::uint8_t {
    probe,       ///< asks for the disk identity, for founding and admission of learners
    probe_reply, ///< disk identity and whether the disk is fresh
    found,       ///< offers the initial configuration to a fresh disk listed in it
    vote_query,  ///< vote request; with `pre_vote`, asks whether a vote would be granted
    vote_reply,
    append, ///< entries after (prev_index, prev_term), or a heartbeat
    append_reply,
    snapshot_piece,
    snapshot_reply,
    campaign_now, ///< transfers leadership: the receiver starts an election immediately
};

/// The message type of the whole group protocol. Fields that a kind does not use stay empty.
struct message {
    message_kind kind = message_kind::probe;
    member from;
    std::uint64_t term = 0;
    bool pre_vote = false;
    bool granted = false;  ///< vote_reply: granted; append_reply: accepted; probe_reply: fresh
    bool handover = false; ///< vote_query: the leader itself asked for this election
    std::uint64_t prev_index = 0; ///< append: before the entries; vote_query: last index
    std::uint64_t prev_term = 0;
    std::uint64_t commit = 0;
    std::uint64_t match = 0;   ///< append_reply: last index synced, or index to retry after
    std::uint64_t sent_us = 0; ///< sender's clock, echoed in replies; base of the leader's lease
    std::vector<entry> entries;
    std::optional<group_config> config;
    std::uint64_t snapshot_index = 0;
    std::uint64_t snapshot_term = 0;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string bytes;
    bool needs_snapshot = false; ///< append_reply: this disk has no part of the log yet
};

/// Data that must be on disk before the messages that depend on it may be sent.
struct persist_batch {
    std::uint64_t ticket = 0;
    std::optional<hard_state> hard;
    std::optional<snapshot> base; ///< new snapshot, received from the leader or made by compaction
    bool reset_log = false;       ///< drop all entries, as `base` came from the leader
    std::vector<entry> entries;   ///< each replaces all stored entries at or after its index
};

struct outgoing {
    node_id to;
    message body;
};

enum class replica_role : std::uint8_t {
    fresh, ///< the disk belongs to no group yet
    learner,
    follower,
    pre_candidate,
    candidate,
    leader
};

struct replica_options {
    millis heartbeat{50};
    millis election_min{400};
    millis election_max{800};
    /// Upper bound on the relative difference in rate between the monotonic clocks of two hosts.
    double clock_drift = 0.01;
    /// An append message takes no further entry once its entries reach this size.
    std::size_t max_append_bytes = std::size_t{1} << 20U;
    std::size_t snapshot_piece_bytes = std::size_t{256} << 10U;
    /// Entries kept before the last snapshot, so that a follower that was down for a short time
    /// catches up without a snapshot.
    std::size_t retained_entries = 4096;
    /// Maximum number of append messages with entries that await a reply, per follower.
    std::size_t max_inflight = 8;
    /// Allows a replica to vote and to start an election soon after its start. If false, a
    /// restarted replica first waits until any lease of a leader has expired, and all callers wait
    /// as long after every host has lost power. Safe only if all reads use `group::read_confirmed`
    /// instead of the lease.
    bool vote_at_start = false;
    /// Target number of voters; 0 means the number of founders.
    std::size_t voters = 0;
    /// Any host with a fresh disk may join, not only founders and added contacts.
    bool admit_any_host = false;
    /// A voter that has not replied for this long is replaced by a learner that has caught up.
    /// Until then, the loss of a second voter of three stops the group. 0 disables replacement.
    millis replace_silent_after{0};
};

} // namespace hickorypost::replog
