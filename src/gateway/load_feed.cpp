#include "gateway/load_feed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorypost {

namespace {

/// Interval of reports to each host, also if nothing has changed.
constexpr millis keepalive_period{1000};
/// The load reported by a host is dropped after this time without a report from it. Equals two and
/// a half keepalive periods.
constexpr millis report_timeout{2500};

std::uint32_t rounded(double value)
{
    return static_cast<std::uint32_t>(std::lround(std::max(0.0, value)));
}

} // namespace

load_feed::load_feed(runtime& env, peer_mesh& mesh, gateway::load_balancer& balancer, bool has_disk,
                     const attachments& around)
    : env_{env}, mesh_{mesh}, balancer_{balancer}, has_disk_{has_disk}, around_{around},
      local_load_{{}}, total_load_{{}}, local_pacer_{{}}, total_pacer_{{}}
{
}

void load_feed::own_changed(const std::string& backend, const gateway::remote_load& own)
{
    auto& it = own_[backend];
    it.requests = own.requests;
    it.prefill_ms = own.prefill_ms;
    it.speed = own.speed;
    it.tokens = own.tokens;
    set_own(backend);
}

void load_feed::own_connections_changed(const std::string& backend, std::size_t open)
{
    own_[backend].connections = static_cast<double>(open);
    set_own(backend);
}

bool load_feed::is_complete() const
{
    if (!has_disk_) {
        return last_reports_.contains(upstream_);
    }
    return std::all_of(mesh_.core().begin(), mesh_.core().end(), [this](const auto& it) {
        return it.first == mesh_.self() || last_reports_.contains(it.first);
    });
}

void load_feed::set_own(const std::string& backend)
{
    const gateway::remote_load own = own_.at(backend);
    if (own.requests <= 0 && own.connections <= 0 && own.speed.weight <= 0) {
        own_.erase(backend);
    }
    const bool changed_for_core = local_load_.set(mesh_.self(), backend, own);
    const bool changed_for_attached = has_disk_ && total_load_.set(mesh_.self(), backend, own);
    if (changed_for_core || changed_for_attached) {
        schedule_flush();
    }
}

void load_feed::take_report(const node_id& from, const wire::load_report& report)
{
    const bool from_attached = around_.downstream_hosts.contains(from);
    const bool expected = has_disk_ ? from_attached || mesh_.is_core(from) : from == upstream_;
    if (!expected) {
        return; // a late report of a host that this one is no longer attached to
    }
    const bool is_first = last_reports_.insert_or_assign(from, env_.now()).second;
    if (report.request_full || (from_attached && is_first)) {
        require_full_report(from);
    }
    if (is_first && !report.whole) {
        // Earlier reports of `from` have been dropped.
        full_report_wanted_.insert(from);
        schedule_flush();
    }
    load_map loads;
    for (const auto& it : report.loads) {
        loads[it.id] = {
            it.requests,
            it.prefill_ms,
            it.connections,
            {static_cast<double>(it.speed_weight), static_cast<double>(it.speed_interval_ms)},
            static_cast<double>(it.tokens)};
    }
    if (report.whole) {
        apply_full_report(from, loads);
        return;
    }
    std::vector<std::string> changed_backends;
    for (const auto& [backend, load] : loads) {
        if (has_disk_) {
            total_load_.set(from, backend, load);
            if (from_attached) {
                local_load_.set(from, backend, load);
            }
            changed_backends.push_back(backend);
        } else {
            balancer_.set_remote_load(backend, load);
            remotely_loaded_backends_.insert(backend);
        }
    }
    if (has_disk_) {
        update_balancer(changed_backends);
        schedule_flush();
    }
}

void load_feed::apply_full_report(const node_id& from, const load_map& loads)
{
    if (has_disk_) {
        update_balancer(total_load_.replace(from, loads));
        if (around_.downstream_hosts.contains(from)) {
            local_load_.replace(from, loads);
        }
        schedule_flush();
        return;
    }
    for (const auto& backend : std::exchange(remotely_loaded_backends_, {})) {
        if (!loads.contains(backend)) {
            balancer_.set_remote_load(backend, {});
        }
    }
    for (const auto& [backend, load] : loads) {
        balancer_.set_remote_load(backend, load);
        remotely_loaded_backends_.insert(backend);
    }
}

void load_feed::update_balancer(const std::vector<std::string>& backends)
{
    for (const auto& backend : backends) {
        balancer_.set_remote_load(backend, total_load_.without(mesh_.self(), backend));
    }
}

