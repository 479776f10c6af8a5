#pragma once
/// Messages between the processes of the system. New fields are only appended (see codec.h).
///
/// Durations are in microseconds in `_us` fields and in milliseconds in `_ms` fields. Messages
/// contain ages and remaining times instead of instants, because the monotonic clocks of two hosts
/// cannot be compared.

#include "hickorypost/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::wire {

enum class message_type : std::uint16_t {
    hello = 1,
    heartbeat = 2,
    replog = 10,
    propose = 11,
    propose_reply = 12,
    read = 13,
    read_reply = 14,
    fresh_query = 20,
    fresh_reply = 21,
    fresh_notice = 22,
    announce = 30,
    directory_query = 31,
    directory_reply = 32,
    exposure_request = 33,
    exposure_grant = 34,
    start = 40,
    refused = 41,
    piece = 42,
    finished = 43,
    cancel = 44,
    resume = 45,
    unknown_attempt = 46,
    settled = 47,
    load = 48,
    core_status = 60,
    attach = 61,
    site_query = 62,
    site_update = 63,
    backend_update = 64,
    order = 65,
    order_reply = 66,
    load_report = 67,
    version_report = 68,
    session_pins = 69,
    probe_failure = 70,
    crash_facts = 71,
    backend_limit = 72,
    permit_requests = 73,
    permit_replies = 74,
    account_usage = 75,
};

/// Name of a message type in metrics and logs. Types that gateway hosts do not exchange have their
/// number as name.
[[nodiscard]] std::string name_of(message_type type);

inline constexpr std::uint32_t protocol_oldest = 1;
inline constexpr std::uint32_t protocol_newest = 1;

enum class node_role : std::uint8_t { entry, agent, control };

/// First message on a link, sent in both directions.
struct hello {
    static constexpr auto type = message_type::hello;
    std::uint32_t oldest = protocol_oldest;
    std::uint32_t newest = protocol_newest;
    node_role role = node_role::entry;
    node_id node;
    incarnation life = 0;
    std::string failure_domain;
    std::uint32_t ledger_groups = 0; ///< control hosts only
};

struct heartbeat {
    static constexpr auto type = message_type::heartbeat;
    std::uint64_t sequence = 0;
};

/// A message of one replicated-log group between two control hosts.
struct replog_envelope {
    static constexpr auto type = message_type::replog;
    std::uint32_t group = 0;
    std::string payload;
};

enum class reply_status : std::uint8_t {
    done,
    not_leader,  ///< retry at `leader`, or at another host if `leader` is empty
    unavailable, ///< no quorum; the command may or may not be committed
    superseded,  ///< the command has no effect, as a later order has changed the same object
};

/// Asks a control host to commit a command to the log of a group.
struct propose {
    static constexpr auto type = message_type::propose;
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::string command;
};

struct propose_reply {
    static constexpr auto type = message_type::propose_reply;
    std::uint64_t id = 0;
    reply_status status = reply_status::done;
    node_id leader;
    std::string result;
};

/// A linearizable read, answered by the group's leader under its lease.
struct read_request {
    static constexpr auto type = message_type::read;
    std::uint64_t id = 0;
    std::uint32_t group = 0;
    std::string query;
};

struct read_reply {
    static constexpr auto type = message_type::read_reply;
    std::uint64_t id = 0;
    reply_status status = reply_status::done;
    node_id leader;
    std::string result;
};

/// Requests a freshness mark and the record changes after `have_index`.
struct fresh_query {
    static constexpr auto type = message_type::fresh_query;
    std::uint64_t id = 0;
    std::uint64_t have_index = 0;
};

struct record_entry {
    std::uint64_t index = 0;
    std::string command;
};

/// States that `index` was the newest committed record change `age_us` before this reply was sent.
struct fresh_reply {
    static constexpr auto type = message_type::fresh_reply;
    std::uint64_t id = 0;
    bool valid = false; ///< false: the sender has no valid freshness mark
    std::uint64_t index = 0;
    std::uint64_t age_us = 0;
    std::vector<record_entry> changes;
    std::string snapshot; ///< encoded records state, if the sender lacks some of the changes
    std::uint64_t snapshot_index = 0;
};

