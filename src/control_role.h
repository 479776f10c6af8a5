#pragma once

#include "hickorypost/dispatch/state_machines.h"
#include "hickorypost/membership/directory.h"
#include "hickorypost/net/listener.h"
#include "hickorypost/replog/group.h"
#include "hickorypost/replog/sync_task.h"
#include "hickorypost/rollout/rollout_controller.h"
#include "hickorypost/storage/posix_file_system.h"
#include "http_server.h"
#include "runtime.h"

#include <set>

namespace hickorypost {

/// A control host: replicates records and ledger, stamps freshness marks, lists agents, runs
/// roll-outs, and answers operators over HTTP.
class control_role final : public role {
public:
    /// Fails with `storage::storage_error` or `net::listen_error`.
    static result<std::unique_ptr<control_role>> start(const runtime& env);
    ~control_role() override;

    void drain(std::function<void()> done) override;

private:
    struct group_slot {
        std::unique_ptr<replog::group> group;
        std::unique_ptr<replog::sync_task> disk;
    };

    explicit control_role(const runtime& env);
    result<void> open_groups();
    result<void> open_group(std::uint32_t number);
    result<void> open_network();
    void connect_peers();

    // Links.
    void on_message(net::link& from, wire::message_type type, std::string_view body);
    void on_propose(net::link& from, const wire::propose& msg);
    void on_fresh_query(net::link& from, const wire::fresh_query& msg);
    void on_down(net::link& from);
    void push_directory();
    void send_replog(std::uint32_t group, const node_id& to, const replog::message& msg);

    // Time.
    void tick();
    void refresh_mark();
    void note_leadership();
    void note_applied(std::uint32_t group, const replog::entry& entry);

    // Operators.
    void on_http(const std::shared_ptr<http_exchange>& exchange);
    void post_record(const std::shared_ptr<http_exchange>& exchange);
    void get_records(const std::shared_ptr<http_exchange>& exchange);
    void get_report(const std::shared_ptr<http_exchange>& exchange);
    void get_status(const std::shared_ptr<http_exchange>& exchange);
    void answer_not_leader(const std::shared_ptr<http_exchange>& exchange, std::uint32_t group);
    void commit_progress(const records::rollout_progress& progress);
    void collect_metrics(telemetry::metrics& to);

    dispatch::records_machine& records();
    [[nodiscard]] bool in_force(std::uint64_t index) const;

    const runtime& env_;
    const control_settings& config_;
    GMainContext* context_;
    std::unique_ptr<storage::posix_file_system> fs_;
    std::vector<group_slot> groups_;
    membership::directory directory_;
    rollout::rollout_controller rollouts_;
    std::map<node_id, std::unique_ptr<net::connector>> peers_;
    std::set<net::link*> links_;
    std::map<net::link*, std::uint64_t> directory_followers_; ///< with the version each has
    std::unique_ptr<net::listener> listener_;
    std::unique_ptr<http_server> http_;
    std::map<std::uint64_t, instant> committed_at_; ///< record changes not in force yet, by index
    instant leading_since_;
    bool leading_ = false;
    bool draining_ = false;
    net::timer tick_timer_;
    net::timer fresh_timer_;
    net::timer drain_timer_;
};

} // namespace hickorypost
