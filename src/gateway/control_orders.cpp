/// Orders to the leader of the control log: sending and retrying them and, on the leader, executing
/// them.

#include "gateway/control_plane.h"

#include "hickorypost/wire/codec.h"

#include <limits>
#include <utility>

namespace hickorypost {

namespace {

wire::reply_status status_of(const replog::group_answer& answer)
{
    if (answer.status != replog::group_status::done) {
        return wire::reply_status::unavailable;
    }
    return answer.result == gateway::result_superseded ? wire::reply_status::superseded
                                                       : wire::reply_status::done;
}

} // namespace

void control_plane::sync_state()
{
    sync_pending_ = true;
    read_newest([this](order_status status, const gateway::site_state* state) {
        sync_pending_ = false;
        if (status == order_status::done && state != nullptr) {
            update_state(*state);
            if (!synced_) {
                env_.log->info("newest state confirmed: revision {}", state_.revision);
                set_synced();
            }
        }
    });
}

void control_plane::set_synced()
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
    // The reply carries the state only if it is newer than the local revision.
    submit(wire::order_kind::read, wire::encode(wire::site_query{state_.revision}),
           std::move(done));
}

void control_plane::submit(wire::order_kind kind, std::string command, order_fn done)
{
    const std::uint64_t id = next_order_++;
    auto& order = orders_
                      .emplace(id, pending_order{{id, kind, std::move(command)},
                                                 std::move(done),
                                                 gateway::order_progress{now_()}})
                      .first->second;
    send_order(order);
}

void control_plane::send_order(pending_order& order)
{
    if (leads()) {
        order.progress.sent_to(mesh_.self(), now_());
        execute(order.message.kind, order.message.command,
                [this, id = order.message.id](const replog::group_answer& answer) {
                    handle_reply({id, status_of(answer), answer.leader, answer.result});
                });
        return;
    }
    if (!leader_.empty() && mesh_.send(leader_, order.message)) {
        order.progress.sent_to(leader_, now_());
        return;
    }
    // Without a known leader, tries the core hosts in turn.
    std::vector<node_id> core;
    for (const auto& [host, domain] : mesh_.core()) {
        if (host != mesh_.self()) {
            core.push_back(host);
        }
    }
    const node_id to = core.empty() ? node_id{} : core[order.progress.tries() % core.size()];
    order.progress.sent_to(to, now_());
    mesh_.send(to, order.message);
}

void control_plane::execute(wire::order_kind kind, std::string command,
                            replog::group::answer_fn done)
{
    if (kind == wire::order_kind::read) {
        group_->read_confirmed(command, now_(), std::move(done));
        return;
    }
    const auto decoded = wire::try_decode<gateway::control_command>(command);
    const bool superseded = decoded && decoded->kind == gateway::control_kind::put_config &&
                            !state_.config_packed.empty() &&
                            decoded->config_version <= state_.config_version;
    if (superseded) {
        // The command has no effect, because the stored version is not lower. A confirmed read
        // acknowledges it without a log entry; otherwise each retry would append the whole
        // configuration. The highest revision suppresses the state in the reply.
        constexpr auto any_revision = std::numeric_limits<std::uint64_t>::max();
        group_->read_confirmed(wire::encode(wire::site_query{any_revision}), now_(),
                               std::move(done));
        return;
    }
    group_->propose(std::move(command), env_.wall(), now_(), std::move(done));
    follow_replica();
}

void control_plane::handle_order(const node_id& from, const wire::order& msg)
{
    if (!leads()) {
        mesh_.send(from, wire::order_reply{msg.id, wire::reply_status::not_leader, leader_, {}});
        return;
    }
    const bool wants_state = msg.kind == wire::order_kind::read;
    execute(msg.kind, msg.command,
            [this, from, id = msg.id, wants_state](const replog::group_answer& answer) {
                mesh_.send(from, wire::order_reply{id, status_of(answer), answer.leader,
                                                   wants_state ? answer.result : std::string{}});
            });
}

void control_plane::handle_reply(const wire::order_reply& msg)
{
    const auto found = orders_.find(msg.id);
    if (found == orders_.end()) {
        return;
    }
    if (msg.status != wire::reply_status::done && msg.status != wire::reply_status::superseded) {
        if (msg.status == wire::reply_status::not_leader && !msg.leader.empty() && !group_) {
            leader_ = msg.leader;
        }
        found->second.progress.refused();
        return; // `retry_orders` sends it again
    }
    auto order = std::move(found->second);
    orders_.erase(found);
    if (order.message.kind == wire::order_kind::command) {
        order.done(msg.status == wire::reply_status::done ? order_status::done
                                                          : order_status::superseded,
                   nullptr);
        return;
    }
    if (msg.state.empty()) {
        order.done(order_status::done, &state_); // the local state is confirmed as the newest
        return;
    }
    const auto state = wire::try_decode<gateway::site_state>(msg.state);
    if (!state) {
        env_.log->error("cannot decode the state from host {}", msg.leader);
        order.done(order_status::unavailable, nullptr);
        return;
    }
    order.done(order_status::done, &*state);
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
    for (const auto& [id, order] : orders_) {
        if (order.progress.ask_again(leader_, now)) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        if (const auto it = orders_.find(id); it != orders_.end()) {
            send_order(it->second);
        }
    }
    for (const auto& done : expired) {
        done(order_status::unavailable, nullptr);
    }
}

} // namespace hickorypost
