#include "gateway/usage_feed.h"

#include <utility>

namespace hickorypost {

namespace {

/// Period at which due reports are sent. A report passes up to three hosts, and all of them must
/// have it well within the second in which a surge has to be recognized.
constexpr millis tick_period{50};

} // namespace

usage_feed::usage_feed(runtime& env, peer_mesh& mesh, scheduling::account_shares& shares,
                       bool has_disk, const attachments& around,
                       std::function<bool(const node_id&)> accepts,
                       std::function<std::size_t()> host_count)
    : env_{env}, mesh_{mesh}, shares_{shares}, has_disk_{has_disk}, around_{around},
      accepts_{std::move(accepts)}, host_count_{std::move(host_count)}, table_{
                                                                            {}, has_disk, env.now()}
{
}

void usage_feed::start()
{
    timer_ = net::timer::every(tick_period, [this] { tick(); });
}

void usage_feed::take_report(const node_id& from, const wire::account_usage& report)
{
    scheduling::usage_report decoded;
    decoded.full = report.whole;
    for (const auto& row : report.rows) {
        decoded.rows.push_back({row.account, {row.ms_per_s, row.recent_ms_per_s}});
    }
    // The peers are those of the last tick, without a host that has attached since. The shares
    // follow at the next tick: their cost for each report would grow with the hosts times the
    // accounts.
    if (!table_.take(from, decoded, env_.now())) {
        update_peers();
        table_.take(from, decoded, env_.now());
    }
}

void usage_feed::on_host_gone(const node_id& host)
{
    table_.forget(host);
}

void usage_feed::update_peers()
{
    scheduling::usage_peers peers;
    for (const auto& host : mesh_.linked()) {
        if (has_disk_ && mesh_.is_core(host) && accepts_(host)) {
            peers.core.insert(host);
        }
        if (mesh_.congested(host)) {
            peers.congested.insert(host);
        }
    }
    peers.downstream = around_.downstream_hosts;
    if (!around_.upstream_hosts.empty() && accepts_(around_.upstream_hosts.front())) {
        peers.upstream = around_.upstream_hosts.front();
    }
    table_.set_peers(std::move(peers));
}

void usage_feed::update_shares()
{
    const instant now = env_.now();
    const auto state = table_.state(now);
    table_.set_host_count(host_count_(), now);
    const std::size_t hosts = table_.known_hosts();
    if (std::exchange(state_, state) != state) {
        if (state == scheduling::remote_usage::reported) {
            env_.log->info("other hosts report the usage of accounts");
        } else if (hosts > 1) {
            env_.log->info("no host reports the usage of accounts: own usage counts for {} hosts",
                           hosts);
        }
    }
    shares_.set_remote(table_.remote(now));
    shares_.set_remote_state(state, hosts);
}

void usage_feed::tick()
{
    update_peers();
    update_shares();
    table_.set_own(shares_.own_rates(env_.now()));
    for (const auto& [to, report] : table_.take_due(env_.now())) {
        wire::account_usage out;
        out.whole = report.full;
        for (const auto& row : report.rows) {
            out.rows.push_back({row.account, row.rate.ms_per_s, row.rate.recent_ms_per_s});
        }
        mesh_.send(to, out);
        env_.metrics.count("account_usage_rows_sent_total", static_cast<double>(out.rows.size()));
    }
}

} // namespace hickorypost
