#pragma once

#include "hickorypost/net/connector.h"
#include "hickorypost/records/freshness.h"
#include "runtime.h"

#include <map>

namespace hickorypost {

struct control_client_options {
    /// A freshness question goes out this often; well under the lease.
    millis fresh_period{500};
    /// A request to a control host that is not answered within this is sent again.
    millis resend_after{400};
    millis directory_period{5000};
};

struct control_client_hooks {
    std::function<void()> records_changed;
    std::function<void(const wire::directory_reply&)> directory_changed;
    std::function<void(const wire::exposure_grant&)> granted;
    std::function<void(net::link&)> link_up; ///< to announce oneself
    /// Asks other peers for a mark when the control hosts give none.
    std::function<void(const wire::fresh_query&)> ask_peers;
};

/// A node's way to the control hosts: finds each group's leader, resends what went unanswered, and
/// keeps the records and their freshness lease.
class control_client {
public:
    using answer_fn = std::function<void(wire::reply_status, std::string_view result)>;

    control_client(const runtime& env, wire::node_role role,
                   const std::vector<net::peer_address>& hosts, control_client_options options,
                   control_client_hooks hooks);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    /// Commits a command in a group. Resent to whoever leads until answered or `limit` is over, so
    /// commands must be idempotent.
    void propose(std::uint32_t group, std::string command, millis limit, answer_fn done);

    /// Sends to every control host that is linked.
    template <class M>
    void broadcast(const M& message)
    {
        for (auto& it : connectors_) {
            if (auto* link = it->current(); link != nullptr) {
                link->send(message);
            }
        }
    }
    template <class M>
    void send_to_leader(const M& message)
    {
        if (auto* link = link_for(0, 0); link != nullptr) {
            link->send(message);
        }
    }

    /// Asks for the directory now; entries only.
    void follow_directory();
    /// An answer to a question of ours, from a control host or a peer.
    void take_fresh(const wire::fresh_reply& reply);

    [[nodiscard]] const records::record_replica& records() const noexcept { return replica_; }
    [[nodiscard]] bool fresh() const { return replica_.fresh(env_.now()); }
    [[nodiscard]] std::size_t links_up() const;
    /// Traffic with the control hosts, for the control-cost accounts.
    void collect_metrics(telemetry::metrics& to) const;
    /// Number of ledger groups, as the control hosts said; 0 before the first link.
    [[nodiscard]] std::uint32_t ledger_groups() const noexcept { return ledger_groups_; }

private:
    struct pending_write {
        std::uint32_t group = 0;
        std::string command;
        answer_fn done;
        instant deadline;
        instant resend_at;
        std::size_t tries = 0;
    };

    /// How far this node has read a control host's directory.
    struct directory_position {
        std::uint64_t epoch = 0;
        std::uint64_t version = 0;
    };

    void on_message(net::link& from, wire::message_type type, std::string_view body);
    void on_propose_reply(const wire::propose_reply& reply);
    void transmit(std::uint64_t id, pending_write& it);
    void sweep();
    void ask_fresh();
    net::link* link_for(std::uint32_t group, std::size_t tries);

    const runtime& env_;
    control_client_options options_;
    control_client_hooks hooks_;
    records::record_replica replica_;
    std::vector<std::unique_ptr<net::connector>> connectors_;
    std::map<std::uint32_t, node_id> leaders_;
    std::map<std::uint64_t, pending_write> writes_;
    std::uint64_t next_id_ = 1;
    std::size_t next_host_ = 0;
    std::uint32_t ledger_groups_ = 0;
    std::map<node_id, directory_position> directory_positions_; ///< by control host
    bool follows_directory_ = false;
    net::timer fresh_timer_;
    net::timer sweep_timer_;
    net::timer directory_timer_;
};

} // namespace hickorypost
