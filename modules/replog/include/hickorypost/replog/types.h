#pragma once
/// Values and messages of a replicated log group.

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::replog {

/// A replica's identity is bound to its disk: a host whose disk was lost comes back as another
/// member, so that it cannot vote with a memory it no longer has.
struct member {
    node_id node;
    std::uint64_t disk = 0;

    friend auto operator<=>(const member&, const member&) = default;
    friend bool operator==(const member&, const member&) = default;
};

struct group_config {
    std::vector<member> voters;
    std::vector<member> learners; ///< receive the log, count for no quorum

    friend bool operator==(const group_config&, const group_config&) = default;
};

enum class entry_kind : std::uint8_t { command, no_op, config };

struct entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::command;
    std::int64_t wall_ms = 0; ///< the leader's stamp; state machines' only clock
    std::string data;
};

/// What a replica must remember across restarts besides its log.
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

/// What storage gives back at a start.
struct recovered_state {
    member self;
    hard_state hard;
    std::optional<snapshot> base; ///< missing: this disk was never part of the group
    std::vector<entry> entries;   ///< follow `base`
};

/// One message type for the whole group protocol, told apart by `kind`; unused fields stay empty.
enum class message_kind : std::uint8_t {
    probe,       ///< "who are you": founding and learner admission
    probe_reply, ///< disk identity and whether the disk is fresh
    found,       ///< offers the founding configuration to a fresh disk that it names
    vote_query,  ///< vote request; with `pre_vote` only asks whether one would be granted
    vote_reply,
    append, ///< entries after (prev_index, prev_term), or a heartbeat
    append_reply,
    snapshot_piece,
    snapshot_reply,
    campaign_now, ///< leadership handed over
};

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
    std::uint64_t match = 0;   ///< append_reply: synced up to here, or where to retry from
    std::uint64_t sent_us = 0; ///< sender's clock, echoed by replies; carries the leader's lease
    std::vector<entry> entries;
    std::optional<group_config> config;
    std::uint64_t snapshot_index = 0;
    std::uint64_t snapshot_term = 0;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string bytes;
    bool needs_snapshot = false; ///< append_reply: this disk holds no part of the log yet
};

/// What must reach the disk before the messages that depend on it may leave.
struct persist_batch {
    std::uint64_t ticket = 0;
    std::optional<hard_state> hard;
    std::optional<snapshot> base; ///< install or compaction
    bool reset_log = false;       ///< drop all entries: `base` came from the leader
    std::vector<entry> entries;   ///< an entry replaces any at or after its index
};

struct outgoing {
    node_id to;
    message body;
};

enum class replica_role : std::uint8_t {
    fresh,
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
    /// Bound on how much faster one host's monotonic clock runs than another's.
    double clock_drift = 0.01;
    std::size_t max_append_bytes = std::size_t{1} << 20U;
    std::size_t snapshot_piece_bytes = std::size_t{256} << 10U;
    /// Entries kept before the last snapshot, so that a short absence costs no snapshot.
    std::size_t retained_entries = 4096;
    /// Append messages with entries that may be unanswered per follower.
    std::size_t max_inflight = 8;
    /// A replica votes, and stands for election, soon after its start. Without it a restarted
    /// replica first waits out a lease that a leader may hold, which costs all callers that time
    /// when every host has lost power. Only where nothing is read under the lease
    /// (`group::read_confirmed`).
    bool vote_at_start = false;
    /// Voters wanted; 0: as many as there are founders.
    std::size_t voters = 0;
    /// Any host that shows a fresh disk may join, not only those that are listed.
    bool admit_any_host = false;
    /// A voter that has been silent for this long gives its vote to a learner that has all the log.
    /// Until then the loss of a second voter would stop the group. 0: never.
    millis replace_silent_after{0};
};

} // namespace hickorypost::replog
