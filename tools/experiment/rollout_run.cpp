#include "rollout_run.h"

#include "hickorypost/rollout/exposure_tracker.h"
#include "hickorypost/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <queue>

namespace hickorypost::experiment {

namespace {

constexpr double us_per_s = 1e6;
constexpr double answer_s = 0.5;
const model_version old_version{"m", "1"};
const model_version new_version{"m", "2"};

/// One step of the fixed baseline halts when this many answers or more were seen and the ratio of
/// bad ones is beyond the old version's by the record's limit: a plain dashboard rule.
constexpr std::size_t fixed_min_answers = 20;

struct due_event {
    double at = 0;
    bool on_new = false;
    bool rating = false;
    bool bad = false;
    bool operator<(const due_event& other) const { return at > other.at; }
};

class rollout_sim {
public:
    rollout_sim(const scenario& s, rollout_policy how, std::uint64_t seed)
        : scenario_{s}, how_{how}, random_{seeded_random_fn(seed)}, book_{{},
                                                                          seeded_random_fn(seed +
                                                                                           1),
                                                                          0},
          controller_{{},
                      [] { return std::int64_t{0}; },
                      [this](const records::rollout_progress& it) { commit(it); }}
    {
        apply(R"({"schema":1,"kind":"model","name":"m","number":1,"default":"1",)"
              R"("versions":[{"version":"1"},{"version":"2"}]})",
              "model", "m");
        const nlohmann::json rollout = {{"schema", 1},
                                        {"kind", "rollout"},
                                        {"name", "r"},
                                        {"number", 1},
                                        {"model", "m"},
                                        {"from", "1"},
                                        {"to", "2"},
                                        {"first_answers", s.first_answers},
                                        {"max_worse", s.max_worse},
                                        {"confidence", s.confidence}};
        apply(rollout.dump(), "rollout", "r");
        controller_.start_leading(state_, at(-10));
        controller_.follow(state_);
    }

    rollout_result run()
    {
        double next_arrival = 0;
        double next_report = 0;
        for (double now = 0; now < scenario_.seconds;) {
            if (!due_.empty() && due_.top().at <= std::min(next_arrival, next_report)) {
                now = due_.top().at;
                const due_event it = due_.top();
                due_.pop();
                take(it, now);
            } else if (next_report <= next_arrival) {
                now = next_report;
                next_report += 0.1;
                report(now);
            } else {
                now = next_arrival;
                next_arrival += -std::log(1 - unit_random(random_)) / scenario_.rate;
                arrive(now);
            }
        }
        return result_;
    }

private:
    static instant at(double s)
    {
        return instant{} + micros{static_cast<std::int64_t>((s + 100) * us_per_s)};
    }

    void apply(const std::string& document, const std::string& kind, const std::string& name)
    {
        records::record_change change;
        change.change_id = kind;
        change.kind = kind;
        change.name = name;
        change.number = 1;
        change.document = document;
        state_.apply(++index_, 0, {change, std::nullopt});
    }

    void commit(const records::rollout_progress& progress)
    {
        state_.apply(++index_, 0, {std::nullopt, progress});
        follow_due_ = true;
    }

    [[nodiscard]] bool halted() const { return result_.halted_at_s >= 0; }

    bool pick_new(double now)
    {
        if (halted()) {
            return false;
        }
        if (how_ == rollout_policy::sequential) {
            return state_.current_version("m") == "2" || book_.take(new_version, at(now));
        }
        constexpr double shares[] = {0.01, 0.05, 0.25, 1.0};
        const auto step =
            std::min<std::size_t>(3, static_cast<std::size_t>(now / scenario_.fixed_step_s));
        if (step == 3 && result_.full_at_s < 0) {
            result_.full_at_s = now;
        }
        return unit_random(random_) < shares[step];
    }

    void arrive(double now)
    {
        const bool on_new = pick_new(now);
        const double ratio =
            !on_new || now < scenario_.bad_from_s ? scenario_.old_bad : scenario_.new_bad;
        const bool bad = unit_random(random_) < ratio;
        if (on_new) {
            ++result_.answers_on_new;
            result_.bad_on_new += bad ? 1U : 0U;
        }
        due_.push({now + answer_s, on_new, false, bad});
        if (unit_random(random_) < scenario_.rated_share) {
            due_.push({now + answer_s + scenario_.rating_delay_s * (0.5 + unit_random(random_)),
                       on_new, true, bad});
        }
    }

    void take(const due_event& it, double now)
    {
        const auto& version = it.on_new ? new_version : old_version;
        if (it.rating) {
            book_.record_rating(version, !it.bad);
        } else {
            book_.record_answer(version, false, false); // a bad answer shows only in its rating
        }
        if (how_ != rollout_policy::fixed_steps || !it.rating || !it.on_new) {
            return;
        }
        ++fixed_rated_;
        fixed_bad_ += it.bad ? 1U : 0U;
        const double ratio = static_cast<double>(fixed_bad_) / static_cast<double>(fixed_rated_);
        if (fixed_rated_ >= fixed_min_answers && ratio > scenario_.old_bad + scenario_.max_worse) {
            result_.halted_at_s = now;
        }
    }

    void report(double now)
    {
        if (how_ != rollout_policy::sequential) {
            return;
        }
        controller_.tick(at(now));
        if (std::exchange(follow_due_, false)) {
            controller_.follow(state_);
        }
        if (const auto request = book_.due(at(now))) {
            book_.apply_grant(controller_.take("e1", *request, at(now)), at(now));
        }
        const auto* progress = state_.progress_of("r");
        if (progress == nullptr) {
            return;
        }
        if (progress->state == records::rollout_state::completed && result_.full_at_s < 0) {
            result_.full_at_s = now;
        }
        if (progress->state == records::rollout_state::halted && !halted()) {
            result_.halted_at_s = now;
        }
    }

    const scenario& scenario_;
    rollout_policy how_;
    random_fn random_;
    records::records_state state_;
    std::uint64_t index_ = 0;
    bool follow_due_ = false;
    rollout::exposure_tracker book_;
    rollout::rollout_controller controller_;
    std::priority_queue<due_event> due_;
    std::size_t fixed_rated_ = 0;
    std::size_t fixed_bad_ = 0;
    rollout_result result_;
};

} // namespace

rollout_result run_rollout(const scenario& s, rollout_policy how, std::uint64_t seed)
{
    rollout_sim it{s, how, seed};
    return it.run();
}

} // namespace hickorypost::experiment
