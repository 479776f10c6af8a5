#pragma once

#include "gateway/load_feed.h"
#include "gateway/peer_mesh.h"
#include "gateway/usage_feed.h"
#include "hickorypost/gateway/backend_directory.h"
#include "hickorypost/gateway/backend_limits.h"
#include "hickorypost/gateway/crash_ledger.h"
#include "hickorypost/gateway/heartbeat_relay.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/net/timer.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hickorypost {

/// Callbacks of `backend_feed`.
struct backend_feed_hooks {
    /// A backend server has left.
    std::function<void(const std::string& backend)> backend_gone;
    /// A backend server has restarted under the same name, so this incarnation has ended.
    std::function<void(const std::string& backend)> backend_superseded;
    /// Whether a core host has last reported that it knows the control log's leader.
    std::function<bool(const node_id& host)> reaches_leader;
    /// Whether a core host handles reports of accounts' usage.
    std::function<bool(const node_id& host)> takes_account_usage;
    /// The number of hosts, this one included.
    std::function<std::size_t()> host_count;
    /// Pins sessions that another host has seen on an old version. Returns those that were not
    /// pinned here before.
    std::function<std::vector<std::uint64_t>(const std::vector<std::uint64_t>& sessions)>
        pin_sessions;
    /// All pinned sessions, for a host that has just connected.
    std::function<std::vector<std::uint64_t>()> pinned_sessions;
    /// Another host has announced a new rate limit of a backend server.
    std::function<void(const gateway::limit_change&)> limit_changed;
};

/// Distributes the state of backend servers to all hosts: heartbeat records, probe failures,
/// crashes, rate limits and pinned sessions. Core hosts, which have a disk, send it to each other
/// and to the hosts attached to them. A host without a disk attaches to a fixed number of them, so
/// that its message rate does not grow with the number of hosts.
class backend_feed {
public:
    backend_feed(runtime& env, peer_mesh& mesh, gateway::backend_directory& directory,
                 gateway::crash_ledger& crashes, gateway::backend_limits& limits,
                 gateway::load_balancer& balancer, scheduling::account_shares& shares,
                 bool has_disk, backend_feed_hooks hooks);

    void start();
    load_feed& loads() noexcept { return loads_; }
    /// Handles a heartbeat or leave notice that a backend server sent to this host.
    void on_heartbeat(const gateway::backend_record& record);
    /// Broadcasts that a backend server has failed this host's liveness probe: all hosts avoid it
    /// until its next heartbeat.
    void report_probe_failure(const std::string& backend);
    /// Broadcasts that a backend server has said in an answer to this host that it shuts down: no
    /// host sends it new work, although its heartbeats may still say that it is ready.
    void report_leaving(const std::string& backend);
    /// Broadcasts evidence that a request crashes backend servers, or that it does not. Facts of
    /// the same main loop iteration are sent in one message.
    void broadcast_crash_fact(const gateway::crash_fact& fact);
    /// Broadcasts a rate limit that a backend server has announced in a response to this host.
    void broadcast_limit(const gateway::limit_change& change);
    /// Broadcasts sessions that must stay on their old version.
    void broadcast_pinned_sessions(std::vector<std::uint64_t> sessions);
    void on_link_up(const node_id& host);
    void on_link_down(const node_id& host);
    /// Returns false if the message type is not handled here.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);

private:
    void on_record_changed(const gateway::backend_record& record);
    void handle_superseded();
    /// Hosts to forward a message to that was received from `from`.
    [[nodiscard]] std::vector<node_id> broadcast_targets(const node_id& from) const;
    template <class M>
    void broadcast(const M& message, const node_id& from)
    {
        for (const auto& host : broadcast_targets(from)) {
            mesh_.send(host, message);
        }
    }
    /// Sends everything known about backend servers to a host that has just connected or attached.
    void send_full_state(const node_id& to);
    void on_update(const node_id& from, const wire::backend_update& update);
    void on_crash_facts(const node_id& from, const wire::crash_facts& facts);
    [[nodiscard]] wire::crash_row encode(const gateway::crash_fact& fact) const;
    [[nodiscard]] gateway::crash_fact decode(const wire::crash_row& row) const;
    void on_probe_failure(const node_id& from, const wire::probe_failure& failure);
    void update_attachments();
    /// Linked core hosts that this host should be attached to, best first.
    [[nodiscard]] std::vector<node_id> preferred_attachments() const;
    void tick();

    runtime& env_;
    peer_mesh& mesh_;
    gateway::backend_directory& directory_;
    gateway::crash_ledger& crashes_;
    gateway::backend_limits& limits_;
    bool has_disk_;
    backend_feed_hooks hooks_;
    gateway::heartbeat_relay heartbeat_relay_;
    attachments attachments_;
    load_feed loads_;
    usage_feed usage_;
    instant next_expiry_;
    std::uint64_t tick_count_ = 0;
    wire::crash_facts unsent_crash_facts_; ///< of this main loop iteration
    net::timer crash_fact_timer_;
    net::timer timer_;
};

} // namespace hickorypost
