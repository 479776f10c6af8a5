#pragma once
/// Messages between the system's processes. Fields are only ever appended (see codec.h).
///
/// Durations are microseconds in `_us` fields and milliseconds in `_ms` fields; ages and remaining
/// times are sent instead of instants, because monotonic clocks of two hosts cannot be compared.

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
};

inline constexpr std::uint32_t protocol_oldest = 1;
inline constexpr std::uint32_t protocol_newest = 1;

enum class node_role : std::uint8_t { entry, agent, control };

/// First message on a link, both ways.
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
    not_leader,  ///< ask `leader`, or another host if it is empty
    unavailable, ///< no quorum just now; nothing is known of the change's fate
};

/// Asks a control host to commit a command in a group.
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

/// A linearizable read answered by a group's leader under its lease.
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

/// Asks for a freshness mark and for the record changes after `have_index`.
struct fresh_query {
    static constexpr auto type = message_type::fresh_query;
    std::uint64_t id = 0;
    std::uint64_t have_index = 0;
};

struct record_entry {
    std::uint64_t index = 0;
    std::string command;
};

/// "`age_us` before this was sent, `index` was the newest committed record change."
struct fresh_reply {
    static constexpr auto type = message_type::fresh_reply;
    std::uint64_t id = 0;
    bool valid = false; ///< false: the sender holds no usable mark itself
    std::uint64_t index = 0;
    std::uint64_t age_us = 0;
    std::vector<record_entry> changes;
    std::string snapshot; ///< encoded records state at `snapshot_index`, when changes are not kept
    std::uint64_t snapshot_index = 0;
};

/// Pushed when records change, so that nodes ask at once rather than at their next turn.
struct fresh_notice {
    static constexpr auto type = message_type::fresh_notice;
    std::uint64_t index = 0;
};

enum class backend_kind : std::uint8_t { engine, service };

/// A backend server as it announced itself to its agent.
struct backend_info {
    std::string name;
    backend_kind kind = backend_kind::engine;
    std::vector<model_version>
        offers;                ///< engines: models served; services: one entry, model = service
    std::uint32_t slots = 1;   ///< requests that it runs at once
    bool checks_fence = false; ///< refuses orders with an old fencing number itself
    bool leaving = false;
};

/// An agent with its backend servers. A higher (life, sequence) replaces a lower one.
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
    std::uint64_t epoch = 0; ///< the control host's life that `version` counts in
    std::uint64_t version = 0;
};

struct directory_reply {
    static constexpr auto type = message_type::directory_reply;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    bool whole = false; ///< agents not listed are gone
    std::vector<agent_info> changed;
    std::vector<node_id> removed;
};

/// What an entry saw of one version since its last report, for the roll-out's tests.
struct version_evidence {
    model_version version;
    std::uint64_t answers = 0;
    std::uint64_t errors = 0;
    std::uint64_t slow = 0; ///< answers slower than the record's limit
    std::uint64_t rated_good = 0;
    std::uint64_t rated_bad = 0;
};

/// Reports evidence and asks for leave to start more answers on candidate versions.
struct exposure_request {
    static constexpr auto type = message_type::exposure_request;
    std::uint64_t sequence = 0; ///< resent evidence carries the same number and counts once
    std::vector<version_evidence> evidence;
};

