#include "hickorypost/routing/cascade_policy.h"

#include <limits>

namespace hickorypost::routing {

namespace {

/// Answers that the operators' prior counts for; ratings outweigh it after about as many.
constexpr double prior_weight = 10;
/// Older ratings fade, so that a change of the tasks or versions is noticed.
constexpr double memory = 400;
/// Share of requests that start at another stage, to keep learning about it.
constexpr double exploration = 0.02;

} // namespace

double cascade_policy::good_share(const cascade_query& query,
                                  const std::vector<cascade_stage>& stages, std::size_t stage) const
{
    const double prior = stages[stage].quality;
    const auto it = tallies_.find({query.account, query.task, stage});
    const double good = it == tallies_.end() ? 0 : it->second.good;
    const double seen = it == tallies_.end() ? 0 : it->second.seen;
    return (good + prior * prior_weight) / (seen + prior_weight);
}

std::size_t cascade_policy::start_stage(const cascade_query& query,
                                        const std::vector<cascade_stage>& stages)
{
    const std::size_t last = stages.size() - 1;
    if (query.non_idempotent) {
        // It may run once only: the cheapest stage that meets the target by itself.
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
        // Expected cost of starting here and going on while the answer is not good enough.
        double cost = 0;
        double reach = 1;
        micros time{0};
        for (std::size_t it = start; it <= last; ++it) {
            cost += reach * stages[it].cost;
            reach *= 1.0 - good_share(query, stages, it);
            time += stages[it].time;
        }
        const bool in_time = start == last || time <= query.remaining;
        if (in_time && cost < best_cost) {
            best = start;
            best_cost = cost;
        }
    }
    if (best > 0 && unit_random(random_) < exploration) {
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
    tally& it = tallies_[{query.account, query.task, stage}];
    if (it.seen >= memory) {
        const double fade = (memory - 1) / memory;
        it.good *= fade;
        it.seen *= fade;
    }
    it.seen += 1;
    it.good += good ? 1 : 0;
}

} // namespace hickorypost::routing
