#include "hickorypost/scheduling/send_pacer.h"

#include <algorithm>

namespace hickorypost::scheduling {

namespace {

double to_ms(micros time)
{
    constexpr double micros_per_milli = 1000;
    return static_cast<double>(time.count()) / micros_per_milli;
}

} // namespace

double send_pacer::allowance_ms(const pool& at) const
{
    return rate_factor_ * settings_.unknown_ratio * at.engines * at.max_backlog_ms / at.hosts;
}

double send_pacer::unreported_ms(const pool& at, instant now) const
{
    const double reported =
        allowance_ms(at) * to_ms(now - settled_at_) / to_ms(settings_.report_delay);
    return std::max(0.0, unreported_ms_ - reported);
}

bool send_pacer::allows(const pool& at, bool others_wait, instant now) const
{
    const bool is_burst = burst_ > 1 && now - sent_at_ <= settings_.report_delay;
    const double sent_ms = unreported_ms(at, now);
    return at.hosts <= 1 ||
           (others_wait ? sent_ms < allowance_ms(at)
                        : !is_burst || sent_ms < settings_.burst_factor * allowance_ms(at));
}

void send_pacer::sent(double work_ms, const pool& at, instant now)
{
    unreported_ms_ = unreported_ms(at, now) + work_ms;
    settled_at_ = now;
    burst_ = now - sent_at_ > settings_.report_delay ? 1 : burst_ + 1;
    sent_at_ = now;
}

void send_pacer::observe(const pool& at, bool others_wait, instant now)
{
    if (!others_wait && now - sent_at_ > settings_.report_delay) {
        rate_factor_ = 1;
        unreported_ms_ = 0;
        changed_at_ = now;
        return;
    }
    full_at_ = at.is_full ? now : full_at_;
    // The lowest rate is twice the host's share of what all engines do, as not all hosts have
    // requests. The highest one fills all engines up to the bound.
    const double lowest = std::min(1.0, 2 * to_ms(settings_.report_delay) /
                                            (settings_.unknown_ratio * at.max_backlog_ms));
    const double highest = at.hosts / settings_.unknown_ratio;
    const bool may_grow = now - std::max(full_at_, changed_at_) >= settings_.growth_interval &&
                          unreported_ms(at, now) >= allowance_ms(at);
    double factor = rate_factor_;
    if (at.is_full && now - changed_at_ >= settings_.report_delay) {
        factor /= 2;
    } else if (may_grow) {
        factor *= 2;
    } else {
        return;
    }
    unreported_ms_ = unreported_ms(at, now);
    settled_at_ = changed_at_ = now;
    rate_factor_ = std::clamp(factor, lowest, highest);
}

} // namespace hickorypost::scheduling
