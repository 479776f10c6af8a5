#include "gateway/backend_feed.h"

#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <tuple>

namespace hickorypost {

namespace {

/// Loads are spread this often. A long prompt occupies an engine for a tenth of a second to two;
/// others must hear of it before they send theirs there.
constexpr millis turn_period{100};
/// Heartbeats without news are gathered for this many turns.
constexpr std::uint64_t turns_per_touch = 5;
/// A host's loads count for this long without a new report.
constexpr millis load_life{1500};
constexpr millis expire_period{2000};
/// Hosts with a disk that another host is attached to. With one, word of a backend server's leaving
/// would be lost while a new one is sought: it must be known everywhere within two seconds.
constexpr std::size_t attachments = 2;

void add_to(std::map<std::string, gateway::remote_load>& sum,
            const std::map<std::string, gateway::remote_load>& part)
{
    for (const auto& [id, it] : part) {
        sum[id].requests += it.requests;
        sum[id].reading_ms += it.reading_ms;
    }
}

wire::load_report encode_loads(const std::map<std::string, gateway::remote_load>& loads)
{
    wire::load_report out;
    for (const auto& [id, it] : loads) {
        out.loads.push_back({id, it.requests, it.reading_ms});
    }
    return out;
}

} // namespace

backend_feed::backend_feed(runtime& env, peer_mesh& mesh, gateway::backend_directory& directory,
                           gateway::load_balancer& balancer, bool has_disk, feed_hooks hooks)
    : env_{env}, mesh_{mesh},
      directory_{directory}, balancer_{balancer}, has_disk_{has_disk}, hooks_{std::move(hooks)}
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
        // What came from elsewhere came by way of the core, which has told everyone.
        return from == mesh_.self() ? attached_to_ : out;
    }
    const bool from_core = from != mesh_.self() && mesh_.is_core(from);
    for (const auto& host : mesh_.linked()) {
        const bool wanted = attached_.contains(host) || (mesh_.is_core(host) && !from_core);
        if (wanted && host != from) {
            out.push_back(host);
        }
    }
    return out;
}

void backend_feed::take_heartbeat(const gateway::backend_record& record)
{
    const auto change = directory_.take(record, env_.now());
    if (change == gateway::backend_directory::change::changed) {
        apply(record);
        spread(wire::backend_update{{wire::encode(record)}, {}}, mesh_.self());
    } else if (change == gateway::backend_directory::change::touched) {
        touches_[record.id] = record.sequence;
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
    for (const auto& it : update.touches) {
        directory_.touch(it.id, it.sequence, now);
        touches_[it.id] = std::max(touches_[it.id], it.sequence);
    }
    if (!has_disk_) {
        touches_.clear();
    }
    if (!news.records.empty()) {
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
        if (out.size() < attachments) {
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
    for (const auto& host : attached_to_) {
        if (std::find(best.begin(), best.end(), host) == best.end()) {
            env_.log->info("no longer attached to host {}", host);
            mesh_.send(host, wire::attach{false});
        }
    }
    for (const auto& host : best) {
        if (std::find(attached_to_.begin(), attached_to_.end(), host) == attached_to_.end()) {
            env_.log->info("attached to host {}", host);
            mesh_.send(host, wire::attach{true});
            send_all(host);
        }
    }
    attached_to_ = best;
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
    attached_.erase(host);
    loads_.erase(host);
    std::erase(attached_to_, host);
    choose_attachments();
}

bool backend_feed::on_message(const node_id& from, wire::message_type type, std::string_view body)
{
    switch (type) {
    case wire::message_type::attach:
        if (const auto it = wire::try_decode<wire::attach>(body)) {
            attached_.erase(from);
            if (it->on) {
                attached_.insert(from);
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
            hooks_.pins(it->sessions);
            spread(*it, from);
        }
        return true;
    case wire::message_type::load_report:
        if (const auto it = wire::try_decode<wire::load_report>(body)) {
            take_loads(from, *it);
        }
        return true;
    default:
        return false;
    }
}

void backend_feed::tick()
{
    choose_attachments();
    if (++turn_ % turns_per_touch == 0 && !touches_.empty()) {
        wire::backend_update update;
        for (const auto& [id, sequence] : touches_) {
            update.touches.push_back({id, sequence});
        }
        touches_.clear();
        // Touches of the core's own and of attached hosts are mixed here; a host that sent one gets
        // it back, which changes nothing.
        spread(update, mesh_.self());
    }
    send_loads();
    if (const instant now = env_.now(); now >= expire_due_) {
        expire_due_ = now + expire_period;
        directory_.expire(now);
    }
}

backend_feed::load_map backend_feed::sum_loads(bool with_core) const
{
    load_map out = balancer_.own_loads();
    const instant now = env_.now();
    for (const auto& [host, it] : loads_) {
        if (now < it.taken + load_life && (with_core || !mesh_.is_core(host))) {
            add_to(out, it.loads);
        }
    }
    return out;
}

void backend_feed::send_loads()
{
    if (!has_disk_) {
        auto own = balancer_.own_loads();
        if (!attached_to_.empty() && !(own.empty() && sent_loads_.empty()) &&
            !mesh_.congested(attached_to_.front())) {
            // To the first only: the hosts with a disk add up what they get.
            mesh_.send(attached_to_.front(), encode_loads(own));
        }
        sent_loads_ = std::move(own);
        return;
    }
    const auto subtotal = sum_loads(false);
    const auto report = encode_loads(subtotal);
    const auto total = encode_loads(sum_loads(true));
    for (const auto& host : mesh_.linked()) {
        if (mesh_.congested(host)) {
            continue; // the next report says it all again
        }
        if (mesh_.is_core(host)) {
            if (!report.loads.empty()) {
                mesh_.send(host, report);
            }
        } else if (attached_.contains(host) && !total.loads.empty()) {
            mesh_.send(host, total);
        }
    }
}

void backend_feed::take_loads(const node_id& from, const wire::load_report& report)
{
    load_map loads;
    for (const auto& it : report.loads) {
        loads[it.id] = {it.requests, it.reading_ms};
    }
    const instant now = env_.now();
    if (has_disk_) {
        loads_[from] = {loads, now};
        balancer_.take_remote(from, std::move(loads), now);
        return;
    }
    if (attached_to_.empty() || from != attached_to_.front()) {
        return;
    }
    // The total holds what this host reported last.
    for (const auto& [id, own] : sent_loads_) {
        if (const auto it = loads.find(id); it != loads.end()) {
            it->second.requests = std::max(0.0, it->second.requests - own.requests);
            it->second.reading_ms = std::max(0.0, it->second.reading_ms - own.reading_ms);
        }
    }
    balancer_.take_remote("total", std::move(loads), now);
}

} // namespace hickorypost
