#include "hickorypost/telemetry/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/core.h>
#include <utility>

namespace hickorypost::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::string_view prefix = "hickorypost_";

/// Splits `name{labels}`.
std::pair<std::string_view, std::string_view> split_labels(std::string_view name)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos) {
        return {name, {}};
    }
    return {name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2)};
}

template <class Map>
void add_to(Map& map, std::string_view name, double by)
{
    const auto it = map.find(name);
    if (it != map.end()) {
        it->second += by;
    } else {
        map.emplace(std::string{name}, by);
    }
}

} // namespace

struct distribution::accumulators {
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
        set{acc::extended_p_square_probabilities = tracked_quantiles};
};

distribution::distribution() : accumulators_{std::make_unique<accumulators>()} {}
distribution::distribution(distribution&& other) noexcept = default;
distribution& distribution::operator=(distribution&& other) noexcept = default;
distribution::~distribution() = default;

void distribution::add(double value)
{
    accumulators_->set(value);
}

std::size_t distribution::count() const
{
    return acc::count(accumulators_->set);
}

double distribution::sum() const
{
    return acc::sum(accumulators_->set);
}

double distribution::quantile(std::size_t nth) const
{
    return acc::extended_p_square(accumulators_->set)[static_cast<std::ptrdiff_t>(nth)];
}

void metrics::count(std::string_view name, double by)
{
    add_to(counters_, name, by);
}

void metrics::set(std::string_view name, double value)
{
    const auto it = gauges_.find(name);
    if (it != gauges_.end()) {
        it->second = value;
    } else {
        gauges_.emplace(std::string{name}, value);
    }
}

void metrics::observe(std::string_view name, double value)
{
    auto it = distributions_.find(name);
    if (it == distributions_.end()) {
        it = distributions_.emplace(std::string{name}, distribution{}).first;
    }
    it->second.add(value);
}

double metrics::value(std::string_view name) const
{
    if (const auto it = counters_.find(name); it != counters_.end()) {
        return it->second;
    }
    const auto it = gauges_.find(name);
    return it == gauges_.end() ? 0 : it->second;
}

std::string metrics::text()
{
    if (collect_) {
        collect_(*this);
    }
    std::string out;
    const auto line = [&](std::string_view name, double value) {
        out += fmt::format("{}{} {}\n", prefix, name, value);
    };
    for (const auto& [name, value] : counters_) {
        line(name, value);
    }
    for (const auto& [name, value] : gauges_) {
        line(name, value);
    }
    for (const auto& [name, it] : distributions_) {
        const auto [base, labels] = split_labels(name);
        const std::string comma = labels.empty() ? "" : ",";
        for (std::size_t n = 0; n < tracked_quantiles.size(); ++n) {
            line(
                fmt::format("{}{{{}{}quantile=\"{}\"}}", base, labels, comma, tracked_quantiles[n]),
                it.quantile(n));
        }
        const std::string braces = labels.empty() ? "" : fmt::format("{{{}}}", labels);
        line(fmt::format("{}_count{}", base, braces), static_cast<double>(it.count()));
        line(fmt::format("{}_sum{}", base, braces), it.sum());
    }
    return out;
}

} // namespace hickorypost::telemetry
