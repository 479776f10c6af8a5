#pragma once
/// The processes of the proof world.

#include "world.h"

namespace hickorypost::proof {

inline constexpr std::uint32_t group_count = 2; ///< records and one ledger group

struct world::control_node {
    struct group_slot {
        std::unique_ptr<replog::replica_store> store;
        std::unique_ptr<replog::group> group;
    };
    node_id name;
    std::vector<group_slot> groups;
    std::map<node_id, wire::agent_info> directory;

    dispatch::records_machine& records()
    {
        return static_cast<dispatch::records_machine&>(groups[0].group->machine());
    }
};

/// A process that follows the records and writes to the ledger.
struct world::client_node {
    struct pending_write {
        std::uint32_t group = 0;
        std::string command;
        std::function<void(const std::string*)> done;
        instant deadline;
        bool for_ever = false;
        instant resend_at;
        node_id asked;
    };
    node_id name;
    incarnation life = 0;
    records::record_replica records{records::freshness_options{}};
    std::map<std::uint64_t, pending_write> writes;
    std::uint64_t next_id = 1;
    std::size_t next_host = 0;
};

struct world::entry_node : client_node {
    std::unique_ptr<routing::router> router;
    routing::retry_budget retries{{}};
    std::unique_ptr<routing::cascade_policy> cascades;
    std::unique_ptr<rollout::exposure_tracker> exposure;
    admission::rate_limiter limiter;
    dispatch::session_cache sessions{10'000};
    telemetry::metrics metrics;
    std::unique_ptr<dispatch::request_services> services;
    std::map<attempt_id, std::pair<node_id, dispatch::attempt_hook>> listeners;
    std::vector<std::shared_ptr<dispatch::request_flow>> flows;
};

struct world::agent_node : client_node {
    std::unique_ptr<dispatch::agent_core> core;
    telemetry::metrics metrics;
    std::map<attempt_id, dispatch::backend_call> calls;
};

/// One sending of a request by a caller, to one entry.
struct world::sending {
    std::uint64_t id = 0;
    dispatch::caller_input input;
    request_key key;
    bool non_idempotent = false;
    node_id entry;
    std::string body;
    std::string outcome;
    bool started = false;
    bool finished = false;
    bool was_told = false;
    int resends_left = 2;
    std::uint64_t timer_generation[2] = {0, 0};
    std::weak_ptr<dispatch::request_flow> flow;
    std::unique_ptr<dispatch::request_services> services;
};

} // namespace hickorypost::proof
