#pragma once

#include "hickorypost/dispatch/request_services.h"
#include "hickorypost/net/connector.h"
#include "hickorypost/routing/router.h"
#include "runtime.h"

#include <map>
#include <unordered_map>

namespace hickorypost {

/// Freshness messages that agents send over these links.
struct agent_link_hooks {
    std::function<void(net::link&, const wire::fresh_query&)> fresh_query;
    std::function<void(const wire::fresh_reply&)> fresh_reply;
};

/// An entry's links to agents: follows the directory, dials the chosen agents, and hands each
/// attempt what its agent says.
class agent_links {
public:
    agent_links(const runtime& env, routing::router& router, std::size_t max_agents,
                agent_link_hooks on);

    void take_directory(const wire::directory_reply& reply);

    /// Registers an attempt at an agent; events come until `forget`.
    void listen(attempt_id attempt, const node_id& agent, dispatch::attempt_hook hook);
    void forget(attempt_id attempt);

    /// False if there is no link just now: then nothing was sent.
    template <class M>
    bool send(const node_id& agent, const M& message)
    {
        const auto it = peers_.find(agent);
        net::link* link = it == peers_.end() ? nullptr : it->second.connector->current();
        if (link == nullptr) {
            return false;
        }
        link->send(message);
        return true;
    }
    /// Asks one linked agent, another each time.
    void ask_any(const wire::fresh_query& query);
    [[nodiscard]] std::size_t links_up() const;

private:
    struct peer_entry {
        wire::agent_info info;
        std::unique_ptr<net::connector> connector;
    };
    struct listener_entry {
        node_id agent;
        dispatch::attempt_hook hook;
    };

    void reconcile();
    void dial(const wire::agent_info& agent);
    void on_message(net::link& from, wire::message_type type, std::string_view body);
    void deliver(attempt_id attempt, const dispatch::attempt_event& event);
    void deliver_all(const node_id& agent, const dispatch::attempt_event& event);

    const runtime& env_;
    routing::router& router_;
    std::size_t max_agents_;
    agent_link_hooks on_;
    std::map<node_id, wire::agent_info> known_;
    std::map<node_id, peer_entry> peers_;
    std::unordered_map<attempt_id, listener_entry> listeners_;
    std::size_t next_asked_ = 0;
};

} // namespace hickorypost
