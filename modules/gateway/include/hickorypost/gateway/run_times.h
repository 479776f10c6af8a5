#pragma once

#include "hickorypost/base/time.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace hickorypost::gateway {

struct run_times_settings {
    /// Weight of the newest run in the running means.
    double weight = 0.1;
    /// Deviations above the mean that an estimate allows for: about 19 in 20 runs take less.
    double deviations = 2;
};

/// How long a model takes on a route, here and now: learned from the runs that this process saw.
/// The length that a caller expects is left out: it is often far off. Sans I/O.
class run_times {
public:
    explicit run_times(run_times_settings settings) : settings_{settings} {}

    /// A run's first event came `first` after it was sent, and its last one `rest` after that.
    void saw(const std::string& route, const std::string& model, micros first, micros rest);
    /// A run had brought no event after `waited` and was given up.
    void saw_none(const std::string& route, const std::string& model, micros waited);
    /// Time that nearly all runs need; nothing if none was seen yet.
    [[nodiscard]] std::optional<millis> estimate(const std::string& route,
                                                 const std::string& model) const;

private:
    /// Milliseconds: a running mean and a running mean of the distance from it.
    struct running {
        double mean = 0;
        double deviation = 0;
        bool known = false;

        void add(double value, double weight);
    };
    struct row {
        running first;
        running rest;
    };

    run_times_settings settings_;
    std::map<std::pair<std::string, std::string>, row> rows_; ///< by route and model
};

} // namespace hickorypost::gateway
