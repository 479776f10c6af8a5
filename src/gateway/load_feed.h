#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/load_balancer.h"
#include "hickorypost/gateway/load_table.h"
#include "hickorypost/net/timer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickorypost {

/// Which hosts get news from which.
struct attachments {
    std::set<node_id> downstream_hosts; ///< hosts that get them from this one, which has a disk
    std::vector<node_id>
        upstream_hosts; ///< where this host, which has none, gets them from, best first
};

/// Tells the hosts who has how much work on which backend server, within milliseconds of a change
/// that matters. A host without a disk tells the first that it is attached to; hosts with a disk
/// add up what they hear, tell each other their own hosts' part, and their hosts the whole.
class load_feed {
public:
    load_feed(runtime& env, peer_mesh& mesh, gateway::load_balancer& balancer, bool has_disk,
              const attachments& around);

    /// This host's own work on a backend server.
    void own_changed(const std::string& backend, const gateway::remote_load& own);
    void take_report(const node_id& from, const wire::load_report& report);
    void on_host_gone(const node_id& host);
    /// `host` has just begun to listen.
    void require_full_report(const node_id& host);
    /// Call after each change of `attachments`, and about ten times a second.
    void follow_attachments();
    void tick();

private:
    using load_map = std::map<std::string, gateway::remote_load>;

    void update_balancer(const std::vector<std::string>& backends);
    void take_whole(const node_id& from, const load_map& loads);
    void schedule_flush();
    void flush();
    /// `backends` as `to` must hear of them; all of them if it missed something.
    void tell(const node_id& to, const gateway::load_table& sums,
              const std::vector<std::string>& backends);
    [[nodiscard]] wire::load_report report(const node_id& to, const gateway::load_table& sums,
                                           const std::vector<std::string>& backends) const;
    void forget_silent(instant now);

    runtime& env_;
    peer_mesh& mesh_;
    gateway::load_balancer& balancer_;
    bool has_disk_;
    const attachments& around_;

    gateway::load_table own_part_; ///< this host's work and that of hosts attached to it
    gateway::load_table all_;      ///< what hosts with a disk know besides; empty elsewhere
    std::set<std::string>
        told_others_;                  ///< backend servers where the balancer knows of others' work
    std::map<node_id, instant> heard_; ///< when each host reported last
    std::set<node_id> owed_whole_;     ///< hosts that missed a report
    node_id front_;                    ///< that this host reports to
    instant whole_due_;
    instant flushed_;
    net::timer flush_timer_;
};

} // namespace hickorypost
