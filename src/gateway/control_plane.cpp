#include "gateway/control_plane.h"

#include "hickorypost/storage/file_system.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <utility>

namespace hickorypost {

namespace {

/// Period of the control plane's timer, and so the resolution of election timeouts.
constexpr millis tick_period{50};
/// Heartbeat period of the control log's leader, and the range of the randomized election timeout.
/// An accepted change must be in force on all hosts within 2 s, even if the leader fails right
/// after accepting it. However, a leader on a slow host must not lose leadership because of a pause
/// of a few hundred milliseconds.
constexpr millis replog_heartbeat{120};
constexpr millis election_min{600};
constexpr millis election_max{1100};
/// A voter that is silent for this long is replaced by another host with a disk. The group must be
/// complete again before the next host fails; the platform allows a second failure 4 s after the
/// first.
constexpr millis voter_replacement_timeout{1800};
/// Log entries before the last snapshot that are kept in memory for followers that lag behind. Few,
/// because one entry may hold a configuration of tens of kilobytes.
constexpr std::size_t retained_entries = 64;
/// Number of applied entries between two snapshots.
constexpr std::uint64_t snapshot_every = 64;
/// Period of core notes, which tell other hosts the leader, the newest revision and the core hosts.
constexpr millis note_period{1000};
/// A host whose state no leader confirms for this long after the start serves with the state that
/// it has: the loss of the control log's quorum must not stop requests.
constexpr millis sync_timeout{4000};
/// Delay before a data directory that failed is opened again.
constexpr millis reopen_delay{500};

} // namespace

control_plane::control_plane(runtime& env, peer_mesh& mesh, control_hooks hooks)
    : env_{env}, config_{*env.config.gateway}, mesh_{mesh}, hooks_{std::move(hooks)},
      now_{boot_clock_fn()}, context_{g_main_context_default()},
      judge_{config_.decisions.judge,
             [this](const gateway::rollout_status& next) {
                 env_.log->info("roll-out of {} to {}: share {} permille, phase {}, {}",
                                next.service, next.target, next.share_permille,
                                static_cast<int>(next.phase), next.reason);
                 commit({gateway::control_kind::step_rollout, 0, {}, next},
                        [](order_status, const gateway::site_state*) {});
             }},
      next_order_{env.random()}
{
}

control_plane::~control_plane()
{
    tick_timer_.cancel();
}

void control_plane::start()
{
    started_ = now_();
    if (!config_.data.empty()) {
        open_disk();
    }
    tick_timer_ = net::timer::every(tick_period, [this] { tick(); });
    sync_state();
}

void control_plane::open_disk()
{
    const bool opened = value_or_handle<storage::storage_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_ASSIGN(fs_, storage::posix_file_system::open(config_.data));
            BOOST_LEAF_AUTO(store,
                            replog::replica_store::open(
                                *fs_, "control-", mesh_.self(), env_.random,
                                config_.first_start ? std::optional{config_.seeds} : std::nullopt));
            auto recovered = store->take_recovered();
            if (!recovered.base && !recovered.first_start_seeds) {
                env_.log->warn("empty data directory without first_start: waiting for the members "
                               "of the control log");
            }
            founding_.emplace(
                gateway::founding_settings{mesh_.self(), env_.config.node.failure_domain,
                                           config_.tolerated_losses, recovered.first_start_seeds},
                started_);
            replog::replica_options options;
            options.heartbeat = replog_heartbeat;
            options.election_min = election_min;
            options.election_max = election_max;
            options.retained_entries = retained_entries;
            options.vote_at_start = true;
            options.voters = 2 * config_.tolerated_losses + 1;
            options.admit_any_host = true;
            options.replace_silent_after = voter_replacement_timeout;
            auto core = std::make_unique<replog::replica>(
                std::move(recovered), std::vector<node_id>{}, options, env_.random, now_());
            const std::uint64_t generation = ++disk_generation_;
            const auto current = [this, generation] {
                return generation == disk_generation_ && group_ != nullptr;
            };
            auto on_done = [this, current](std::uint64_t ticket) {
                net::post(context_, [this, current, ticket] {
                    if (current()) {
                        group_->persisted(ticket, now_());
                    }
                });
            };
            auto on_error = [this, current](const storage::storage_error& error) {
                net::post(context_, [this, current, error] {
                    if (current()) {
                        close_disk(storage::describe(error));
                    }
                });
            };
            sync_task_ = std::make_unique<replog::sync_task>(std::move(store), std::move(on_done),
                                                             std::move(on_error));
            replog::group_hooks hooks;
            hooks.send = [this](const node_id& to, const replog::message& msg) {
                send_replog(to, msg);
            };
            hooks.persist = [this](replog::persist_batch batch) {
                sync_task_->submit(std::move(batch));
            };
            hooks.applied = [](const replog::entry&) {};
            group_ = std::make_unique<replog::group>(
                std::move(core), std::make_unique<gateway::control_state>(), std::move(hooks),
                replog::group_options{.snapshot_every = snapshot_every});
            return true;
        },
        [&](const storage::storage_error& error) {
            if (auto reason = storage::describe(error); reason != open_failure_) {
                env_.log->error("cannot open the data directory, trying again: {}", reason);
                open_failure_ = std::move(reason);
            }
            return false;
        });
    if (!opened) {
        group_.reset();
        sync_task_.reset();
        fs_.reset();
        next_reopen_ = now_() + reopen_delay;
        return;
    }
    open_failure_.clear();
    env_.log->info("data directory open: {} replica of the control log, last index {}",
                   group_->core().role() == replog::replica_role::fresh ? "fresh" : "member",
                   group_->core().last_index());
    follow_replica();
}

