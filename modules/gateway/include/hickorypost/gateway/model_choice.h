#pragma once

#include "hickorypost/gateway/run_times.h"
#include "hickorypost/gateway/site_config.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <utility>

namespace hickorypost::gateway {

struct model_choice_settings {
    /// An answer with a lower confidence is escalated to a larger model while first-event latency
    /// is low.
    double min_confidence = 0.5;
    /// The same threshold where a middle model is likely to reach `min_confidence`, which costs
    /// half as much as the largest model. It falls to `min_confidence` as latency rises.
    double min_confidence_before_middle = 0.6;
    /// The threshold for the largest model while latency is high. A larger model takes several
    /// times the engine time; escalating as often as under low load would make all requests late.
    double min_confidence_under_load = 0.3;
    /// Mean first-event latency, as a ratio of the route's target: up to `low_latency_ratio` it
    /// counts as low, from `high_latency_ratio` as high.
    double low_latency_ratio = 0.15;
    double high_latency_ratio = 0.4;
    /// Weight of the newest sample in the moving average of first-event latency.
    double latency_weight = 0.05;
    /// Assumed gain in confidence of a larger model on the same request, until a pair of answers
    /// was recorded. If too high, a middle model is tried a few times without benefit; if too low,
    /// it is never tried.
    double initial_gain = 0.1;
    /// Weight of the newest pair of answers in the moving average of the gain.
    double gain_weight = 0.05;
    /// Value to a caller of an answer after its target, relative to one within it.
    double late_answer_value = 0.3;
    bool use_middle_models = true; ///< escalate to models between the smallest and the largest
    bool adapt_to_latency = true;  ///< escalate less while first-event latency is high
    bool check_deadline = true;    ///< require that the answer is likely complete by the deadline
    bool check_target = true;      ///< escalate beyond the target only for very low confidence
};

/// The head of an answer from one of a route's models, with the state of its request.
struct model_answer {
    const route_spec& route;
    std::size_t rank = 0;  ///< of the answering model, 0 for the smallest
    double confidence = 0; ///< 0 to 1
    millis elapsed{0};     ///< since the request's start
    millis remaining{0};   ///< until the request's deadline
    /// Further attempts that the route allows.
    std::uint32_t attempts_left = 2;
    /// Estimated prefill time in milliseconds with each of the route's models, by rank.
    std::span<const double> prefill_ms;
    /// Expected time in milliseconds until the engine that would run each of the route's models
    /// begins its prefill, by rank; empty if unknown.
    std::span<const double> queue_ms;
};

/// Chooses which of a route's models answers a request whose caller names no model: the request
/// starts at the smallest model and is escalated while confidence is too low.
class model_choice {
public:
    explicit model_choice(model_choice_settings settings) : settings_{settings} {}

    /// Rank of the first model to send the request to, 0 for the smallest.
    [[nodiscard]] std::size_t first(const route_spec& route) const;
    /// Rank of the model to continue with. It equals `answer.rank` if the answer is accepted,
    /// because its confidence suffices or no larger model can improve it in the remaining time. A
    /// middle model is preferred where it is likely to reach the required confidence, because it
    /// takes a fraction of the largest model's engine time and cost.
    [[nodiscard]] std::size_t after(const model_answer& answer) const;
    /// Statistics of run times, by route and model.
    [[nodiscard]] run_times& times() noexcept { return times_; }
    /// Records the confidences of two models that answered the same request.
    void record_confidence_pair(const std::string& smaller, double smaller_confidence,
                                const std::string& larger, double larger_confidence);
    /// Records the latency of a first event as a ratio of the route's target.
    void record_first_event(double latency_ratio);
    /// The confidence below which an answer is escalated to the largest model at current latency.
    [[nodiscard]] double required_confidence() const;
    /// The confidence below which an answer is escalated to a middle model at current latency.
    [[nodiscard]] double required_confidence_before_middle() const;
    /// Slowdown of a model against a reference model, derived from the costs in the configuration;
    /// 1 if the model's cost is not configured.
    [[nodiscard]] static double pace(const engine_spec& engine, const std::string& model);

private:
    /// 0 while first-event latency is low, 1 when it is high, linear in between.
    [[nodiscard]] double pressure() const;
    /// Expected confidence of `larger` in a request that `smaller` answered with `confidence`.
    [[nodiscard]] double expected_confidence(const std::string& smaller, double confidence,
                                             const std::string& larger) const;

    /// Whether an answer of the model with this rank is likely to be complete by the deadline.
    [[nodiscard]] bool fits_deadline(const model_answer& answer, std::size_t rank) const;
    /// Whether its first event is likely to meet the route's target. If the target has passed
    /// already: whether the engine's queue is shorter than the target, so that late requests do not
    /// take engine time from requests that can be in time.
    [[nodiscard]] bool meets_target(const model_answer& answer, std::size_t rank) const;
    /// Rank of the middle model with the highest expected confidence that meets target
    /// and deadline; `answer.rank` if none is expected to improve on the answer.
    [[nodiscard]] std::size_t best_middle_on_target(const model_answer& answer) const;

    model_choice_settings settings_;
    run_times times_{{}};
    std::map<std::pair<std::string, std::string>, double> gains_; ///< by (smaller, larger) model
    double mean_latency_ratio_ = 0;                               ///< moving average
};

} // namespace hickorypost::gateway
