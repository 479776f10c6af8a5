#include "control_client.h"

#include <algorithm>

namespace hickorypost {

namespace {

constexpr millis sweep_period{50};

} // namespace

control_client::control_client(const runtime& env, wire::node_role role,
                               const std::vector<net::peer_address>& hosts,
                               control_client_options options, control_client_hooks hooks)
    : env_{env}, options_{options}, hooks_{std::move(hooks)}, replica_{records::freshness_options{
                                                                  .lease = env.config.lease}}
{
    for (const auto& host : hosts) {
        net::link_hooks link_hooks;
        link_hooks.up = [this](net::link& it) {
            ledger_groups_ = it.peer().ledger_groups;
            hooks_.link_up(it);
            ask_fresh();
            if (follows_directory_) {
                follow_directory();
            }
        };
        link_hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
            on_message(it, type, body);
        };
        link_hooks.down = [this](net::link& it, std::string_view why) {
            env_.log->warn("link to control host {} lost: {}", it.peer().node, why);
            for (auto& [id, write] : writes_) {
                write.resend_at = env_.now();
            }
        };
        connectors_.push_back(std::make_unique<net::connector>(host, env_.hello(role), env_.tls,
                                                               net::connector_options{},
                                                               env_.random, std::move(link_hooks)));
    }
    // Marks are asked for at a spread of times, so that a fleet that started at once does not ask
    // at once.
    next_host_ = env_.random() % std::max<std::size_t>(1, hosts.size());
    fresh_timer_ = net::timer::every(options_.fresh_period, [this] { ask_fresh(); });
    sweep_timer_ = net::timer::every(sweep_period, [this] { sweep(); });
}

control_client::~control_client() = default;

std::size_t control_client::links_up() const
{
    return static_cast<std::size_t>(
        std::count_if(connectors_.begin(), connectors_.end(),
                      [](const auto& it) { return it->current() != nullptr; }));
}

void control_client::collect_metrics(telemetry::metrics& to) const
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (const auto& it : connectors_) {
        if (const auto* link = it->current(); link != nullptr) {
            sent += link->counters().bytes_sent;
            received += link->counters().bytes_received;
        }
    }
    to.set("control_bytes_sent", static_cast<double>(sent));
    to.set("control_bytes_received", static_cast<double>(received));
}

net::link* control_client::link_for(std::uint32_t group, std::size_t tries)
{
    if (const auto leader = leaders_.find(group); leader != leaders_.end()) {
        for (auto& it : connectors_) {
            if (auto* link = it->current();
                link != nullptr && link->peer().node == leader->second) {
                return link;
            }
        }
    }
    for (std::size_t n = 0; n < connectors_.size(); ++n) {
        if (auto* link = connectors_[(n + tries + group) % connectors_.size()]->current();
            link != nullptr) {
            return link;
        }
    }
    return nullptr;
}

void control_client::propose(std::uint32_t group, std::string command, millis limit, answer_fn done)
{
    const std::uint64_t id = next_id_++;
    const instant now = env_.now();
    auto [it, added] =
        writes_.emplace(id, pending_write{group, std::move(command), std::move(done), now + limit,
                                          now + options_.resend_after, 0});
    transmit(id, it->second);
}

void control_client::transmit(std::uint64_t id, pending_write& it)
{
    it.resend_at = env_.now() + options_.resend_after;
    if (auto* link = link_for(it.group, it.tries); link != nullptr) {
        link->send(wire::propose{id, it.group, it.command});
    }
    ++it.tries;
}

void control_client::on_propose_reply(const wire::propose_reply& reply)
{
    const auto found = writes_.find(reply.id);
    if (found == writes_.end()) {
        return;
    }
    pending_write& it = found->second;
    if (reply.status == wire::reply_status::done) {
        leaders_[it.group] = reply.leader;
        auto done = std::move(it.done);
        writes_.erase(found);
        done(wire::reply_status::done, reply.result);
        return;
    }
    if (reply.leader.empty()) {
        leaders_.erase(it.group);
        it.resend_at = env_.now() + sweep_period; // an election is on; the sweep tries again
        return;
    }
    leaders_[it.group] = reply.leader;
    transmit(reply.id, it);
}

void control_client::sweep()
{
    const instant now = env_.now();
    std::vector<answer_fn> given_up;
    for (auto it = writes_.begin(); it != writes_.end();) {
        auto& [id, write] = *it;
        if (now >= write.deadline) {
            given_up.push_back(std::move(write.done));
            it = writes_.erase(it);
            continue;
        }
        if (now >= write.resend_at) {
            leaders_.erase(write.group);
            transmit(id, write);
        }
        ++it;
    }
    for (auto& done : given_up) {
        done(wire::reply_status::unavailable, {});
    }
}

void control_client::ask_fresh()
{
    const instant now = env_.now();
    for (std::size_t n = 0; n < connectors_.size(); ++n) {
        auto& it = connectors_[next_host_++ % connectors_.size()];
        if (auto* link = it->current(); link != nullptr) {
            link->send(replica_.make_query(now));
            break;
        }
    }
    if (hooks_.ask_peers && replica_.lease_left(now) < env_.config.lease / 2) {
        // No control host gave a young mark: it may be cut off from us but not from our peers.
        hooks_.ask_peers(replica_.make_query(now));
    }
}

void control_client::take_fresh(const wire::fresh_reply& reply)
{
    if (replica_.take_reply(reply)) {
        hooks_.records_changed();
    }
}

void control_client::follow_directory()
{
    follows_directory_ = true;
    for (auto& it : connectors_) {
        if (auto* link = it->current(); link != nullptr) {
            const auto& [epoch, version] = directory_positions_[link->peer().node];
            link->send(wire::directory_query{epoch, version});
            break;
        }
    }
    if (!directory_timer_.armed()) {
        directory_timer_ =
            net::timer::every(options_.directory_period, [this] { follow_directory(); });
    }
}

void control_client::on_message(net::link& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::propose_reply:
        if (const auto reply = wire::try_decode<wire::propose_reply>(body)) {
            on_propose_reply(*reply);
        }
        return;
    case wire::message_type::fresh_reply:
        if (const auto reply = wire::try_decode<wire::fresh_reply>(body)) {
            take_fresh(*reply);
        }
        return;
    case wire::message_type::fresh_notice:
        if (const auto poke = wire::try_decode<wire::fresh_notice>(body);
            poke && poke->index > replica_.state().index()) {
            from.send(replica_.make_query(env_.now()));
        }
        return;
    case wire::message_type::directory_reply:
        if (const auto reply = wire::try_decode<wire::directory_reply>(body)) {
            directory_positions_[from.peer().node] = {reply->epoch, reply->version};
            hooks_.directory_changed(*reply);
        }
        return;
    case wire::message_type::exposure_grant:
        if (const auto grant = wire::try_decode<wire::exposure_grant>(body)) {
            hooks_.granted(*grant);
        }
        return;
    default:
        return; // a message of a later release
    }
}

} // namespace hickorypost
