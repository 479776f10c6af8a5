#pragma once

#include "agent_links.h"
#include "control_client.h"
#include "hickorypost/dispatch/request_flow.h"
#include "http_server.h"
#include "ledger_writer.h"
#include "rater.h"
#include "runtime.h"

namespace hickorypost {

/// An entry host: callers' HTTP on one side, agents and control hosts on the other. Gives each
/// request's flow its caller, timers and links.
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
    void write_span(const dispatch::request_flow& flow);
    control_client_hooks control_hooks();
    dispatch::request_services make_services();

    const runtime& env_;
    const entry_settings& config_;
    routing::router router_;
    routing::retry_budget retries_;
    routing::cascade_policy cascades_;
    rollout::exposure_tracker exposure_;
    admission::rate_limiter limiter_;
    dispatch::session_cache sessions_;
    rater ratings_;
    control_client control_;
    agent_links agents_;
    ledger_writer ledger_;
    dispatch::request_services services_;
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
