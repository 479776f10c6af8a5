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

/// What an agent tells an entry about an attempt.
using agent_answer =
    std::variant<wire::refused, wire::piece, wire::finished, wire::unknown_attempt>;

/// A backend server as it announces itself.
struct announcement {
    wire::backend_info info;
    std::string url;
};

/// A call to be made to a backend server.
struct backend_call {
    attempt_id attempt = 0;
    std::string method;
    std::string url;
    std::string content_type;
    std::string body;
    std::string traceparent;
    std::string request_id;
    std::string authorization; ///< sent as it is; empty for backend servers without keys
    model_version target;
    bool event_stream = false;
    bool non_idempotent = false; ///< must reach the backend server once at most
    millis limit{0};
};

/// How a call ended.
struct call_result {
    wire::run_outcome outcome = wire::run_outcome::complete;
    std::uint32_t http_status = 0;
    std::string content_type;
    wire::usage used;
};

struct agent_hooks {
    /// False: there is no link to the entry just now.
    std::function<bool(const node_id& entry, const agent_answer&)> send;
    std::function<void(const backend_call&)> call;
    std::function<void(attempt_id, wire::run_outcome why)> cancel_call;
    /// Commits usage that no entry settles; `done(true)` once it is durable.
    std::function<void(const ledger::usage_fact&, std::function<void(bool)> done)> bill;
    /// What this agent offers has changed.
    std::function<void()> changed;
    std::function<void(const telemetry::span&)> span;
    std::function<bool()> fresh;
    std::function<const records::records_state&()> records;
};

struct agent_core_options {
    /// How long an attempt's outcome, or a tombstone, is kept: longer than a start can be on its
    /// way.
    millis attempt_memory{120'000};
    /// An entry that lost its connection has this long to come back before a run is orphaned.
    millis orphan_grace{5000};
    millis announce_silence{10'000};
    millis refusal_retry{200};
};

/// The decisions of an agent, the only way to its backend servers: every promise about starting
/// work is checked here, last. Sans I/O.
class agent_core {
public:
    agent_core(node_id self, incarnation life, agent_core_options options, agent_hooks hooks,
               clock_fn now, wall_clock_fn wall, random_fn random, telemetry::metrics& metrics);

    // What entries say.
    void on_start(const node_id& entry, wire::start order);
    void on_cancel(const node_id& entry, const wire::cancel& msg);
    void on_resume(const node_id& entry, const wire::resume& msg);
    void on_settled(const wire::settled& msg);
    /// No link to this entry is left.
    void on_entry_lost(const node_id& entry);

    // What backend servers say.
    void on_announcement(announcement what);
    void on_call_head(attempt_id attempt, std::uint32_t http_status, std::string_view type);
    void on_call_bytes(attempt_id attempt, std::string_view bytes);
    void on_call_over(attempt_id attempt, const call_result& result);

    /// Expiry, silent backend servers, orphaned runs; call several times a second.
    void sweep();
    /// From now on nothing new starts here.
    void leave();

    [[nodiscard]] wire::agent_info describe_self() const;
    [[nodiscard]] bool leaving() const noexcept { return leaving_; }
    /// Nothing runs, waits, or is still to be settled.
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
    /// One attempt from admission until its usage is settled. Keeps the whole answer, so that an
    /// entry whose connection went silent can have it from any offset on.
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
    void pump(const std::string& name);
    void drop_queued(attempt_id attempt, wire::refusal reason);
    void begin(agent_run& run, const served_backend& on);
    void send_rest(agent_run& run);
    void write_span(const agent_run& run);
    void tend_orphan(attempt_id attempt, agent_run& run);
    void bill_orphan(attempt_id attempt, agent_run& run);
    void take_from_queue(const agent_run& run);
    void expire_queued();
    void note_silent_backends();
    served_backend* backend_named(const std::string& name);

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
