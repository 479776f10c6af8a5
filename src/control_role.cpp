#include "control_role.h"

#include "hickorypost/wire/codec.h"

namespace hickorypost {

namespace {

constexpr millis tick_period{20};
constexpr millis fresh_period{300};
/// Time for a successor's election before this process goes.
constexpr millis handover_time{1000};
constexpr std::uint32_t records_group = 0;

wire::reply_status status_of(replog::group_status status)
{
    switch (status) {
    case replog::group_status::done:
        return wire::reply_status::done;
    case replog::group_status::not_leader:
        return wire::reply_status::not_leader;
    case replog::group_status::unavailable:
        break;
    }
    return wire::reply_status::unavailable;
}

} // namespace

control_role::control_role(const runtime& env)
    : env_{env}, config_{*env.config.control}, context_{g_main_context_get_thread_default()},
      directory_{membership::directory_options{}, env.life},
      rollouts_{rollout::controller_options{}, env.wall,
                [this](const records::rollout_progress& it) { commit_progress(it); }}
{
}

control_role::~control_role() = default;

result<std::unique_ptr<control_role>> control_role::start(const runtime& env)
{
    std::unique_ptr<control_role> out{new control_role{env}};
    BOOST_LEAF_ASSIGN(out->fs_, storage::posix_file_system::open(env.config.control->data));
    // First, as a group's disk may call back into a role whose start has failed.
    BOOST_LEAF_CHECK(out->open_network());
    BOOST_LEAF_CHECK(out->open_groups());
    out->connect_peers();
    auto* raw = out.get();
    out->tick_timer_ = net::timer::every(tick_period, [raw] { raw->tick(); });
    out->fresh_timer_ = net::timer::every(fresh_period, [raw] { raw->refresh_mark(); });
    env.log->info("control host up: links on port {}, operators on port {}", out->listener_->port(),
                  out->http_->port());
    return out;
}

result<void> control_role::open_groups()
{
    groups_.resize(config_.ledger_groups + 1);
    for (std::uint32_t number = 0; number < groups_.size(); ++number) {
        BOOST_LEAF_CHECK(open_group(number));
    }
    return {};
}

result<void> control_role::open_group(std::uint32_t number)
{
    const std::string prefix = "g" + std::to_string(number) + "-";
    BOOST_LEAF_AUTO(store,
                    replog::replica_store::open(*fs_, prefix, env_.config.node.name, env_.random));
    std::vector<node_id> founders;
    for (const auto& it : config_.hosts) {
        founders.push_back(it.name);
    }
    replog::replica_options options;
    options.heartbeat = config_.heartbeat;
    options.election_min = config_.election_min;
    options.election_max = config_.election_max;
    auto core = std::make_unique<replog::replica>(store->take_recovered(), std::move(founders),
                                                  options, env_.random, env_.now());
    std::unique_ptr<replog::state_machine> machine;
    if (number == records_group) {
        machine = std::make_unique<dispatch::records_machine>(
            records::freshness_options{.lease = env_.config.lease});
    } else {
        machine = std::make_unique<dispatch::ledger_machine>(
            ledger::ledger_options{.window_ms = config_.usage_window_ms});
    }
    group_slot& slot = groups_[number];
    auto on_done = [this, number](std::uint64_t ticket) {
        net::post(context_,
                  [this, number, ticket] { groups_[number].group->persisted(ticket, env_.now()); });
    };
    auto on_error = [this](const storage::storage_error& error) {
        net::post(context_, [this, error] { env_.fail(storage::describe(error)); });
    };
    slot.disk = std::make_unique<replog::sync_task>(std::move(store), std::move(on_done),
                                                    std::move(on_error));
    replog::group_hooks hooks;
    hooks.send = [this, number](const node_id& to, const replog::message& msg) {
        send_replog(number, to, msg);
    };
    hooks.persist = [disk = slot.disk.get()](replog::persist_batch batch) {
        disk->submit(std::move(batch));
    };
    hooks.applied = [this, number](const replog::entry& it) { note_applied(number, it); };
    slot.group = std::make_unique<replog::group>(
        std::move(core), std::move(machine), std::move(hooks),
        replog::group_options{.snapshot_every = config_.snapshot_every});
    return {};
}

result<void> control_role::open_network()
{
    net::link_hooks hooks;
    hooks.up = [this](net::link& it) { links_.insert(&it); };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this](net::link& it, std::string_view) { on_down(it); };
    auto hello = env_.hello(wire::node_role::control);
    hello.ledger_groups = config_.ledger_groups;
    BOOST_LEAF_ASSIGN(listener_, net::listener::open(config_.listen, std::move(hello), env_.tls, {},
                                                     std::move(hooks)));
    constexpr std::size_t max_record_bytes = std::size_t{1} << 20U;
    BOOST_LEAF_ASSIGN(http_, http_server::open(config_.http, env_.tls,
                                               body_limits::of_machine(max_record_bytes),
                                               [this](const auto& it) { on_http(it); }));
    env_.metrics.on_collect([this](telemetry::metrics& to) { collect_metrics(to); });
    return {};
}