/// Pushed when records change, so that nodes send a `fresh_query` at once instead of at the next
/// interval.
struct fresh_notice {
    static constexpr auto type = message_type::fresh_notice;
    std::uint64_t index = 0;
};

enum class backend_kind : std::uint8_t { engine, service };

/// A backend server, as announced to its agent.
struct backend_info {
    std::string name;
    backend_kind kind = backend_kind::engine;
    std::vector<model_version>
        offers; ///< engine: the served models; service: one entry with the service as `model`
    std::uint32_t slots = 1;   ///< maximum number of concurrent requests
    bool checks_fence = false; ///< rejects orders with an outdated fencing number itself
    bool leaving = false;
};

/// An agent with its backend servers. Another `life` replaces the known one; within the same `life`
/// a higher `sequence` replaces a lower one.
struct agent_info {
    node_id node;
    incarnation life = 0;
    std::uint64_t sequence = 0;
    std::string address;
    std::uint16_t port = 0;
    std::string failure_domain;
    bool leaving = false;
    std::vector<backend_info> backends;
};

struct announce {
    static constexpr auto type = message_type::announce;
    agent_info agent;
};

struct directory_query {
    static constexpr auto type = message_type::directory_query;
    std::uint64_t epoch = 0; ///< the control host's incarnation that `version` refers to
    std::uint64_t version = 0;
};

struct directory_reply {
    static constexpr auto type = message_type::directory_reply;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    bool whole = false; ///< true: `changed` is the complete list; false: only changes
    std::vector<agent_info> changed;
    std::vector<node_id> removed;
};

/// An entry's results for one version since its last report, input of the roll-out's tests.
struct version_evidence {
    model_version version;
    std::uint64_t answers = 0;
    std::uint64_t errors = 0;
    std::uint64_t slow = 0; ///< answers that exceeded the model record's `slow_ms`
    std::uint64_t rated_good = 0;
    std::uint64_t rated_bad = 0;
};

/// Reports evidence and requests permission to start more answers on candidate versions.
struct exposure_request {
    static constexpr auto type = message_type::exposure_request;
    std::uint64_t sequence = 0; ///< resent evidence has the same number and is counted once
    std::vector<version_evidence> evidence;
};

struct exposure_lease {
    model_version version;
    std::uint64_t answers = 0; ///< number of further answers that the entry may start
    double share = 0;          ///< fraction of the model's traffic for the candidate
};

struct exposure_grant {
    static constexpr auto type = message_type::exposure_grant;
    std::uint64_t sequence = 0;
    std::vector<exposure_lease> leases;
};

enum class priority : std::uint8_t { interactive, normal, bulk };

/// Asks an agent to run one attempt of a request on one of its backend servers.
struct start {
    static constexpr auto type = message_type::start;
    attempt_id attempt = 0;
    incarnation agent_life = 0; ///< another incarnation may have run it, so the agent refuses
    request_key key;
    model_version target;
    std::string backend;
    std::string session;
    bool non_idempotent = false;
    bool stream = false;
    priority urgency = priority::normal;
    std::uint64_t remaining_us = 0; ///< until the caller's deadline
    std::uint64_t records_index = 0;
    std::string method; ///< services only
    std::string path;
    std::string content_type;
    std::string body;
    std::string traceparent;
    std::uint32_t weight = 1; ///< the account's share in the agent's queue
};

enum class refusal : std::uint8_t {
    wrong_life,
    not_fresh,
    not_permitted,
    withdrawn,
    no_backend,
    leaving,
    overloaded,
    deadline,
    tombstoned,
    cancelled,
};

/// The attempt has not started and will not start.
struct refused {
    static constexpr auto type = message_type::refused;
    attempt_id attempt = 0;
    refusal reason = refusal::overloaded;
    std::uint64_t retry_after_ms = 0;
};

