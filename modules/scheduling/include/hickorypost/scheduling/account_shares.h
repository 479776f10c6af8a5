#pragma once

#include "hickorypost/base/time.h"

#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorypost::scheduling {

/// Work of an account, in milliseconds per second. Rates of several hosts can be added.
struct work_rate {
    double ms_per_s = 0;        ///< over `share_settings::window`
    double recent_ms_per_s = 0; ///< over `share_settings::recent_window`

    work_rate& operator+=(const work_rate& other)
    {
        ms_per_s += other.ms_per_s;
        recent_ms_per_s += other.recent_ms_per_s;
        return *this;
    }
};

struct share_settings {
    /// Time over which work counts as an account's rate: long enough to hold several requests of an
    /// account, short enough to recognize a surge within a second.
    millis window{1000};
    /// An account is over its share only if it also is by its work in this time, so that it is
    /// within its share again soon after a surge.
    millis recent_window{300};
    /// Part of the admitted work that is left to accounts below their shares. While capacity is
    /// short, the admitted work equals the capacity whoever it belongs to: without this part, an
    /// account that is crowded out would look as if it wanted no more than it gets.
    double headroom = 0.1;
    /// Excess over the mean usage up to which no account is over its share. With 20 requests in the
    /// window, rates vary by this much by chance. It also keeps shares useful if the capacity is
    /// estimated too low, which would put all accounts over their shares.
    double tolerance = 0.25;
    bool enabled = true;
};

/// The usage and the share of one account, for operators.
struct share_row {
    std::string account; ///< empty: callers without an account
    double weight = 1;
    double own_ms_per_s = 0;   ///< work admitted by this host
    double ms_per_s = 0;       ///< work admitted by all hosts
    double share_ms_per_s = 0; ///< work above which the account is over its share
    bool over_share = false;   ///< has an effect only while capacity is short
};

/// What a host knows about the usage that the other hosts admit.
enum class remote_usage : std::uint8_t {
    unknown,  ///< this host has started and has no report yet: no account is over its share
    reported, ///< `account_shares::set_remote` is up to date
    missing,  ///< cut off: the other hosts are assumed to admit the same work as this one
};

/// Decides which accounts use more than their share of the engines while capacity is short. The
/// shares are weighted max-min fair: what an account does not use is redistributed to those that
/// can use it. Performs no I/O.
///
/// Work is the prefill time of admitted requests on a reference engine. Rates are exponential
/// moving averages.
class account_shares {
public:
    explicit account_shares(share_settings settings);

    /// Counts work that this host admits.
    void record(const std::string& account, double work_ms, instant now);
    /// Sets the rates of all other hosts together.
    void set_remote(const std::map<std::string, work_rate>& rates);
    /// Sets what is known about the other hosts; `hosts` is the number of hosts, this one included.
    void set_remote_state(remote_usage state, std::size_t hosts);
    /// Accounts that are not named have weight 1.
    void set_weights(std::map<std::string, double> weights);

    /// Milliseconds of work per second admitted by this host.
    [[nodiscard]] double own_rate(const std::string& account, instant now) const;
    /// The rates of this host's accounts, without negligible ones. Forgets accounts without usage.
    std::map<std::string, work_rate> own_rates(instant now);
    /// Whether the account uses more than its share of `capacity_ms_per_s`, the work that the
    /// engines can finish in a second. Call only while requests wait for capacity. The capacity is
    /// an upper bound: the work that is admitted during a shortage is taken for the capacity if it
    /// is less.
    [[nodiscard]] bool is_over_share(const std::string& account, double capacity_ms_per_s,
                                     instant now) const;
    /// All accounts with usage, sorted by name.
    [[nodiscard]] std::vector<share_row>
    rows(instant now, double capacity_ms_per_s = std::numeric_limits<double>::infinity()) const;

private:
    struct usage {
        work_rate own;    ///< at `epoch_`, as if all work had been admitted by then
        work_rate remote; ///< of all other hosts
        double weight = 1;
    };
    using rate_member = double work_rate::*;

    [[nodiscard]] double time_constant_s(rate_member which) const;
    /// Factor that converts a rate at `epoch_` to the rate at `now`.
    [[nodiscard]] double decay(rate_member which, instant now) const;
    /// Factor that converts a rate of this host at `epoch_` to one of all hosts at `now`.
    [[nodiscard]] double own_factor(rate_member which, instant now) const;
    /// Rate of all hosts.
    [[nodiscard]] double rate(const usage& it, rate_member which, double own_factor) const;
    /// Rate for each unit of weight above which an account is over its share.
    [[nodiscard]] double fair_level(double capacity_ms_per_s, rate_member which,
                                    double own_factor) const;
    [[nodiscard]] bool is_over_level(const usage& it, double capacity_ms_per_s, rate_member which,
                                     instant now) const;
    [[nodiscard]] usage& entry(const std::string& account);

    share_settings settings_;
    std::unordered_map<std::string, usage> usage_;
    std::map<std::string, double> weights_;
    instant epoch_;
    remote_usage state_ = remote_usage::unknown;
    double hosts_ = 1;
};

} // namespace hickorypost::scheduling
