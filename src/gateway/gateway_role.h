#pragma once

#include "gateway/backend_feed.h"
#include "gateway/backend_pool.h"
#include "gateway/caller_server.h"
#include "gateway/control_calls.h"
#include "gateway/control_plane.h"
#include "gateway/limit_feed.h"
#include "gateway/request_journal.h"
#include "hickorypost/gateway/exchange.h"

#include <map>
#include <memory>
#include <string>

namespace hickorypost {

/// A gateway host: takes callers' requests and sends them straight to backend servers, takes
/// operators' calls and backend servers' heartbeats, and takes part in the control log.
class gateway_role final : public role {
public:
    static result<std::unique_ptr<gateway_role>> start(runtime& env);
    ~gateway_role() override;
    gateway_role(const gateway_role&) = delete;
    gateway_role& operator=(const gateway_role&) = delete;

    void drain(std::function<void()> done) override;
    void reload(const settings& config) override;

private:
    /// Timers of the main context, as the flow's port.
    class timers_port final : public gateway::scheduler {
    public:
        explicit timers_port(clock_fn now) : queue_{std::move(now)} {}
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
    result<std::unique_ptr<caller_server>> serve(const net::peer_address& at,
                                                 caller_server::options how);
    /// There is a configuration, and it is the newest as far as could be asked.
    [[nodiscard]] bool can_serve() const;
    [[nodiscard]] bool ready() const;
    void release_callers();
    std::unique_ptr<gateway::exchange> handle_caller(incoming_request request);
    std::unique_ptr<gateway::exchange> reject(const incoming_request& request,
                                              const gateway::caller_request& decoded,
                                              unsigned status, std::string_view why);
    void handle_ready(const incoming_request& request) const;
    void handle_metrics(const incoming_request& request);
    void take_state(const gateway::site_state& state);
    /// Whether a backend server was to end: it drains, has left, or its version is retired.
    [[nodiscard]] bool end_expected(const gateway::attempt_target& target) const;
    /// Where this host leads: has the control log name the incumbents of services without one.
    void name_incumbents();
    void tick();
    void drain_step(const std::function<void()>& done);
    void collect_metrics(telemetry::metrics& to) const;

    runtime& env_;
    const gateway_settings& config_;
    net::poller poller_;
    timers_port timers_;
    gateway::backend_directory directory_;
    gateway::load_balancer balancer_;
    gateway::rollout_view rollouts_;
    gateway::model_choice models_;
    std::map<std::string, gateway::retry_window> windows_;
    backend_pool pool_;
    gateway::liveness_probe liveness_;
    gateway::crash_ledger suspects_;
    gateway::crash_watch crashes_;
    gateway::backend_limits limits_;
    request_journal journal_;
    gateway::exchange_services services_;
    std::unique_ptr<peer_mesh> mesh_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<backend_feed> feed_;
    std::unique_ptr<limit_feed> permits_;
    std::unique_ptr<control_calls> calls_;
    gateway::route_table_ptr table_;
    std::unique_ptr<caller_server> callers_server_;
    std::unique_ptr<caller_server> ready_server_;
    std::unique_ptr<caller_server> control_server_;
    std::unique_ptr<caller_server> metrics_server_;
    net::timer tick_timer_;
    net::timer drain_timer_;
    std::uint64_t turn_ = 0;
    bool could_serve_ = false;
    bool was_ready_ = false;
    bool draining_ = false;
    instant drain_began_;
    bool finishing_control_ = false; ///< only answers on the control port are left
};

} // namespace hickorypost