void control_role::connect_peers()
{
    for (const auto& host : config_.hosts) {
        if (host.name == env_.config.node.name) {
            continue;
        }
        net::link_hooks hooks;
        hooks.up = [](net::link&) {};
        hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
            on_message(it, type, body);
        };
        hooks.down = [this](net::link& it, std::string_view why) {
            env_.log->warn("link to control host {} lost: {}", it.peer().node, why);
        };
        peers_[host.name] = std::make_unique<net::connector>(
            host.address, env_.hello(wire::node_role::control), env_.tls, net::connector_options{},
            env_.random, std::move(hooks));
    }
}

dispatch::records_machine& control_role::records()
{
    return static_cast<dispatch::records_machine&>(groups_[records_group].group->machine());
}

void control_role::send_replog(std::uint32_t group, const node_id& to, const replog::message& msg)
{
    const auto peer = peers_.find(to);
    if (peer == peers_.end()) {
        return;
    }
    if (auto* link = peer->second->current(); link != nullptr) {
        link->send(wire::replog_envelope{group, wire::encode(msg)});
    }
}

void control_role::on_message(net::link& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::replog:
        if (const auto envelope = wire::try_decode<wire::replog_envelope>(body);
            envelope && envelope->group < groups_.size() &&
            from.peer().role == wire::node_role::control) {
            if (const auto msg = wire::try_decode<replog::message>(envelope->payload)) {
                groups_[envelope->group].group->receive(*msg, env_.now());
            }
        }
        return;
    case wire::message_type::propose:
        if (const auto msg = wire::try_decode<wire::propose>(body)) {
            on_propose(from, *msg);
        }
        return;
    case wire::message_type::fresh_query:
        if (const auto msg = wire::try_decode<wire::fresh_query>(body)) {
            on_fresh_query(from, *msg);
        }
        return;
    case wire::message_type::fresh_reply:
        if (const auto msg = wire::try_decode<wire::fresh_reply>(body)) {
            // Only the mark: a control host's records come through its log.
            auto mark = *msg;
            mark.changes.clear();
            mark.snapshot.clear();
            records().replica().take_reply(mark);
        }
        return;
    case wire::message_type::announce:
        if (const auto msg = wire::try_decode<wire::announce>(body);
            msg && directory_.take(msg->agent)) {
            push_directory();
        }
        return;
    case wire::message_type::directory_query:
        if (const auto msg = wire::try_decode<wire::directory_query>(body)) {
            const auto reply = directory_.changes_since(*msg);
            directory_followers_[&from] = reply.version;
            from.send(reply);
        }
        return;
    case wire::message_type::exposure_request:
        if (const auto msg = wire::try_decode<wire::exposure_request>(body);
            msg && groups_[records_group].group->leads(env_.now())) {
            from.send(rollouts_.take(from.peer().node, *msg, env_.now()));
        }
        return;
    default:
        return; // a message of a later release
    }
}

void control_role::on_propose(net::link& from, const wire::propose& msg)
{
    if (msg.group == records_group || msg.group >= groups_.size()) {
        return; // records change through operators only
    }
    // The link may be gone by the time the command commits.
    std::weak_ptr<net::link> to = from.weak_from_this();
    groups_[msg.group].group->propose(
        msg.command, env_.wall(), env_.now(),
        [to, id = msg.id](const replog::group_answer& answer) {
            if (const auto link = to.lock()) {
                link->send(wire::propose_reply{id, status_of(answer.status), answer.leader,
                                               answer.result});
            }
        });
}

void control_role::refresh_mark()
{
    const instant now = env_.now();
    const auto& group = *groups_[records_group].group;
    if (group.leads(now) && group.applied_index() == group.core().commit_index()) {
        records().replica().take_own_mark(records().replica().state().index(), now);
        return;
    }
    const auto leader = peers_.find(group.core().leader());
    if (leader == peers_.end()) {
        return;
    }
    if (auto* link = leader->second->current(); link != nullptr) {
        link->send(records().replica().make_query(now));
    }
}

