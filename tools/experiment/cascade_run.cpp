#include "cascade_run.h"

#include "hickorypost/routing/cascade_policy.h"

namespace hickorypost::experiment {

cascade_result run_cascade(const scenario& s, cascade_choice how, std::uint64_t seed)
{
    const auto random = seeded_random_fn(seed);
    routing::cascade_policy policy{seeded_random_fn(seed + 1)};
    const std::vector<routing::cascade_stage> stages{{s.cheap_cost, 0.8, millis{300}},
                                                     {s.strong_cost, 0.9, millis{1500}}};
    const auto answers = static_cast<std::size_t>(s.rate * s.seconds);
    cascade_result out;
    for (std::size_t n = 0; n < answers; ++n) {
        const bool easy = unit_random(random) < s.easy_share;
        routing::cascade_query query{"account", easy ? "lookup" : "draft", false, millis{8000},
                                     0.9};
        const auto is_good = [&](std::size_t stage) {
            const double ratio = stage == 0 ? (easy ? s.cheap_easy : s.cheap_hard)
                                            : (easy ? s.strong_easy : s.strong_hard);
            return unit_random(random) < ratio;
        };
        std::size_t stage = 0;
        if (how == cascade_choice::learned) {
            stage = policy.start_stage(query, stages);
        } else if (how == cascade_choice::always_strong) {
            stage = 1;
        }
        bool good = is_good(stage);
        out.cost += stages[stage].cost;
        const bool cascades =
            how == cascade_choice::learned || how == cascade_choice::fixed_cascade;
        const bool wrong = unit_random(random) < s.accept_noise;
        const bool rated_good = wrong ? !good : good;
        if (how == cascade_choice::learned) {
            policy.learn(query, stage, rated_good);
        }
        if (cascades && stage == 0 && !rated_good && policy.escalate(query, stages, stage)) {
            good = is_good(1);
            out.cost += stages[1].cost;
            if (how == cascade_choice::learned) {
                policy.learn(query, 1, good);
            }
        }
        out.quality += good ? 1 : 0;
    }
    out.cost /= static_cast<double>(answers);
    out.quality /= static_cast<double>(answers);
    return out;
}

} // namespace hickorypost::experiment
