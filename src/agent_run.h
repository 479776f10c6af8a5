#pragma once

#include "engine_call.h"
#include "hickorypost/net/link.h"
#include "hickorypost/telemetry/span.h"
#include "hickorypost/wire/messages.h"

#include <memory>

namespace hickorypost {

/// One attempt at an agent, from admission until its usage is settled. Keeps the whole answer, so
/// that an entry whose connection went silent can have it from any offset on.
struct agent_run {
    wire::start order;
    std::weak_ptr<net::link> to; ///< the entry that waits for it
    node_id entry;
    std::unique_ptr<engine_call> call;
    std::string answer;
    std::size_t sent = 0; ///< bytes handed to `to`
    wire::finished end;
    bool running = false;
    bool over = false;
    instant queued_at;
    instant started_at;
    instant first_byte_at;
    instant over_at;
    instant orphaned_at; ///< when its entry was lost; zero while it is there
    std::int64_t started_wall_ms = 0;
    bool billing = false; ///< the agent bills it itself, because no entry came back for it
    telemetry::trace_context trace;
};

} // namespace hickorypost
