#pragma once
/// Operators' records as the rest of the system uses them, whatever schema version they came in.

#include "hickorypost/base/ids.h"
#include "hickorypost/wire/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::records {

enum class record_kind : std::uint8_t { account, model, service, rollout, withdrawal, cascade };

std::string_view name_of(record_kind kind) noexcept;
std::optional<record_kind> kind_named(std::string_view name) noexcept;

/// A model that an account may use; no versions listed means all of them.
struct model_permission {
    std::string model;
    std::vector<std::string> versions;
};

/// A client account.
struct account_record {
    std::string name;
    std::vector<std::string> key_sha256; ///< lower-case hex; the keys themselves are never stored
    std::vector<model_permission> allow;
    std::vector<std::string> services;
    double rate_per_s = 0; ///< 0: no limit
    double burst = 0;
    std::uint32_t max_in_flight = 0; ///< per entry host; 0: no limit
    std::uint32_t weight = 1;        ///< share of a backend server's queue
    wire::priority urgency = wire::priority::normal;
    bool enabled = true;
};

/// Prices are in millionths of the currency unit per million tokens: integers, so sums are exact.
struct version_entry {
    std::string version;
    std::int64_t price_in = 0;
    std::int64_t price_out = 0;
    double quality = 0; ///< expected rating, 0 to 1; a prior for cascades
};

struct model_record {
    std::string name;
    std::vector<version_entry> versions;
    std::string default_version;
    std::int64_t slow_ms = 0; ///< a first token later than this counts as slow; 0: never
};

/// A plain service that requests are routed to.
struct service_record {
    std::string name;
    std::int64_t price_per_call = 0; ///< millionths of the currency unit
    bool repeatable = true;          ///< false: every call is treated as non-idempotent
};

/// A roll-out of a version in place of another.
struct rollout_record {
    std::string name;
    std::string model;
    std::string from;
    std::string to;
    std::uint64_t first_answers = 10; ///< unjudged answers that the candidate may have at first
    double max_worse = 0.05;          ///< how much worse a ratio of bad answers may be
    double confidence = 0.99;         ///< of the sequential tests
    bool rated = true;                ///< a rating service judges answers; completion waits for it
    bool withdraw_when_bad = true;    ///< false: only stop offering it for new sessions
    bool paused = false;
};

struct withdrawal_record {
    std::string name;
    std::string model;
    std::string version;
    bool active = true;
};

/// Models tried in order until an answer is rated well enough.
struct cascade_record {
    std::string name;
    std::vector<model_version> stages; ///< an empty version means the model's current one
    double accept_rating = 0.7;
};

enum class rollout_state : std::uint8_t { running, halted, completed };

/// What the control leader has decided about a roll-out; part of the replicated state, so that a
/// new leader goes on from there.
struct rollout_progress {
    std::string rollout;
    std::uint64_t number = 0; ///< of the record it belongs to; an amended record starts anew
    rollout_state state = rollout_state::running;
    std::uint64_t granted = 0; ///< answers that entries may have started in all: an upper bound
    std::uint64_t judged = 0;
    double share = 0;
    std::string reason;
    std::int64_t wall_ms = 0;
};

} // namespace hickorypost::records
