#include "hickorypost/gateway/model_choice.h"

#include <algorithm>
#include <cmath>

namespace hickorypost::gateway {

namespace {

/// Pace of an engine's dearest model. Larger models cost more because they take more of an engine's
/// time, so the proportions of their costs tell their pace.
constexpr double largest_pace = 3;
constexpr double least_pace = 0.2;

} // namespace

std::size_t model_choice::first(const route_spec&) const
{
    return 0;
}

std::size_t model_choice::after(const model_answer& answer) const
{
    const auto& models = answer.route.models;
    const std::size_t largest = models.empty() ? 0 : models.size() - 1;
    if (answer.rank >= largest || answer.attempts_left == 0) {
        return answer.rank;
    }
    const double confidence = answer.confidence;
    const bool middle = settings_.uses_middle && confidence < least_before_middle();
    for (std::size_t next = answer.rank + 1; middle && next < largest; ++next) {
        const double likely = expected(models[answer.rank], confidence, models[next]);
        if (likely >= settings_.calm_confidence && whole_in_time(answer, next) &&
            on_target(answer, next)) {
            return next;
        }
    }
    if (confidence >= least_confidence()) {
        return answer.rank;
    }
    if (on_target(answer, largest)) {
        return whole_in_time(answer, largest) ? largest : answer.rank;
    }
    if (const auto next = best_in_time(answer); next != answer.rank) {
        return next;
    }
    // Asked of the largest model the answer would come late; the one that is there is in time.
    const bool useless = confidence < least_confidence() * settings_.late_part;
    return useless && whole_in_time(answer, largest) ? largest : answer.rank;
}

std::size_t model_choice::best_in_time(const model_answer& answer) const
{
    const auto& models = answer.route.models;
    std::size_t out = answer.rank;
    double best = answer.confidence;
    for (std::size_t next = answer.rank + 1; settings_.uses_middle && next + 1 < models.size();
         ++next) {
        const double likely = expected(models[answer.rank], answer.confidence, models[next]);
        if (likely > best && whole_in_time(answer, next) && on_target(answer, next)) {
            out = next;
            best = likely;
        }
    }
    return out;
}

bool model_choice::whole_in_time(const model_answer& answer, std::size_t rank) const
{
    const auto& route = answer.route;
    return !settings_.weighs_time ||
           static_cast<double>(answer.left.count()) >=
               times_.whole_ms(route.name, route.models[rank], answer.prefill_ms[rank]);
}

bool model_choice::on_target(const model_answer& answer, std::size_t rank) const
{
    const auto& route = answer.route;
    const auto left = static_cast<double>((route.target_latency - answer.spent).count());
    return !settings_.weighs_lateness || left <= 0 ||
           left >= times_.first_ms(route.models[rank], answer.prefill_ms[rank]);
}

double model_choice::expected(const std::string& smaller, double confidence,
                              const std::string& larger) const
{
    const auto known = gains_.find({smaller, larger});
    return confidence + (known == gains_.end() ? settings_.first_gain : known->second);
}

void model_choice::record_confidence_pair(const std::string& smaller, double smaller_confidence,
                                          const std::string& larger, double larger_confidence)
{
    // At the ends of the scale the difference is cut off and says little.
    if (smaller_confidence <= 0 || larger_confidence >= 1) {
        return;
    }
    auto& gain = gains_.try_emplace({smaller, larger}, settings_.first_gain).first->second;
    gain += settings_.gain_weight * (larger_confidence - smaller_confidence - gain);
}

void model_choice::record_first_event(double part)
{
    first_part_ += settings_.weight * (part - first_part_);
}

double model_choice::pressure() const
{
    if (!settings_.feels_pressure) {
        return 0;
    }
    const double span = settings_.pressed_part - settings_.calm_part;
    return std::clamp((first_part_ - settings_.calm_part) / span, 0.0, 1.0);
}

double model_choice::least_confidence() const
{
    return std::lerp(settings_.calm_confidence, settings_.pressed_confidence, pressure());
}

double model_choice::least_before_middle() const
{
    return std::lerp(settings_.middle_confidence, settings_.calm_confidence, pressure());
}

double model_choice::pace(const engine_spec& engine, const std::string& model)
{
    double highest = 0;
    double own = 0;
    for (const auto& it : engine.models) {
        highest = std::max(highest, it.cost);
        own = it.name == model ? it.cost : own;
    }
    return own <= 0 ? 1 : std::max(least_pace, largest_pace * own / highest);
}

} // namespace hickorypost::gateway
