#pragma once

#include "hickorypost/dispatch/answer_stream.h"
#include "hickorypost/dispatch/caller_types.h"
#include "hickorypost/dispatch/request_services.h"
#include "hickorypost/telemetry/span.h"

#include <memory>
#include <optional>

namespace hickorypost::dispatch {

/// One request of a caller at an entry, from its message to its settled bill. Sans I/O.
///
/// States follow one another by callbacks: identify, bind the session, open in the ledger, attempt
/// (again elsewhere where that is safe), deliver, bill. It keeps itself alive until it is billed.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(request_services& services, caller_input input, caller_hooks caller);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    void begin();
    void caller_gone();
    void on_timer(flow_timer which);

    [[nodiscard]] const ledger::usage_fact& fact() const noexcept { return fact_; }
    [[nodiscard]] const telemetry::trace_context& trace() const noexcept { return trace_; }
    [[nodiscard]] const std::string& parent_span() const noexcept { return parent_span_; }
    [[nodiscard]] instant arrived() const noexcept { return arrived_; }

private:
    struct attempt_state {
        attempt_id id = 0;
        routing::backend_id backend;
        incarnation agent_life = 0;
        micros modelled_first{0};
        instant started;
        std::optional<instant> first_byte;
        std::uint64_t received = 0;
        bool live = false;
    };

    // Before the first attempt.
    bool identify();
    bool read_headers();
    bool read_chat_body();
    bool read_service_path();
    bool admit();
    bool resolve();
    void bind_session();
    void session_bound(const ledger::ledger_reply* reply);
    void choose_cascade_start();
    void open();
    void note_open();
    [[nodiscard]] ledger::ledger_command open_command(bool non_idempotent) const;
    void opened(const ledger::ledger_reply* reply);
    void attach(const ledger::open_request& holder, std::optional<ledger::request_outcome> closed);

    // Attempts.
    void attempt();
    void send_start();
    void on_event(attempt_id id, const attempt_event& event);
    void on_refused(const wire::refused& msg);
    void on_piece(const wire::piece& msg);
    void on_finished(const wire::finished& msg);
    void on_unknown(const wire::unknown_attempt& msg);
    void on_link_lost();
    void on_link_back();
    void lost_for_good();
    void start_link_timer(millis delay);
    void stop_link_timer();
    void close_attempt(bool backend_failed, micros total);
    bool try_elsewhere(bool safe);

    // The answer.
    void add_line(const wire::finished& msg);
    void judge_stage();
    void escalate_or_deliver(std::optional<double> rating);
    void deliver_complete();
    void bill(ledger::request_outcome outcome);
    void report_unknown();
    void billed();
    void settle_attempts();
    void report_evidence(const wire::finished& msg);

    // Ends.
    void fail(unsigned status, std::string_view type, std::string_view message,
              told_outcome outcome, std::optional<millis> retry_after = std::nullopt);
    void give_up();
    void on_deadline();
    void over();
    [[nodiscard]] std::vector<answer_header> answer_headers() const;
    [[nodiscard]] micros remaining() const;
    [[nodiscard]] const model_version& target() const { return stages_[stage_]; }

    request_services& services_;
    caller_input input_;
    caller_hooks caller_;

    ledger::usage_fact fact_;
    std::string model_name_;
    std::string session_;
    std::string task_;
    bool stream_ = false;
    bool service_ = false;
    bool non_idempotent_ = false;
    bool key_given_ = false; ///< by the caller, so that it may have been sent before
    bool opened_ = false;    ///< the ledger holds the key for an attempt that is known here
    bool admitted_ = false;
    bool on_candidate_ = false;
    std::string method_;
    std::string service_path_;
    std::string body_;
    std::uint64_t prefix_ = 0;
    double prompt_tokens_ = 0; ///< estimated from its length
    instant arrived_;
    instant deadline_;
    telemetry::trace_context trace_;
    std::string parent_span_;

    std::vector<model_version> stages_;
    std::size_t stage_ = 0;
    bool cascade_ = false;
    double accept_rating_ = 0;
    std::vector<routing::backend_id> tried_;
    std::vector<std::pair<node_id, attempt_id>> to_settle_;
    attempt_state attempt_;
    std::uint32_t tries_ = 0;
    bool maybe_ran_ = false;
    bool deadline_passed_ = false;
    millis retry_hint_{0};
    wire::refusal last_refusal_ = wire::refusal::no_backend;

    answer_stream answer_;
    std::string answer_type_ = "application/json";
    bool streaming_ = false;
    bool closing_ = false; ///< the outcome is settled; only the bill is awaited
    bool gone_ = false;
    bool over_ = false;
    bool link_timer_armed_ = false;
};

} // namespace hickorypost::dispatch