/// A part of the answer that begins at byte `offset`.
struct piece {
    static constexpr auto type = message_type::piece;
    attempt_id attempt = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint32_t http_status = 0; ///< status of the backend server's answer
    std::string content_type;      ///< only set if `offset` is 0
};

enum class run_outcome : std::uint8_t { complete, engine_error, cancelled, deadline, lost };

struct usage {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t completion_tokens = 0;
};

/// The attempt has run and ended; `bytes` is the total length of the answer.
struct finished {
    static constexpr auto type = message_type::finished;
    attempt_id attempt = 0;
    run_outcome outcome = run_outcome::complete;
    std::uint32_t http_status = 0;
    std::string content_type;
    std::uint64_t bytes = 0;
    usage used;
    std::uint64_t queued_us = 0;
    std::uint64_t ran_us = 0;
    std::uint32_t running = 0; ///< load of the backend server after this attempt
    std::uint32_t queued = 0;
};

struct cancel {
    static constexpr auto type = message_type::cancel;
    attempt_id attempt = 0;
};

/// After a lost connection, asks the agent to resend the answer from `offset` or to reply with
/// `unknown_attempt`.
struct resume {
    static constexpr auto type = message_type::resume;
    attempt_id attempt = 0;
    incarnation agent_life = 0;
    std::uint64_t offset = 0;
};

/// The agent has not received the attempt in its current incarnation and will refuse it from now on
/// (tombstone).
struct unknown_attempt {
    static constexpr auto type = message_type::unknown_attempt;
    attempt_id attempt = 0;
    bool same_life =
        false; ///< true: the attempt did not run; false: an earlier incarnation may have run it
};

/// The usage is durable and the answer has been delivered, so the agent may discard the attempt.
struct settled {
    static constexpr auto type = message_type::settled;
    attempt_id attempt = 0;
};

