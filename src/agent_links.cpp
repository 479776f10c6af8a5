#include "agent_links.h"

#include "hickorypost/membership/agent_subset.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>

namespace hickorypost {

agent_links::agent_links(const runtime& env, routing::router& router, std::size_t max_agents,
                         agent_link_hooks on)
    : env_{env}, router_{router}, max_agents_{max_agents}, on_{std::move(on)}
{
}

std::size_t agent_links::links_up() const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [](const auto& it) {
        return it.second.connector->current() != nullptr;
    }));
}

void agent_links::take_directory(const wire::directory_reply& reply)
{
    const auto drop = [this](const node_id& node) {
        // A control host that lost its link to an agent may be the one that is cut off. While our
        // own link to the agent is up, the agent is there.
        const auto peer = peers_.find(node);
        if (peer == peers_.end() || peer->second.connector->current() == nullptr) {
            known_.erase(node);
        }
    };
    if (reply.whole) {
        std::vector<node_id> gone;
        for (const auto& known : known_) {
            const bool listed = std::any_of(reply.changed.begin(), reply.changed.end(),
                                            [&](const auto& it) { return it.node == known.first; });
            if (!listed) {
                gone.push_back(known.first);
            }
        }
        std::for_each(gone.begin(), gone.end(), drop);
    }
    std::for_each(reply.removed.begin(), reply.removed.end(), drop);
    for (const auto& it : reply.changed) {
        const auto known = known_.find(it.node);
        const bool older = known != known_.end() && known->second.life == it.life &&
                           it.sequence < known->second.sequence;
        if (!older) {
            known_[it.node] = it;
        }
    }
    reconcile();
}

void agent_links::reconcile()
{
    std::vector<wire::agent_info> all;
    for (const auto& [node, info] : known_) {
        all.push_back(info);
    }
    const auto wanted =
        membership::choose_agents(env_.config.node.name, all, {.max_agents = max_agents_});
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        const bool busy = std::any_of(listeners_.begin(), listeners_.end(), [&](const auto& entry) {
            return entry.second.agent == it->first;
        });
        if (busy && known_.contains(it->first)) {
            ++it; // its answers are still coming; it goes at a later change
            continue;
        }
        const node_id gone = it->first;
        router_.remove(gone);
        it = peers_.erase(it);
        deliver_all(gone, dispatch::link_lost{});
    }
    for (const auto& node : wanted) {
        const auto& info = known_.at(node);
        const auto peer = peers_.find(node);
        const bool moved = peer != peers_.end() && (peer->second.info.address != info.address ||
                                                    peer->second.info.port != info.port);
        if (moved) {
            router_.remove(node);
            peers_.erase(peer);
            deliver_all(node, dispatch::link_lost{});
        }
        if (!peers_.contains(node)) {
            dial(info);
        }
        peers_.at(node).info = info;
        router_.upsert(info, env_.now());
        router_.set_linked(node, peers_.at(node).connector->current() != nullptr, env_.now());
    }
}

void agent_links::dial(const wire::agent_info& agent)
{
    const node_id node = agent.node;
    net::link_hooks hooks;
    hooks.up = [this, node](net::link&) {
        router_.set_linked(node, true, env_.now());
        deliver_all(node, dispatch::link_back{});
    };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this, node](net::link&, std::string_view why) {
        env_.log->warn("link to agent {} lost: {}", node, why);
        router_.set_linked(node, false, env_.now());
        deliver_all(node, dispatch::link_lost{});
    };
    peers_[node].connector = std::make_unique<net::connector>(
        net::peer_address{agent.address, agent.port}, env_.hello(wire::node_role::entry), env_.tls,
        net::connector_options{}, env_.random, std::move(hooks));
}

void agent_links::listen(attempt_id attempt, const node_id& agent, dispatch::attempt_hook hook)
{
    listeners_[attempt] = {agent, std::move(hook)};
}

void agent_links::forget(attempt_id attempt)
{
    listeners_.erase(attempt);
}

void agent_links::ask_any(const wire::fresh_query& query)
{
    for (std::size_t n = 0; n < peers_.size(); ++n) {
        auto it = peers_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(next_asked_++ % peers_.size()));
        if (auto* link = it->second.connector->current(); link != nullptr) {
            link->send(query);
            return;
        }
    }
}

void agent_links::deliver(attempt_id attempt, const dispatch::attempt_event& event)
{
    const auto it = listeners_.find(attempt);
    if (it != listeners_.end()) {
        const dispatch::attempt_hook hook = it->second.hook; // the hook may forget the attempt
        hook(event);
    }
}

void agent_links::deliver_all(const node_id& agent, const dispatch::attempt_event& event)
{
    std::vector<attempt_id> affected;
    for (const auto& [attempt, it] : listeners_) {
        if (it.agent == agent) {
            affected.push_back(attempt);
        }
    }
    for (const auto attempt : affected) {
        deliver(attempt, event);
    }
}

void agent_links::on_message(net::link& from, wire::message_type type, std::string_view body)
{
    const auto forward = [&]<class M>(std::optional<M> msg) {
        if (msg) {
            deliver(msg->attempt, *msg);
        }
    };
    switch (type) {
    case wire::message_type::refused:
        return forward(wire::try_decode<wire::refused>(body));
    case wire::message_type::piece:
        return forward(wire::try_decode<wire::piece>(body));
    case wire::message_type::finished:
        return forward(wire::try_decode<wire::finished>(body));
    case wire::message_type::unknown_attempt:
        return forward(wire::try_decode<wire::unknown_attempt>(body));
    case wire::message_type::announce:
        if (const auto msg = wire::try_decode<wire::announce>(body)) {
            // Straight from the agent: a leaving backend server is known here before the control
            // hosts pass it on.
            take_directory({.changed = {msg->agent}});
        }
        return;
    case wire::message_type::load:
        if (const auto msg = wire::try_decode<wire::load>(body)) {
            router_.apply_load_report({from.peer().node, msg->backend}, msg->running, msg->queued);
        }
        return;
    case wire::message_type::fresh_query:
        if (const auto msg = wire::try_decode<wire::fresh_query>(body)) {
            on_.fresh_query(from, *msg);
        }
        return;
    case wire::message_type::fresh_reply:
        if (const auto msg = wire::try_decode<wire::fresh_reply>(body)) {
            on_.fresh_reply(*msg);
        }
        return;
    default:
        return; // a message of a later release
    }
}

} // namespace hickorypost
