#pragma once

#include "agent_run.h"
#include "control_client.h"
#include "hickorypost/admission/admission_queue.h"
#include "hickorypost/admission/attempt_table.h"
#include "hickorypost/net/listener.h"
#include "http_server.h"
#include "runtime.h"

#include <map>
#include <unordered_map>

namespace hickorypost {

/// The process beside a backend server, and the only way to it: every promise about starting work
/// is checked here, last.
class agent_role final : public role {
public:
    /// Fails with `net::listen_error`.
    static result<std::unique_ptr<agent_role>> start(const runtime& env);
    ~agent_role() override;

    void drain(std::function<void()> done) override;

private:
    struct served_backend {
        explicit served_backend(admission::queue_options options) : queue{options} {}
        wire::backend_info info;
        std::string url;
        admission::admission_queue queue;
        instant last_announced;
    };

    explicit agent_role(const runtime& env);
    result<void> open_network();
    void open_control();

    // Entries.
    void on_message(net::link& from, wire::message_type type, std::string_view body);
    void on_start(net::link& from, wire::start order);
    void on_cancel(net::link& from, attempt_id attempt);
    void on_resume(net::link& from, const wire::resume& msg);
    void on_settled(attempt_id attempt);
    void on_link_down(net::link& from);
    [[nodiscard]] std::optional<wire::refusal> check(const wire::start& order, served_backend* to);
    void refuse(net::link& to, attempt_id attempt, wire::refusal reason, millis retry_after);

    // Runs.
    void pump(const std::string& name);
    void begin(agent_run& run, served_backend& on);
    void on_bytes(attempt_id attempt, std::string_view bytes);
    void on_over(attempt_id attempt, const engine_result& result);
    void send_rest(agent_run& run);
    void write_span(const agent_run& run);

    // Time.
    void sweep();
    void bill_orphan(attempt_id attempt, agent_run& run);
    void expire_queued();

    // Backend servers.
    void on_http(const std::shared_ptr<http_exchange>& exchange);
    void take_announcement(const std::shared_ptr<http_exchange>& exchange);
    void announce();
    [[nodiscard]] wire::agent_info describe_self() const;
    [[nodiscard]] bool idle() const;

    const runtime& env_;
    const agent_settings& config_;
    net::gobject_ptr<SoupSession> session_;
    std::unique_ptr<control_client> control_;
    std::unique_ptr<net::listener> listener_;
    std::unique_ptr<http_server> http_;
    std::map<std::string, std::unique_ptr<served_backend>> backends_;
    std::unordered_map<attempt_id, std::unique_ptr<agent_run>> runs_;
    admission::attempt_table attempts_;
    std::map<net::link*, bool> links_;
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    net::timer sweep_timer_;
    net::timer drain_timer_;
    net::timer drain_limit_timer_;
    std::function<void()> drained_;
};

} // namespace hickorypost
