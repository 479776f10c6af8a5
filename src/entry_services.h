#pragma once

#include "agent_links.h"
#include "control_client.h"
#include "hickorypost/admission/rate_limiter.h"
#include "hickorypost/rollout/exposure_book.h"
#include "hickorypost/routing/cascade_policy.h"
#include "hickorypost/routing/retry_budget.h"
#include "ledger_writer.h"
#include "rater.h"
#include "session_cache.h"

namespace hickorypost {

/// What a caller's request works with at an entry.
struct entry_services {
    const runtime& env;
    const entry_settings& config;
    control_client& control;
    agent_links& agents;
    ledger_writer& ledger;
    routing::router& router;
    routing::retry_budget& retries;
    routing::cascade_policy& cascades;
    rollout::exposure_book& exposure;
    admission::rate_limiter& limiter;
    session_cache& sessions;
    rater& ratings;
};

} // namespace hickorypost
