#pragma once
/// Commands, answers and queries of the ledger: what ran for whom, and what it cost.

#include "hickorypost/base/ids.h"
#include "hickorypost/wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::ledger {

/// Says that a request is about to run. Write-once by key for non-idempotent requests.
struct open_request {
    request_key key;
    attempt_id attempt = 0;
    node_id agent;
    incarnation agent_life = 0;
    std::string backend;
    model_version target;
    bool non_idempotent = false;
};

/// Binds a session to a version, unless it is bound already.
struct bind_session {
    std::string account;
    std::string session;
    model_version wanted;
};

enum class request_outcome : std::uint8_t {
    complete,
    failed,    ///< it ran and gave no whole answer
    cancelled, ///< the caller went away; what ran is billed
    unknown,   ///< opened, but no usage arrived: both holders of it were lost
    late,      ///< usage came after the window; not billed
};

std::string_view name_of(request_outcome outcome) noexcept;

/// One run of a request on one backend server.
struct stage_line {
    model_version target;
    node_id agent;
    bool complete = false;
    wire::usage used;
    std::int64_t cost = 0; ///< millionths of the currency unit
    std::int64_t first_ms = 0;
    std::int64_t total_ms = 0;
};

/// The bill of one request; the first to commit counts.
struct usage_fact {
    request_key key;
    attempt_id attempt = 0;
    request_outcome outcome = request_outcome::complete;
    std::vector<stage_line> lines;
    std::int64_t started_wall_ms = 0;
    std::string session;
    std::string cascade;
    bool non_idempotent = false;
};

struct ledger_command {
    std::optional<open_request> open;
    std::optional<bind_session> bind;
    std::optional<usage_fact> usage;
};

/// The command of a ledger group's log: all that waited at an entry when it was sent.
struct ledger_batch {
    std::vector<ledger_command> commands;
};

enum class ledger_status : std::uint8_t {
    recorded,
    duplicate, ///< open: another attempt holds the key; usage: already billed
    late,
};

struct ledger_reply {
    ledger_status status = ledger_status::recorded;
    std::string bound_version;             ///< bind: the version that the session is on
    std::optional<open_request> holder;    ///< open, duplicate: the first attempt
    std::optional<request_outcome> closed; ///< open, duplicate: its outcome, if it is over
};

struct ledger_batch_reply {
    std::vector<ledger_reply> replies;
};

struct report_query {
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0; ///< 0: no end
    std::string account;    ///< empty: all
    bool details = false;   ///< also the requests still in the window
};

/// Totals of an account's requests on a version in an hour, by outcome.
struct report_row {
    std::string account;
    model_version target;
    std::int64_t hour_ms = 0; ///< start of the hour
    request_outcome outcome = request_outcome::complete;
    std::uint64_t requests = 0;
    std::uint64_t runs = 0; ///< stages; more than requests where cascades escalated
    wire::usage used;
    std::int64_t cost = 0;
    std::int64_t first_ms_sum = 0;
    std::int64_t total_ms_sum = 0;
};

struct report_detail {
    request_key key;
    request_outcome outcome = request_outcome::unknown;
    bool closed = false;
    model_version target;
    std::int64_t cost = 0;
    std::int64_t wall_ms = 0;
};

struct report_answer {
    std::vector<report_row> rows;
    std::vector<report_detail> details;
    std::uint64_t open = 0;            ///< requests running, or whose usage is still to come
    std::uint64_t duplicate_usage = 0; ///< second runs that were not billed
    std::uint64_t wasted_tokens = 0;   ///< of those
    std::uint64_t facts = 0;
};

} // namespace hickorypost::ledger
