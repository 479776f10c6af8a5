#include "hickorypost/gateway/model_choice.h"

#include <algorithm>
#include <cmath>

namespace hickorypost::gateway {

namespace {

/// Pace of an engine's most expensive model. Larger models cost more because they take more engine
/// time, so the ratio of two costs approximates the ratio of the paces.
constexpr double max_pace = 3;
constexpr double min_pace = 0.2;

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
    const bool middle =
        settings_.use_middle_models && confidence < required_confidence_before_middle();
    for (std::size_t next = answer.rank + 1; middle && next < largest; ++next) {
        const double estimate = expected_confidence(models[answer.rank], confidence, models[next]);
        if (estimate >= settings_.min_confidence && fits_deadline(answer, next) &&
            meets_target(answer, next)) {
            return next;
        }
    }
    if (confidence >= required_confidence()) {
        return answer.rank;
    }
    if (meets_target(answer, largest)) {
        return fits_deadline(answer, largest) ? largest : answer.rank;
    }
    if (const auto next = best_middle_on_target(answer); next != answer.rank) {
        return next;
    }
    // The largest model would miss the target, while the present answer is in time. Escalate only
    // if the present answer is worth less than a late one.
    const bool worthless = confidence < required_confidence() * settings_.late_answer_value;
    return worthless && fits_deadline(answer, largest) ? largest : answer.rank;
}

std::size_t model_choice::best_middle_on_target(const model_answer& answer) const
{
    const auto& models = answer.route.models;
    std::size_t out = answer.rank;
    double best = answer.confidence;
    for (std::size_t next = answer.rank + 1;
         settings_.use_middle_models && next + 1 < models.size(); ++next) {
        const double estimate =
            expected_confidence(models[answer.rank], answer.confidence, models[next]);
        if (estimate > best && fits_deadline(answer, next) && meets_target(answer, next)) {
            out = next;
            best = estimate;
        }
    }
    return out;
}

bool model_choice::fits_deadline(const model_answer& answer, std::size_t rank) const
{
    const auto& route = answer.route;
    return !settings_.check_deadline ||
           static_cast<double>(answer.remaining.count()) >=
               times_.whole_ms(route.name, route.models[rank], answer.prefill_ms[rank]);
}

bool model_choice::meets_target(const model_answer& answer, std::size_t rank) const
{
    if (!settings_.check_target) {
        return true;
    }
    const auto& route = answer.route;
    const millis left = route.target_latency - answer.elapsed;
    const double queue = answer.queue_ms.empty() ? 0 : answer.queue_ms[rank];
    if (left <= millis{0}) {
        return queue <= static_cast<double>(route.target_latency.count());
    }
    // Recent first events include the usual queue. Only a longer one adds to them.
    const double first = times_.first_ms(route.models[rank], answer.prefill_ms[rank]);
    return std::max(first, queue) <= static_cast<double>(left.count());
}

double model_choice::expected_confidence(const std::string& smaller, double confidence,
                                         const std::string& larger) const
{
    const auto known = gains_.find({smaller, larger});
    return confidence + (known == gains_.end() ? settings_.initial_gain : known->second);
}

void model_choice::record_confidence_pair(const std::string& smaller, double smaller_confidence,
                                          const std::string& larger, double larger_confidence)
{
    // At the ends of the scale confidences are clipped, so the difference is not meaningful.
    if (smaller_confidence <= 0 || larger_confidence >= 1) {
        return;
    }
    auto& gain = gains_.try_emplace({smaller, larger}, settings_.initial_gain).first->second;
    gain += settings_.gain_weight * (larger_confidence - smaller_confidence - gain);
}

void model_choice::record_first_event(double latency_ratio)
{
    mean_latency_ratio_ += settings_.latency_weight * (latency_ratio - mean_latency_ratio_);
}

double model_choice::pressure() const
{
    if (!settings_.adapt_to_latency) {
        return 0;
    }
    const double span = settings_.high_latency_ratio - settings_.low_latency_ratio;
    return std::clamp((mean_latency_ratio_ - settings_.low_latency_ratio) / span, 0.0, 1.0);
}

double model_choice::required_confidence() const
{
    return std::lerp(settings_.min_confidence, settings_.min_confidence_under_load, pressure());
}

double model_choice::required_confidence_before_middle() const
{
    return std::lerp(settings_.min_confidence_before_middle, settings_.min_confidence, pressure());
}

double model_choice::pace(const engine_spec& engine, const std::string& model)
{
    double highest = 0;
    double own = 0;
    for (const auto& it : engine.models) {
        highest = std::max(highest, it.cost);
        own = it.name == model ? it.cost : own;
    }
    return own <= 0 ? 1 : std::max(min_pace, max_pace * own / highest);
}

} // namespace hickorypost::gateway
