#include "gateway/load_feed.h"

#include <algorithm>
#include <utility>

namespace hickorypost {

namespace {

/// Reports go out at once, but no more often than this: a host handles at most 100 a second from
/// each host that it gets news from, however many hosts there are.
constexpr millis least_gap{10};
/// A whole report now and then mends what small unreported changes add up to.
constexpr millis whole_period{1000};
/// Two whole reports and a half: a host that is silent for longer has no work that is known.
constexpr millis load_life{2500};

} // namespace

load_feed::load_feed(runtime& env, peer_mesh& mesh, gateway::load_balancer& balancer, bool has_disk,
                     const attachments& around)
    : env_{env}, mesh_{mesh}, balancer_{balancer}, has_disk_{has_disk}, around_{around},
      own_part_{{}}, all_{{}}
{
}

void load_feed::own_changed(const std::string& backend, const gateway::remote_load& own)
{
    const bool for_core = own_part_.set(mesh_.self(), backend, own);
    const bool for_attached = has_disk_ && all_.set(mesh_.self(), backend, own);
    if (for_core || for_attached) {
        schedule_flush();
    }
}

void load_feed::take_report(const node_id& from, const wire::load_report& report)
{
    const bool from_attached = around_.downstream_hosts.contains(from);
    const bool expected = has_disk_ ? from_attached || mesh_.is_core(from) : from == front_;
    if (!expected) {
        return; // a host that this one has just left
    }
    heard_[from] = env_.now();
    load_map loads;
    for (const auto& it : report.loads) {
        loads[it.id] = {it.requests, it.reading_ms};
    }
    if (report.whole) {
        take_whole(from, loads);
        return;
    }
    std::vector<std::string> concerned;
    for (const auto& [backend, load] : loads) {
        if (has_disk_) {
            all_.set(from, backend, load);
            if (from_attached) {
                own_part_.set(from, backend, load);
            }
            concerned.push_back(backend);
        } else {
            balancer_.set_others(backend, load);
            told_others_.insert(backend);
        }
    }
    if (has_disk_) {
        update_balancer(concerned);
        schedule_flush();
    }
}

void load_feed::take_whole(const node_id& from, const load_map& loads)
{
    if (has_disk_) {
        update_balancer(all_.replace(from, loads));
        if (around_.downstream_hosts.contains(from)) {
            own_part_.replace(from, loads);
        }
        schedule_flush();
        return;
    }
    for (const auto& backend : std::exchange(told_others_, {})) {
        if (!loads.contains(backend)) {
            balancer_.set_others(backend, {});
        }
    }
    for (const auto& [backend, load] : loads) {
        balancer_.set_others(backend, load);
        told_others_.insert(backend);
    }
}

void load_feed::update_balancer(const std::vector<std::string>& backends)
{
    for (const auto& backend : backends) {
        balancer_.set_others(backend, all_.without(mesh_.self(), backend));
    }
}

void load_feed::on_host_gone(const node_id& host)
{
    heard_.erase(host);
    owed_whole_.erase(host);
    if (has_disk_) {
        own_part_.forget(host);
        update_balancer(all_.forget(host));
        schedule_flush();
    }
}

void load_feed::require_full_report(const node_id& host)
{
    owed_whole_.insert(host);
    schedule_flush();
}

void load_feed::follow_attachments()
{
    const node_id now_front =
        around_.upstream_hosts.empty() ? node_id{} : around_.upstream_hosts.front();
    if (has_disk_ || now_front == front_) {
        return;
    }
    if (!front_.empty()) {
        mesh_.send(front_, wire::load_report{{}, true}); // counted there no longer
    }
    front_ = now_front;
    owed_whole_.clear();
    require_full_report(front_);
}

void load_feed::schedule_flush()
{
    if (flush_timer_.armed()) {
        return;
    }
    const auto since = std::chrono::duration_cast<millis>(env_.now() - flushed_);
    const millis wait = std::max(millis{0}, least_gap - since);
    flush_timer_ = net::timer::once(wait, [this] { flush(); });
}

void load_feed::flush()
{
    flushed_ = env_.now();
    const auto own_moved = own_part_.take_moved();
    if (!has_disk_) {
        if (!front_.empty()) {
            tell(front_, own_part_, own_moved);
        }
        return;
    }
    const auto all_moved = all_.take_moved();
    for (const auto& host : mesh_.linked()) {
        if (mesh_.is_core(host)) {
            tell(host, own_part_, own_moved);
        } else if (around_.downstream_hosts.contains(host)) {
            tell(host, all_, all_moved);
        }
    }
}

void load_feed::tell(const node_id& to, const gateway::load_table& sums,
                     const std::vector<std::string>& backends)
{
    if (mesh_.congested(to)) {
        owed_whole_.insert(to);
        return;
    }
    const bool whole = owed_whole_.erase(to) > 0;
    if (!whole && backends.empty()) {
        return;
    }
    auto out = report(to, sums, whole ? sums.all() : backends);
    out.whole = whole;
    mesh_.send(to, out);
}

wire::load_report load_feed::report(const node_id& to, const gateway::load_table& sums,
                                    const std::vector<std::string>& backends) const
{
    wire::load_report out;
    for (const auto& backend : backends) {
        // What a host reported itself it knows better.
        const auto load = sums.without(to, backend);
        out.loads.push_back({backend, load.requests, load.reading_ms});
    }
    return out;
}

void load_feed::forget_silent(instant now)
{
    std::vector<node_id> silent;
    for (const auto& [host, at] : heard_) {
        if (now > at + load_life) {
            silent.push_back(host);
        }
    }
    for (const auto& host : silent) {
        env_.log->info("work reported by host {} is forgotten: silent for {} ms", host,
                       load_life.count());
        if (has_disk_) {
            on_host_gone(host);
        } else {
            heard_.erase(host);
            take_whole(host, {});
        }
    }
}

void load_feed::tick()
{
    follow_attachments();
    const instant now = env_.now();
    forget_silent(now);
    if (now < whole_due_) {
        return;
    }
    whole_due_ = now + whole_period;
    if (!has_disk_) {
        owed_whole_ = {front_};
    } else {
        for (const auto& host : mesh_.linked()) {
            if (mesh_.is_core(host) || around_.downstream_hosts.contains(host)) {
                owed_whole_.insert(host);
            }
        }
    }
    schedule_flush();
}

} // namespace hickorypost
