#pragma once

#include "checkers.h"
#include "history.h"
#include "sim_net.h"
#include "virtual_disk.h"

#include "hickorypost/dispatch/agent_core.h"
#include "hickorypost/dispatch/request_flow.h"
#include "hickorypost/dispatch/state_machines.h"
#include "hickorypost/membership/directory.h"
#include "hickorypost/records/freshness.h"
#include "hickorypost/replog/group.h"
#include "hickorypost/replog/replica_store.h"

#include <set>

namespace hickorypost::proof {

/// Parts broken on purpose, to show that the checkers notice.
enum class sabotage : std::uint8_t {
    none,
    stale_nodes,       ///< nodes start work without a fresh mark
    amnesiac_ledger,   ///< every opening of a request is taken for the first
    no_tombstones,     ///< an agent says "never ran" of attempts that may still start
    careless_sessions, ///< entries trust their own choice of a session's version
    answers_mixed,     ///< a part of one answer goes into another
    bills_dropped,     ///< an entry takes its bill for durable when it has only been sent
    deaf_agents,       ///< agents do not hear that their backend server is leaving
};

struct world_options {
    std::uint64_t seed = 1;
    sabotage broken = sabotage::none;
};

/// Names of the steps of a request's way, at which faults can be placed.
enum class step : std::uint8_t {
    received,
    open_proposed,
    open_applied,
    start_sent,
    start_received,
    call_begun,
    first_piece,
    mid_answer,
    call_over,
    usage_proposed,
    usage_applied,
    told,
    count_,
};

std::string_view name_of(step s) noexcept;

/// Three control hosts, two entries, two agents with an engine each, callers and operators: the
/// product's own parts, with messages between them in virtual time.
class world {
public:
    explicit world(world_options options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// Lets the hosts found their group and take the first records; false if they cannot.
    bool settle();
    void run_for(millis time);

    // Callers.
    void send_request(bool non_idempotent, bool with_session);
    // Operators.
    void withdraw_or_restore(bool race);
    void announce_leaving(const node_id& agent, bool leaving);

    // Faults.
    void crash(const node_id& node);
    void restart(const node_id& node);
    void lose_disk(const node_id& node);
    void restart_all();
    [[nodiscard]] bool disks_whole() const;
    sim_net& net() noexcept { return net_; }
    [[nodiscard]] const std::vector<node_id>& controls() const noexcept { return controls_; }
    [[nodiscard]] const std::vector<node_id>& entries() const noexcept { return entries_; }
    [[nodiscard]] const std::vector<node_id>& agents() const noexcept { return agents_; }
    /// Called at every step, with the nodes that it happens between.
    std::function<void(step, const node_id& at)> on_step;

    /// Waits until nothing is under way, reads the report, and gives what happened.
    const history& finish();
    [[nodiscard]] const history& so_far() const noexcept { return history_; }

private:
    struct control_node;
    struct client_node;
    struct entry_node;
    struct agent_node;
    struct sending;

    void note(std::string text);
    void reach(step s, const node_id& at);
    // Control hosts.
    void start_control(const node_id& name);
    void tick_control(const node_id& name);
    void persist(const node_id& name, std::uint32_t group, const replog::persist_batch& batch);
    void take_propose(const node_id& control, const node_id& from, std::uint64_t id,
                      std::uint32_t group, const std::string& command);
    void take_fresh_query(const node_id& control, const node_id& from,
                          const wire::fresh_query& query);
    control_node* leader(std::uint32_t group);
    // Nodes that use control hosts.
    client_node& client_named(const node_id& name);
    void ask_fresh(client_node& node);
    void peer_fresh(client_node& node);
    void propose(client_node& node, std::uint32_t group, std::string command, millis limit,
                 std::function<void(const std::string*)> done);
    void transmit(client_node& node, std::uint64_t id);
    void sweep_client(client_node& node);
    // Entries.
    void start_entry(const node_id& name);
    void tick_entry(const node_id& name);
    void deliver_to_entry(const node_id& entry, const dispatch::agent_answer& answer);
    dispatch::request_services services_of(entry_node& it);
    [[nodiscard]] std::optional<ledger::ledger_reply>
    sabotaged_reply(const ledger::ledger_command& command) const;
    void serve(entry_node& it, const std::shared_ptr<sending>& what);
    void told(const std::shared_ptr<sending>& what);
    void caller_lost_entry(const node_id& entry);
    void submit_to_some_entry(const std::shared_ptr<sending>& what);
    // Agents.
    void start_agent(const node_id& name);
    void tick_agent(const node_id& name);
    void begin_call(agent_node& it, const dispatch::backend_call& call);
    void emit_part(const node_id& agent, attempt_id attempt, int part);
    // Operators.
    void submit_change(records::record_change change, const std::optional<model_version>& withdraws,
                       int tries);

    world_options options_;
    sim_net net_;
    history history_;
    std::vector<node_id> controls_{"c1", "c2", "c3"};
    std::vector<node_id> entries_{"e1", "e2"};
    std::vector<node_id> agents_{"a1", "a2", "a3"};
    std::map<node_id, std::unique_ptr<testing::virtual_disk>> disks_;
    std::map<node_id, std::unique_ptr<control_node>> control_nodes_;
    std::map<node_id, std::unique_ptr<entry_node>> entry_nodes_;
    std::map<node_id, std::unique_ptr<agent_node>> agent_nodes_;
    std::set<node_id> leaving_agents_;
    std::vector<std::shared_ptr<sending>> sendings_;
    std::map<std::string, std::shared_ptr<sending>> first_sending_; ///< by request
    std::map<std::uint64_t, instant> committed_at_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_sending_ = 1;
    std::uint64_t next_change_ = 1;
    std::map<std::string, std::uint64_t> numbers_; ///< as the operators last saw them
    std::set<std::string> active_withdrawals_;
    std::set<std::uint64_t> recorded_changes_;
};

} // namespace hickorypost::proof
