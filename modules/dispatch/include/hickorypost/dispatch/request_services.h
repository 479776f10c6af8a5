#pragma once

#include "hickorypost/admission/rate_limiter.h"
#include "hickorypost/dispatch/session_cache.h"
#include "hickorypost/ledger/ledger_types.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/rollout/exposure_tracker.h"
#include "hickorypost/routing/cascade_policy.h"
#include "hickorypost/routing/retry_budget.h"
#include "hickorypost/routing/router.h"
#include "hickorypost/telemetry/metrics.h"

#include <variant>

namespace hickorypost::dispatch {

struct link_lost {};
struct link_back {};

/// What an attempt hears of its agent.
using attempt_event = std::variant<wire::refused, wire::piece, wire::finished,
                                   wire::unknown_attempt, link_lost, link_back>;
using attempt_hook = std::function<void(const attempt_event&)>;

/// What an entry tells an agent about an attempt.
using agent_order = std::variant<wire::start, wire::cancel, wire::resume, wire::settled>;

/// No reply: the ledger could not be reached within the limit.
using ledger_reply_fn = std::function<void(const ledger::ledger_reply*)>;
/// No value: the answer was not rated.
using rating_fn = std::function<void(std::optional<double>)>;

/// What a request's flow works with at an entry: its shared decision parts, and hooks to the world.
struct request_services {
    clock_fn now;
    wall_clock_fn wall;
    random_fn random;
    std::function<const records::records_state&()> records;
    std::function<bool()> fresh;
    std::function<std::uint32_t()> ledger_groups;
    /// False: there is no link to the agent just now, and nothing was sent.
    std::function<bool(const node_id& agent, const agent_order&)> send;
    std::function<void(attempt_id, const node_id& agent, attempt_hook)> listen;
    std::function<void(attempt_id)> forget;
    /// `limit` 0: try for ever.
    std::function<void(std::uint32_t group, ledger::ledger_command, millis limit, ledger_reply_fn)>
        write_ledger;
    std::function<bool()> rated;
    std::function<void(const model_version&, std::string_view question, std::string_view answer,
                       millis limit, rating_fn)>
        rate;
    routing::router& router;
    routing::retry_budget& retries;
    routing::cascade_policy& cascades;
    rollout::exposure_tracker& exposure;
    admission::rate_limiter& limiter;
    session_cache& sessions;
    telemetry::metrics& metrics;
    millis default_timeout{60'000};
};

} // namespace hickorypost::dispatch
