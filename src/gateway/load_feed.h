#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/load_table.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/scheduling/load_report_pacer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickorypost {

/// The hosts between which reports are passed on: from a host with a disk to the hosts without a
/// disk that are attached to it.
struct attachments {
    std::set<node_id> downstream_hosts; ///< attached to this host, which has a disk
    /// Hosts with a disk that pass reports on to this host, which has none; preferred one first.
    std::vector<node_id> upstream_hosts;
};

/// Distributes the load that each host puts on each backend server, soon after a significant
/// change. A host without a disk reports its load to the first of its upstream hosts. A host with a
/// disk adds up the reports, sends the other hosts with a disk the sum of itself and its downstream
/// hosts, and sends each downstream host that reports to it the total of all other hosts.
class load_feed {
public:
    load_feed(runtime& env, peer_mesh& mesh, gateway::load_balancer& balancer, bool has_disk,
              const attachments& around);

    /// Sets this host's own load on a backend server.
    void own_changed(const std::string& backend, const gateway::remote_load& own);
    /// Sets the number of this host's open connections to a backend server.
    void own_connections_changed(const std::string& backend, std::size_t open);
    /// Whether the reported load covers all hosts, as far as this host knows them.
    [[nodiscard]] bool is_complete() const;
    void take_report(const node_id& from, const wire::load_report& report);
    void on_host_gone(const node_id& host);
    /// Makes the next report to `host` a full one. Call when a link to a host with a disk is up.
    void require_full_report(const node_id& host);
    /// Whether `host` reports its load to this host.
    [[nodiscard]] bool is_reporting(const node_id& host) const
    {
        return last_reports_.contains(host);
    }
    /// Call after each change of `attachments`, and about ten times a second.
    void follow_attachments();
    void tick();

private:
    using load_map = std::map<std::string, gateway::remote_load>;

    /// Enters this host's own load on a backend server into the tables.
    void set_own(const std::string& backend);
    void update_balancer(const std::vector<std::string>& backends);
    void apply_full_report(const node_id& from, const load_map& loads);
    void schedule_flush();
    void flush();
    /// Returns the backend servers whose load is to be reported now.
    static std::vector<std::string> take_due(gateway::load_table& sums,
                                             scheduling::load_report_pacer& pacer, instant now);
    /// Sends `to` the load on `backends`, or on all backend servers if a full report is due.
    void send_report(const node_id& to, const gateway::load_table& sums,
                     const std::vector<std::string>& backends);
    [[nodiscard]] wire::load_report report(const node_id& to, const gateway::load_table& sums,
                                           const std::vector<std::string>& backends) const;
    void drop_silent_hosts(instant now);

    runtime& env_;
    peer_mesh& mesh_;
    gateway::load_balancer& balancer_;
    bool has_disk_;
    const attachments& around_;

    load_map own_;                   ///< load of this host
    gateway::load_table local_load_; ///< load of this host and its downstream hosts
    gateway::load_table total_load_; ///< load of all hosts; empty on a host without a disk
    scheduling::load_report_pacer local_pacer_;
    scheduling::load_report_pacer total_pacer_;
    /// Backend servers on which the balancer knows of load from other hosts. Used by a host without
    /// a disk.
    std::set<std::string> remotely_loaded_backends_;
    std::map<node_id, instant> last_reports_; ///< time of the last report of each host
    std::set<node_id> full_report_pending_;   ///< hosts whose next report must be a full one
    std::set<node_id> full_report_wanted_;    ///< hosts to be asked for a full report
    node_id upstream_; ///< upstream host to which a host without a disk reports; empty: none
    instant next_keepalive_;
    bool keepalive_due_ = false;
    net::timer flush_timer_;
};

} // namespace hickorypost
