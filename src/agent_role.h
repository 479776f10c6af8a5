#pragma once

#include "control_client.h"
#include "engine_call.h"
#include "hickorypost/dispatch/agent_core.h"
#include "hickorypost/net/listener.h"
#include "http_server.h"
#include "ledger_writer.h"
#include "runtime.h"

#include <map>
#include <unordered_map>

namespace hickorypost {

/// The process beside a backend server: gives `agent_core` its sockets, calls and timers.
class agent_role final : public role {
public:
    /// Fails with `net::listen_error`.
    static result<std::unique_ptr<agent_role>> start(const runtime& env);
    ~agent_role() override;

    void drain(std::function<void()> done) override;

private:
    explicit agent_role(const runtime& env);
    result<void> open_network();
    control_client_hooks control_hooks();
    dispatch::agent_hooks core_hooks();

    void on_message(net::link& from, wire::message_type type, std::string_view body);
    void on_link_up(net::link& from);
    void on_link_down(net::link& from);
    [[nodiscard]] net::link* link_to(const node_id& entry) const;
    void call(const dispatch::backend_call& what);
    void bill(const ledger::usage_fact& fact, std::function<void(bool)> done);
    void on_http(const std::shared_ptr<http_exchange>& exchange);
    void take_announcement(const std::shared_ptr<http_exchange>& exchange);
    [[nodiscard]] wire::agent_info describe_self() const;
    void announce();
    void collect_metrics(telemetry::metrics& to);

    const runtime& env_;
    const agent_settings& config_;
    net::gobject_ptr<SoupSession> session_;
    std::map<attempt_id, std::unique_ptr<engine_call>> calls_;
    dispatch::agent_core core_;
    control_client control_;
    ledger_writer ledger_;
    std::unique_ptr<net::listener> listener_;
    std::unique_ptr<http_server> http_;
    std::map<node_id, std::vector<net::link*>> links_; ///< by entry, the newest last
    net::timer sweep_timer_;
    net::timer drain_timer_;
    net::timer drain_limit_timer_;
    std::function<void()> drained_;
};

} // namespace hickorypost