void control_plane::close_disk(std::string_view reason)
{
    // After a write error the contents of the disk are unknown. The replica ends as in a crash, so
    // that a host that cannot make entries durable loses leadership, and restarts later from the
    // entries that can be read back.
    env_.log->error("data directory failed: {}", reason);
    ++disk_generation_;
    group_.reset();
    sync_task_.reset();
    fs_.reset();
    leader_.clear();
    next_reopen_ = now_() + reopen_delay;
}

void control_plane::send_replog(const node_id& to, const replog::message& msg)
{
    mesh_.send(to, wire::replog_envelope{0, wire::encode(msg)});
}

bool control_plane::leads() const
{
    return group_ && group_->core().role() == replog::replica_role::leader;
}

bool control_plane::connected() const
{
    if (!config_.data.empty() && !group_) {
        return false;
    }
    if (leader_ == mesh_.self()) {
        return group_ && group_->leads(now_());
    }
    return !leader_.empty() && mesh_.link_to(leader_) != nullptr;
}

bool control_plane::starting() const
{
    return now_() < started_ + sync_timeout;
}

bool control_plane::replicas_support_evacuations() const
{
    return std::all_of(notes_.begin(), notes_.end(),
                       [](const auto& it) { return it.second.applies_evacuations; });
}

bool control_plane::replicas_check_known_revision() const
{
    return std::all_of(notes_.begin(), notes_.end(),
                       [](const auto& it) { return it.second.checks_known_revision; });
}

node_id control_plane::permit_coordinator() const
{
    return leader_ == mesh_.self() && !connected() ? node_id{} : leader_;
}

bool control_plane::reaches_leader(const node_id& host) const
{
    const auto it = notes_.find(host);
    return it != notes_.end() && !it->second.leader.empty();
}

bool control_plane::takes_account_usage(const node_id& host) const
{
    const auto it = notes_.find(host);
    return it != notes_.end() && it->second.takes_account_usage;
}

std::size_t control_plane::host_count() const noexcept
{
    return std::max(reported_hosts_, mesh_.linked().size() + 1);
}