struct exposure_lease {
    model_version version;
    std::uint64_t answers = 0; ///< how many more answers the entry may start
    double share = 0;          ///< of the model's traffic that should try the candidate
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
    incarnation agent_life = 0; ///< an agent with another life refuses: it may have run this before
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

/// The attempt did not start and never will.
struct refused {
    static constexpr auto type = message_type::refused;
    attempt_id attempt = 0;
    refusal reason = refusal::overloaded;
    std::uint64_t retry_after_ms = 0;
};

/// Bytes of the answer from `offset` on.
struct piece {
    static constexpr auto type = message_type::piece;
    attempt_id attempt = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint32_t http_status = 0; ///< of the backend server's answer
    std::string content_type;      ///< only where `offset` is 0
};

enum class run_outcome : std::uint8_t { complete, engine_error, cancelled, deadline, lost };

struct usage {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t completion_tokens = 0;
};

/// The attempt ran and is over; `bytes` is the whole answer's length.
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

/// After a lost connection: send the answer again from `offset`, or say that the attempt is
/// unknown.
struct resume {
    static constexpr auto type = message_type::resume;
    attempt_id attempt = 0;
    incarnation agent_life = 0;
    std::uint64_t offset = 0;
};

/// The agent never saw the attempt in this life and will refuse it from now on (a tombstone).
struct unknown_attempt {
    static constexpr auto type = message_type::unknown_attempt;
    attempt_id attempt = 0;
    bool same_life = false; ///< true: it surely did not run; false: an earlier life may have run it
};

/// The usage is durable and the answer delivered; the agent may forget the attempt.
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

/// A gateway host; its name is its IP address, at which others dial it.
struct host_info {
    node_id host;
    std::string failure_domain;
};

/// What a host with a disk tells the hosts it is linked to, when it changes and now and then.
struct core_status {
    static constexpr auto type = message_type::core_status;
    std::vector<host_info> core; ///< hosts with a disk, as far as the sender knows
    node_id leader;              ///< of the control log; empty: none known
    std::uint64_t term = 0;
    std::uint64_t revision = 0; ///< of the site's state at the sender
    std::uint32_t hosts = 0;    ///< gateway hosts that the sender counts
};

/// A host without a disk wants updates from the receiver, or no longer.
struct attach {
    static constexpr auto type = message_type::attach;
    bool on = true;
};

struct site_query {
    static constexpr auto type = message_type::site_query;
    std::uint64_t have_revision = 0;
};

/// The site's whole committed state.
struct site_update {
    static constexpr auto type = message_type::site_update;
    std::string state;
};

struct backend_touch {
    std::string id;
    std::uint64_t sequence = 0;
};

/// Heartbeats of backend servers that the sender, or a host attached to it, has taken.
struct backend_update {
    static constexpr auto type = message_type::backend_update;
    std::vector<std::string> records;   ///< encoded, where something changed
    std::vector<backend_touch> touches; ///< the rest
};

enum class order_kind : std::uint8_t { command, read };

/// Asks the control log's leader to commit a command, or for the state that surely is the newest.
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
    std::string state; ///< of `read`
};

struct backend_load {
    std::string id;
    double requests = 0;
    double reading_ms = 0; ///< time to read the prompts of requests without a first event
};

/// From an attached host: its own work. To it: that of all others together.
struct load_report {
    static constexpr auto type = message_type::load_report;
    std::vector<backend_load> loads;
    bool whole = false; ///< there is no work but this; otherwise only what has changed is told
};

struct version_row {
    std::string service;
    std::string version;
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    std::uint64_t paced = 0; ///< answers whose pace was seen
    std::uint64_t slow = 0;  ///< of them, slower than three quarters of the old version's
};

/// Sessions, by hash, that a host has seen on an old version and that a trial must not move.
struct session_pins {
    static constexpr auto type = message_type::session_pins;
    std::vector<std::uint64_t> sessions;
};

/// A backend server has failed a liveness probe in that failure domain, when `sequence` was its
/// newest known heartbeat.
struct probe_failure {
    static constexpr auto type = message_type::probe_failure;
    std::string id;
    std::uint64_t sequence = 0;
    std::string failure_domain;
};

/// A `gateway::crash_fact`, with ages instead of instants.
struct crash_row {
    std::uint8_t kind = 0;
    std::uint64_t outline = 0;
    std::uint64_t digest = 0;
    std::string backend;
    std::uint32_t crashes_before = 0;
    std::uint64_t age_ms = 0;
};

/// What a host has learned about requests that crash backend servers.
struct crash_facts {
    static constexpr auto type = message_type::crash_facts;
    std::vector<crash_row> rows;
};

/// A backend server has named a limit, as an answer to some host says.
struct backend_limit {
    static constexpr auto type = message_type::backend_limit;
    std::string id;
    std::optional<double> per_second; ///< nothing: it names none any more
};

struct permit_request {
    std::string id;
    double per_second = 0; ///< the newest limit that the sender knows
    std::int32_t priority = 0;
};

/// Asks the host that grants them for permits to send to limited backend servers.
struct permit_requests {
    static constexpr auto type = message_type::permit_requests;
    std::vector<permit_request> requests;
};

struct permit_answer {
    std::string id;
    bool granted = false;
    std::uint64_t room_in_ms = 0;
};

struct permit_replies {
    static constexpr auto type = message_type::permit_replies;
    std::vector<permit_answer> replies;
};

/// What a host saw of versions in a roll-out since its last report; to the leader.
struct version_report {
    static constexpr auto type = message_type::version_report;
    std::vector<version_row> rows;
};

} // namespace hickorypost::wire
