#include "hickorypost/routing/cascade_policy.h"

#include <limits>

namespace hickorypost::routing {

namespace {

/// Number of ratings that the operator's prior `quality` is weighted as.
constexpr double prior_weight = 10;
/// Beyond this number of ratings, older ratings decay exponentially, so that the estimate follows a
/// change of tasks or versions.
constexpr double max_rating_weight = 400;
/// Share of requests that start one stage earlier than the best one, so that the estimate of that
/// stage stays current.
constexpr double exploration_rate = 0.02;

} // namespace

double cascade_policy::good_share(const cascade_query& query,
                                  const std::vector<cascade_stage>& stages, std::size_t stage) const
{
    const double prior = stages[stage].quality;
    const auto it = ratings_.find({query.account, query.task, stage});
    const double good = it == ratings_.end() ? 0 : it->second.good;
    const double rated = it == ratings_.end() ? 0 : it->second.rated;
    return (good + prior * prior_weight) / (rated + prior_weight);
}

std::size_t cascade_policy::start_stage(const cascade_query& query,
                                        const std::vector<cascade_stage>& stages)
{
    const std::size_t last = stages.size() - 1;
    if (query.non_idempotent) {
        // A non-idempotent request may run only once: selects the cheapest stage that meets the
        // target without a further stage.
        for (std::size_t it = 0; it < last; ++it) {
            if (good_share(query, stages, it) >= query.quality_target) {
                return it;
            }
        }
        return last;
    }
    std::size_t best = last;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t start = 0; start <= last; ++start) {
        // Expected cost if the request starts at this stage and goes on to the next one while the
        // answer is not good enough.
        double cost = 0;
        double reach_probability = 1;
        micros time{0};
        for (std::size_t it = start; it <= last; ++it) {
            cost += reach_probability * stages[it].cost;
            reach_probability *= 1.0 - good_share(query, stages, it);
            time += stages[it].time;
        }
        const bool in_time = start == last || time <= query.remaining;
        if (in_time && cost < best_cost) {
            best = start;
            best_cost = cost;
        }
    }
    if (best > 0 && unit_random(random_) < exploration_rate) {
        return best - 1;
    }
    return best;
}

bool cascade_policy::escalate(const cascade_query& query, const std::vector<cascade_stage>& stages,
                              std::size_t stage) const
{
    return !query.non_idempotent && stage + 1 < stages.size() &&
           stages[stage + 1].time <= query.remaining;
}

void cascade_policy::learn(const cascade_query& query, std::size_t stage, bool good)
{
    rating_counts& it = ratings_[{query.account, query.task, stage}];
    if (it.rated >= max_rating_weight) {
        const double decay = (max_rating_weight - 1) / max_rating_weight;
        it.good *= decay;
        it.rated *= decay;
    }
    it.rated += 1;
    it.good += good ? 1 : 0;
}

} // namespace hickorypost::routing
