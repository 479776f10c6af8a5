#pragma once

#include "answer_stream.h"
#include "entry_services.h"
#include "hickorypost/ledger/ledger_types.h"
#include "http_server.h"

#include <memory>
#include <optional>

namespace hickorypost {

/// What a caller is told about a request that gave no whole answer.
enum class told_outcome : std::uint8_t {
    not_run, ///< no backend server started it, and none will
    failed,  ///< it ran, and its answer is lost or incomplete
    unknown, ///< it may have run
};

/// One request of a caller at an entry, from its HTTP message to its settled bill.
///
/// States follow one another by callbacks: identify, bind the session, open in the ledger, attempt
/// (again elsewhere where that is safe), deliver, bill. It keeps itself alive until it is billed.
class caller_request : public std::enable_shared_from_this<caller_request> {
public:
    caller_request(entry_services& services, std::shared_ptr<http_exchange> exchange,
                   std::function<void()> on_over);
    ~caller_request();
    caller_request(const caller_request&) = delete;
    caller_request& operator=(const caller_request&) = delete;

    void begin();

private:
    struct attempt_state {
        attempt_id id = 0;
        routing::backend_id backend;
        incarnation agent_life = 0;
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
    void close_attempt(bool backend_failed, micros total);
    bool try_elsewhere(bool safe);

    // The answer.
    void add_line(const wire::finished& msg);
    void judge_stage(const wire::finished& msg);
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
    void on_caller_gone();
    void on_deadline();
    void over();
    void write_span();
    [[nodiscard]] std::vector<http_header> answer_headers() const;
    [[nodiscard]] micros remaining() const;
    [[nodiscard]] const model_version& target() const { return stages_[stage_]; }

    entry_services& services_;
    std::shared_ptr<http_exchange> exchange_;
    std::function<void()> on_over_;

    ledger::usage_fact fact_;
    std::string model_name_;
    std::string session_;
    std::string task_;
    bool stream_ = false;
    bool service_ = false;
    bool non_idempotent_ = false;
    bool admitted_ = false;
    bool on_candidate_ = false;
    std::string method_;
    std::string service_path_;
    std::string body_;
    std::uint64_t prefix_ = 0;
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
    net::timer deadline_timer_;
    net::timer link_timer_;
};

} // namespace hickorypost
