#include "gateway/backend_feed.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <tuple>

namespace hickorypost {

namespace {

/// Period at which attachments, relayed heartbeats and load reports are updated.
constexpr millis tick_period{100};
/// Heartbeats that change nothing but the sequence number are sent in batches, one in this many
/// ticks.
constexpr std::uint64_t ticks_per_touch_batch = 5;
/// Period at which silent backend servers and old crash records are expired.
constexpr millis expiry_period{2000};
/// Number of core hosts that a host without a disk attaches to. With a single one, leave notices of
/// backend servers would be lost while it is replaced; they must reach all hosts within 2 s.
constexpr std::size_t attachments_per_host = 2;

} // namespace

backend_feed::backend_feed(runtime& env, peer_mesh& mesh, gateway::backend_directory& directory,
                           gateway::crash_ledger& crashes, gateway::backend_limits& limits,
                           gateway::load_balancer& balancer, scheduling::account_shares& shares,
                           bool has_disk, backend_feed_hooks hooks)
    : env_{env}, mesh_{mesh}, directory_{directory}, crashes_{crashes}, limits_{limits},
      has_disk_{has_disk}, hooks_{std::move(hooks)},
      heartbeat_relay_{has_disk}, loads_{env, mesh, balancer, has_disk, attachments_},
      usage_{
          env, mesh, shares, has_disk, attachments_, hooks_.takes_account_usage, hooks_.host_count}
{
}

void backend_feed::start()
{
    timer_ = net::timer::every(tick_period, [this] { tick(); });
    usage_.start();
}

std::vector<node_id> backend_feed::broadcast_targets(const node_id& from) const
{
    std::vector<node_id> out;
    if (!has_disk_) {
        // Messages from other hosts arrive through the core, which broadcasts them itself.
        return from == mesh_.self() ? attachments_.upstream_hosts : out;
    }
    const bool from_core = from != mesh_.self() && mesh_.is_core(from);
    for (const auto& host : mesh_.linked()) {
        const bool wanted =
            attachments_.downstream_hosts.contains(host) || (mesh_.is_core(host) && !from_core);
        if (wanted && host != from) {
            out.push_back(host);
        }
    }
    return out;
}

void backend_feed::on_heartbeat(const gateway::backend_record& record)
{
    const auto change = directory_.take(record, env_.now());
    handle_superseded();
    if (change != gateway::backend_directory::change::none) {
        crashes_.heartbeat(record.id);
    }
    if (change == gateway::backend_directory::change::changed) {
        on_record_changed(record);
        broadcast(wire::backend_update{{wire::encode(record)}, {}}, mesh_.self());
    } else if (change == gateway::backend_directory::change::touched) {
        heartbeat_relay_.took(record.id, record.sequence);
    }
}

void backend_feed::broadcast_pinned_sessions(std::vector<std::uint64_t> sessions)
{
    if (!sessions.empty()) {
        broadcast(wire::session_pins{std::move(sessions)}, mesh_.self());
    }
}

void backend_feed::on_record_changed(const gateway::backend_record& record)
{
    const char* const state = record.state == gateway::backend_state::ready      ? "ready"
                              : record.state == gateway::backend_state::draining ? "draining"
                                                                                 : "gone";
    // The heartbeat's sequence distinguishes changes, as `history` aligns the clocks of hosts by
    // equal lines.
    env_.log->info("backend server {} of {} at {} version {} is {}, heartbeat {}, cold for {} ms",
                   record.id, record.service, record.address, record.version, state,
                   record.sequence, record.cold_ms);
    if (record.state == gateway::backend_state::gone) {
        hooks_.backend_gone(record.id);
    }
}

void backend_feed::handle_superseded()
{
    for (const auto& id : directory_.take_superseded()) {
        env_.log->info("backend server {} has started again: its previous incarnation has ended",
                       id);
        hooks_.backend_superseded(id);
    }
}

void backend_feed::on_update(const node_id& from, const wire::backend_update& update)
{
    const instant now = env_.now();
    wire::backend_update changed;
    for (const auto& bytes : update.records) {
        const auto record = wire::try_decode<gateway::backend_record>(bytes);
        if (!record) {
            env_.log->error("cannot decode a backend server record from host {}", from);
            continue;
        }
        if (directory_.take(*record, now) == gateway::backend_directory::change::changed) {
            on_record_changed(*record);
            changed.records.push_back(bytes);
        }
    }
    handle_superseded();
    for (const auto& touch : update.touches) {
        const bool is_new = directory_.touch(touch.id, touch.sequence, now);
        if (is_new) {
            crashes_.heartbeat(touch.id);
        }
        heartbeat_relay_.heard(touch.id, touch.sequence, is_new);
    }
    if (!changed.records.empty()) {
        broadcast(changed, from);
    }
}

void backend_feed::report_probe_failure(const std::string& backend)
{
    const auto* const entry = directory_.find(backend);
    if (entry != nullptr) {
        on_probe_failure(mesh_.self(),
                         {backend, entry->record.sequence, env_.config.node.failure_domain});
    }
}

void backend_feed::report_leaving(const std::string& backend)
{
    if (const auto* const record = directory_.mark_draining(backend)) {
        env_.log->info("backend server {} says in an answer that it is leaving", backend);
        env_.metrics.count("backends_leaving_by_answer_total");
        on_record_changed(*record);
        broadcast(wire::backend_update{{wire::encode(*record)}, {}}, mesh_.self());
    }
}

void backend_feed::on_probe_failure(const node_id& from, const wire::probe_failure& failure)
{
    // Between two heartbeats of a backend server at most one failure per failure domain is passed
    // on.
    if (!directory_.take_probe_failure(failure.id, failure.sequence, failure.failure_domain)) {
        return;
    }
    env_.log->info("backend server {} failed its liveness probe in {} after heartbeat {}",
                   failure.id, failure.failure_domain, failure.sequence);
    broadcast(failure, from);
}

wire::crash_row backend_feed::encode(const gateway::crash_fact& fact) const
{
    const instant now = env_.now();
    const auto age = [now](instant at) { return static_cast<std::uint64_t>(to_millis(now - at)); };
    return {static_cast<std::uint8_t>(fact.kind),
            fact.identity.outline,
            fact.identity.digest,
            fact.backend,
            fact.crashes_before,
            age(fact.at)};
}

gateway::crash_fact backend_feed::decode(const wire::crash_row& row) const
{
    const instant now = env_.now();
    const auto at = [now](std::uint64_t age) {
        return now - millis{static_cast<std::int64_t>(age)};
    };
    return {static_cast<gateway::crash_fact::kind_type>(row.kind),
            {row.outline, row.digest},
            row.backend,
            row.crashes_before,
            at(row.age_ms)};
}

void backend_feed::broadcast_crash_fact(const gateway::crash_fact& fact)
{
    unsent_crash_facts_.rows.push_back(encode(fact));
    if (!crash_fact_timer_.armed()) {
        crash_fact_timer_ = net::timer::once(
            millis{0}, [this] { broadcast(std::exchange(unsent_crash_facts_, {}), mesh_.self()); });
    }
}

void backend_feed::broadcast_limit(const gateway::limit_change& change)
{
    broadcast(wire::backend_limit{change.backend, change.per_second}, mesh_.self());
}

void backend_feed::on_crash_facts(const node_id& from, const wire::crash_facts& facts)
{
    wire::crash_facts changed;
    for (const auto& row : facts.rows) {
        if (crashes_.take(decode(row))) {
            changed.rows.push_back(row);
        }
    }
    env_.metrics.count("crash_facts_received_total", static_cast<double>(facts.rows.size()));
    env_.metrics.count("crash_facts_new_total", static_cast<double>(changed.rows.size()));
    if (!changed.rows.empty()) {
        broadcast(changed, from);
    }
}

void backend_feed::send_full_state(const node_id& to)
{
    wire::backend_update update;
    for (const auto& record : directory_.all(env_.now())) {
        update.records.push_back(wire::encode(record));
    }
    mesh_.send(to, update);
    wire::crash_facts facts;
    for (const auto& fact : crashes_.all()) {
        facts.rows.push_back(encode(fact));
    }
    if (!facts.rows.empty()) {
        mesh_.send(to, facts);
    }
    if (auto sessions = hooks_.pinned_sessions(); !sessions.empty()) {
        mesh_.send(to, wire::session_pins{std::move(sessions)});
    }
    for (const auto& [id, per_second] : limits_.all()) {
        mesh_.send(to, wire::backend_limit{id, per_second});
    }
}

std::vector<node_id> backend_feed::preferred_attachments() const
{
    // Hosts that have contact with the control log's leader come first: a host that is cut off from
    // the others receives no updates, although the link to it is up. Then hosts in this host's
    // failure domain, because traffic between domains is expensive. The hash distributes the
    // attached hosts of a lost host over all others.
    using rank = std::tuple<bool, bool, std::uint64_t>;
    std::vector<std::pair<rank, node_id>> candidates;
    for (const auto& [host, domain] : mesh_.core()) {
        if (mesh_.link_to(host) != nullptr) {
            candidates.push_back(
                {{hooks_.reaches_leader(host), domain == env_.config.node.failure_domain,
                  hash_bytes(host, hash_bytes(mesh_.self()))},
                 host});
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<node_id> out;
    for (const auto& [order, host] : candidates) {
        if (out.size() < attachments_per_host) {
            out.push_back(host);
        }
    }
    return out;
}

void backend_feed::update_attachments()
{
    if (has_disk_) {
        return;
    }
    const auto preferred = preferred_attachments();
    for (const auto& host : attachments_.upstream_hosts) {
        if (std::find(preferred.begin(), preferred.end(), host) == preferred.end()) {
            env_.log->info("detached from host {}", host);
            mesh_.send(host, wire::attach{false});
        }
    }
    for (const auto& host : preferred) {
        if (std::find(attachments_.upstream_hosts.begin(), attachments_.upstream_hosts.end(),
                      host) == attachments_.upstream_hosts.end()) {
            env_.log->info("attached to host {}", host);
            mesh_.send(host, wire::attach{true});
            send_full_state(host);
        }
    }
    attachments_.upstream_hosts = preferred;
    loads_.follow_attachments();
}

void backend_feed::on_link_up(const node_id& host)
{
    if (has_disk_ && mesh_.is_core(host)) {
        send_full_state(host);
        loads_.require_full_report(host);
    }
    update_attachments();
}

void backend_feed::on_link_down(const node_id& host)
{
    attachments_.downstream_hosts.erase(host);
    loads_.on_host_gone(host);
    usage_.on_host_gone(host);
    std::erase(attachments_.upstream_hosts, host);
    update_attachments();
}

bool backend_feed::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::attach:
        if (const auto decoded = wire::try_decode<wire::attach>(body)) {
            attachments_.downstream_hosts.erase(from);
            loads_.on_host_gone(from);
            usage_.on_host_gone(from);
            if (decoded->on) {
                attachments_.downstream_hosts.insert(from);
                send_full_state(from);
            }
        }
        return true;
    case wire::message_type::backend_update:
        if (const auto decoded = wire::try_decode<wire::backend_update>(body)) {
            on_update(from, *decoded);
        }
        return true;
    case wire::message_type::session_pins:
        if (const auto decoded = wire::try_decode<wire::session_pins>(body)) {
            if (auto pinned = hooks_.pin_sessions(decoded->sessions); !pinned.empty()) {
                broadcast(wire::session_pins{std::move(pinned)}, from);
            }
        }
        return true;
    case wire::message_type::probe_failure:
        if (const auto decoded = wire::try_decode<wire::probe_failure>(body)) {
            on_probe_failure(from, *decoded);
        }
        return true;
    case wire::message_type::crash_facts:
        if (const auto decoded = wire::try_decode<wire::crash_facts>(body)) {
            on_crash_facts(from, *decoded);
        }
        return true;
    case wire::message_type::backend_limit:
        if (const auto decoded = wire::try_decode<wire::backend_limit>(body)) {
            const auto update = limits_.take(decoded->id, decoded->per_second);
            if (update.change) {
                hooks_.limit_changed(*update.change);
            }
            if (update.is_news) {
                broadcast(*decoded, from);
            }
        }
        return true;
    case wire::message_type::load_report:
        if (const auto decoded = wire::try_decode<wire::load_report>(body)) {
            loads_.take_report(from, *decoded);
        }
        return true;
    case wire::message_type::account_usage:
        if (const auto decoded = wire::try_decode<wire::account_usage>(body)) {
            usage_.take_report(from, *decoded);
        }
        return true;
    default:
        return false;
    }
}

void backend_feed::tick()
{
    update_attachments();
    if (++tick_count_ % ticks_per_touch_batch == 0) {
        wire::backend_update update;
        for (const auto& [id, sequence] : heartbeat_relay_.take()) {
            update.touches.push_back({id, sequence});
        }
        // The batch also goes to the hosts that sent these heartbeats; repeated ones have no
        // effect. An attached host gets it only from the host to which it reports its load: a
        // heartbeat that is missed while that host is replaced is followed by another one before
        // the backend server counts as silent.
        if (!update.touches.empty()) {
            for (const auto& host : broadcast_targets(mesh_.self())) {
                if (mesh_.is_core(host) || loads_.is_reporting(host)) {
                    mesh_.send(host, update);
                }
            }
        }
    }
    loads_.tick();
    if (const instant now = env_.now(); now >= next_expiry_) {
        next_expiry_ = now + expiry_period;
        crashes_.expire();
        for (const auto& change : directory_.expire(now)) {
            env_.log->info(
                "backend server {} {}", change.id,
                change.silent
                    ? "is silent: it gets requests only if no other backend server is left"
                    : "sends heartbeats again");
        }
    }
}

} // namespace hickorypost
