#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hickorypost::telemetry {

/// The quantiles that every distribution keeps.
inline constexpr std::array tracked_quantiles{0.5, 0.95, 0.99};

/// A running distribution: count, sum and estimated quantiles in constant memory.
class distribution {
public:
    distribution();
    distribution(distribution&& other) noexcept;
    distribution& operator=(distribution&& other) noexcept;
    ~distribution();

    void add(double value);
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double sum() const;
    /// Estimate of the nth of `tracked_quantiles`.
    [[nodiscard]] double quantile(std::size_t nth) const;

private:
    // Defined in the source: Boost.Accumulators takes the compiler hundreds of MB in each unit.
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

/// Named figures of one process, shown as Prometheus text. Names carry their labels:
/// `requests_total{outcome="complete"}`.
class metrics {
public:
    void count(std::string_view name, double by = 1);
    void set(std::string_view name, double value);
    void observe(std::string_view name, double value);
    /// Called before each `text`, to set gauges that are read rather than kept.
    void on_collect(std::function<void(metrics&)> hook) { collect_ = std::move(hook); }
    [[nodiscard]] double value(std::string_view name) const;
    [[nodiscard]] std::string text();

private:
    std::map<std::string, double, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, distribution, std::less<>> distributions_;
    std::function<void(metrics&)> collect_;
};

} // namespace hickorypost::telemetry
