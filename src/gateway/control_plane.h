#pragma once

#include "gateway/peer_mesh.h"
#include "hickorypost/gateway/control_state.h"
#include "hickorypost/gateway/order_progress.h"
#include "hickorypost/gateway/rollout_judge.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/replog/group.h"
#include "hickorypost/replog/sync_task.h"
#include "hickorypost/storage/posix_file_system.h"

#include <map>
#include <memory>

namespace hickorypost {

struct control_hooks {
    /// The state has changed; its revision only rises within a process.
    std::function<void(const gateway::site_state&)> changed;
    /// `synced` has become true.
    std::function<void()> synced;
};

/// One gateway host's part of the control log: a replica of it where there is a disk, and on all
/// hosts the orders to the leader and the newest state known.
class control_plane {
public:
    enum class order_status : std::uint8_t { done, unavailable };
    using order_fn = std::function<void(order_status, const gateway::site_state* state)>;

    control_plane(runtime& env, peer_mesh& mesh, control_hooks hooks);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Opens the disk, if there is one, and starts to ask for the newest state.
    void start();

    /// Commits a command; `done` means that it is synced on a quorum.
    void commit(const gateway::control_command& command, order_fn done);
    /// The newest state: a quorum has confirmed it after the call.
    void read_newest(order_fn done);

    void on_link_up(const node_id& host);
    void on_link_down(const node_id& host);
    /// False: not a message for the control plane.
    bool on_message(const node_id& from, wire::message_type type, std::string_view body);
    void take_versions(const std::vector<gateway::rollout_view::report_row>& rows);
    /// Gives leadership away before the process ends.
    void hand_over();

    [[nodiscard]] const gateway::site_state& state() const noexcept { return state_; }
    /// The state was confirmed after this process began, or nobody could be asked for long.
    [[nodiscard]] bool synced() const noexcept { return synced_; }
    /// So short after the start that contact may not be there yet.
    [[nodiscard]] bool starting() const;
    /// In contact with the core: what this host receives reaches the others.
    [[nodiscard]] bool connected() const;
    [[nodiscard]] std::size_t hosts() const noexcept;
    /// Whether a host with a disk said lately that it knows the leader.
    [[nodiscard]] bool reaches_leader(const node_id& host) const;
    [[nodiscard]] const replog::group* group() const noexcept { return group_.get(); }
    [[nodiscard]] const node_id& leader() const noexcept { return leader_; }
    [[nodiscard]] bool leads() const;

private:
    struct pending_order {
        wire::order message;
        order_fn done;
        gateway::order_progress progress;
    };

    // The replica on this host's disk.
    void open_disk();
    void close_disk(std::string_view why);
    void send_replog(const node_id& to, const replog::message& msg);
    void note_applied();
    void consider_founding();
    void tick();

    // Orders.
    void submit(wire::order_kind kind, std::string command, order_fn done);
    void send_order(pending_order& it);
    void retry_orders();
    void handle_order(const node_id& from, const wire::order& msg);
    void handle_reply(const wire::order_reply& msg);
    void run_here(wire::order_kind kind, std::string command, replog::group::answer_fn done);
    void ask_newest();
    void become_synced();

    // State.
    void adopt(gateway::site_state state);
    void send_notes();
    void send_note(const node_id& to);
    void handle_note(const node_id& from, const wire::core_status& msg);
    [[nodiscard]] wire::core_status note() const;

    runtime& env_;
    const gateway_settings& config_;
    peer_mesh& mesh_;
    control_hooks hooks_;
    clock_fn now_; ///< counts time in which the machine was suspended
    GMainContext* context_;

    std::unique_ptr<storage::posix_file_system> fs_;
    std::unique_ptr<replog::sync_task> disk_;
    std::unique_ptr<replog::group> group_;
    std::uint64_t disk_life_ = 0; ///< distinguishes completions of earlier openings
    instant reopen_due_;

    gateway::site_state state_;
    gateway::rollout_judge judge_;
    bool judging_ = false;
    bool synced_ = false;
    bool asking_newest_ = false;
    instant began_;
    instant note_due_;
    std::uint64_t noted_revision_ = 0;
    node_id noted_leader_;

    node_id leader_;
    std::uint64_t leader_term_ = 0;
    std::map<node_id, wire::core_status> notes_;
    std::size_t hosts_told_ = 1;
    instant query_due_;
    std::uint64_t queried_revision_ = 0; ///< the highest that was asked for

    std::map<std::uint64_t, pending_order> orders_;
    std::uint64_t next_order_ = 1;
    net::timer tick_timer_;
};

} // namespace hickorypost
