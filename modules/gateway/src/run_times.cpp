#include "hickorypost/gateway/run_times.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hickorypost::gateway {

namespace {

double to_millis(micros time)
{
    constexpr double micros_per_milli = 1000;
    return static_cast<double>(time.count()) / micros_per_milli;
}

} // namespace

void run_times::running_mean::add(double value, double weight)
{
    if (!std::exchange(known, true)) {
        mean = value;
        deviation = value / 2; // initial guess, as one run does not show the spread
        return;
    }
    deviation += weight * (std::abs(value - mean) - deviation);
    mean += weight * (value - mean);
}

void run_times::regression::add(double at, double value, double weight)
{
    deviation += weight * (std::abs(value - this->value(at)) - deviation);
    const double keep = 1 - weight;
    n = n * keep + 1;
    x = x * keep + at;
    y = y * keep + value;
    xx = xx * keep + at * at;
    xy = xy * keep + at * value;
}

double run_times::regression::value(double at) const
{
    const double spread = n * xx - x * x;
    const double mean = y / n;
    if (spread <= 0) {
        return mean;
    }
    // More work never takes less time; a few runs on engines of different speed may suggest it.
    const double slope = std::max(0.0, (n * xy - x * y) / spread);
    return std::max(0.0, mean + slope * (at - x / n));
}

run_times::regression run_times::prior() const
{
    const double half = settings_.prior_runs / 2;
    const double span = settings_.prior_span_ms;
    return {settings_.prior_runs, half * span,        half * span,
            half * span * span,   half * span * span, 0};
}

run_times::regression& run_times::regression_of(const std::string& model)
{
    return first_event_.try_emplace(model, prior()).first->second;
}

void run_times::saw(const std::string& route, const std::string& model, double prefill_ms,
                    micros first, micros rest)
{
    auto& first_event = regression_of(model);
    first_event.add(prefill_ms, to_millis(first), settings_.weight);
    first_event.last_run = ++runs_;
    auto& after_first = after_first_[{route, model}];
    after_first.add(to_millis(rest), settings_.weight);
    after_first.last_run = ++route_runs_[route];
    expire(route);
}

void run_times::expire(const std::string& route)
{
    std::erase_if(first_event_, [this](const auto& it) {
        return runs_ - it.second.last_run > settings_.expiry_runs;
    });
    const std::uint64_t runs = route_runs_[route];
    auto it = after_first_.lower_bound({route, {}});
    while (it != after_first_.end() && it->first.first == route) {
        const bool old = runs - it->second.last_run > settings_.expiry_runs;
        it = old ? after_first_.erase(it) : std::next(it);
    }
}

void run_times::record_abandoned(const std::string& model, double prefill_ms, micros waited)
{
    // The run would have taken longer than `waited`. This tells something new only if the expected
    // time is shorter.
    if (to_millis(waited) > first_ms(model, prefill_ms)) {
        auto& known = regression_of(model);
        known.add(prefill_ms, to_millis(waited), settings_.weight);
        known.last_run = runs_;
    }
}

double run_times::first_ms(const std::string& model, double prefill_ms) const
{
    const auto found = first_event_.find(model);
    return (found == first_event_.end() ? prior() : found->second).value(prefill_ms);
}

double run_times::whole_ms(const std::string& route, const std::string& model,
                           double prefill_ms) const
{
    const auto first = first_event_.find(model);
    const double spread = first == first_event_.end() ? 0 : first->second.deviation;
    double out = first_ms(model, prefill_ms) + settings_.deviations * spread;
    if (const auto rest = after_first_.find({route, model}); rest != after_first_.end()) {
        out += rest->second.mean + settings_.deviations * rest->second.deviation;
    }
    return out;
}

} // namespace hickorypost::gateway
