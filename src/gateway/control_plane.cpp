#include "gateway/control_plane.h"

#include "hickorypost/storage/file_system.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <utility>

namespace hickorypost {

namespace {

/// Turn of the control plane: election timeouts are resolved to it.
constexpr millis tick_period{50};
/// The leader's heartbeat and the silence after which another is elected. A change must be in force
/// everywhere two seconds after it was accepted, also if its leader fails just then; a slowed host
/// must not lose leadership over a pause of some hundred milliseconds.
constexpr millis replog_heartbeat{120};
constexpr millis election_min{600};
constexpr millis election_max{1100};
/// A silent voter's place goes to a spare host after this long: two lost hosts in a row must meet a
/// full group, and the platform lets a second one be lost four seconds after the first.
constexpr millis voter_silence{1800};
/// Entries kept in memory and applied between snapshots. A configuration may have tens of
/// kilobytes.
constexpr std::size_t retained_entries = 64;
constexpr std::uint64_t snapshot_every = 64;
constexpr millis note_period{1000};
/// The same state is asked for again after this long: its answer was lost with a link, or its
/// sender does not have it any more. Asked for at each host's note, it would come several times
/// over.
constexpr millis query_period{400};
/// With nobody to ask, a host serves with what it knows after this long: requests must not stop for
/// a control log that has lost its quorum.
constexpr millis ask_limit{4000};
constexpr millis reopen_delay{500};
/// A founder waits this long for as many disks as the tolerated losses need, then takes what is
/// there.
constexpr millis founding_patience{6000};
/// A host that was started again before any founding waits for signs of a group first.
constexpr millis refounding_wait{3000};

} // namespace

control_plane::control_plane(runtime& env, peer_mesh& mesh, control_hooks hooks)
    : env_{env}, config_{*env.config.gateway}, mesh_{mesh}, hooks_{std::move(hooks)},
      now_{boot_clock_fn()}, context_{g_main_context_default()},
      judge_{config_.decisions.judge, [this](const gateway::rollout_status& step) {
                 env_.log->info("roll-out of {} to {}: share {} permille, phase {}, {}",
                                step.service, step.target, step.share_permille,
                                static_cast<int>(step.phase), step.reason);
                 commit({gateway::control_kind::step_rollout, 0, {}, step},
                        [](order_status, const gateway::site_state*) {});
             }}
{
}

control_plane::~control_plane()
{
    tick_timer_.cancel();
}

void control_plane::start()
{
    began_ = now_();
    if (!config_.data.empty()) {
        open_disk();
    }
    tick_timer_ = net::timer::every(tick_period, [this] { tick(); });
    ask_newest();
}

void control_plane::open_disk()
{
    const bool good = value_or_handle<storage::storage_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_ASSIGN(fs_, storage::posix_file_system::open(config_.data));
            BOOST_LEAF_AUTO(
                store, replog::replica_store::open(*fs_, "control-", mesh_.self(), env_.random));
            replog::replica_options options;
            options.heartbeat = replog_heartbeat;
            options.election_min = election_min;
            options.election_max = election_max;
            options.retained_entries = retained_entries;
            options.vote_at_start = true;
            options.voters = 2 * config_.tolerated_losses + 1;
            options.admit_any_host = true;
            options.replace_silent_after = voter_silence;
            auto core = std::make_unique<replog::replica>(
                store->take_recovered(), std::vector<node_id>{}, options, env_.random, now_());
            const std::uint64_t life = ++disk_life_;
            const auto current = [this, life] { return life == disk_life_ && group_ != nullptr; };
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
            disk_ = std::make_unique<replog::sync_task>(std::move(store), std::move(on_done),
                                                        std::move(on_error));
            replog::group_hooks hooks;
            hooks.send = [this](const node_id& to, const replog::message& msg) {
                send_replog(to, msg);
            };
            hooks.persist = [this](replog::persist_batch batch) {
                disk_->submit(std::move(batch));
            };
            hooks.applied = [](const replog::entry&) {};
            group_ = std::make_unique<replog::group>(
                std::move(core), std::make_unique<gateway::control_state>(), std::move(hooks),
                replog::group_options{.snapshot_every = snapshot_every});
            return true;
        },
        [&](const storage::storage_error& error) {
            env_.log->error("data folder cannot be used: {}", storage::describe(error));
            return false;
        });
    if (!good) {
        group_.reset();
        disk_.reset();
        fs_.reset();
        reopen_due_ = now_() + reopen_delay;
        return;
    }
    env_.log->info("data folder open: replica {} of the control log, log to {}",
                   group_->core().role() == replog::replica_role::fresh ? "fresh" : "member",
                   group_->core().last_index());
    note_applied();
}

