#pragma once
/// Commands, replies and queries of the ledger, which records the runs and cost of each request.

#include "hickorypost/base/ids.h"
#include "hickorypost/wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::ledger {

/// Records the attempt and agent of a request. The first open of a key wins; a non-idempotent
/// request is opened before its attempt is sent.
struct open_request {
    request_key key;
    attempt_id attempt = 0;
    node_id agent;
    incarnation agent_life = 0;
    std::string backend;
    model_version target;
    bool non_idempotent = false;
};

/// Binds a session to a version, unless the session is already bound.
struct bind_session {
    std::string account;
    std::string session;
    model_version wanted;
};

enum class request_outcome : std::uint8_t {
    complete,
    failed,    ///< it ran without a complete answer
    cancelled, ///< the caller disconnected; the usage so far is billed
    unknown,   ///< opened, but both its entry and its agent were lost before billing
    late,      ///< usage arrived after the window; not billed
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

/// The usage and cost of one request. Only the first committed fact of a request key is billed.
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

/// A log entry of a ledger group: all commands that were pending at a host when it was proposed.
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
    std::string bound_version;             ///< bind: the version to which the session is bound
    std::optional<open_request> holder;    ///< open, duplicate: the first attempt
    std::optional<request_outcome> closed; ///< open, duplicate: its outcome, if it has ended
};

struct ledger_batch_reply {
    std::vector<ledger_reply> replies;
};

struct report_query {
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0; ///< 0: no upper bound
    std::string account;    ///< empty: all accounts
    bool details = false;   ///< also list the requests within the retention window
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
    std::uint64_t open = 0;            ///< requests without committed usage
    std::uint64_t duplicate_usage = 0; ///< usage of further attempts, not billed
    std::uint64_t wasted_tokens = 0;   ///< prompt and completion tokens of `duplicate_usage`
    std::uint64_t facts = 0;
};

} // namespace hickorypost::ledger
