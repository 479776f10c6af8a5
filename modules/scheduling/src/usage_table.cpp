#include "hickorypost/scheduling/usage_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorypost::scheduling {

namespace {

/// Keeps the `max_rows` first rows by decreasing `size`.
template <class F>
void keep_largest(std::vector<usage_row>& rows, std::size_t max_rows, const F& size)
{
    std::stable_sort(rows.begin(), rows.end(),
                     [&](const auto& a, const auto& b) { return size(a) > size(b); });
    rows.resize(std::min(rows.size(), max_rows));
}

/// Upper bound of the rounding error in the difference of two sums of rates.
constexpr double rounding_error_ms_per_s = 1e-3;

work_rate value_or_zero(const std::map<std::string, work_rate>& rates, const std::string& account)
{
    const auto found = rates.find(account);
    return found == rates.end() ? work_rate{} : found->second;
}

bool is_valid(double rate)
{
    return std::isfinite(rate) && rate >= 0;
}

} // namespace

usage_table::usage_table(usage_table_settings settings, bool has_disk, instant started)
    : settings_{settings}, has_disk_{has_disk}, started_{started}
{
}

void usage_table::set_peers(usage_peers peers)
{
    if (!has_disk_ && peers.upstream != peers_.upstream && !peers_.upstream.empty()) {
        previous_upstream_ = peers_.upstream;
    }
    peers_ = std::move(peers);
}

bool usage_table::take(const std::string& from, const usage_report& report, instant now)
{
    const bool expected = has_disk_ ? peers_.core.contains(from) || peers_.downstream.contains(from)
                                    : from == peers_.upstream && !from.empty();
    if (!expected) {
        return false;
    }
    if (!has_disk_) {
        // The rows of the previous upstream host cover the same hosts.
        std::erase_if(sources_, [&](const auto& it) { return it.first != from; });
    }
    source& it = sources_[from];
    it.reported_at = now;
    if (report.full) {
        it.rates.clear();
    }
    for (const auto& row : report.rows) {
        if (row.rate.ms_per_s > 0 && is_valid(row.rate.ms_per_s) &&
            is_valid(row.rate.recent_ms_per_s)) {
            it.rates[row.account] = row.rate;
        } else {
            it.rates.erase(row.account);
        }
    }
    return true;
}

void usage_table::forget(const std::string& host)
{
    receivers_.erase(host);
    // A host without a disk keeps the rows until another upstream host reports, or they expire.
    if (has_disk_) {
        sources_.erase(host);
    }
}

void usage_table::expire(instant now)
{
    std::erase_if(sources_, [&](const auto& it) {
        return now > it.second.reported_at + settings_.report_timeout;
    });
}

usage_table::rate_map usage_table::sum(const rate_map& own, bool downstream_only) const
{
    rate_map out = own;
    for (const auto& [host, it] : sources_) {
        if (!downstream_only || peers_.downstream.contains(host)) {
            for (const auto& [account, rate] : it.rates) {
                out[account] += rate;
            }
        }
    }
    return out;
}

usage_table::rate_map usage_table::without(const rate_map& total, const std::string& host) const
{
    const auto found = sources_.find(host);
    if (found == sources_.end()) {
        return total;
    }
    rate_map out = total;
    for (const auto& [account, rate] : found->second.rates) {
        work_rate& rest = out[account];
        rest.ms_per_s -= rate.ms_per_s;
        rest.recent_ms_per_s = std::max(0.0, rest.recent_ms_per_s - rate.recent_ms_per_s);
        if (rest.ms_per_s < rounding_error_ms_per_s) {
            out.erase(account);
        }
    }
    return out;
}

std::map<std::string, work_rate> usage_table::remote(instant now)
{
    expire(now);
    return sum({}, false);
}

remote_usage usage_table::state(instant now)
{
    expire(now);
    if (!sources_.empty()) {
        return remote_usage::reported;
    }
    return now > started_ + settings_.report_timeout ? remote_usage::missing
                                                     : remote_usage::unknown;
}

