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
    /// What is known of a model expires after this many runs of others, so that one that was too
    /// slow is tried again.
    std::uint64_t expiry_runs = 500;
    /// Deviations above the mean that `nearly_all` allows for: about 19 in 20 runs take less.
    double deviations = 2;
    /// Runs that the guess with which a model begins counts as.
    double guess_runs = 4;
    /// Reading times, in milliseconds, between which that guess is a line through the origin.
    double guess_span_ms = 1000;
};

/// How long runs take, here and now, until their first event and beyond: learned from the runs that
/// this process saw. Sans I/O.
///
/// A long prompt takes many times as long as a short one of the same route, so the first event is
/// learned as a line over the time that reading the prompt is reckoned to take. The length that
/// a caller expects of an answer is left out: it is often far off.
class run_times {
public:
    explicit run_times(run_times_settings settings) : settings_{settings} {}

    /// A run's first event came `first` after it was sent, and its last one `rest` after that.
    /// `prefill_ms`: the time that reading its prompt was reckoned to take.
    void saw(const std::string& route, const std::string& model, double prefill_ms, micros first,
             micros rest);
    /// A run had brought no event after `waited` and was given up.
    void saw_none(const std::string& model, double prefill_ms, micros waited);
    /// Milliseconds until the first event of an ordinary run.
    [[nodiscard]] double first_ms(const std::string& model, double prefill_ms) const;
    /// Milliseconds in which nearly all runs are whole.
    [[nodiscard]] double whole_ms(const std::string& route, const std::string& model,
                                  double prefill_ms) const;

private:
    /// A running mean with the mean distance from it.
    struct running {
        double mean = 0;
        double deviation = 0;
        bool known = false;
        std::uint64_t last_run = 0; ///< of the route's runs

        void add(double value, double weight);
    };
    /// A line fitted to the runs seen, the newest with the most weight, and the mean distance.
    struct line {
        double n = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double deviation = 0;
        std::uint64_t last_run = 0; ///< of all runs

        void add(double at, double value, double weight);
        [[nodiscard]] double value(double at) const;
    };

    /// Drops what no run has confirmed for `expiry_runs`.
    void expire(const std::string& route);
    line& line_of(const std::string& model);
    [[nodiscard]] line guess() const;

    run_times_settings settings_;
    std::map<std::string, line> first_;                           ///< by model
    std::map<std::pair<std::string, std::string>, running> rest_; ///< by route and model
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> route_runs_;
};

} // namespace hickorypost::gateway
