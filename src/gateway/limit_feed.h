#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/permit_coordinator.h"
#include "hickorypost/net/timer.h"

#include <functional>

namespace hickorypost {

/// Requests permits to send to backend servers with a request limit. On the host that coordinates
/// permits, the leader of the control log, it also grants them.
class limit_feed {
public:
    /// `coordinator_host` returns the host that grants permits, or an empty id if none is known.
    limit_feed(runtime& env, peer_mesh& mesh, gateway::backend_limits& limits,
               std::function<node_id()> coordinator_host);

    /// Sends the pending permit requests of `limits` after the minimum interval between requests.
    void schedule_permit_requests();
    /// Returns false if the message is neither a permit request nor a permit reply.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);

private:
    void send_requests();
    void handle_requests(const node_id& from, const wire::permit_requests& requests);
    void handle_replies(const wire::permit_replies& replies);
    void reply(const node_id& to, const wire::permit_replies& replies);
    void grant_waiting();
    void schedule_grants();

    runtime& env_;
    peer_mesh& mesh_;
    gateway::backend_limits& limits_;
    std::function<node_id()> coordinator_host_;
    gateway::permit_coordinator coordinator_;
    instant last_request_;
    net::timer request_timer_;
    net::timer grant_timer_;
};

} // namespace hickorypost
