#pragma once

#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/crash_ledger.h"
#include "hickorypost/gateway/crash_watch.h"
#include "hickorypost/gateway/event_splitter.h"
#include "hickorypost/gateway/exchange_types.h"
#include "hickorypost/gateway/liveness_probe.h"
#include "hickorypost/gateway/model_choice.h"
#include "hickorypost/gateway/retry_window.h"
#include "hickorypost/gateway/rollout_view.h"
#include "hickorypost/gateway/route_table.h"

#include <map>

namespace hickorypost::gateway {

/// Times and bounds of a request's lifecycle.
struct exchange_settings {
    /// A request times out this long before its caller stops waiting, so that the answer arrives.
    millis answer_margin{20};
    /// Time left below which no further attempt begins.
    millis min_attempt_time{30};
    /// Connection attempts per request before it is rejected as not executed.
    std::uint32_t max_connect_attempts = 12;
    /// A plain answer up to this size is buffered until it is complete, so that a truncated one can
    /// still be retried.
    std::size_t held_bytes = std::size_t{256} << 10U;
    /// Unsent bytes towards the caller at which reading from the backend server pauses.
    std::size_t max_unsent_bytes = std::size_t{256} << 10U;
    /// A process that has just started knows no backend server before their first heartbeats.
    /// Requests wait for them this long, but at most half of their time.
    millis backend_wait{1300};
    millis backend_poll{50};
    /// A request waits this long for a permit, where all backend servers are limited: as long as
    /// the host that grants them takes to reply.
    millis permit_wait{45};
    millis permit_poll{15};
    /// Silence, as a ratio of the route's targets, after which a resumable stream fails over.
    double silence_factor = 2.0;
    /// Silence of a backend server on an idempotent plain request, in multiples of the target.
    double plain_silence_factor = 3.0;
    /// Silence of an engine beyond its prefill time, as a ratio of the route's targets, after which
    /// it is probed. Leaves time to resume a stream within its longest allowed pause.
    double probe_after_ratio = 0.35;
    /// Lower bound of that silence.
    millis min_probe_delay{400};
    /// Engines whose responses have stalled are probed.
    bool probe_silent_backends = true;
    /// Broken streams are resumed at another backend server where their route allows it.
    bool resumes = true;
    /// Retry-After of a request that was rejected for lack of room, spread over a span so that
    /// callers do not return all at once.
    millis least_retry_after{150};
    millis retry_after_span{450};
};

/// How a request ended, for logs, metrics and the report.
enum class exchange_outcome : std::uint8_t {
    answered,   ///< with a backend server's whole answer
    rejected,   ///< before any attempt: no route, no key, no configuration, known to crash
    not_run,    ///< aborted, and certainly not executed
    failed,     ///< aborted, and may have been executed
    timed_out,  ///< its deadline has passed
    broken_off, ///< the answer had begun and could not be completed
    caller_left,
};

std::string_view name_of(exchange_outcome outcome) noexcept;

/// What is logged of a request.
struct exchange_record {
    std::string id;
    std::string route;
    std::string service;
    std::string account;
    std::string backend; ///< the last one tried
    std::string version;
    std::string model;
    request_kind kind = request_kind::safe;
    exchange_outcome outcome = exchange_outcome::answered;
    unsigned status = 0;
    std::string reason;
    std::uint32_t attempts = 0;
    std::uint32_t candidates = 0;
    std::uint32_t limited = 0;         ///< of those, refused to this request by their limits
    std::optional<millis> retry_after; ///< as sent to the caller
    std::uint64_t config_version = 0;
    std::uint64_t events = 0;
    micros to_first{0};
    micros longest_gap{0}; ///< between two deliveries of a stream's events
    micros total{0};
    double prompt_tokens = 0;
    double output_tokens = 0;
    std::optional<request_identity> identity; ///< where it was needed
};

/// The shared parts of one process that a request needs.
struct exchange_services {
    backend_directory& directory;
    load_balancer& balancer;
    rollout_view& rollouts;
    model_choice& models;
    std::map<std::string, retry_window>& windows; ///< by service
    attempt_port& backends;
    liveness_probe& liveness;
    crash_watch& crashes;
    crash_ledger& suspects;
    backend_limits& limits;
    scheduler& timers;
    clock_fn now;
    random_fn random;
    exchange_settings settings;
    retry_window_settings retry_settings;
    /// Processes that share the retry budget.
    std::function<std::size_t()> processes;
    std::function<std::string(const caller_request&, const attempt_order&)> write_head;
    std::function<backend_answer(const http1::response_head&)> read_answer;
    std::function<void(const exchange_record&)> finished;
    /// A decision worth a line: what, and the inputs that decided it.
    std::function<void(const exchange_record&, std::string_view decision, std::string_view why)>
        note;
};

/// A request from its head to its last byte: placement, attempts, retries, relay. Performs no I/O
/// itself.
///
/// A request that is not idempotent is sent to a second backend server only after an answer that
/// says it was not executed, or if none of its bytes left this process. It is rejected with 429 or
/// 503 only where nothing can have run; other failures are 502 or 504.
class exchange final : private attempt_events {
public:
    exchange(exchange_services& services, caller_port& caller, caller_request request,
             route_table_ptr table, const route_spec& route, const account_spec* account);
    ~exchange() override;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void start();
    /// The caller has closed its connection. Cancels the current attempt.
    void caller_left();
    /// This host is about to exit: the caller gets a final answer now, or its stream is broken off.
    void host_exits();
    /// The caller has taken all buffered bytes.
    void caller_drained();
    [[nodiscard]] bool over() const noexcept { return over_; }
    [[nodiscard]] const std::string& id() const noexcept { return request_.id; }

private:
    bool on_head(http1::response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;
    void on_fault(attempt_fault fault) override;

    [[nodiscard]] bool may_repeat() const;
    [[nodiscard]] millis time_left() const;
    void count_send();
    bool repeat_allowed();
    void pick_service();
    void try_attempt();
    bool wait_for_backends();
    void send_to(const backend_entry& to, const job_size& job);
    [[nodiscard]] job_size job_now() const;
    [[nodiscard]] job_size job_of(const std::string& model) const;
    [[nodiscard]] std::string model_now() const;
    [[nodiscard]] identity_parts parts() const;
    const request_identity& identity();
    [[nodiscard]] crash_ledger::standing standing();
    void attempt_broke(std::string_view why);
    void continue_after_break(std::string_view why);
    void note_success();
    void refuse_as_crashing();
    [[nodiscard]] int priority() const;
    /// The best candidate with room under its limit; takes those without room out.
    const backend_entry* choose(std::vector<const backend_entry*>& candidates, const job_size& job);
    void request_permits();
    /// Whether a backend server other than `except` has room under its limit.
    bool room_for_another(std::string_view except);
    bool wait_for_permit();
    void refuse_for_limits();
    void end_attempt(attempt_result how);
    void retry(std::string_view why);
    void handle_not_run(const backend_answer& answer);
    void handle_failure_answer(http1::response_head& head);
    void start_relay(http1::response_head& head);
    bool escalate(const backend_answer& answer);
    void relay_events(std::string_view bytes);
    void resume_or_retry(std::string_view why);
    void note_run();
    void note_pace(std::uint64_t events);
    void deliver_held();
    void abort(std::string_view why);
    void refuse(unsigned status, std::string_view why);
    void stop(std::string_view why);
    void deadline_passed();
    void stop_watching();
    void watch_silence();
    void schedule_probe(millis target, millis patience);
    void probe_backend();
    void fail_over(std::string_view why);
    void finish(exchange_outcome outcome, unsigned status, std::string_view why);

    enum class stage : std::uint8_t {
        waiting, ///< for an answer's head
        holding, ///< a plain answer, or a failure, is gathered
        pending, ///< a stream's head has come, none of its events
        relaying ///< the caller has got the head
    };

    exchange_services& services_;
    caller_port& caller_;
    caller_request request_;
    route_table_ptr table_;
    const route_spec& route_;
    const account_spec* account_;
    const service_spec* service_ = nullptr;
    exchange_record record_;

    instant began_;
    instant deadline_;
    std::uint64_t deadline_timer_ = 0;
    std::uint64_t silence_timer_ = 0;
    std::uint64_t probe_timer_ = 0;
    std::uint64_t probe_ = 0;          ///< of the current attempt's backend server, in `liveness`
    std::uint32_t crashes_before_ = 0; ///< of this request, known when the attempt was sent
    std::uint64_t crash_check_ = 0;    ///< of the last attempt's backend server, in `crashes`

    std::unique_ptr<attempt> current_;
    attempt_target target_; ///< of the current attempt
    std::optional<load_balancer::ticket> ticket_;
    std::vector<std::string> tried_;
    std::vector<std::string> limited_; ///< that would be tried if their limits had room
    instant permit_wait_end_;
    std::optional<millis> retry_after_; ///< until there is room under a limit
    instant attempt_began_;
    instant attempt_first_;            ///< its first event; the epoch: none yet
    std::uint64_t attempt_events_ = 0; ///< after its first
    bool attempt_is_whole_ = true;     ///< it does not go on with the events of another
    std::uint32_t sends_ = 0;          ///< attempts that may have reached a backend server
    std::uint32_t unsent_ = 0;         ///< attempts that surely did not
    bool send_counted_ = false;        ///< the current attempt is among `sends_`
    bool may_have_run_ = false;
    std::size_t model_rank_ = 0;
    std::string judged_model_; ///< the last one whose confidence was read, and that
    double judged_confidence_ = 0;

    stage stage_ = stage::waiting;
    http1::response_head head_;
    std::string held_;
    /// A backend server's own failure, which is better than one of ours if nothing better comes.
    std::optional<http1::response_head> failure_head_;
    std::string failure_body_;
    event_splitter events_;
    instant last_event_;
    bool over_ = false;
};

/// An answer of the gateway itself. `retry_after`: when to come back.
http1::response_head gateway_response(unsigned status,
                                      std::optional<millis> retry_after = std::nullopt);

} // namespace hickorypost::gateway