void load_feed::on_host_gone(const node_id& host)
{
    last_reports_.erase(host);
    full_report_pending_.erase(host);
    full_report_wanted_.erase(host);
    if (has_disk_) {
        local_load_.forget(host);
        update_balancer(total_load_.forget(host));
        schedule_flush();
    }
}

void load_feed::require_full_report(const node_id& host)
{
    full_report_pending_.insert(host);
    schedule_flush();
}

void load_feed::follow_attachments()
{
    const node_id new_upstream =
        around_.upstream_hosts.empty() ? node_id{} : around_.upstream_hosts.front();
    if (has_disk_ || new_upstream == upstream_) {
        return;
    }
    if (!upstream_.empty()) {
        mesh_.send(upstream_, wire::load_report{{}, true, false}); // clears this host's load there
    }
    upstream_ = new_upstream;
    full_report_pending_.clear();
    full_report_wanted_ = {upstream_};
    require_full_report(upstream_);
}

void load_feed::schedule_flush()
{
    if (flush_timer_.armed()) {
        return;
    }
    const instant now = env_.now();
    const millis wait = std::max(local_pacer_.wait(local_load_.size(), now),
                                 total_pacer_.wait(total_load_.size(), now));
    flush_timer_ = net::timer::once(wait, [this] { flush(); });
}

std::vector<std::string> load_feed::take_due(gateway::load_table& sums,
                                             scheduling::load_report_pacer& pacer, instant now)
{
    const auto limit = pacer.begin_report(sums.size(), now);
    auto out = sums.take_changed(limit.changed);
    pacer.end_report(out.size());
    const auto rotated = sums.take_rotation(limit.rotated);
    out.insert(out.end(), rotated.begin(), rotated.end());
    return out;
}

void load_feed::flush()
{
    const instant now = env_.now();
    const auto local_backends = take_due(local_load_, local_pacer_, now);
    if (!has_disk_) {
        if (!upstream_.empty()) {
            send_report(upstream_, local_load_, local_backends);
        }
    } else {
        const auto total_backends = take_due(total_load_, total_pacer_, now);
        for (const auto& host : mesh_.linked()) {
            if (mesh_.is_core(host)) {
                send_report(host, local_load_, local_backends);
            } else if (around_.downstream_hosts.contains(host) && is_reporting(host)) {
                send_report(host, total_load_, total_backends);
            }
        }
    }
    keepalive_due_ = false;
    if (local_load_.has_changes() || total_load_.has_changes()) {
        schedule_flush();
    }
}

void load_feed::send_report(const node_id& to, const gateway::load_table& sums,
                            const std::vector<std::string>& backends)
{
    if (mesh_.congested(to)) {
        full_report_pending_.insert(to);
        return;
    }
    const bool full = full_report_pending_.erase(to) > 0;
    const bool request_full = full_report_wanted_.erase(to) > 0;
    if (!full && !request_full && !keepalive_due_ && backends.empty()) {
        return;
    }
    auto out = report(to, sums, full ? sums.all() : backends);
    out.whole = full;
    out.request_full = request_full;
    mesh_.send(to, out);
}

wire::load_report load_feed::report(const node_id& to, const gateway::load_table& sums,
                                    const std::vector<std::string>& backends) const
{
    wire::load_report out;
    for (const auto& backend : backends) {
        // The receiver knows the load that it reported itself better than this host.
        const auto load = sums.without(to, backend);
        out.loads.push_back({backend, load.requests, load.prefill_ms, load.connections,
                             rounded(load.speed.weight), rounded(load.speed.interval_ms),
                             rounded(load.tokens)});
    }
    return out;
}

void load_feed::drop_silent_hosts(instant now)
{
    std::vector<node_id> silent;
    for (const auto& [host, at] : last_reports_) {
        if (now > at + report_timeout) {
            silent.push_back(host);
        }
    }
    for (const auto& host : silent) {
        env_.log->info("load reported by host {} dropped: no report for {} ms", host,
                       report_timeout.count());
        if (has_disk_) {
            on_host_gone(host);
        } else {
            last_reports_.erase(host);
            apply_full_report(host, {});
        }
    }
}

void load_feed::tick()
{
    follow_attachments();
    const instant now = env_.now();
    drop_silent_hosts(now);
    if (now >= next_keepalive_) {
        next_keepalive_ = now + keepalive_period;
        keepalive_due_ = true;
    }
    // Also sends the rows that are due in rotation.
    schedule_flush();
}

} // namespace hickorypost
