#pragma once

#include "gateway/backend_feed.h"
#include "gateway/backend_pool.h"
#include "gateway/caller_server.h"
#include "gateway/control_calls.h"
#include "gateway/control_plane.h"
#include "gateway/limit_feed.h"
#include "gateway/load_report.h"
#include "gateway/request_journal.h"
#include "hickorypost/gateway/exchange.h"
#include "hickorypost/gateway/memory_guard.h"
#include "hickorypost/gateway/memory_plan.h"

#include <limits>
#include <map>
#include <memory>
#include <string>

namespace hickorypost {

/// The role of a gateway host. Forwards callers' requests to backend servers, handles operators'
/// calls and backend servers' heartbeats, and replicates the control log.
class gateway_role final : public role {
public:
    /// Starts the host. Waits for addresses that are taken; fails with `net::listen_error` if an
    /// address other than that of the metrics can never be listened on.
    static result<std::unique_ptr<gateway_role>> start(runtime& env);
    ~gateway_role() override;
    gateway_role(const gateway_role&) = delete;
    gateway_role& operator=(const gateway_role&) = delete;

    void drain(std::function<void()> done) override;
    void reload(const settings& config) override;

private:
    /// Implements the exchange's scheduler with timers of the main context.
    class timers_port final : public gateway::scheduler {
    public:
        timers_port(net::poller& input, clock_fn now) : queue_{input, std::move(now)} {}
        std::uint64_t add(instant due, std::function<void()> hook) override
        {
            return queue_.add(due, std::move(hook));
        }
        void cancel(std::uint64_t which) override { queue_.cancel(which); }

    private:
        net::timer_queue queue_;
    };

    explicit gateway_role(runtime& env);
    result<void> open();
    /// Listens on `address`, or waits for it. `name`: of the listener in the log. Fails with
    /// `net::listen_error`.
    result<std::unique_ptr<caller_server>>
    serve(std::string_view name, const net::peer_address& address, caller_server::options options);
    /// Number of listeners that wait for their address.
    [[nodiscard]] std::size_t listeners_waiting() const;
    /// Bytes that the kernel may hold for connections of callers whose buffers are not raised.
    [[nodiscard]] std::size_t unaccounted_kernel_bytes() const;
    /// Whether this host has a configuration that was confirmed as the newest, or that no leader
    /// could confirm in time.
    [[nodiscard]] bool can_serve() const;
    /// Result of the readiness probe.
    [[nodiscard]] bool ready() const;
    /// Handles the requests that were held until `can_serve`.
    void release_held_requests();
    std::unique_ptr<gateway::exchange> handle_caller(incoming_request request);
    /// Logs the rejection and responds with `status`; returns null.
    std::unique_ptr<gateway::exchange> reject(const incoming_request& request,
                                              const gateway::caller_request& decoded,
                                              unsigned status, std::string_view reason);
    void handle_ready(const incoming_request& request) const;
    void handle_metrics(const incoming_request& request);
    /// Rows of admission control and account shares for operators.
    [[nodiscard]] load_sources sources_of_load() const;
    void on_state_changed(const gateway::site_state& state);
    void apply_config(const gateway::site_state& state);
    void apply_evacuations(const gateway::site_state& state);
    /// Applies what the answer to a request, or to a liveness probe, says about its backend server.
    void on_backend_answer(const std::string& backend, const gateway::backend_answer& answer,
                           std::string_view request);
    /// Whether the backend server is expected to end: it is draining or has left, or a completed
    /// roll-out has replaced its version.
    [[nodiscard]] bool shutdown_expected(const gateway::attempt_target& target) const;
    /// The connections of the other hosts to a backend server.
    [[nodiscard]] gateway::connection_use connection_use(const std::string& backend) const;
    /// On the control log's leader: commits an incumbent version for each service without one.
    void propose_incumbents();
    void tick();
    void on_iteration(micros duration);
    void drain_step(const std::function<void()>& done);
    void collect_metrics(telemetry::metrics& metrics) const;

    runtime& env_;
    const gateway_settings& config_;
    gateway::memory_plan memory_plan_;
    std::shared_ptr<gateway::buffer_budget> request_buffers_;
    std::shared_ptr<gateway::buffer_budget> answer_buffers_;
    std::shared_ptr<gateway::buffer_budget> control_buffers_; ///< requests on the other ports
    std::shared_ptr<gateway::buffer_budget> raised_buffers_;  ///< see `caller_server::options`
    net::poller poller_;
    timers_port timers_;
    gateway::backend_directory directory_;
    gateway::load_balancer balancer_;
    scheduling::account_shares shares_;
    gateway::rollout_view rollouts_;
    gateway::model_choice model_choice_;
    std::map<std::string, gateway::retry_window> retry_windows_;
    backend_pool pool_;
    gateway::liveness_probe liveness_;
    gateway::crash_ledger crash_ledger_;
    gateway::crash_watch crash_watch_;
    gateway::backend_limits limits_;
    gateway::backend_backoff backoffs_;
    scheduling::admission_coordinator admission_;
    request_journal journal_;
    gateway::memory_guard memory_guard_;
    gateway::exchange_services services_;
    std::unique_ptr<peer_mesh> mesh_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<backend_feed> backend_feed_;
    std::unique_ptr<limit_feed> limit_feed_;
    std::unique_ptr<load_report> load_report_;
    /// Work that the engines of all services finish in a second, in ms on a reference engine.
    double engine_capacity_ms_per_s_ = std::numeric_limits<double>::infinity();
    std::map<std::string, std::uint64_t> overload_rejections_; ///< since the start, by reason
    std::unique_ptr<control_calls> control_calls_;
    gateway::route_table_ptr route_table_;
    std::unique_ptr<caller_server> callers_server_;
    std::unique_ptr<caller_server> ready_server_;
    std::unique_ptr<caller_server> control_server_;
    std::unique_ptr<caller_server> metrics_server_;
    net::timer tick_timer_;
    net::timer drain_timer_;
    std::uint64_t tick_count_ = 0;
    bool could_serve_ = false;
    bool was_ready_ = false;
    /// Counts of `callers_server_` at the end of the previous main loop iteration.
    std::uint64_t opened_before_ = 0;
    std::uint64_t refused_before_ = 0;
    bool draining_ = false;
    instant drain_began_;
    millis min_drain_time_{0}; ///< time from the start of a drain for which callers are accepted
    bool awaiting_control_responses_ = false; ///< all callers are done, control calls are not
};

} // namespace hickorypost
