#pragma once

#include "hickorypost/base/buffer.h"
#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/buffer_budget.h"
#include "hickorypost/gateway/crash_ledger.h"
#include "hickorypost/gateway/crash_watch.h"
#include "hickorypost/gateway/event_splitter.h"
#include "hickorypost/gateway/exchange_types.h"
#include "hickorypost/gateway/liveness_probe.h"
#include "hickorypost/gateway/model_choice.h"
#include "hickorypost/gateway/retry_window.h"
#include "hickorypost/gateway/rollout_view.h"
#include "hickorypost/gateway/route_table.h"
#include "hickorypost/scheduling/admission_coordinator.h"

#include <map>
#include <memory>

namespace hickorypost::gateway {

/// Times and bounds of a request's lifecycle.
struct exchange_settings {
    /// A request times out this long before its caller stops waiting, so that the timeout's answer
    /// still arrives.
    millis answer_margin{20};
    /// Time left below which no further attempt begins.
    millis min_attempt_time{30};
    /// Connection attempts per request before it is rejected as not executed.
    std::uint32_t max_connect_attempts = 12;
    /// A plain answer up to this size is buffered until it is complete, so that the request can
    /// still be retried if the answer is truncated.
    std::size_t max_buffered_bytes = std::size_t{256} << 10U;
    /// Bytes queued for the caller above which reading from the backend server pauses.
    std::size_t max_unsent_bytes = std::size_t{256} << 10U;
    /// Lower bound of `max_buffered_bytes` and `max_unsent_bytes` while memory is short.
    std::size_t min_answer_bytes = std::size_t{16} << 10U;
    /// A process that has just started knows no backend server until the first heartbeats arrive.
    /// A request waits this long for the first backend server, but at most half of the time until
    /// its deadline.
    millis backend_wait{1300};
    millis backend_poll{50}; ///< interval of looking for a backend server
    /// Where all backend servers are limited, a request waits this long for a permit: the time that
    /// the host that grants permits takes to reply.
    millis permit_wait{45};
    millis permit_poll{15}; ///< interval of looking for a permit
    /// Where all backend servers have asked for no requests, a request waits this long for the
    /// first of them to be available, and is rejected at once if that takes longer.
    millis backoff_wait{100};
    /// Time without an event after which a resumable stream fails over, as a multiple of the
    /// route's target for the first event or the gap between events.
    double silence_factor = 2.0;
    /// Time without an answer after which an idempotent plain request fails over, as a multiple of
    /// the route's target latency.
    double plain_silence_factor = 3.0;
    /// Time without an event, beyond the expected prefill time, after which an engine is probed, as
    /// a fraction of the route's target. Leaves time to resume a stream within its longest allowed
    /// pause.
    double probe_after_ratio = 0.35;
    /// Lower bound of that time, before the prefill time is added.
    millis min_probe_delay{400};
    /// Engines whose answers have stalled are probed.
    bool probe_silent_backends = true;
    /// Broken streams are resumed on another backend server where their route allows it.
    bool resumes = true;
    /// Retry-After of a request that did not run is `min_retry_after` (or the time until a limited
    /// backend server has room) plus a random part of `retry_after_jitter`, so that callers do not
    /// retry all at once.
    millis min_retry_after{150};
    millis retry_after_jitter{450};
    /// New requests to services with engines wait at this host while all engines have a backlog.
    bool admission = true;
    /// Retry-After, before the random part, while all backend servers of a service are evacuated.
    millis evacuated_retry_after{1000};
};

/// How a request ended, for logs, metrics and the report.
enum class exchange_outcome : std::uint8_t {
    answered,    ///< a backend server's complete answer was delivered
    rejected,    ///< before any attempt: no route, no key, no configuration, or known to crash
    not_run,     ///< aborted, and certainly not executed
    failed,      ///< aborted, and may have been executed
    timed_out,   ///< its deadline has passed
    broken_off,  ///< part of the answer was delivered and the rest could not be
    caller_left, ///< the caller closed its connection first
};

std::string_view name_of(exchange_outcome outcome) noexcept;

/// What is logged, counted and reported about a request.
struct exchange_record {
    std::string id;
    std::string route;
    std::string service;
    std::string account;
    std::string backend; ///< backend server of the last attempt
    std::string version;
    std::string model;
    request_kind kind = request_kind::safe;
    exchange_outcome outcome = exchange_outcome::answered;
    unsigned status = 0;
    std::string reason;
    std::uint32_t attempts = 0;
    std::uint32_t candidates = 0; ///< backend servers that the last attempt could choose from
    std::uint32_t limited = 0;    ///< of the candidates, those without room under their limit
    /// Backend servers that the last attempt could not use because they had asked this host to back
    /// off, and the time until they are available.
    std::vector<std::pair<std::string, millis>> backing_off;
    /// Attempts sent to a backend server while it had asked this host to back off.
    std::uint32_t sent_during_backoff = 0;
    std::optional<millis> retry_after; ///< as sent to the caller
    micros waited{0};                  ///< for admission
    std::uint64_t config_version = 0;
    std::uint64_t events = 0;
    micros to_first{0};    ///< from the request's arrival to its first event or answer's head
    micros longest_gap{0}; ///< between two deliveries of a stream's events
    /// Of the last attempt on an engine, from its start to its first event.
    double expected_first_ms = 0;
    double attempt_first_ms = 0; ///< 0: no event
    micros total{0};             ///< from the request's arrival to its end
    double prompt_tokens = 0;
    double output_tokens = 0;
    std::optional<request_identity> identity; ///< set if it was computed
    /// Prompt parts for which the request was refused.
    std::vector<std::uint64_t> crashing_parts;
};

/// Components of the process that all its requests share.
struct exchange_services {
    backend_directory& directory;
    load_balancer& balancer;
    rollout_view& rollouts;
    model_choice& models;
    std::map<std::string, retry_window>& retry_windows; ///< by service
    attempt_port& backends;
    liveness_probe& liveness;
    crash_watch& crashes;
    crash_ledger& suspects;
    backend_limits& limits;
    backend_backoff& backoffs;
    scheduling::admission_coordinator& admission;
    scheduler& timers;
    clock_fn now;
    random_fn random;
    exchange_settings settings;
    retry_window_settings retry_settings;
    /// Number of processes that share the retry budget.
    std::function<std::size_t()> processes;
    std::function<std::string(const caller_request&, const attempt_order&)> write_head;
    std::function<backend_answer(const http1::response_head&)> read_answer;
    std::function<void(const exchange_record&)> finished;
    /// Applies what an answer to a request says about the state of its backend server.
    std::function<void(const std::string& backend, const backend_answer&, std::string_view request)>
        answer_seen;
    /// Logs and counts a decision about a request, with the reason for it.
    std::function<void(const exchange_record&, std::string_view decision, std::string_view why)>
        note;
    /// Counts the prefill of an attempt that is sent to an engine, in milliseconds on a reference
    /// engine, as work of the account.
    std::function<void(const std::string& account, double work_ms)> work_admitted =
        [](const std::string&, double) {};
    /// Memory for answers that are kept or that callers have not read.
    std::shared_ptr<buffer_budget> answer_buffers = std::make_shared<buffer_budget>(0);
    /// While this host drains: the time at which it ends the requests that are left.
    std::optional<instant> drain_end = std::nullopt;
};

/// Handles one request until its answer is complete: chooses backend servers, sends attempts,
/// retries, and relays the answer. Performs no I/O itself.
///
/// A request that is not idempotent is sent to a second backend server only if the first one
/// answered that it did not execute the request, or if no byte of the request left this process.
/// The status is 429 or 503 only if the request cannot have run; other failures are 502 or 504.
class exchange final : private attempt_events, private scheduling::admission_waiter {
public:
    exchange(exchange_services& services, caller_port& caller, caller_request request,
             route_table_ptr table, const route_spec& route, const account_spec* account);
    ~exchange() override;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void start();
    /// The caller's connection ended, in the way that `why` says. Cancels the current attempt.
    void caller_left(std::string_view why);
    /// This host is about to exit. Sends the caller an error now, or breaks its answer off if part
    /// of it has been sent.
    void host_exits();
    /// This host drains until `drain_end`. Rejects the request if it waits for admission and might
    /// be cut off then.
    void host_drains();
    /// A suspect has become refused. Cancels an attempt that is now known to crash its backend
    /// server.
    void suspects_changed();
    /// All bytes queued for the caller have been sent. Continues reading the answer.
    void caller_drained();
    [[nodiscard]] bool over() const noexcept { return finished_; }
    [[nodiscard]] const std::string& id() const noexcept { return request_.id; }
    [[nodiscard]] std::size_t request_body_bytes() const noexcept { return request_.body.size(); }
    /// Bytes of answers that are kept before they are passed to the caller, or dropped.
    [[nodiscard]] std::size_t answer_bytes() const noexcept
    {
        return allocated_bytes(buffered_body_) + allocated_bytes(failure_body_) +
               events_.partial_bytes();
    }

private:
    bool may_send() override;
    bool on_head(http1::response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;
    void on_fault(attempt_fault fault) override;
    void on_turn() override;
    void on_hopeless(millis retry_after) override;

    /// Whether the request may run more than once.
    [[nodiscard]] bool is_retryable() const;
    [[nodiscard]] millis time_left() const;
    /// Counts the current attempt as sent, once.
    void count_sent_attempt();
    /// Takes a retry from the service's retry budget, unless the route's attempts or the time are
    /// used up. True without taking one if nothing has been sent yet.
    bool try_take_retry();
    /// Chooses one of the route's services at random, by weight.
    void pick_service();
    /// Chooses a backend server and sends an attempt there, waits for one, or ends the request.
    void try_attempt();
    /// Polls for the first backend server. False if the request has waited long enough.
    bool wait_for_backends();
    void send_to(const backend_entry& to, const job_size& job);
    /// Whether the request may be sent to `to` now, the best of the candidates. If not, it waits
    /// for its turn or has been rejected. Only new requests to services with engines wait.
    bool try_admit(const backend_entry& to, std::span<const backend_entry* const> candidates,
                   const job_size& job);
    void reject_overload(millis retry_after, std::string_view why);
    /// Whether the request is over before this host exits, however late it is sent.
    [[nodiscard]] bool may_begin_late() const;
    void reject_for_drain();
    /// Time that the request has waited for admission.
    [[nodiscard]] micros time_queued() const;
    /// Expected wait on an engine up to which requests are sent there; 0 if admission control does
    /// not apply to the request's service.
    [[nodiscard]] micros max_backlog() const;
    [[nodiscard]] job_size current_job() const;
    [[nodiscard]] job_size job_for_model(const std::string& model) const;
    [[nodiscard]] std::string current_model() const;
    [[nodiscard]] identity_parts request_parts() const;
    const request_identity& identity();
    /// Those of the request's identity and its shared parts that the crash ledger may know.
    [[nodiscard]] std::vector<request_identity> known_suspects();
    /// Whether the request is suspected to crash backend servers.
    [[nodiscard]] crash_ledger::judgement judge();
    /// Why the current attempt is known to crash its backend server; empty for a trial.
    [[nodiscard]] std::vector<request_identity> refused_in_flight();
    /// Shared parts of the prompt that are suspects if the request's backend server crashes.
    [[nodiscard]] std::span<const prompt_part> suspect_parts() const;
    /// Notes what the ledger knows of this request, when an attempt is sent.
    void record_known_crashes();
    /// The connection of an attempt in flight was lost: checks whether its backend server crashed.
    void attempt_broke(std::string_view why);
    void continue_after_break(std::string_view why);
    /// A successful answer shows that the request does not crash backend servers.
    void clear_crash_suspicion();
    void reject_as_crashing(std::span<const request_identity> culprits);
    [[nodiscard]] int priority() const;
    /// The best candidate with room under its limit; null if there is none. If the best candidate
    /// has no room, removes all candidates without room.
    const backend_entry* choose(std::vector<const backend_entry*>& candidates, const job_size& job);
    void request_permits();
    /// Whether a backend server that has not been tried, other than `except`, is likely to accept
    /// the request.
    bool has_room_elsewhere(std::string_view except);
    [[nodiscard]] bool was_tried(const backend_entry& it) const;
    /// Backend servers of the request's service that may get work, those that warm up limited to
    /// the rate of the configuration.
    std::vector<const backend_entry*> usable_backends();
    /// Of these, the ones of the request's version that are not backing off. Every attempt is sent
    /// to one of them.
    std::vector<const backend_entry*> selectable_backends();
    /// Polls for a backend server that is backing off. False if that takes too long.
    bool wait_for_backoff();
    /// Time until the first of the service's backend servers is available; empty if one is now.
    [[nodiscard]] std::optional<millis> backoff_left() const;
    /// Polls for a permit. False if the request has waited long enough.
    bool wait_for_permit();
    void reject_for_limits();
    void end_attempt(attempt_result how);
    void retry(std::string_view why);
    /// Excludes the backend server of the last attempt from the next ones, unless only its
    /// connection failed.
    void exclude_tried_backend();
    /// Whether an answer is to this request, and not to another one on the same connection.
    [[nodiscard]] bool answers_this_request(const backend_answer& answer) const;
    /// Whether another incarnation than the chosen backend server answers at its address.
    [[nodiscard]] bool is_from_another_backend(const backend_answer& answer) const;
    void handle_not_executed(const backend_answer& answer);
    /// False for statuses that callers take for "not run" if the request must not run twice: the
    /// backend server that answers it has not said that it did not run it.
    [[nodiscard]] bool may_pass_on(unsigned status) const;
    void handle_failure_answer(http1::response_head& head);
    /// Expected queue of the best of `candidates` in milliseconds; 0 if there is none.
    [[nodiscard]] double expected_wait_ms(std::span<const backend_entry* const> candidates,
                                          const job_size& job);
    void start_relay(http1::response_head& head);
    /// Sends the request to a larger model if the answer's confidence is too low.
    bool try_escalate(const backend_answer& answer);
    void relay_events(std::string_view bytes);
    /// Sends complete events to the caller, `count` of them with an id.
    void forward_events(std::string_view whole, std::uint64_t count);
    /// Keeps bytes of a plain answer, or relays them once it is too large to keep.
    void relay_plain(std::string_view bytes);
    /// Keeps bytes of a failure answer. One that exceeds `max_buffered_bytes` is abandoned.
    void buffer_failure(std::string_view bytes);
    /// Bytes of the answer that may be kept or unsent, `most` unless memory is short.
    [[nodiscard]] std::size_t answer_allowance(std::size_t most) const;
    /// Pauses reading while the caller has not read what it may have unread.
    void pause_if_unread();
    /// Resumes the stream if the caller has got a part of it, else retries.
    void resume_or_retry(std::string_view why);
    /// Records how long the model of a complete stream took.
    void record_run_times();
    /// Records the mean interval of the stream's first events, as the engine's speed.
    void record_event_interval(std::uint64_t events);
    void deliver_buffered();
    /// Ends the request without a further attempt: breaks the answer off, delivers the last failure
    /// answer of a backend server, or sends an error.
    void abort(std::string_view why);
    void reply_with_error(unsigned status, std::string_view why);
    /// Cancels the current attempt and ends the request.
    void stop(std::string_view why);
    void deadline_passed();
    void cancel_silence_timers();
    /// Starts the timers that fail over from a silent backend server and probe it.
    void restart_silence_timer();
    /// Schedules a liveness probe, unless `silence_limit` passes before it.
    void schedule_probe(millis target, millis silence_limit);
    void probe_backend();
    /// Moves the request to another backend server if a retry is allowed and one has room.
    void fail_over(std::string_view why);
    void finish(exchange_outcome outcome, unsigned status, std::string_view why);

    enum class stage : std::uint8_t {
        awaiting_head, ///< no head of an answer has been received
        buffering,     ///< the body of a plain answer or a failure is buffered
        head_received, ///< a stream's head has been received, but none of its events
        relaying       ///< the head has been sent to the caller
    };

    exchange_services& services_;
    caller_port& caller_;
    caller_request request_;
    route_table_ptr table_;
    const route_spec& route_;
    const account_spec* account_;
    const service_spec* service_ = nullptr;
    exchange_record record_;

    instant started_at_;
    instant deadline_;
    std::uint64_t deadline_timer_ = 0;
    std::uint64_t silence_timer_ = 0; ///< also polls for backend servers and permits
    std::uint64_t probe_timer_ = 0;
    std::uint64_t probe_id_ = 0;       ///< in `services_.liveness`
    std::uint32_t crashes_before_ = 0; ///< crashes of this request known when the attempt was sent
    std::vector<attempted_part> attempted_parts_; ///< of the current attempt
    bool is_trial_ = false;            ///< the current attempt is a trial of a refused request
    std::uint64_t crash_check_id_ = 0; ///< in `services_.crashes`

    std::unique_ptr<attempt> current_attempt_;
    attempt_target target_; ///< of the current attempt
    std::optional<load_balancer::ticket> ticket_;
    std::vector<std::string> tried_backends_;
    std::vector<std::string> limited_backends_; ///< not tried because their limits have no room
    instant permit_wait_end_;
    std::vector<std::string> backing_off_; ///< not tried because they are backing off
    instant backoff_wait_end_;
    std::optional<millis> retry_after_; ///< time until a backend server has room
    instant attempt_started_at_;
    instant attempt_first_event_at_;          ///< the epoch: no event yet
    std::uint64_t attempt_event_count_ = 0;   ///< not counting the first event
    bool attempt_covers_whole_stream_ = true; ///< false: resumes a stream of another attempt
    std::uint32_t sent_attempts_ = 0;         ///< attempts that may have reached a backend server
    std::uint32_t unsent_attempts_ = 0;       ///< attempts that reached no backend server
    bool attempt_counted_ = false;            ///< `sent_attempts_` includes the current attempt
    bool may_have_run_ = false;
    bool connection_was_stale_ = false; ///< of the last attempt
    /// A reused connection was closed under this request; further ones may be closed as well.
    bool needs_new_connection_ = false;
    bool reading_paused_ = false;    ///< of the current attempt, as the caller has much unread
    std::uint64_t admission_id_ = 0; ///< in `services_.admission`; 0: has not waited
    instant queued_at_;
    std::size_t model_rank_ = 0;
    std::string last_scored_model_; ///< model of the last answer with a confidence
    double last_confidence_ = 0;

    stage stage_ = stage::awaiting_head;
    http1::response_head head_;
    std::string buffered_body_;
    /// Failure answer of a backend server. If all attempts fail, the caller gets it instead of the
    /// gateway's own error, as it says more.
    std::optional<http1::response_head> failure_head_;
    std::string failure_body_;
    buffer_share answer_share_{services_.answer_buffers};
    event_splitter events_;
    instant last_event_at_;
    bool finished_ = false;
};

/// An answer that the gateway itself gives, without a body. `retry_after` is the time after which
/// the caller may retry.
http1::response_head gateway_response(unsigned status,
                                      std::optional<millis> retry_after = std::nullopt);

} // namespace hickorypost::gateway
