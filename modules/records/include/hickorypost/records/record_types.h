#pragma once
/// Parsed records of the operators, independent of the schema version of their documents.

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

/// A model that an account may use. An empty `versions` permits all versions.
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
    double rate_per_s = 0;           ///< 0: no limit
    double burst = 0;                ///< requests; a document without it gets `rate_per_s`
    std::uint32_t max_in_flight = 0; ///< per entry host; 0: no limit
    std::uint32_t weight = 1;        ///< relative share of a backend server's queue
    wire::priority urgency = wire::priority::normal;
    bool enabled = true;
};

/// A version of a model. Prices are in millionths of the currency unit per million tokens; they are
/// integers so that sums are exact.
struct version_entry {
    std::string version;
    std::int64_t price_in = 0;
    std::int64_t price_out = 0;
    double quality = 0; ///< expected rating, 0 to 1; prior for cascades
};

struct model_record {
    std::string name;
    std::vector<version_entry> versions;
    std::string default_version;
    std::int64_t slow_ms = 0; ///< a first token after more than this is slow; 0: no limit
};

/// A service other than a model, such as a tool, to which requests are routed.
struct service_record {
    std::string name;
    std::int64_t price_per_call = 0; ///< millionths of the currency unit
    bool repeatable = true;          ///< false: every call is treated as non-idempotent
};

/// A roll-out that replaces version `from` of a model by version `to`, the candidate.
struct rollout_record {
    std::string name;
    std::string model;
    std::string from;
    std::string to;
    std::uint64_t first_answers = 10; ///< initial limit on the candidate's unjudged answers
    double max_worse = 0.05;          ///< tolerated increase of the ratio of bad answers
    double confidence = 0.99;         ///< confidence level of the sequential tests
    bool rated = true;                ///< a rating service judges answers; completion waits for it
    bool withdraw_when_bad = true;    ///< false: only takes no new sessions
    bool paused = false;
};

struct withdrawal_record {
    std::string name;
    std::string model;
    std::string version;
    bool active = true;
};

/// Models that are tried in order until an answer is rated at least `accept_rating`.
struct cascade_record {
    std::string name;
    std::vector<model_version> stages; ///< an empty version means the model's current one
    double accept_rating = 0.7;
};

enum class rollout_state : std::uint8_t { running, halted, completed };

/// The control leader's latest decision about a roll-out. It is part of the replicated state, so
/// that a new leader continues from it.
struct rollout_progress {
    std::string rollout;
    std::uint64_t number = 0; ///< of the rollout record; an amendment restarts the roll-out
    rollout_state state = rollout_state::running;
    std::uint64_t granted = 0; ///< upper bound on the answers that all entries have started
    std::uint64_t judged = 0;
    double share = 0;
    std::string reason;
    std::int64_t wall_ms = 0;
};

} // namespace hickorypost::records
