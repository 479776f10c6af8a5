#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/permit_coordinator.h"
#include "hickorypost/net/timer.h"

#include <functional>

namespace hickorypost {

/// Asks for permits to send to limited backend servers, and grants them where this host is the one
/// that does: the leader of the control log.
class limit_feed {
public:
    /// `coordinator_host`: the host that grants permits; empty: none is known.
    limit_feed(runtime& env, peer_mesh& mesh, gateway::backend_limits& limits,
               std::function<node_id()> coordinator_host);

    /// Sends the permit requests of `limits`, at a bounded rate.
    void schedule_permit_requests();
    /// False: not a message of this kind.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);

private:
    void ask();
    void take_requests(const node_id& from, const wire::permit_requests& requests);
    void take_replies(const wire::permit_replies& replies);
    void reply(const node_id& to, const wire::permit_replies& replies);
    void grant_due();
    void schedule_grants();

    runtime& env_;
    peer_mesh& mesh_;
    gateway::backend_limits& limits_;
    std::function<node_id()> coordinator_host_;
    gateway::permit_coordinator coordinator_;
    instant asked_;
    net::timer ask_timer_;
    net::timer grant_timer_;
};

} // namespace hickorypost
