/// Control hosts of the proof world, and how other processes use them.

#include "hickorypost/wire/codec.h"
#include "world_nodes.h"

namespace hickorypost::proof {

namespace {

constexpr micros tick_every{20'000};
constexpr std::uint64_t max_sync_us = 3000;
constexpr millis resend_after{400};

} // namespace

void world::start_control(const node_id& name)
{
    auto& slot = control_nodes_[name];
    slot = std::make_unique<control_node>();
    slot->name = name;
    net_.start(name, {[this, name](const node_id& peer) {
                          if (agent_nodes_.contains(peer) || entry_nodes_.contains(peer)) {
                              note(name + " linked with " + peer);
                          }
                      },
                      [](const node_id&) {}});
    slot->groups.resize(group_count);
    for (std::uint32_t group = 0; group < group_count; ++group) {
        auto& it = slot->groups[group];
        it.store = value_or_handle<storage::storage_error>(
            [&] {
                return replog::replica_store::open(*disks_[name], "g" + std::to_string(group) + "-",
                                                   name, net_.random());
            },
            [&](const storage::storage_error& error) {
                note("cannot open disk: " + storage::describe(error));
                return std::unique_ptr<replog::replica_store>{};
            });
        replog::replica_options options;
        options.retained_entries = 50;
        auto core = std::make_unique<replog::replica>(it.store->take_recovered(), controls_,
                                                      options, net_.random(), net_.clock(name));
        std::unique_ptr<replog::state_machine> machine;
        if (group == 0) {
            machine = std::make_unique<dispatch::records_machine>(records::freshness_options{});
        } else {
            ledger::ledger_options window;
            window.window_ms = 3'600'000;
            machine = std::make_unique<dispatch::ledger_machine>(window);
        }
        replog::group_hooks hooks;
        hooks.send = [this, name, group](const node_id& to, const replog::message& msg) {
            net_.send(name, to, [this, to, group, msg] {
                control_nodes_[to]->groups[group].group->receive(msg, net_.clock(to));
            });
        };
        hooks.persist = [this, name, group](const replog::persist_batch& batch) {
            persist(name, group, batch);
        };
        hooks.applied = [this, name, group](const replog::entry& entry) {
            if (group == 0) {
                committed_at_.try_emplace(entry.index, net_.now());
                for (const auto* list : {&entries_, &agents_}) {
                    for (const auto& node : *list) {
                        net_.send(name, node, [this, node] { ask_fresh(client_named(node)); });
                    }
                }
                return;
            }
            const auto batch = wire::try_decode<ledger::ledger_batch>(entry.data);
            if (batch && !batch->commands.empty()) {
                reach(batch->commands.front().usage ? step::usage_applied : step::open_applied,
                      name);
            }
        };
        it.group =
            std::make_unique<replog::group>(std::move(core), std::move(machine), std::move(hooks),
                                            replog::group_options{.snapshot_every = 30});
    }
    net_.on(name, tick_every, [this, name] { tick_control(name); });
}

void world::persist(const node_id& name, std::uint32_t group, const replog::persist_batch& batch)
{
    auto* store = control_nodes_[name]->groups[group].store.get();
    leaf::try_handle_all([&]() -> result<void> { return store->append(batch); },
                         [&] { note("append failed at " + name); });
    const micros took{static_cast<std::int64_t>(net_.pick(max_sync_us))};
    net_.on(name, took, [this, name, group, ticket = batch.ticket] {
        auto& it = control_nodes_[name]->groups[group];
        leaf::try_handle_all([&]() -> result<void> { return it.store->sync(); },
                             [&] { note("sync failed at " + name); });
        it.group->persisted(ticket, net_.clock(name));
    });
}

void world::tick_control(const node_id& name)
{
    auto& it = *control_nodes_[name];
    const instant now = net_.clock(name);
    for (auto& slot : it.groups) {
        slot.group->tick(now);
    }
    const auto& group = *it.groups[0].group;
    auto& replica = it.records().replica();
    if (group.leads(now) && group.applied_index() == group.core().commit_index()) {
        replica.take_own_mark(replica.state().index(), now);
    } else if (const node_id& lead = group.core().leader(); lead != name && !lead.empty()) {
        const auto query = replica.make_query(now);
        net_.send(name, lead, [this, lead, name, query] { take_fresh_query(lead, name, query); });
    }
    net_.on(name, tick_every, [this, name] { tick_control(name); });
}

void world::take_fresh_query(const node_id& control, const node_id& from,
                             const wire::fresh_query& query)
{
    auto& it = *control_nodes_[control];
    const instant now = net_.clock(control);
    const auto& group = *it.groups[0].group;
    auto& replica = it.records().replica();
    if (group.leads(now) && group.applied_index() == group.core().commit_index()) {
        replica.take_own_mark(replica.state().index(), now);
    }
    const auto reply = replica.answer(query, now);
    net_.send(control, from, [this, from, reply] {
        if (const auto entry = entry_nodes_.find(from); entry != entry_nodes_.end()) {
            entry->second->records.take_reply(reply);
        } else if (const auto agent = agent_nodes_.find(from); agent != agent_nodes_.end()) {
            agent->second->records.take_reply(reply);
        } else {
            auto mark = reply;
            mark.changes.clear();
            mark.snapshot.clear();
            control_nodes_[from]->records().replica().take_reply(mark);
        }
    });
}

world::control_node* world::leader(std::uint32_t group)
{
    for (auto& [name, it] : control_nodes_) {
        if (net_.alive(name) && it->groups[group].group->leads(net_.clock(name))) {
            return it.get();
        }
    }
    return nullptr;
}

world::client_node& world::client_named(const node_id& name)
{
    if (const auto it = entry_nodes_.find(name); it != entry_nodes_.end()) {
        return *it->second;
    }
    return *agent_nodes_.at(name);
}

void world::ask_fresh(client_node& node)
{
    for (std::size_t n = 0; n < controls_.size(); ++n) {
        const node_id& host = controls_[node.next_host++ % controls_.size()];
        const auto query = node.records.make_query(net_.clock(node.name));
        const node_id name = node.name;
        if (net_.send(node.name, host,
                      [this, host, name, query] { take_fresh_query(host, name, query); })) {
            return;
        }
    }
}

void world::peer_fresh(client_node& node)
{
    const auto& peers = entry_nodes_.contains(node.name) ? agents_ : entries_;
    const node_id& peer = peers[net_.pick(peers.size())];
    const auto query = node.records.make_query(net_.clock(node.name));
    net_.send(node.name, peer, [this, peer, name = node.name, query] {
        const auto reply = client_named(peer).records.answer(query, net_.clock(peer));
        net_.send(peer, name,
                  [this, name, reply] { client_named(name).records.take_reply(reply); });
    });
}

void world::propose(client_node& node, std::uint32_t group, std::string command, millis limit,
                    std::function<void(const std::string*)> done)
{
    const std::uint64_t id = node.next_id++;
    client_node::pending_write write;
    write.group = group;
    write.command = std::move(command);
    write.done = std::move(done);
    write.deadline = net_.clock(node.name) + limit;
    write.for_ever = limit == millis{0};
    node.writes.emplace(id, std::move(write));
    transmit(node, id);
}

void world::transmit(client_node& node, std::uint64_t id)
{
    auto& it = node.writes.at(id);
    it.resend_at = net_.clock(node.name) + resend_after;
    it.asked = controls_[net_.pick(controls_.size())];
    net_.send(node.name, it.asked,
              [this, host = it.asked, from = node.name, id, group = it.group,
               command = it.command] { take_propose(host, from, id, group, command); });
}

void world::take_propose(const node_id& control, const node_id& from, std::uint64_t id,
                         std::uint32_t group, const std::string& command)
{
    auto& it = *control_nodes_[control]->groups[group].group;
    const auto wall = std::chrono::duration_cast<millis>(net_.clock(control).time_since_epoch());
    it.propose(command, wall.count(), net_.clock(control),
               [this, control, from, id](const replog::group_answer& answer) {
                   net_.send(control, from, [this, from, id, answer] {
                       auto& node = client_named(from);
                       const auto found = node.writes.find(id);
                       if (found == node.writes.end()) {
                           return;
                       }
                       if (answer.status != replog::group_status::done) {
                           found->second.resend_at = net_.clock(from);
                           return;
                       }
                       auto done = std::move(found->second.done);
                       node.writes.erase(found);
                       done(&answer.result);
                   });
               });
}

void world::sweep_client(client_node& node)
{
    const instant now = net_.clock(node.name);
    std::vector<std::uint64_t> due;
    std::vector<std::uint64_t> dead;
    for (const auto& [id, it] : node.writes) {
        if (!it.for_ever && now >= it.deadline) {
            dead.push_back(id);
        } else if (now >= it.resend_at) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        transmit(node, id);
    }
    for (const auto id : dead) {
        auto done = std::move(node.writes.at(id).done);
        node.writes.erase(id);
        done(nullptr);
    }
}

} // namespace hickorypost::proof
