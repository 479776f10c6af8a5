#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace hickorypost::scheduling {

/// Intervals between the events of an engine's streams, in a form in which those of several hosts
/// add up.
struct speed_sample {
    double weight = 0;      ///< number of intervals
    double interval_ms = 0; ///< estimated interval, multiplied by `weight`

    speed_sample& operator+=(const speed_sample& other)
    {
        weight += other.weight;
        interval_ms += other.interval_ms;
        return *this;
    }
    /// The estimated interval in milliseconds; 0 without samples.
    [[nodiscard]] double mean_ms() const { return weight <= 0 ? 0 : interval_ms / weight; }
};

struct speed_settings {
    /// Fraction of an engine's recent intervals below its estimate. Prefill of other requests and
    /// slow periods lengthen intervals and never shorten them, so a low quantile shows the speed of
    /// the engine itself. On an engine that prefills half of the time, the median shows its load.
    double quantile = 0.25;
    /// Intervals of an engine, over all hosts, below which its speed is unknown.
    double min_weight = 8;
    /// Bounds of `slowdown`. A longer interval indicates a fault, which the failure ratio and the
    /// liveness probe handle.
    double min_slowdown = 0.25;
    double max_slowdown = 4;
};

/// Estimates the speed of one engine from the intervals between the events of its streams. Performs
/// no I/O.
///
/// Engines of one service may differ by a factor of two, and a slow one makes streams late: while
/// it prefills a long prompt, the pauses of its running streams exceed their target.
class engine_speed {
public:
    explicit engine_speed(speed_settings settings) : settings_{settings} {}

    /// Records the interval between two events of a stream of this host.
    void record(double interval_ms);
    /// This host's samples, to be reported to other hosts.
    [[nodiscard]] speed_sample own() const;
    /// Sets the sum of the other hosts' samples.
    void set_remote(const speed_sample& sum) { remote_ = sum; }
    /// The engine's interval between events in milliseconds; 0 if too few samples are known.
    [[nodiscard]] double interval_ms() const;
    /// Ratio of the engine's interval to that of a typical engine; 1 if either is unknown.
    [[nodiscard]] double slowdown(double typical_interval_ms) const;

private:
    /// The latest intervals: those of a few streams, so that a change of the engine's speed shows
    /// within seconds.
    static constexpr std::size_t recent_intervals = 24;

    speed_settings settings_;
    std::array<float, recent_intervals> recent_{};
    std::size_t recorded_ = 0; ///< intervals recorded so far
    double own_ms_ = 0;        ///< quantile of `recent_`
    speed_sample remote_;
};

} // namespace hickorypost::scheduling
