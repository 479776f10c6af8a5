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
    /// An answer of which its model is less sure than this is asked for again of a larger one,
    /// while engines answer quickly.
    double calm_confidence = 0.5;
    /// The same where a middle model is likely to be sure enough, which costs half as much. Under
    /// pressure it falls to `calm_confidence`.
    double middle_confidence = 0.6;
    /// The same when they are slow. A larger model takes several times an engine's time: asked for
    /// as often as in calm times it makes everybody late.
    double pressed_confidence = 0.3;
    /// First events within this part of their target count as quick, beyond the other as slow.
    double calm_part = 0.15;
    double pressed_part = 0.4;
    /// Weight of the newest first event in the running mean.
    double weight = 0.05;
    /// How much surer the next larger model is taken to be of the same request before any was asked
    /// twice. Too high, a middle model is tried in vain a few times; too low, it is never tried.
    double first_gain = 0.1;
    /// Weight of the newest pair of answers in the learned gain.
    double gain_weight = 0.05;
    /// What an answer that comes after its target is worth to a caller, against one in time.
    double late_part = 0.3;
    bool uses_middle = true;     ///< models between the smallest and the largest are asked
    bool feels_pressure = true;  ///< less is asked of larger models while first events are slow
    bool weighs_time = true;     ///< an answer must be likely to be whole in time
    bool weighs_lateness = true; ///< an answer that would be late is asked for only in need
};

/// An answer of one of a route's models, of which only the head has come.
struct model_answer {
    const route_spec& route;
    std::size_t rank = 0;  ///< of its model, 0 for the smallest
    double confidence = 0; ///< 0 to 1
    millis spent{0};       ///< of the request's time
    millis left{0};
    /// Attempts that the route still allows.
    std::uint32_t attempts_left = 2;
    /// Milliseconds to read the prompt with each of the route's models.
    std::span<const double> prefill_ms;
};

/// Which of a route's models answers a request that leaves the choice to the gateway.
class model_choice {
public:
    explicit model_choice(model_choice_settings settings) : settings_{settings} {}

    /// Rank of the model to begin with, 0 for the smallest.
    [[nodiscard]] std::size_t first(const route_spec& route) const;
    /// Rank of the model to go on with; the same rank if the answer will do or no larger model can
    /// help in the time that is left. A model between is chosen where it is likely to be sure
    /// enough: it takes a fraction of the largest one's engine time and cost.
    [[nodiscard]] std::size_t after(const model_answer& answer) const;
    /// What runs took on each route, by model.
    [[nodiscard]] run_times& times() noexcept { return times_; }
    /// Two models answered the same request: how sure each was.
    void record_confidence_pair(const std::string& smaller, double smaller_confidence,
                                const std::string& larger, double larger_confidence);
    /// A first event came `part` of the route's target after the request.
    void record_first_event(double part);
    /// The confidence that an answer needs now, or the largest model is asked.
    [[nodiscard]] double least_confidence() const;
    /// The same where a middle model may do.
    [[nodiscard]] double least_before_middle() const;
    /// How much slower a model is than the middle one, from what the operators say it costs.
    [[nodiscard]] static double pace(const engine_spec& engine, const std::string& model);

private:
    /// 0 while first events come quickly, 1 when they are slow.
    [[nodiscard]] double pressure() const;
    /// How sure `larger` is likely to be of a request of which `smaller` was sure by `confidence`.
    [[nodiscard]] double expected(const std::string& smaller, double confidence,
                                  const std::string& larger) const;

    /// Whether an answer of that model is likely to be whole in the time that is left.
    [[nodiscard]] bool whole_in_time(const model_answer& answer, std::size_t rank) const;
    /// Whether it is likely to begin within the route's target, or the target is past anyway.
    [[nodiscard]] bool on_target(const model_answer& answer, std::size_t rank) const;
    /// The middle model that most likely does better where the largest one would be late.
    [[nodiscard]] std::size_t best_in_time(const model_answer& answer) const;

    model_choice_settings settings_;
    run_times times_{{}};
    std::map<std::pair<std::string, std::string>, double> gains_; ///< by smaller and larger model
    double first_part_ = 0; ///< running mean of `record_first_event`
};

} // namespace hickorypost::gateway
