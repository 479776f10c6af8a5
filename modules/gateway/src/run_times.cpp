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

void run_times::running::add(double value, double weight)
{
    if (!std::exchange(known, true)) {
        mean = value;
        deviation = value / 2; // nothing is known of the spread after one run
        return;
    }
    deviation += weight * (std::abs(value - mean) - deviation);
    mean += weight * (value - mean);
}

void run_times::line::add(double at, double value, double weight)
{
    deviation += weight * (std::abs(value - this->value(at)) - deviation);
    const double keep = 1 - weight;
    n = n * keep + 1;
    x = x * keep + at;
    y = y * keep + value;
    xx = xx * keep + at * at;
    xy = xy * keep + at * value;
}

double run_times::line::value(double at) const
{
    const double spread = n * xx - x * x;
    const double mean = y / n;
    if (spread <= 0) {
        return mean;
    }
    // More work never takes less time, whatever a few runs on unequal engines say.
    const double slope = std::max(0.0, (n * xy - x * y) / spread);
    return std::max(0.0, mean + slope * (at - x / n));
}

run_times::line run_times::guess() const
{
    const double half = settings_.guess_runs / 2;
    const double span = settings_.guess_span_ms;
    return {settings_.guess_runs, half * span,        half * span,
            half * span * span,   half * span * span, 0};
}

run_times::line& run_times::line_of(const std::string& model)
{
    return first_.try_emplace(model, guess()).first->second;
}

void run_times::saw(const std::string& route, const std::string& model, double prefill_ms,
                    micros first, micros rest)
{
    auto& known_first = line_of(model);
    known_first.add(prefill_ms, to_millis(first), settings_.weight);
    known_first.last_run = ++runs_;
    auto& known_rest = rest_[{route, model}];
    known_rest.add(to_millis(rest), settings_.weight);
    known_rest.last_run = ++route_runs_[route];
    expire(route);
}

void run_times::expire(const std::string& route)
{
    std::erase_if(first_, [this](const auto& it) {
        return runs_ - it.second.last_run > settings_.expiry_runs;
    });
    const std::uint64_t runs = route_runs_[route];
    auto it = rest_.lower_bound({route, {}});
    while (it != rest_.end() && it->first.first == route) {
        const bool old = runs - it->second.last_run > settings_.expiry_runs;
        it = old ? rest_.erase(it) : std::next(it);
    }
}

void run_times::saw_none(const std::string& model, double prefill_ms, micros waited)
{
    // It says only that this run would have taken longer; a short wait says nothing.
    if (to_millis(waited) > first_ms(model, prefill_ms)) {
        auto& known = line_of(model);
        known.add(prefill_ms, to_millis(waited), settings_.weight);
        known.last_run = runs_;
    }
}

double run_times::first_ms(const std::string& model, double prefill_ms) const
{
    const auto found = first_.find(model);
    return (found == first_.end() ? guess() : found->second).value(prefill_ms);
}

double run_times::whole_ms(const std::string& route, const std::string& model,
                           double prefill_ms) const
{
    const auto first = first_.find(model);
    const double spread = first == first_.end() ? 0 : first->second.deviation;
    double out = first_ms(model, prefill_ms) + settings_.deviations * spread;
    if (const auto rest = rest_.find({route, model}); rest != rest_.end()) {
        out += rest->second.mean + settings_.deviations * rest->second.deviation;
    }
    return out;
}

} // namespace hickorypost::gateway
