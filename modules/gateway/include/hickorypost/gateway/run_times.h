#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hickorypost::gateway {

struct run_times_settings {
    /// Weight of the newest run.
    double weight = 0.05;
    /// Times of a model expire after this many runs of other models, so that a model that was too
    /// slow is tried again.
    std::uint64_t expiry_runs = 500;
    /// Mean absolute deviations above the mean that `whole_ms` allows for: about 19 in 20 runs take
    /// less.
    double deviations = 2;
    /// Number of runs that the prior estimate of a model's time until the first event counts as.
    double prior_runs = 4;
    /// The prior estimate is that the time until the first event equals the prefill time: half of
    /// the prior runs are at 0 and half at this prefill time, in milliseconds.
    double prior_span_ms = 1000;
};

/// Estimates how long a run of a model takes until its first event and until its end, from recent
/// runs of this process. Performs no I/O.
///
/// A long prompt takes many times as long as a short one on the same route, so the time until the
/// first event is fitted as a linear function of the estimated prefill time. The answer length that
/// the caller expects is not used, as it is often far off.
class run_times {
public:
    explicit run_times(run_times_settings settings) : settings_{settings} {}

    /// Records a complete run: its first event came `first` after it was sent, and its end `rest`
    /// after the first event. `prefill_ms` is the estimated prefill time of its prompt.
    void saw(const std::string& route, const std::string& model, double prefill_ms, micros first,
             micros rest);
    /// Records a run that was cancelled after `waited`, without an event.
    void record_abandoned(const std::string& model, double prefill_ms, micros waited);
    /// Expected milliseconds until the first event.
    [[nodiscard]] double first_ms(const std::string& model, double prefill_ms) const;
    /// Milliseconds in which nearly all runs are complete, see `run_times_settings::deviations`.
    [[nodiscard]] double whole_ms(const std::string& route, const std::string& model,
                                  double prefill_ms) const;

private:
    /// An exponentially weighted mean with the mean absolute deviation from it.
    struct running_mean {
        double mean = 0;
        double deviation = 0;
        bool known = false;
        std::uint64_t last_run = 0; ///< value of `route_runs_` at the newest run

        void add(double value, double weight);
    };
    /// An exponentially weighted linear regression: sums over the runs, and the mean absolute
    /// deviation from the fitted line.
    struct regression {
        double n = 0;  ///< sum of weights
        double x = 0;  ///< sum of prefill times
        double y = 0;  ///< sum of times until the first event
        double xx = 0; ///< sum of squared prefill times
        double xy = 0; ///< sum of products of both times
        double deviation = 0;
        std::uint64_t last_run = 0; ///< value of `runs_` at the newest run

        void add(double at, double value, double weight);
        [[nodiscard]] double value(double at) const;
    };

    /// Removes the times of models without a run among the last `expiry_runs`.
    void expire(const std::string& route);
    regression& regression_of(const std::string& model);
    [[nodiscard]] regression prior() const;

    run_times_settings settings_;
    std::map<std::string, regression> first_event_; ///< by model
    std::map<std::pair<std::string, std::string>, running_mean>
        after_first_; ///< by route and model
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> route_runs_;
};

} // namespace hickorypost::gateway
