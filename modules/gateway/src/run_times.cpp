#include "hickorypost/gateway/run_times.h"

#include <cmath>

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

void run_times::saw(const std::string& route, const std::string& model, micros first, micros rest)
{
    row& it = rows_[{route, model}];
    it.first.add(to_millis(first), settings_.weight);
    it.rest.add(to_millis(rest), settings_.weight);
}

void run_times::saw_none(const std::string& route, const std::string& model, micros waited)
{
    row& it = rows_[{route, model}];
    // It says only that this run would have taken longer; a short wait says nothing.
    if (to_millis(waited) > it.first.mean) {
        it.first.add(to_millis(waited), settings_.weight);
    }
}

std::optional<millis> run_times::estimate(const std::string& route, const std::string& model) const
{
    const auto found = rows_.find({route, model});
    if (found == rows_.end()) {
        return std::nullopt;
    }
    const auto nearly_all = [&](const running& it) {
        return it.mean + settings_.deviations * it.deviation;
    };
    const double out = nearly_all(found->second.first) + nearly_all(found->second.rest);
    return millis{static_cast<std::int64_t>(out)};
}

} // namespace hickorypost::gateway
