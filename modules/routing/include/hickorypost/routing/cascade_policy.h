#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace hickorypost::routing {

/// What the policy knows about one stage of a cascade before any rating.
struct cascade_stage {
    double cost = 0;    ///< expected cost of one answer; the unit is the same for all stages
    double quality = 0; ///< prior estimate of the share of answers that are good enough, 0 to 1
    micros time{0};     ///< expected time of one answer
};

struct cascade_query {
    std::string account;
    std::string task; ///< the caller's task label; empty: none
    bool non_idempotent = false;
    micros remaining{0};         ///< time until the request's deadline
    double quality_target = 0.9; ///< required share of answers that are good enough, 0 to 1
};

/// Estimates, per client account and task, how often each stage's answer is good enough, and
/// selects the first stage with the lowest expected total cost. Does no I/O.
class cascade_policy {
public:
    explicit cascade_policy(random_fn random) : random_{std::move(random)} {}

    /// Returns the index of the stage to start with.
    std::size_t start_stage(const cascade_query& query, const std::vector<cascade_stage>& stages);
    /// Returns whether a request whose answer at `stage` was not good enough may go on to the next
    /// stage: there is one, the request may run again and the time is sufficient.
    [[nodiscard]] bool escalate(const cascade_query& query,
                                const std::vector<cascade_stage>& stages, std::size_t stage) const;
    /// Records whether an answer of the stage was rated good enough.
    void learn(const cascade_query& query, std::size_t stage, bool good);

    /// Returns the estimated share of the stage's answers that are good enough, 0 to 1.
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
    struct rating_counts {
        double good = 0;
        double rated = 0;
    };

    random_fn random_;
    std::map<task_key, rating_counts> ratings_;
};

} // namespace hickorypost::routing