struct load {
    static constexpr auto type = message_type::load;
    std::string backend;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// A gateway host. Its name is the IP address at which other hosts connect to it.
struct host_info {
    node_id host;
    std::string failure_domain;
};

/// Status that a host with a disk (a core host) sends to all linked hosts, periodically and when it
/// changes.
struct core_status {
    static constexpr auto type = message_type::core_status;
    std::vector<host_info> core; ///< core hosts known to the sender
    node_id leader;              ///< leader of the control log; empty: unknown
    std::uint64_t term = 0;
    std::uint64_t revision = 0; ///< revision of the sender's copy of the site state
    std::uint32_t hosts = 0;    ///< number of gateway hosts linked to the sender, including itself
    /// Whether the sender's replica applies evacuations. Releases before them skip such entries of
    /// the control log.
    bool applies_evacuations = false;
    /// Whether the sender handles `account_usage`. Releases before it log a warning for each one.
    bool takes_account_usage = false;
    /// Whether the sender's replica checks `gateway::control_command::known_revision`. Releases
    /// before it apply such commands in any case.
    bool checks_known_revision = false;
};

/// A host without a disk subscribes to updates from the receiver (`on`) or unsubscribes.
struct attach {
    static constexpr auto type = message_type::attach;
    bool on = true;
};

struct site_query {
    static constexpr auto type = message_type::site_query;
    std::uint64_t have_revision = 0;
};

/// The complete committed state of the site.
struct site_update {
    static constexpr auto type = message_type::site_update;
    std::string state;
};

struct backend_heartbeat {
    std::string id;
    std::uint64_t sequence = 0;
};

/// Heartbeats of backend servers, received by the sender or by a host that is attached to it.
struct backend_update {
    static constexpr auto type = message_type::backend_update;
    std::vector<std::string> records;       ///< encoded records of backend servers that changed
    std::vector<backend_heartbeat> touches; ///< heartbeats without a change
};

enum class order_kind : std::uint8_t { command, read };

/// Asks the leader of the control log to commit a command or to return the state of a linearizable
/// read.
struct order {
    static constexpr auto type = message_type::order;
    std::uint64_t id = 0;
    order_kind kind = order_kind::read;
    std::string command;
};

struct order_reply {
    static constexpr auto type = message_type::order_reply;
    std::uint64_t id = 0;
    reply_status status = reply_status::done;
    node_id leader;
    std::string state; ///< only set for `order_kind::read`
};

struct backend_load {
    std::string id;
    double requests = 0;
    double prefill_ms = 0; ///< prefill time of the requests that have no first event yet
    double connections = 0;
    // Whole numbers, as they take 1 to 5 bytes instead of 9.
    std::uint32_t speed_weight = 0;      ///< number of observed event intervals
    std::uint32_t speed_interval_ms = 0; ///< their estimated interval, multiplied by their number
    std::uint32_t tokens = 0;            ///< KV cache that the requests need
};

/// Load on backend servers. An attached host reports the load of its own requests and receives the
/// sum over all other hosts.
struct load_report {
    static constexpr auto type = message_type::load_report;
    std::vector<backend_load> loads;
    bool whole = false;        ///< true: the complete load; false: only some entries
    bool request_full = false; ///< the receiver shall answer with a complete report
};

struct account_rate {
    std::string account;
    double ms_per_s = 0; ///< admitted prefill per second, in milliseconds on a reference engine
    double recent_ms_per_s = 0; ///< the same over a shorter time
};

/// Work that accounts use, on the same paths as load: an attached host reports its own and receives
/// the sum over all other hosts.
struct account_usage {
    static constexpr auto type = message_type::account_usage;
    std::vector<account_rate> rows;
    bool whole = false; ///< true: the complete usage; false: only the changed rows
};

/// Results of one version of a service, as observed by one host since its last report.
struct version_row {
    std::string service;
    std::string version;
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    std::uint64_t paced = 0; ///< answers whose latency was compared
    std::uint64_t slow = 0;  ///< of `paced`: slower than three quarters of the incumbent's
};

/// Hashes of sessions that a host has observed on the incumbent version; a roll-out must not move
/// them to the candidate.
struct session_pins {
    static constexpr auto type = message_type::session_pins;
    std::vector<std::uint64_t> sessions;
};

/// A backend server failed a liveness probe from a host in `failure_domain` while `sequence` was
/// its newest known heartbeat.
struct probe_failure {
    static constexpr auto type = message_type::probe_failure;
    std::string id;
    std::uint64_t sequence = 0;
    std::string failure_domain;
};

/// A `gateway::crash_fact` with an age instead of an instant.
struct crash_row {
    std::uint8_t kind = 0;
    std::uint64_t outline = 0;
    std::uint64_t digest = 0;
    std::string backend;
    std::uint32_t crashes_before = 0;
    std::uint64_t age_ms = 0;
};

/// A host's observations about requests that crash backend servers.
struct crash_facts {
    static constexpr auto type = message_type::crash_facts;
    std::vector<crash_row> rows;
};

/// The request limit that a backend server declared in an answer to one of the hosts.
struct backend_limit {
    static constexpr auto type = message_type::backend_limit;
    std::string id;
    std::optional<double> per_second; ///< requests per second; empty: the limit no longer applies
};

struct permit_request {
    std::string id;
    double per_second = 0; ///< newest limit known to the sender, in requests per second
    std::int32_t priority = 0;
};

/// Requests permits to send to rate-limited backend servers from the host that grants permits.
struct permit_requests {
    static constexpr auto type = message_type::permit_requests;
    std::vector<permit_request> requests;
};

struct permit_answer {
    std::string id;
    bool granted = false;
    std::uint64_t room_in_ms = 0; ///< expected time until a permit is available, if not `granted`
};

struct permit_replies {
    static constexpr auto type = message_type::permit_replies;
    std::vector<permit_answer> replies;
};

/// A host's results for the versions in a roll-out since its last report, sent to the leader.
struct version_report {
    static constexpr auto type = message_type::version_report;
    std::vector<version_row> rows;
};

} // namespace hickorypost::wire
