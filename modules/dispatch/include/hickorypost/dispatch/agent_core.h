#pragma once

#include "hickorypost/admission/admission_queue.h"
#include "hickorypost/admission/attempt_table.h"
#include "hickorypost/ledger/ledger_types.h"
#include "hickorypost/records/records_state.h"
#include "hickorypost/telemetry/metrics.h"
#include "hickorypost/telemetry/span.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace hickorypost::dispatch {

/// A message from an agent to an entry about one attempt.
using agent_answer =
    std::variant<wire::refused, wire::piece, wire::finished, wire::unknown_attempt>;

/// The announcement that a backend server sends periodically.
struct announcement {
    wire::backend_info info;
    std::string url;
};

/// An HTTP call that the agent makes to a backend server.
struct backend_call {
    attempt_id attempt = 0;
    std::string method;
    std::string url;
    std::string content_type;
    std::string body;
    std::string traceparent;
    std::string request_id;
    std::string authorization; ///< sent unchanged; empty if the backend server needs no key
    model_version target;
    bool event_stream = false;
    bool non_idempotent = false; ///< must reach the backend server at most once
    millis limit{0};             ///< time until the request's deadline
};

/// The result of a finished call to a backend server.
struct call_result {
    wire::run_outcome outcome = wire::run_outcome::complete;
    std::uint32_t http_status = 0;
    std::string content_type;
    wire::usage used;
};

/// Callbacks through which `agent_core` performs I/O and reads shared state.
struct agent_hooks {
    /// Returns false if no link to the entry is open; nothing was sent then.
    std::function<bool(const node_id& entry, const agent_answer&)> send;
    std::function<void(const backend_call&)> call;
    std::function<void(attempt_id, wire::run_outcome why)> cancel_call;
    /// Commits the usage of a run whose entry is gone. Calls `done(true)` once it is durable,
    /// `done(false)` if the ledger could not be reached.
    std::function<void(const ledger::usage_fact&, std::function<void(bool)> done)> bill;
    /// Called when the result of `describe_self()` has changed.
    std::function<void()> changed;
    std::function<void(const telemetry::span&)> span;
    /// Whether the local records are known to be current.
    std::function<bool()> fresh;
    std::function<const records::records_state&()> records;
};

struct agent_core_options {
    /// How long an attempt's outcome or its tombstone is kept. Must exceed the longest time that a
    /// start message can be delayed in transit.
    millis attempt_memory{120'000};
    /// Time that an entry has to reconnect before its runs are handled as orphans.
    millis orphan_grace{5000};
    /// A backend server without an announcement for this long is marked as leaving.
    millis announce_silence{10'000};
    /// Retry delay suggested to an entry whose start was refused.
    millis refusal_retry{200};
};

/// Admits, queues and runs attempts on the backend servers of one agent. All work reaches these
/// backend servers through their agent, so the final check before a start is made here. Performs no
/// I/O itself; see `agent_hooks`.
class agent_core {
public:
    agent_core(node_id self, incarnation life, agent_core_options options, agent_hooks hooks,
               clock_fn now, wall_clock_fn wall, random_fn random, telemetry::metrics& metrics);

    // Messages from entries.
    void on_start(const node_id& entry, wire::start order);
    void on_cancel(const node_id& entry, const wire::cancel& msg);
    void on_resume(const node_id& entry, const wire::resume& msg);
    void on_settled(const wire::settled& msg);
    /// The last link to this entry was closed.
    void on_entry_lost(const node_id& entry);

    // Events from backend servers.
    void on_announcement(announcement what);
    void on_call_head(attempt_id attempt, std::uint32_t http_status, std::string_view type);
    void on_call_bytes(attempt_id attempt, std::string_view bytes);
    void on_call_over(attempt_id attempt, const call_result& result);

    /// Expires queued attempts and tombstones, marks silent backend servers as leaving and cleans
    /// up orphaned runs. Must be called several times per second.
    void sweep();
    /// Stops admitting and starting attempts.
    void leave();

    [[nodiscard]] wire::agent_info describe_self() const;
    [[nodiscard]] bool leaving() const noexcept { return leaving_; }
    /// Whether no attempt is queued, running or waiting for its usage to be settled.
    [[nodiscard]] bool empty() const noexcept { return runs_.empty(); }
    [[nodiscard]] std::size_t runs() const noexcept { return runs_.size(); }

private:
    struct served_backend {
        explicit served_backend(admission::queue_options options) : queue{options} {}
        wire::backend_info info;
        std::string url;
        admission::admission_queue queue;
        instant last_announced;
    };
    /// One attempt from admission until its usage is settled. Keeps the complete answer, so that an
    /// entry can resume it from any offset after a lost connection.
    struct agent_run {
        wire::start order;
        node_id entry;
        std::string answer;
        std::size_t sent = 0;
        wire::finished end;
        bool running = false;
        bool over = false;
        bool billing = false;
        instant queued_at;
        instant started_at;
        instant first_byte_at;
        instant over_at;
        std::optional<instant> orphaned_at;
        std::int64_t started_wall_ms = 0;
        telemetry::trace_context trace;
    };

    [[nodiscard]] std::optional<wire::refusal> check(const wire::start& order,
                                                     const served_backend* to) const;
    void refuse(const node_id& entry, attempt_id attempt, wire::refusal reason, millis retry_after);
    void start_queued(const std::string& name);
    void refuse_queued(attempt_id attempt, wire::refusal reason);
    void begin(agent_run& run, const served_backend& on);
    void send_unsent(agent_run& run);
    void write_span(const agent_run& run);
    void handle_orphan(attempt_id attempt, agent_run& run);
    void bill_orphan(attempt_id attempt, agent_run& run);
    void remove_from_queue(const agent_run& run);
    void expire_queued();
    void mark_silent_backends_leaving();
    served_backend* find_backend(const std::string& name);

    node_id self_;
    incarnation life_;
    agent_core_options options_;
    agent_hooks hooks_;
    clock_fn now_;
    wall_clock_fn wall_;
    random_fn random_;
    telemetry::metrics& metrics_;
    std::map<std::string, std::unique_ptr<served_backend>> backends_;
    std::unordered_map<attempt_id, std::unique_ptr<agent_run>> runs_;
    admission::attempt_table attempts_;
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
};

} // namespace hickorypost::dispatch
