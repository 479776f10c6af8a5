#pragma once

#include "gateway/load_feed.h"
#include "gateway/peer_mesh.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/scheduling/usage_table.h"

#include <functional>

namespace hickorypost {

/// Distributes the usage of accounts between the hosts, on the same paths as `load_feed`
/// distributes load.
class usage_feed {
public:
    /// `accepts` returns whether a host with a disk handles `wire::account_usage`; `host_count`
    /// returns the number of hosts, this one included.
    usage_feed(runtime& env, peer_mesh& mesh, scheduling::account_shares& shares, bool has_disk,
               const attachments& around, std::function<bool(const node_id&)> accepts,
               std::function<std::size_t()> host_count);

    void start();
    void take_report(const node_id& from, const wire::account_usage& report);
    void on_host_gone(const node_id& host);

private:
    void update_peers();
    void update_shares();
    void tick();

    runtime& env_;
    peer_mesh& mesh_;
    scheduling::account_shares& shares_;
    bool has_disk_;
    const attachments& around_;
    std::function<bool(const node_id&)> accepts_;
    std::function<std::size_t()> host_count_;
    scheduling::usage_table table_;
    scheduling::remote_usage state_ = scheduling::remote_usage::unknown;
    net::timer timer_;
};

} // namespace hickorypost