void control_plane::close_disk(std::string_view why)
{
    // What the disk holds is unknown. The replica ends here as in a crash, which takes leadership
    // from a host that can make nothing durable, and begins anew from what can be read back.
    env_.log->error("data folder lost: {}", why);
    ++disk_life_;
    group_.reset();
    disk_.reset();
    fs_.reset();
    leader_.clear();
    reopen_due_ = now_() + reopen_delay;
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
    return now_() < began_ + ask_limit;
}

bool control_plane::reaches_leader(const node_id& host) const
{
    const auto it = notes_.find(host);
    return it != notes_.end() && !it->second.leader.empty();
}

std::size_t control_plane::hosts() const noexcept
{
    return std::max(hosts_told_, mesh_.linked().size() + 1);
}

void control_plane::note_applied()
{
    if (!group_) {
        return;
    }
    const auto& machine = static_cast<const gateway::control_state&>(group_->machine());
    if (machine.state().revision > state_.revision) {
        adopt(machine.state());
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

void control_plane::adopt(gateway::site_state state)
{
    if (state.revision <= state_.revision) {
        return;
    }
    state_ = std::move(state);
    judge_.follow(state_.rollouts, now_());
    hooks_.changed(state_);
    send_notes();
}

void control_plane::consider_founding()
{
    auto& core = group_->core();
    if (core.role() != replog::replica_role::fresh) {
        return;
    }
    for (const auto& [host, domain] : mesh_.core()) {
        core.add_contact(host);
    }
    const instant now = now_();
    if (core.group_exists() || (!config_.first_start && now < began_ + refounding_wait)) {
        return;
    }
    // The first seed with a disk founds. Whether a seed has one never changes, so no two hosts can
    // take themselves for the founder.
    node_id founder;
    for (const auto& seed : config_.seeds) {
        if (mesh_.is_core(seed)) {
            founder = seed;
            break;
        }
        if (mesh_.link_to(seed) == nullptr) {
            return; // it may have a disk
        }
    }
    if (founder.empty()) {
        founder = mesh_.core().begin()->first;
    }
    if (founder != mesh_.self()) {
        return;
    }
    const std::size_t wanted = 2 * config_.tolerated_losses + 1;
    if (mesh_.core().size() < wanted && now < began_ + founding_patience) {
        return;
    }
    std::vector<node_id> founders{mesh_.self()};
    std::set<std::string> domains{env_.config.node.failure_domain};
    for (const bool new_domains : {true, false}) {
        for (const auto& [host, domain] : mesh_.core()) {
            const bool taken = std::find(founders.begin(), founders.end(), host) != founders.end();
            const bool fits = !new_domains || !domains.contains(domain);
            if (founders.size() < wanted && !taken && fits) {
                founders.push_back(host);
                domains.insert(domain);
            }
        }
    }
    core.set_founders(std::move(founders));
}

void control_plane::tick()
{
    const instant now = now_();
    if (!group_ && !config_.data.empty() && now >= reopen_due_) {
        open_disk();
    }
    if (group_) {
        consider_founding();
        group_->tick(now);
        note_applied();
        const bool judging = leads();
        if (judging && !std::exchange(judging_, judging)) {
            judge_.follow(state_.rollouts, now);
        }
        judging_ = judging;
        if (judging) {
            judge_.tick(now);
        }
        if (now >= note_due_ || noted_revision_ != state_.revision || noted_leader_ != leader_) {
            send_notes();
        }
    }
    retry_orders();
    if (!synced_ && now > began_ + ask_limit && state_.revision > 0) {
        env_.log->warn("nobody confirms the newest state: serving with revision {}",
                       state_.revision);
        become_synced();
    }
    if (!synced_ && !asking_newest_) {
        ask_newest();
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
    return out;
}

void control_plane::send_note(const node_id& to)
{
    mesh_.send(to, note());
}

void control_plane::send_notes()
{
    note_due_ = now_() + note_period;
    noted_revision_ = state_.revision;
    noted_leader_ = leader_;
    if (config_.data.empty()) {
        return;
    }
    const auto it = note();
    for (const auto& host : mesh_.linked()) {
        mesh_.send(host, it);
    }
}

void control_plane::handle_note(const node_id& from, const wire::core_status& msg)
{
    bool learned = false;
    for (const auto& it : msg.core) {
        learned = mesh_.learn_core(it) || learned;
    }
    if (learned) {
        send_notes();
    }
    if (!mesh_.is_core(from)) {
        return;
    }
    notes_[from] = msg;
    if (group_) {
        return; // the log itself tells the rest
    }
    hosts_told_ = msg.hosts;
    if (!msg.leader.empty() && msg.term >= leader_term_) {
        if (leader_ != msg.leader) {
            env_.log->info("leader of the control log in term {}: {}", msg.term, msg.leader);
        }
        leader_ = msg.leader;
        leader_term_ = msg.term;
    }
    const instant now = now_();
    if (msg.revision > std::max(state_.revision, queried_revision_) ||
        (msg.revision > state_.revision && now > query_due_)) {
        query_due_ = now + query_period;
        queried_revision_ = msg.revision;
        mesh_.send(from, wire::site_query{state_.revision});
    }
}

void control_plane::on_link_up(const node_id& host)
{
    send_note(host);
    retry_orders();
}

void control_plane::on_link_down(const node_id& host)
{
    notes_.erase(host);
}

bool control_plane::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::replog:
        if (const auto it = wire::try_decode<wire::replog_envelope>(body); it && group_) {
            if (const auto msg = wire::try_decode<replog::message>(it->payload)) {
                group_->receive(*msg, now_());
                note_applied();
            }
        }
        return true;
    case wire::message_type::core_status:
        if (const auto it = wire::try_decode<wire::core_status>(body)) {
            handle_note(from, *it);
        }
        return true;
    case wire::message_type::site_query:
        if (const auto it = wire::try_decode<wire::site_query>(body);
            it && it->have_revision < state_.revision) {
            mesh_.send(from, wire::site_update{wire::encode(state_)});
        }
        return true;
    case wire::message_type::site_update:
        if (const auto it = wire::try_decode<wire::site_update>(body)) {
            if (auto state = wire::try_decode<gateway::site_state>(it->state)) {
                adopt(std::move(*state));
            }
        }
        return true;
    case wire::message_type::order:
        if (const auto it = wire::try_decode<wire::order>(body)) {
            handle_order(from, *it);
        }
        return true;
    case wire::message_type::order_reply:
        if (const auto it = wire::try_decode<wire::order_reply>(body)) {
            handle_reply(*it);
        }
        return true;
    case wire::message_type::version_report:
        if (const auto it = wire::try_decode<wire::version_report>(body)) {
            for (const auto& row : it->rows) {
                judge_.take({row.service, row.version, {row.answers, row.bad, row.paced, row.slow}},
                            now_());
            }
        }
        return true;
    default:
        return false;
    }
}

void control_plane::take_versions(const std::vector<gateway::rollout_view::report_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    if (leads()) {
        for (const auto& it : rows) {
            judge_.take(it, now_());
        }
        return;
    }
    wire::version_report out;
    for (const auto& it : rows) {
        out.rows.push_back(
            {it.service, it.version, it.seen.answers, it.seen.bad, it.seen.paced, it.seen.slow});
    }
    if (leader_.empty() || !mesh_.send(leader_, out)) {
        env_.log->warn("evidence of {} versions lost: no leader is known", rows.size());
    }
}

void control_plane::hand_over()
{
    if (group_) {
        group_->hand_over(now_());
    }
}

} // namespace hickorypost