void usage_table::set_host_count(std::size_t hosts, instant now)
{
    if (state(now) != remote_usage::reported) {
        return;
    }
    if (now > host_period_start_ + settings_.report_timeout) {
        host_period_start_ = now;
        previous_max_hosts_ = std::exchange(max_hosts_, 1);
    }
    max_hosts_ = std::max(max_hosts_, hosts);
}

std::size_t usage_table::known_hosts() const
{
    return std::max(max_hosts_, previous_max_hosts_);
}

std::set<std::string> usage_table::receivers() const
{
    if (!has_disk_) {
        return peers_.upstream.empty() ? std::set<std::string>{} : std::set{peers_.upstream};
    }
    std::set<std::string> out = peers_.core;
    for (const auto& host : peers_.downstream) {
        if (sources_.contains(host)) {
            out.insert(host);
        }
    }
    return out;
}

bool usage_table::must_be_reported(const work_rate& rate, const work_rate& sent) const
{
    const auto differ = [this](double now, double before, double min_change) {
        const double change = std::abs(now - before);
        return change >= settings_.min_change_ms_per_s && change >= min_change * before;
    };
    return differ(rate.ms_per_s, sent.ms_per_s, settings_.min_change) ||
           differ(rate.recent_ms_per_s, sent.recent_ms_per_s, settings_.min_recent_change);
}

usage_report usage_table::full_report(const rate_map& rates, receiver& to) const
{
    usage_report out;
    out.full = true;
    for (const auto& [account, rate] : rates) {
        out.rows.push_back({account, rate});
    }
    keep_largest(out.rows, settings_.max_rows, [](const auto& row) { return row.rate.ms_per_s; });
    to.sent.clear();
    for (const auto& row : out.rows) {
        to.sent[row.account] = row.rate;
    }
    return out;
}

usage_report usage_table::changes(const rate_map& rates, receiver& to) const
{
    usage_report out;
    for (const auto& [account, rate] : rates) {
        if (must_be_reported(rate, value_or_zero(to.sent, account))) {
            out.rows.push_back({account, rate});
        }
    }
    for (const auto& [account, sent] : to.sent) {
        if (!rates.contains(account) && must_be_reported({}, sent)) {
            out.rows.push_back({account, {}});
        }
    }
    keep_largest(out.rows, settings_.max_rows, [&](const auto& row) {
        return std::max(row.rate.ms_per_s, value_or_zero(to.sent, row.account).ms_per_s);
    });
    for (const auto& row : out.rows) {
        to.sent[row.account] = row.rate;
    }
    return out;
}

std::vector<usage_table::message> usage_table::take_due(instant now)
{
    expire(now);
    std::vector<message> out;
    if (const std::string left = std::exchange(previous_upstream_, {});
        !left.empty() && left != peers_.upstream) {
        out.push_back({left, {{}, true}}); // clears this host's usage there
    }
    const auto targets = receivers();
    // A host that could not get a report must get a full one.
    std::erase_if(receivers_, [&](const auto& it) {
        return !targets.contains(it.first) || peers_.congested.contains(it.first);
    });
    const rate_map total = sum(own_, false);
    const rate_map local = has_disk_ ? sum(own_, true) : own_;
    for (const auto& host : targets) {
        if (peers_.congested.contains(host)) {
            continue;
        }
        receiver& to = receivers_[host];
        if (!to.is_new && now < to.sent_at + settings_.min_interval) {
            continue;
        }
        const bool to_downstream = has_disk_ && !peers_.core.contains(host);
        const rate_map rates = to_downstream ? without(total, host) : local;
        auto report =
            to.is_new || now >= to.next_full ? full_report(rates, to) : changes(rates, to);
        if (report.full) {
            to.next_full = now + settings_.full_period;
        } else if (report.rows.empty()) {
            continue;
        }
        to.is_new = false;
        to.sent_at = now;
        out.push_back({host, std::move(report)});
    }
    return out;
}

} // namespace hickorypost::scheduling