void control_plane::follow_replica()
{
    if (!group_) {
        return;
    }
    dial_members();
    const auto& machine = static_cast<const gateway::control_state&>(group_->machine());
    if (machine.state().revision > state_.revision) {
        update_state(machine.state());
    }
    if (!group_->core().leader().empty() || leader_term_ < group_->core().term()) {
        if (leader_ != group_->core().leader()) {
            env_.log->info("leader of the control log in term {}: {}", group_->core().term(),
                           group_->core().leader().empty() ? "none" : group_->core().leader());
        }
        leader_ = group_->core().leader();
        leader_term_ = group_->core().term();
    } else if (group_->core().leader().empty()) {
        leader_.clear();
    }
}

void control_plane::dial_members()
{
    const auto& config = group_->core().config();
    if (config == dialled_) {
        return;
    }
    dialled_ = config;
    std::vector<node_id> hosts;
    for (const auto* const members : {&config.voters, &config.learners}) {
        for (const auto& it : *members) {
            hosts.push_back(it.node);
        }
    }
    mesh_.dial(hosts);
}

void control_plane::update_state(gateway::site_state state)
{
    if (state.revision <= state_.revision) {
        return;
    }
    state_ = std::move(state);
    judge_.follow(state_.rollouts, now_());
    hooks_.state_changed(state_);
    send_notes();
}

void control_plane::found_group_if_due()
{
    auto& core = group_->core();
    if (core.role() != replog::replica_role::fresh) {
        return;
    }
    for (const auto& [host, domain] : mesh_.core()) {
        core.add_contact(host);
    }
    if (core.group_exists()) {
        return;
    }
    auto founders = founding_->founders(
        mesh_.core(), [this](const node_id& host) { return mesh_.link_to(host) != nullptr; },
        now_());
    if (!founders.empty()) {
        core.set_founders(std::move(founders));
    }
}

void control_plane::tick()
{
    const instant now = now_();
    if (!group_ && !config_.data.empty() && now >= next_reopen_) {
        open_disk();
    }
    if (group_) {
        found_group_if_due();
        group_->tick(now);
        follow_replica();
        const bool leading = leads();
        if (leading && !std::exchange(was_leading_, leading)) {
            judge_.follow(state_.rollouts, now);
        }
        was_leading_ = leading;
        if (leading) {
            judge_.tick(now);
        }
        if (now >= next_note_ || noted_revision_ != state_.revision || noted_leader_ != leader_) {
            send_notes();
        }
    }
    if (!group_) {
        fetch_state();
    }
    retry_orders();
    for (const auto& host :
         state_requests_.take_due([this](const node_id& it) { return mesh_.congested(it); })) {
        send_state(host);
    }
    if (!synced_ && now > started_ + sync_timeout && state_.revision > 0) {
        env_.log->warn("no leader has confirmed the newest state: serving with revision {}",
                       state_.revision);
        set_synced();
    }
    if (!synced_ && !sync_pending_) {
        sync_state();
    }
}

wire::core_status control_plane::note() const
{
    wire::core_status out;
    for (const auto& [host, domain] : mesh_.core()) {
        out.core.push_back({host, domain});
    }
    out.leader = leader_;
    out.term = leader_term_;
    out.revision = state_.revision;
    out.hosts = static_cast<std::uint32_t>(mesh_.linked().size() + 1);
    out.applies_evacuations = true;
    out.takes_account_usage = true;
    out.checks_known_revision = true;
    return out;
}

void control_plane::send_note(const node_id& to)
{
    mesh_.send(to, note());
}

void control_plane::send_notes()
{
    next_note_ = now_() + note_period;
    noted_revision_ = state_.revision;
    noted_leader_ = leader_;
    if (config_.data.empty()) {
        return;
    }
    const auto message = note();
    for (const auto& host : mesh_.linked()) {
        mesh_.send(host, message);
    }
}

