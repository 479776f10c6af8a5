#pragma once

#include "gateway/load_feed.h"
#include "gateway/peer_mesh.h"
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

struct feed_hooks {
    std::function<void(const std::string& backend)> gone;
    /// A newer start under its name has replaced this incarnation: nothing runs there any more.
    std::function<void(const std::string& backend)> superseded;
    /// Whether a host with a disk is in contact with the control log's leader, as far as is known.
    std::function<bool(const node_id& host)> reaches_leader;
    /// Another host has seen these sessions on an old version. Returns those that are news.
    std::function<std::vector<std::uint64_t>(const std::vector<std::uint64_t>& sessions)> pins;
    /// Sessions that a host which has just been connected must keep on their old version.
    std::function<std::vector<std::uint64_t>()> pinned;
    /// Another host has announced a limit.
    std::function<void(const gateway::limit_change&)> limit_changed;
};

/// Spreads what one host learns of backend servers to all others. Hosts with a disk exchange it
/// among themselves; each other host is attached to one of them, so its messages stay as many
/// however many hosts there are.
class backend_feed {
public:
    backend_feed(runtime& env, peer_mesh& mesh, gateway::backend_directory& directory,
                 gateway::crash_ledger& suspects, gateway::backend_limits& limits,
                 gateway::load_balancer& balancer, bool has_disk, feed_hooks hooks);

    void start();
    load_feed& loads() noexcept { return loads_; }
    /// A heartbeat, or notice of leaving, that a backend server sent to this host.
    void take_heartbeat(const gateway::backend_record& record);
    /// A backend server has failed this host's liveness probe: all hosts avoid it until its next
    /// heartbeat.
    void report_unresponsive(const std::string& backend);
    /// Broadcasts what this host has found out about a request.
    void share(const gateway::crash_fact& fact);
    /// Broadcasts a limit that an answer to this host has named.
    void share(const gateway::limit_change& change);
    /// Tells all hosts of sessions that stay on their old version.
    void spread_pins(std::vector<std::uint64_t> sessions);
    void on_link_up(const node_id& host);
    void on_link_down(const node_id& host);
    /// False: not a message of this kind.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);

private:
    void apply(const gateway::backend_record& record);
    void drop_superseded();
    /// Hosts that a message must go to next: `from` has it already.
    [[nodiscard]] std::vector<node_id> targets(const node_id& from) const;
    template <class M>
    void spread(const M& message, const node_id& from)
    {
        for (const auto& host : targets(from)) {
            mesh_.send(host, message);
        }
    }
    void send_all(const node_id& to);
    void take_update(const node_id& from, const wire::backend_update& update);
    void take_crash_facts(const node_id& from, const wire::crash_facts& facts);
    [[nodiscard]] wire::crash_row encode(const gateway::crash_fact& fact) const;
    [[nodiscard]] gateway::crash_fact decode(const wire::crash_row& row) const;
    void take_probe_failure(const node_id& from, const wire::probe_failure& failure);
    void choose_attachments();
    [[nodiscard]] std::vector<node_id> best_attachments() const;
    void tick();

    runtime& env_;
    peer_mesh& mesh_;
    gateway::backend_directory& directory_;
    gateway::crash_ledger& suspects_;
    gateway::backend_limits& limits_;
    bool has_disk_;
    feed_hooks hooks_;
    gateway::heartbeat_relay relay_;
    attachments around_;
    load_feed loads_;
    instant expire_due_;
    std::uint64_t turn_ = 0;
    wire::crash_facts unshared_; ///< those of this turn of the main loop
    net::timer share_timer_;
    net::timer timer_;
};

} // namespace hickorypost
