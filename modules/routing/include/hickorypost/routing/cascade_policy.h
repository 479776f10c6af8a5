#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace hickorypost::routing {

/// A stage of a cascade as the policy sees it.
struct cascade_stage {
    double cost = 0;    ///< expected cost of one answer
    double quality = 0; ///< prior share of answers that are good enough
    micros time{0};     ///< expected time of one answer
};

struct cascade_query {
    std::string account;
    std::string task; ///< caller's task label, or empty
    bool non_idempotent = false;
    micros remaining{0};
    double quality_target = 0.9; ///< wanted share of answers that are good enough
};

/// Learns, per client account and task, how often each stage's answer is good enough, and starts
/// where the expected cost of reaching the target is lowest. Sans I/O.
class cascade_policy {
public:
    explicit cascade_policy(random_fn random) : random_{std::move(random)} {}

    /// Index of the stage to start with.
    std::size_t start_stage(const cascade_query& query, const std::vector<cascade_stage>& stages);
    /// Whether an answer that was rated below the line is worth a further stage.
    [[nodiscard]] bool escalate(const cascade_query& query,
                                const std::vector<cascade_stage>& stages, std::size_t stage) const;
    /// What a stage's answer was rated: good enough or not.
    void learn(const cascade_query& query, std::size_t stage, bool good);

    [[nodiscard]] double good_share(const cascade_query& query,
                                    const std::vector<cascade_stage>& stages,
                                    std::size_t stage) const;

private:
    struct task_key {
        std::string account;
        std::string task;
        std::size_t stage = 0;
        friend auto operator<=>(const task_key&, const task_key&) = default;
    };
    struct tally {
        double good = 0;
        double seen = 0;
    };

    random_fn random_;
    std::map<task_key, tally> tallies_;
};

} // namespace hickorypost::routing
