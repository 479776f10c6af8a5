#include "hickorypost/gateway/model_choice.h"

#include <algorithm>

namespace hickorypost::gateway {

namespace {

/// Pace of an engine's dearest model. Larger models cost more because they take more of an engine's
/// time, so the proportions of their costs tell their pace.
constexpr double largest_pace = 3;
constexpr double least_pace = 0.2;

} // namespace

std::size_t model_choice::first(const route_spec&) const
{
    return 0;
}

std::size_t model_choice::after(const route_spec& route, std::size_t rank, double confidence,
                                millis left) const
{
    const std::size_t largest = route.models.empty() ? 0 : route.models.size() - 1;
    const auto wanted = static_cast<double>(route.target_latency.count());
    const bool time = static_cast<double>(left.count()) >= wanted * settings_.least_targets_left;
    if (confidence >= least_confidence() || rank >= largest || !time) {
        return rank;
    }
    return largest;
}

void model_choice::saw_first(double part)
{
    first_part_ += settings_.weight * (part - first_part_);
}

double model_choice::least_confidence() const
{
    const double span = settings_.pressed_part - settings_.calm_part;
    const double pressure = std::clamp((first_part_ - settings_.calm_part) / span, 0.0, 1.0);
    return settings_.calm_confidence +
           pressure * (settings_.pressed_confidence - settings_.calm_confidence);
}

double model_choice::pace(const engine_spec& engine, const std::string& model)
{
    double highest = 0;
    double own = 0;
    for (const auto& it : engine.models) {
        highest = std::max(highest, it.cost);
        own = it.name == model ? it.cost : own;
    }
    return own <= 0 ? 1 : std::max(least_pace, largest_pace * own / highest);
}

} // namespace hickorypost::gateway
