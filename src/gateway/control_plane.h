#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/control_state.h"
#include "hickorypost/gateway/group_founding.h"
#include "hickorypost/gateway/order_progress.h"
#include "hickorypost/gateway/rollout_judge.h"
#include "hickorypost/gateway/state_fetch.h"
#include "hickorypost/gateway/state_requests.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/replog/group.h"
#include "hickorypost/replog/sync_task.h"
#include "hickorypost/storage/posix_file_system.h"

#include <map>
#include <memory>

namespace hickorypost {

/// Callbacks of `control_plane`.
struct control_hooks {
    /// The state has changed. Its revision never decreases within a process.
    std::function<void(const gateway::site_state&)> state_changed;
    /// `synced()` has become true.
    std::function<void()> synced;
};

/// Access to the control log, which replicates configurations and roll-outs. A host with a
/// disk (core host) holds a replica; all hosts send orders (commands and reads) to the leader and
/// keep the newest state they have received.
class control_plane {
public:
    enum class order_status : std::uint8_t {
        done,
        unavailable, ///< no leader has confirmed it in time; a command may still take effect
        superseded,  ///< the command's `known_revision` is too low; this copy has no effect
    };
    /// `state` is set only for a read that is done.
    using order_fn = std::function<void(order_status, const gateway::site_state* state)>;

    control_plane(runtime& env, peer_mesh& mesh, control_hooks hooks);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Opens the replica, if this host has a disk, and requests the newest state from the leader.
    void start();

    /// Commits a command. `order_status::done` means that it is durable on a quorum.
    void commit(const gateway::control_command& command, order_fn done);
    /// Reads the newest state (linearizable): a quorum confirms it after the call.
    void read_newest(order_fn done);

    void on_link_up(const node_id& host);
    void on_link_down(const node_id& host);
    /// Returns false if the message type is not handled here.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);
    /// Reports to the leader how versions under roll-out have answered since the last call.
    void report_versions(const std::vector<gateway::rollout_view::report_row>& rows);
    /// Transfers leadership to another replica before the process ends.
    void hand_over();

    [[nodiscard]] const gateway::site_state& state() const noexcept { return state_; }
    /// Whether a leader has confirmed the state since this process started, or the wait for a
    /// confirmation has timed out.
    [[nodiscard]] bool synced() const noexcept { return synced_; }
    /// Whether this process started so recently that links may not be established yet.
    [[nodiscard]] bool starting() const;
    /// Whether this host leads or has a link to the leader, so that its broadcasts reach all hosts.
    [[nodiscard]] bool connected() const;
    /// Number of gateway hosts, this one included.
    [[nodiscard]] std::size_t host_count() const noexcept;
    /// Whether all linked core hosts apply evacuations.
    [[nodiscard]] bool replicas_support_evacuations() const;
    /// Whether all linked core hosts check `gateway::control_command::known_revision`.
    [[nodiscard]] bool replicas_check_known_revision() const;
    /// Whether the last note of a core host named a leader.
    [[nodiscard]] bool reaches_leader(const node_id& host) const;
    /// Whether a core host handles reports of accounts' usage.
    [[nodiscard]] bool takes_account_usage(const node_id& host) const;
    /// The local replica; null on a host without a disk or while the disk is not usable.
    [[nodiscard]] const replog::group* group() const noexcept { return group_.get(); }
    /// The host that grants permits, which is the leader: empty if unknown, or if this host leads
    /// and has lost contact to a quorum.
    [[nodiscard]] node_id permit_coordinator() const;
    /// The leader as far as known; empty if unknown.
    [[nodiscard]] const node_id& leader() const noexcept { return leader_; }
    /// Whether the local replica leads the control log.
    [[nodiscard]] bool leads() const;

private:
    struct pending_order {
        wire::order message;
        order_fn done;
        gateway::order_progress progress;
    };

    // Local replica.
    void open_disk();
    void close_disk(std::string_view reason);
    void send_replog(const node_id& to, const replog::message& msg);
    /// Takes over leader, members and state from the local replica.
    void follow_replica();
    /// Connects to the members of the control log that the local replica names. After a restart of
    /// all of them the seeds may be down, and nobody else would introduce them to each other.
    void dial_members();
    /// Founds the replication group if this host has to.
    void found_group_if_due();
    void tick();

    // Orders.
    void submit(wire::order_kind kind, std::string command, order_fn done);
    void send_order(pending_order& order);
    void retry_orders();
    void handle_order(const node_id& from, const wire::order& msg);
    void handle_reply(const wire::order_reply& msg);
    /// Runs an order on the local replica, which leads.
    void execute(wire::order_kind kind, std::string command, replog::group::answer_fn done);
    /// Requests the newest state and sets `synced_` once it is confirmed.
    void sync_state();
    void set_synced();

    // State.
    void update_state(gateway::site_state state);
    void send_notes();
    void send_note(const node_id& to);
    void handle_query(const node_id& from, const wire::site_query& msg);
    void send_state(const node_id& to);
    /// Asks another host for the newest state if this one has an older one.
    void fetch_state();
    /// Whether a core host is in this host's failure domain.
    [[nodiscard]] bool is_local(const node_id& host) const;
    void handle_note(const node_id& from, const wire::core_status& msg);
    [[nodiscard]] wire::core_status note() const;

    runtime& env_;
    const gateway_settings& config_;
    peer_mesh& mesh_;
    control_hooks hooks_;
    clock_fn now_; ///< includes time in which the machine was suspended
    GMainContext* context_;

    std::unique_ptr<storage::posix_file_system> fs_;
    std::unique_ptr<replog::sync_task> sync_task_;
    std::unique_ptr<replog::group> group_;
    std::optional<gateway::group_founding> founding_; ///< set while the disk is open
    std::uint64_t disk_generation_ = 0; ///< tells completions of earlier openings of the disk apart
    instant next_reopen_;
    std::string open_failure_; ///< why the data directory could not be opened; empty if it is open

    gateway::site_state state_;
    gateway::rollout_judge judge_;
    bool was_leading_ = false;     ///< in the last tick
    replog::group_config dialled_; ///< members that have been dialled
    bool synced_ = false;
    bool sync_pending_ = false;
    instant started_;
    instant next_note_;
    std::uint64_t noted_revision_ = 0;
    node_id noted_leader_;

    node_id leader_;
    std::uint64_t leader_term_ = 0;
    std::map<node_id, wire::core_status> notes_; ///< last note of each linked core host
    std::size_t reported_hosts_ = 1;             ///< from the last note of a core host
    gateway::state_fetch state_fetch_{{}};
    gateway::state_requests state_requests_; ///< of hosts whose links are congested

    std::map<std::uint64_t, pending_order> orders_;
    /// Starts at a random number, so that the leader's reply to an order of a previous process at
    /// this address matches no order of this one.
    std::uint64_t next_order_;
    net::timer tick_timer_;
};

} // namespace hickorypost
