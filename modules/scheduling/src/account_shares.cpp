#include "hickorypost/scheduling/account_shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hickorypost::scheduling {

namespace {

/// Usage below a thousandth of an engine is negligible.
constexpr double min_rate_ms_per_s = 1;

constexpr std::array all_rates{&work_rate::ms_per_s, &work_rate::recent_ms_per_s};

double to_seconds(micros it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

account_shares::account_shares(share_settings settings) : settings_{settings} {}

double account_shares::time_constant_s(rate_member which) const
{
    // An exponential average varies by chance as much as one over twice its time constant.
    const bool recent = which == &work_rate::recent_ms_per_s;
    return to_seconds(recent ? settings_.recent_window : settings_.window) / 2;
}

double account_shares::decay(rate_member which, instant now) const
{
    return std::exp(-to_seconds(now - epoch_) / time_constant_s(which));
}

account_shares::usage& account_shares::entry(const std::string& account)
{
    const auto [it, is_new] = usage_.try_emplace(account);
    if (is_new) {
        const auto weight = weights_.find(account);
        it->second.weight = weight == weights_.end() ? 1 : weight->second;
    }
    return it->second;
}

void account_shares::record(const std::string& account, double work_ms, instant now)
{
    if (!(work_ms > 0)) {
        return;
    }
    // All rates decay alike, so they are kept as of one instant and scaled when they are read. The
    // instant is moved before the scale becomes too large for a double.
    constexpr double max_decay_times = 100;
    const auto elapsed = to_seconds(now - epoch_);
    if (elapsed > max_decay_times * time_constant_s(&work_rate::recent_ms_per_s)) {
        for (const auto which : all_rates) {
            const double factor = decay(which, now);
            for (auto& [name, it] : usage_) {
                it.own.*which *= factor;
            }
        }
        epoch_ = now;
    }
    usage& it = entry(account);
    for (const auto which : all_rates) {
        it.own.*which += work_ms / time_constant_s(which) / decay(which, now);
    }
}

void account_shares::set_remote(const std::map<std::string, work_rate>& rates)
{
    for (auto& [name, it] : usage_) {
        it.remote = {};
    }
    for (const auto& [name, rate] : rates) {
        entry(name).remote = rate;
    }
}

void account_shares::set_remote_state(remote_usage state, std::size_t hosts)
{
    state_ = state;
    hosts_ = static_cast<double>(std::max<std::size_t>(1, hosts));
}

void account_shares::set_weights(std::map<std::string, double> weights)
{
    weights_ = std::move(weights);
    for (auto& [name, it] : usage_) {
        const auto weight = weights_.find(name);
        it.weight = weight == weights_.end() ? 1 : weight->second;
    }
}

double account_shares::own_rate(const std::string& account, instant now) const
{
    const auto found = usage_.find(account);
    return found == usage_.end() ? 0
                                 : found->second.own.ms_per_s * decay(&work_rate::ms_per_s, now);
}

std::map<std::string, work_rate> account_shares::own_rates(instant now)
{
    const double factor = decay(&work_rate::ms_per_s, now);
    const double recent_factor = decay(&work_rate::recent_ms_per_s, now);
    std::map<std::string, work_rate> out;
    std::erase_if(usage_, [&](const auto& entry) {
        const auto& [name, it] = entry;
        const work_rate own{it.own.ms_per_s * factor, it.own.recent_ms_per_s * recent_factor};
        const bool negligible = own.ms_per_s < min_rate_ms_per_s;
        if (!negligible) {
            out.emplace(name, own);
        }
        return negligible && it.remote.ms_per_s <= 0;
    });
    return out;
}

double account_shares::own_factor(rate_member which, instant now) const
{
    return decay(which, now) * (state_ == remote_usage::missing ? hosts_ : 1);
}

double account_shares::rate(const usage& it, rate_member which, double own_factor) const
{
    return it.own.*which * own_factor + (state_ == remote_usage::missing ? 0 : it.remote.*which);
}

double account_shares::fair_level(double capacity_ms_per_s, rate_member which,
                                  double own_factor) const
{
    double total = 0;
    double weights = 0;
    for (const auto& [name, it] : usage_) {
        const double used = rate(it, which, own_factor);
        total += used;
        weights += used >= min_rate_ms_per_s ? it.weight : 0;
    }
    if (weights <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    // Each pass gives accounts below the level what they use and splits the rest among the others.
    // The level only rises, so it is found once a pass does not raise it.
    const double available = (1 - settings_.headroom) * std::min(capacity_ms_per_s, total);
    double level = available / weights;
    for (double previous = -1; level > previous;) {
        previous = level;
        double rest = available;
        double unsatisfied = 0;
        for (const auto& [name, it] : usage_) {
            const double used = rate(it, which, own_factor);
            if (used > level * it.weight) {
                unsatisfied += it.weight;
            } else {
                rest -= used;
            }
        }
        if (unsatisfied <= 0) {
            break;
        }
        level = std::max(level, rest / unsatisfied);
    }
    return std::max(level, (1 + settings_.tolerance) * total / weights);
}

bool account_shares::is_over_level(const usage& it, double capacity_ms_per_s, rate_member which,
                                   instant now) const
{
    const double factor = own_factor(which, now);
    const double used = rate(it, which, factor);
    return used >= min_rate_ms_per_s &&
           used > it.weight * fair_level(capacity_ms_per_s, which, factor);
}

bool account_shares::is_over_share(const std::string& account, double capacity_ms_per_s,
                                   instant now) const
{
    const auto found = usage_.find(account);
    return settings_.enabled && state_ != remote_usage::unknown && found != usage_.end() &&
           is_over_level(found->second, capacity_ms_per_s, &work_rate::ms_per_s, now) &&
           // A host that is cut off has too few recent requests to extrapolate from.
           (state_ == remote_usage::missing ||
            is_over_level(found->second, capacity_ms_per_s, &work_rate::recent_ms_per_s, now));
}

std::vector<share_row> account_shares::rows(instant now, double capacity_ms_per_s) const
{
    const auto which = &work_rate::ms_per_s;
    const double factor = own_factor(which, now);
    const double level = fair_level(capacity_ms_per_s, which, factor);
    std::vector<share_row> out;
    for (const auto& [name, it] : usage_) {
        const double used = rate(it, which, factor);
        if (used >= min_rate_ms_per_s) {
            out.push_back({name, it.weight, own_rate(name, now), used, it.weight * level,
                           is_over_share(name, capacity_ms_per_s, now)});
        }
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.account < b.account; });
    return out;
}

} // namespace hickorypost::scheduling
