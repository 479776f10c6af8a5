/// Orders to the leader of the control log: on their way, again when nothing comes back, and, where
/// this host leads, carried out.

#include "gateway/control_plane.h"

#include "hickorypost/wire/codec.h"

#include <limits>
#include <utility>

namespace hickorypost {

void control_plane::ask_newest()
{
    asking_newest_ = true;
    read_newest([this](order_status status, const gateway::site_state* state) {
        asking_newest_ = false;
        if (status == order_status::done && state != nullptr) {
            adopt(*state);
            if (!synced_) {
                env_.log->info("newest state confirmed: revision {}", state_.revision);
                become_synced();
            }
        }
    });
}

void control_plane::become_synced()
{
    synced_ = true;
    hooks_.synced();
}

void control_plane::commit(const gateway::control_command& command, order_fn done)
{
    submit(wire::order_kind::command, wire::encode(command), std::move(done));
}

void control_plane::read_newest(order_fn done)
{
    // The state itself comes back only if it is newer than what is held here.
    submit(wire::order_kind::read, wire::encode(wire::site_query{state_.revision}),
           std::move(done));
}

void control_plane::submit(wire::order_kind kind, std::string command, order_fn done)
{
    const std::uint64_t id = next_order_++;
    auto& it = orders_
                   .emplace(id, pending_order{{id, kind, std::move(command)},
                                              std::move(done),
                                              gateway::order_progress{now_()}})
                   .first->second;
    send_order(it);
}

void control_plane::send_order(pending_order& it)
{
    if (leads()) {
        it.progress.sent_to(mesh_.self(), now_());
        run_here(it.message.kind, it.message.command,
                 [this, id = it.message.id](const replog::group_answer& answer) {
                     handle_reply({id,
                                   answer.status == replog::group_status::done
                                       ? wire::reply_status::done
                                       : wire::reply_status::unavailable,
                                   answer.leader, answer.result});
                 });
        return;
    }
    if (!leader_.empty() && mesh_.send(leader_, it.message)) {
        it.progress.sent_to(leader_, now_());
        return;
    }
    // Nobody says who leads: ask the hosts with a disk in turn.
    std::vector<node_id> core;
    for (const auto& [host, domain] : mesh_.core()) {
        if (host != mesh_.self()) {
            core.push_back(host);
        }
    }
    const node_id to = core.empty() ? node_id{} : core[it.progress.tries() % core.size()];
    it.progress.sent_to(to, now_());
    mesh_.send(to, it.message);
}

void control_plane::run_here(wire::order_kind kind, std::string command,
                             replog::group::answer_fn done)
{
    if (kind == wire::order_kind::read) {
        group_->read_confirmed(command, now_(), std::move(done));
        return;
    }
    const auto it = wire::try_decode<gateway::control_command>(command);
    const bool late = it && it->kind == gateway::control_kind::put_config &&
                      it->config_version <= state_.config_version;
    if (late) {
        // It changes nothing. That the stored version is not lower is confirmed without an entry,
        // or each repeat would fill the log with the whole configuration. Nobody wants the state.
        constexpr auto any_revision = std::numeric_limits<std::uint64_t>::max();
        group_->read_confirmed(wire::encode(wire::site_query{any_revision}), now_(),
                               std::move(done));
        return;
    }
    group_->propose(std::move(command), env_.wall(), now_(), std::move(done));
    note_applied();
}

void control_plane::handle_order(const node_id& from, const wire::order& msg)
{
    if (!leads()) {
        mesh_.send(from, wire::order_reply{msg.id, wire::reply_status::not_leader, leader_, {}});
        return;
    }
    const bool wants_state = msg.kind == wire::order_kind::read;
    run_here(msg.kind, msg.command,
             [this, from, id = msg.id, wants_state](const replog::group_answer& answer) {
                 const auto status = answer.status == replog::group_status::done
                                         ? wire::reply_status::done
                                         : wire::reply_status::unavailable;
                 mesh_.send(from, wire::order_reply{id, status, answer.leader,
                                                    wants_state ? answer.result : std::string{}});
             });
}

void control_plane::handle_reply(const wire::order_reply& msg)
{
    const auto found = orders_.find(msg.id);
    if (found == orders_.end()) {
        return;
    }
    if (msg.status != wire::reply_status::done) {
        if (msg.status == wire::reply_status::not_leader && !msg.leader.empty() && !group_) {
            leader_ = msg.leader;
        }
        found->second.progress.refused();
        return; // `retry_orders` asks again
    }
    auto it = std::move(found->second);
    orders_.erase(found);
    if (it.message.kind == wire::order_kind::command) {
        it.done(order_status::done, nullptr);
        return;
    }
    if (msg.state.empty()) {
        it.done(order_status::done, &state_); // confirmed: what is held here is the newest
        return;
    }
    const auto state = wire::try_decode<gateway::site_state>(msg.state);
    if (!state) {
        env_.log->error("state from host {} cannot be read", msg.leader);
        it.done(order_status::unavailable, nullptr);
        return;
    }
    it.done(order_status::done, &*state);
}

void control_plane::retry_orders()
{
    const instant now = now_();
    std::vector<order_fn> expired;
    for (auto it = orders_.begin(); it != orders_.end();) {
        if (it->second.progress.expired(now)) {
            expired.push_back(std::move(it->second.done));
            it = orders_.erase(it);
            continue;
        }
        ++it;
    }
    std::vector<std::uint64_t> due;
    for (const auto& [id, it] : orders_) {
        if (it.progress.ask_again(leader_, now)) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        if (const auto it = orders_.find(id); it != orders_.end()) {
            send_order(it->second);
        }
    }
    for (const auto& it : expired) {
        it(order_status::unavailable, nullptr);
    }
}

} // namespace hickorypost
