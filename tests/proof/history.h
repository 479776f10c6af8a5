#pragma once
/// What happened in one run of the proof world, as the checkers see it.

#include "hickorypost/base/time.h"
#include "hickorypost/ledger/ledger_types.h"
#include "hickorypost/wire/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace hickorypost::proof {

/// An engine began to work on a request.
struct start_event {
    instant at;
    request_key key;
    attempt_id attempt = 0;
    model_version target;
    std::string session;
    node_id agent;
    std::uint64_t records_index = 0; ///< what the agent knew
    bool non_idempotent = false;
};

/// A caller was told how its sending ended.
struct told_event {
    instant at;
    std::uint64_t sending = 0;
    request_key key;
    bool non_idempotent = false;
    bool complete = false; ///< a whole answer, by the rules of the interface
    std::string outcome;   ///< of an error
    std::string body;
};

/// An attempt was sent on behalf of a caller's sending.
struct attempt_event_record {
    std::uint64_t sending = 0;
    attempt_id attempt = 0;
};

/// An operator's change was acknowledged.
struct accepted_event {
    instant at; ///< when the leader had committed it
    std::uint64_t index = 0;
    std::optional<model_version> withdraws;
    std::string change_id;
    std::string record;
    std::uint64_t number = 0;
};

struct leaving_event {
    instant at;
    node_id agent;
};

struct crash_event {
    instant at;
    node_id node;
};

struct history {
    std::vector<start_event> starts;
    std::vector<told_event> told;
    std::vector<attempt_event_record> attempts;
    std::vector<accepted_event> accepted;
    std::vector<leaving_event> leaving;
    std::vector<crash_event> crashes;
    std::vector<ledger::report_detail> details; ///< of the report at the end
    std::vector<ledger::report_row> rows;
    std::vector<std::string> log; ///< everything, in words, for whoever reads a violation
};

} // namespace hickorypost::proof
