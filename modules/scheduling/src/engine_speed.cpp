#include "hickorypost/scheduling/engine_speed.h"

namespace hickorypost::scheduling {

void engine_speed::record(double interval_ms)
{
    if (interval_ms <= 0) {
        return; // events that arrived together do not show the engine's speed
    }
    recent_.at(recorded_++ % recent_intervals) = static_cast<float>(interval_ms);
    const std::size_t n = std::min(recorded_, recent_intervals);
    auto sorted = recent_;
    const auto rank = static_cast<std::ptrdiff_t>(settings_.quantile * static_cast<double>(n - 1));
    const auto at = sorted.begin() + rank;
    std::nth_element(sorted.begin(), at, sorted.begin() + static_cast<std::ptrdiff_t>(n));
    own_ms_ = *at;
}

speed_sample engine_speed::own() const
{
    const auto weight = static_cast<double>(std::min(recorded_, recent_intervals));
    return {weight, weight * own_ms_};
}

double engine_speed::interval_ms() const
{
    speed_sample all = own();
    all += remote_;
    return all.weight < settings_.min_weight ? 0 : all.mean_ms();
}

double engine_speed::slowdown(double typical_interval_ms) const
{
    const double interval = interval_ms();
    if (interval <= 0 || typical_interval_ms <= 0) {
        return 1;
    }
    return std::clamp(interval / typical_interval_ms, settings_.min_slowdown,
                      settings_.max_slowdown);
}

} // namespace hickorypost::scheduling
