#pragma once

#include "caller_request.h"

namespace hickorypost {

/// An entry host: callers' HTTP on one side, agents and control hosts on the other.
class entry_role final : public role {
public:
    /// Fails with `net::listen_error`.
    static result<std::unique_ptr<entry_role>> start(const runtime& env);
    ~entry_role() override;

    void drain(std::function<void()> done) override;

private:
    explicit entry_role(const runtime& env);
    void on_http(const std::shared_ptr<http_exchange>& exchange);
    void serve(const std::shared_ptr<http_exchange>& exchange);
    void list_models(const std::shared_ptr<http_exchange>& exchange);
    void report_exposure();
    void check_drained();
    void collect_metrics(telemetry::metrics& to);
    control_client_hooks control_hooks();

    const runtime& env_;
    const entry_settings& config_;
    routing::router router_;
    routing::retry_budget retries_;
    routing::cascade_policy cascades_;
    rollout::exposure_book exposure_;
    admission::rate_limiter limiter_;
    session_cache sessions_;
    rater ratings_;
    std::unique_ptr<control_client> control_;
    agent_links agents_;
    std::unique_ptr<ledger_writer> ledger_;
    std::unique_ptr<entry_services> services_;
    std::unique_ptr<http_server> http_;
    std::size_t in_flight_ = 0;
    bool draining_ = false;
    instant drain_until_;
    instant drain_settled_;
    std::function<void()> drained_;
    net::timer exposure_timer_;
    net::timer drain_timer_;
};

} // namespace hickorypost
