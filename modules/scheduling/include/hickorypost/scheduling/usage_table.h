#pragma once

#include "hickorypost/scheduling/account_shares.h"

#include <set>

namespace hickorypost::scheduling {

struct usage_row {
    std::string account;
    work_rate rate;
};

struct usage_report {
    std::vector<usage_row> rows;
    bool full = false; ///< false: the other accounts have not changed
};

struct usage_table_settings {
    /// Bound of a report's size. Accounts beyond it use too little to be over their shares.
    std::size_t max_rows = 64;
    millis min_interval{200}; ///< between two reports to the same host
    /// Interval of full reports, which correct changes that were not reported and keep the sender's
    /// rows from expiring.
    millis full_period{1000};
    /// The rows of a host expire after this time without a report: two and a half full periods.
    millis report_timeout{2500};
    /// Smallest relative changes that are reported. Smaller ones are within the tolerance of the
    /// shares, and rates vary by this much by chance.
    double min_change = 0.2;
    double min_recent_change = 0.5;
    /// Smallest absolute change that is reported: a hundredth of an engine.
    double min_change_ms_per_s = 10;
};

/// Links between hosts over which usage is reported.
struct usage_peers {
    std::set<std::string> core;       ///< other hosts with a disk
    std::set<std::string> downstream; ///< hosts attached to this host, which has a disk
    std::string upstream;             ///< that this host, without a disk, reports to; empty: none
    std::set<std::string> congested;  ///< those of them that get no report for now
};

/// The usage of accounts by reporting host. Determines which rows are reported to which host.
/// Performs no I/O.
///
/// A host without a disk reports its own usage to its upstream host. A host with a disk reports the
/// sum of itself and its downstream hosts to the other hosts with a disk, and to each downstream
/// host the total of all others. A downstream host gets reports once it has sent one: it sends them
/// to one of the hosts that it is attached to only.
class usage_table {
public:
    struct message {
        std::string to;
        usage_report report;
    };

    usage_table(usage_table_settings settings, bool has_disk, instant started);

    void set_peers(usage_peers peers);
    /// Sets this host's own rates.
    void set_own(std::map<std::string, work_rate> rates) { own_ = std::move(rates); }
    /// Returns false if no report of this host is expected.
    bool take(const std::string& from, const usage_report& report, instant now);
    /// The link to a host is down.
    void forget(const std::string& host);
    /// Returns the reports that are due, and marks them as sent.
    std::vector<message> take_due(instant now);
    /// Rates of all other hosts together.
    std::map<std::string, work_rate> remote(instant now);
    remote_usage state(instant now);
    /// Sets the number of hosts, this one included. It falls as links are lost, some before the
    /// reports of the others expire, so while other hosts report, the largest recent number counts;
    /// while none does, the last one known.
    void set_host_count(std::size_t hosts, instant now);
    [[nodiscard]] std::size_t known_hosts() const;

private:
    using rate_map = std::map<std::string, work_rate>;
    struct source {
        rate_map rates;
        instant reported_at;
    };
    struct receiver {
        rate_map sent; ///< rates as of the last reports
        instant sent_at;
        instant next_full;
        bool is_new = true;
    };

    void expire(instant now);
    [[nodiscard]] std::set<std::string> receivers() const;
    /// `own` and the rates reported by all hosts, or by the downstream hosts only.
    [[nodiscard]] rate_map sum(const rate_map& own, bool downstream_only) const;
    /// `total` without the rates that a host has reported.
    [[nodiscard]] rate_map without(const rate_map& total, const std::string& host) const;
    [[nodiscard]] usage_report full_report(const rate_map& rates, receiver& to) const;
    [[nodiscard]] usage_report changes(const rate_map& rates, receiver& to) const;
    [[nodiscard]] bool must_be_reported(const work_rate& rate, const work_rate& sent) const;

    usage_table_settings settings_;
    bool has_disk_;
    instant started_;
    usage_peers peers_;
    rate_map own_;
    std::map<std::string, source> sources_;
    std::map<std::string, receiver> receivers_;
    std::size_t max_hosts_ = 1;          ///< since `host_period_start_`
    std::size_t previous_max_hosts_ = 1; ///< in the period before it
    instant host_period_start_;
    std::string previous_upstream_; ///< host to notify that this host has detached
};

} // namespace hickorypost::scheduling