void control_plane::handle_note(const node_id& from, const wire::core_status& msg)
{
    bool learned = false;
    for (const auto& host : msg.core) {
        learned = mesh_.add_core_host(host) || learned;
    }
    if (learned) {
        send_notes();
    }
    if (!mesh_.is_core(from)) {
        return;
    }
    notes_[from] = msg;
    if (group_) {
        return; // the local replica provides leader and state
    }
    reported_hosts_ = msg.hosts;
    if (!msg.leader.empty() && msg.term >= leader_term_) {
        if (leader_ != msg.leader) {
            env_.log->info("leader of the control log in term {}: {}", msg.term, msg.leader);
        }
        leader_ = msg.leader;
        leader_term_ = msg.term;
    }
    state_fetch_.announced(from, is_local(from), msg.revision);
    fetch_state();
}

bool control_plane::is_local(const node_id& host) const
{
    const auto it = mesh_.core().find(host);
    return it != mesh_.core().end() && it->second == env_.config.node.failure_domain;
}

void control_plane::fetch_state()
{
    const bool has_local =
        std::any_of(mesh_.core().begin(), mesh_.core().end(), [this](const auto& it) {
            return is_local(it.first) && mesh_.link_to(it.first) != nullptr;
        });
    if (const auto host = state_fetch_.take_due(state_.revision, has_local, now_())) {
        mesh_.send(*host, wire::site_query{state_.revision});
    }
}

void control_plane::handle_query(const node_id& from, const wire::site_query& msg)
{
    const bool newer = msg.have_revision < state_.revision;
    if (newer && state_requests_.ask(from, mesh_.congested(from))) {
        send_state(from);
    }
}

void control_plane::send_state(const node_id& to)
{
    mesh_.send(to, wire::site_update{wire::encode(state_)});
}

void control_plane::on_link_up(const node_id& host)
{
    send_note(host);
    retry_orders();
}

void control_plane::on_link_down(const node_id& host)
{
    notes_.erase(host);
    state_requests_.forget(host);
}

bool control_plane::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::replog:
        if (const auto decoded = wire::try_decode<wire::replog_envelope>(body); decoded && group_) {
            if (const auto msg = wire::try_decode<replog::message>(decoded->payload)) {
                group_->receive(*msg, now_());
                follow_replica();
            }
        }
        return true;
    case wire::message_type::core_status:
        if (const auto decoded = wire::try_decode<wire::core_status>(body)) {
            handle_note(from, *decoded);
        }
        return true;
    case wire::message_type::site_query:
        if (const auto decoded = wire::try_decode<wire::site_query>(body)) {
            handle_query(from, *decoded);
        }
        return true;
    case wire::message_type::site_update:
        if (const auto decoded = wire::try_decode<wire::site_update>(body)) {
            if (auto state = wire::try_decode<gateway::site_state>(decoded->state)) {
                update_state(std::move(*state));
            }
        }
        return true;
    case wire::message_type::order:
        if (const auto decoded = wire::try_decode<wire::order>(body)) {
            handle_order(from, *decoded);
        }
        return true;
    case wire::message_type::order_reply:
        if (const auto decoded = wire::try_decode<wire::order_reply>(body)) {
            handle_reply(*decoded);
        }
        return true;
    case wire::message_type::version_report:
        if (const auto decoded = wire::try_decode<wire::version_report>(body)) {
            for (const auto& row : decoded->rows) {
                judge_.take({row.service, row.version, {row.answers, row.bad, row.paced, row.slow}},
                            now_());
            }
        }
        return true;
    default:
        return false;
    }
}

void control_plane::report_versions(const std::vector<gateway::rollout_view::report_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    if (leads()) {
        for (const auto& row : rows) {
            judge_.take(row, now_());
        }
        return;
    }
    wire::version_report out;
    for (const auto& row : rows) {
        out.rows.push_back({row.service, row.version, row.seen.answers, row.seen.bad,
                            row.seen.paced, row.seen.slow});
    }
    if (leader_.empty() || !mesh_.send(leader_, out)) {
        env_.log->warn("report on {} versions dropped: no leader is reachable", rows.size());
    }
}

void control_plane::hand_over()
{
    if (group_) {
        group_->hand_over(now_());
    }
}

} // namespace hickorypost