void control_role::on_fresh_query(net::link& from, const wire::fresh_query& msg)
{
    const auto& group = *groups_[records_group].group;
    if (group.leads(env_.now())) {
        refresh_mark();
    }
    from.send(records().replica().answer(msg, env_.now()));
}

void control_role::push_directory()
{
    for (auto& [link, version] : directory_followers_) {
        const auto delta = directory_.changes_since({env_.life, version});
        version = delta.version;
        link->send(delta);
    }
}

void control_role::on_down(net::link& from)
{
    links_.erase(&from);
    directory_followers_.erase(&from);
    if (from.peer().role == wire::node_role::agent) {
        directory_.lost(from.peer().node, from.peer().life, env_.now());
    }
}

void control_role::tick()
{
    const instant now = env_.now();
    for (auto& it : groups_) {
        it.group->tick(now);
    }
    note_leadership();
    rollouts_.tick(now);
    if (directory_.expire(now)) {
        push_directory();
    }
    const records::freshness_options fresh{.lease = env_.config.lease};
    std::erase_if(committed_at_,
                  [&](const auto& it) { return now >= records::in_force_at(it.second, fresh); });
}

void control_role::note_leadership()
{
    const instant now = env_.now();
    const bool leads = groups_[records_group].group->leads(now);
    if (leads == leading_) {
        return;
    }
    leading_ = leads;
    if (!leads) {
        rollouts_.stop_leading();
        return;
    }
    env_.log->info("leads the records group in term {}",
                   groups_[records_group].group->core().term());
    // When the former leader committed its last changes is not known here; counting from now is
    // later than that, so nothing is called in force too early.
    leading_since_ = now;
    rollouts_.start_leading(records().replica().state(), now);
}

void control_role::note_applied(std::uint32_t group, const replog::entry& entry)
{
    if (group != records_group) {
        return;
    }
    committed_at_[entry.index] = env_.now();
    rollouts_.follow(records().replica().state());
    const wire::fresh_notice poke{entry.index};
    for (auto* link : links_) {
        if (link->peer().role != wire::node_role::control) {
            link->send(poke);
        }
    }
}

bool control_role::in_force(std::uint64_t index) const
{
    const records::freshness_options fresh{.lease = env_.config.lease};
    return !committed_at_.contains(index) &&
           env_.now() >= records::in_force_at(leading_since_, fresh);
}

void control_role::commit_progress(const records::rollout_progress& progress)
{
    env_.log->info("roll-out {}: state {}, granted {}, judged {} {}", progress.rollout,
                   static_cast<int>(progress.state), progress.granted, progress.judged,
                   progress.reason);
    const records::records_command command{std::nullopt, progress};
    // Proposed from the loop, not from inside the controller, which is in the middle of a step.
    net::post(context_, [this, bytes = wire::encode(command)] {
        groups_[records_group].group->propose(bytes, env_.wall(), env_.now(),
                                              [](const replog::group_answer&) {});
    });
}

void control_role::drain(std::function<void()> done)
{
    draining_ = true;
    const instant now = env_.now();
    for (auto& it : groups_) {
        it.group->hand_over(now);
    }
    drain_timer_ = net::timer::once(handover_time, std::move(done));
}

void control_role::collect_metrics(telemetry::metrics& to)
{
    const instant now = env_.now();
    for (std::uint32_t n = 0; n < groups_.size(); ++n) {
        const auto& core = groups_[n].group->core();
        const std::string label = "{group=\"" + std::to_string(n) + "\"}";
        to.set("group_leads" + label, groups_[n].group->leads(now) ? 1 : 0);
        to.set("group_term" + label, static_cast<double>(core.term()));
        to.set("group_commit_index" + label, static_cast<double>(core.commit_index()));
        to.set("group_log_entries" + label, static_cast<double>(core.log_entries()));
    }
    double sent = 0;
    double received = 0;
    for (const auto* link : links_) {
        sent += static_cast<double>(link->counters().bytes_sent);
        received += static_cast<double>(link->counters().bytes_received);
    }
    to.set("control_links", static_cast<double>(links_.size()));
    to.set("control_bytes_sent", sent);
    to.set("control_bytes_received", received);
    to.set("agents", static_cast<double>(directory_.size()));
}

} // namespace hickorypost
