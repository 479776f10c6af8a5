#include "gateway/backend_feed.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <tuple>

namespace hickorypost {

namespace {

/// Period of attachments, relayed heartbeats and whole load reports.
constexpr millis turn_period{100};
/// Heartbeats without news are gathered for this many turns.
constexpr std::uint64_t turns_per_touch = 5;
constexpr millis expire_period{2000};
/// Hosts with a disk that another host is attached to. With one, notices of backend servers that
/// leave would be lost while it is replaced; they must reach all hosts within two seconds.
constexpr std::size_t wanted_attachments = 2;

} // namespace

backend_feed::backend_feed(runtime& env, peer_mesh& mesh, gateway::backend_directory& directory,
                           gateway::crash_ledger& suspects, gateway::backend_limits& limits,
                           gateway::load_balancer& balancer, bool has_disk, feed_hooks hooks)
    : env_{env}, mesh_{mesh}, directory_{directory}, suspects_{suspects}, limits_{limits},
      has_disk_{has_disk}, hooks_{std::move(hooks)}, relay_{has_disk}, loads_{env, mesh, balancer,
                                                                              has_disk, around_}
{
}

void backend_feed::start()
{
    timer_ = net::timer::every(turn_period, [this] { tick(); });
}

std::vector<node_id> backend_feed::targets(const node_id& from) const
{
    std::vector<node_id> out;
    if (!has_disk_) {
        // Messages from other hosts came through the core, which has broadcast them.
        return from == mesh_.self() ? around_.upstream_hosts : out;
    }
    const bool from_core = from != mesh_.self() && mesh_.is_core(from);
    for (const auto& host : mesh_.linked()) {
        const bool wanted =
            around_.downstream_hosts.contains(host) || (mesh_.is_core(host) && !from_core);
        if (wanted && host != from) {
            out.push_back(host);
        }
    }
    return out;
}

void backend_feed::take_heartbeat(const gateway::backend_record& record)
{
    const auto change = directory_.take(record, env_.now());
    drop_superseded();
    if (change != gateway::backend_directory::change::none) {
        suspects_.heartbeat(record.id);
    }
    if (change == gateway::backend_directory::change::changed) {
        apply(record);
        spread(wire::backend_update{{wire::encode(record)}, {}}, mesh_.self());
    } else if (change == gateway::backend_directory::change::touched) {
        relay_.took(record.id, record.sequence);
    }
}

void backend_feed::spread_pins(std::vector<std::uint64_t> sessions)
{
    if (!sessions.empty()) {
        spread(wire::session_pins{std::move(sessions)}, mesh_.self());
    }
}

void backend_feed::apply(const gateway::backend_record& record)
{
    const char* const state = record.state == gateway::backend_state::ready      ? "ready"
                              : record.state == gateway::backend_state::draining ? "draining"
                                                                                 : "gone";
    env_.log->info("backend server {} of {} at {} version {} is {}", record.id, record.service,
                   record.address, record.version, state);
    if (record.state == gateway::backend_state::gone) {
        hooks_.gone(record.id);
    }
}

void backend_feed::drop_superseded()
{
    for (const auto& id : directory_.take_superseded()) {
        env_.log->info("backend server {} has started again: the start before is over", id);
        hooks_.superseded(id);
    }
}

void backend_feed::take_update(const node_id& from, const wire::backend_update& update)
{
    const instant now = env_.now();
    wire::backend_update news;
    for (const auto& bytes : update.records) {
        const auto record = wire::try_decode<gateway::backend_record>(bytes);
        if (!record) {
            env_.log->error("record of a backend server from host {} cannot be read", from);
            continue;
        }
        if (directory_.take(*record, now) == gateway::backend_directory::change::changed) {
            apply(*record);
            news.records.push_back(bytes);
        }
    }
    drop_superseded();
    for (const auto& it : update.touches) {
        const bool is_news = directory_.touch(it.id, it.sequence, now);
        if (is_news) {
            suspects_.heartbeat(it.id);
        }
        relay_.heard(it.id, it.sequence, is_news);
    }
    if (!news.records.empty()) {
        spread(news, from);
    }
}

void backend_feed::report_unresponsive(const std::string& backend)
{
    const auto* const it = directory_.find(backend);
    if (it != nullptr) {
        take_probe_failure(mesh_.self(),
                           {backend, it->record.sequence, env_.config.node.failure_domain});
    }
}

void backend_feed::take_probe_failure(const node_id& from, const wire::probe_failure& failure)
{
    // At most one for each failure domain goes on between two heartbeats of a backend server.
    if (!directory_.take_probe_failure(failure.id, failure.sequence, failure.failure_domain)) {
        return;
    }
    env_.log->info("backend server {} failed its liveness probe in {} after heartbeat {}",
                   failure.id, failure.failure_domain, failure.sequence);
    spread(failure, from);
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

void backend_feed::share(const gateway::crash_fact& fact)
{
    unshared_.rows.push_back(encode(fact));
    if (!share_timer_.armed()) {
        share_timer_ = net::timer::once(
            millis{0}, [this] { spread(std::exchange(unshared_, {}), mesh_.self()); });
    }
}

void backend_feed::share(const gateway::limit_change& change)
{
    spread(wire::backend_limit{change.backend, change.per_second}, mesh_.self());
}

void backend_feed::take_crash_facts(const node_id& from, const wire::crash_facts& facts)
{
    wire::crash_facts news;
    for (const auto& row : facts.rows) {
        if (suspects_.take(decode(row))) {
            news.rows.push_back(row);
        }
    }
    if (!news.rows.empty()) {
        spread(news, from);
    }
}

void backend_feed::send_all(const node_id& to)
{
    wire::backend_update out;
    for (const auto& it : directory_.all()) {
        out.records.push_back(wire::encode(it));
    }
    mesh_.send(to, out);
    wire::crash_facts facts;
    for (const auto& it : suspects_.all()) {
        facts.rows.push_back(encode(it));
    }
    if (!facts.rows.empty()) {
        mesh_.send(to, facts);
    }
    if (auto sessions = hooks_.pinned(); !sessions.empty()) {
        mesh_.send(to, wire::session_pins{std::move(sessions)});
    }
    for (const auto& [id, per_second] : limits_.all()) {
        mesh_.send(to, wire::backend_limit{id, per_second});
    }
}

std::vector<node_id> backend_feed::best_attachments() const
{
    // A host that is cut off from the others knows nothing new, though the link to it is up. Among
    // the rest the own failure domain first, as bytes between domains are dear; then by hash, so
    // that a lost host's share goes to all others.
    using rank = std::tuple<bool, bool, std::uint64_t>;
    std::vector<std::pair<rank, node_id>> found;
    for (const auto& [host, domain] : mesh_.core()) {
        if (mesh_.link_to(host) != nullptr) {
            found.push_back(
                {{hooks_.reaches_leader(host), domain == env_.config.node.failure_domain,
                  hash_bytes(host, hash_bytes(mesh_.self()))},
                 host});
        }
    }
    std::sort(found.rbegin(), found.rend());
    std::vector<node_id> out;
    for (const auto& [order, host] : found) {
        if (out.size() < wanted_attachments) {
            out.push_back(host);
        }
    }
    return out;
}

void backend_feed::choose_attachments()
{
    if (has_disk_) {
        return;
    }
    const auto best = best_attachments();
    for (const auto& host : around_.upstream_hosts) {
        if (std::find(best.begin(), best.end(), host) == best.end()) {
            env_.log->info("no longer attached to host {}", host);
            mesh_.send(host, wire::attach{false});
        }
    }
    for (const auto& host : best) {
        if (std::find(around_.upstream_hosts.begin(), around_.upstream_hosts.end(), host) ==
            around_.upstream_hosts.end()) {
            env_.log->info("attached to host {}", host);
            mesh_.send(host, wire::attach{true});
            send_all(host);
        }
    }
    around_.upstream_hosts = best;
    loads_.follow_attachments();
}

void backend_feed::on_link_up(const node_id& host)
{
    if (has_disk_ && mesh_.is_core(host)) {
        send_all(host);
    }
    choose_attachments();
}

void backend_feed::on_link_down(const node_id& host)
{
    around_.downstream_hosts.erase(host);
    loads_.on_host_gone(host);
    std::erase(around_.upstream_hosts, host);
    choose_attachments();
}

bool backend_feed::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::attach:
        if (const auto it = wire::try_decode<wire::attach>(body)) {
            around_.downstream_hosts.erase(from);
            loads_.on_host_gone(from);
            if (it->on) {
                loads_.require_full_report(from);
                around_.downstream_hosts.insert(from);
                send_all(from);
            }
        }
        return true;
    case wire::message_type::backend_update:
        if (const auto it = wire::try_decode<wire::backend_update>(body)) {
            take_update(from, *it);
        }
        return true;
    case wire::message_type::session_pins:
        if (const auto it = wire::try_decode<wire::session_pins>(body)) {
            if (auto news = hooks_.pins(it->sessions); !news.empty()) {
                spread(wire::session_pins{std::move(news)}, from);
            }
        }
        return true;
    case wire::message_type::probe_failure:
        if (const auto it = wire::try_decode<wire::probe_failure>(body)) {
            take_probe_failure(from, *it);
        }
        return true;
    case wire::message_type::crash_facts:
        if (const auto it = wire::try_decode<wire::crash_facts>(body)) {
            take_crash_facts(from, *it);
        }
        return true;
    case wire::message_type::backend_limit:
        if (const auto it = wire::try_decode<wire::backend_limit>(body)) {
            const auto taken = limits_.take(it->id, it->per_second);
            if (taken.change) {
                hooks_.limit_changed(*taken.change);
            }
            if (taken.is_news) {
                spread(*it, from);
            }
        }
        return true;
    case wire::message_type::load_report:
        if (const auto it = wire::try_decode<wire::load_report>(body)) {
            loads_.take_report(from, *it);
        }
        return true;
    default:
        return false;
    }
}

void backend_feed::tick()
{
    choose_attachments();
    if (++turn_ % turns_per_touch == 0) {
        wire::backend_update update;
        for (const auto& [id, sequence] : relay_.take()) {
            update.touches.push_back({id, sequence});
        }
        // Touches of the core's own and of attached hosts are mixed here; a host that sent one gets
        // it back, which changes nothing.
        if (!update.touches.empty()) {
            spread(update, mesh_.self());
        }
    }
    loads_.tick();
    if (const instant now = env_.now(); now >= expire_due_) {
        expire_due_ = now + expire_period;
        suspects_.expire();
        for (const auto& it : directory_.expire(now)) {
            env_.log->info("backend server {} {}", it.id,
                           it.silent ? "is silent: used only where no other is left"
                                     : "is heard of again");
        }
    }
}

} // namespace hickorypost
