#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/wire/messages.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hickorypost::admission {

/// A request that waits for a slot of a backend server.
struct waiting_job {
    attempt_id attempt = 0;
    std::string account;
    std::uint32_t weight = 1;
    wire::priority urgency = wire::priority::normal;
    instant deadline;
};

struct queue_options {
    std::uint32_t slots = 1; ///< jobs that may run at the same time
    /// Share of the slots that bulk jobs leave free, so that an interactive request finds a free
    /// slot at once.
    double interactive_reserve = 0.125;
    /// A class that has been skipped this many times for a more urgent one gets the next turn, so
    /// that it doesn't starve.
    std::uint32_t max_skipped_turns = 8;
    std::size_t max_waiting = 4096; ///< in jobs
    /// Service time assumed until the first job has finished.
    micros first_service_time{200'000};
};

enum class offer_verdict : std::uint8_t { queued, overloaded, past_deadline };

struct offer_answer {
    offer_verdict verdict = offer_verdict::queued;
    millis retry_after{0};
};

/// The agent's queue in front of one backend server. Refuses jobs whose estimated wait exceeds
/// their deadline, serves urgent classes first and, within a class, shares the slots fairly among
/// client accounts by weight. Does no I/O.
class admission_queue {
public:
    explicit admission_queue(queue_options options);

    /// Queues the job, or refuses it at once if it can't start before its deadline.
    offer_answer offer(const waiting_job& job, instant now);
    /// Returns the next job to run, if a slot is free for its class. The caller must then call
    /// either `finished` or `released`.
    std::optional<waiting_job> next();
    /// Frees the job's slot and adds its run time to the mean service time of its class.
    void finished(wire::priority urgency, micros ran);
    /// Frees the slot of a job that `next` returned but that did not run.
    void released(wire::priority urgency);
    /// Removes a waiting job; returns false if it is not waiting.
    bool cancel(attempt_id attempt);
    /// Removes and returns the jobs whose deadline has passed.
    std::vector<waiting_job> expire(instant now);

    void set_slots(std::uint32_t slots) { options_.slots = slots; }
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return class_of_.size(); }
    [[nodiscard]] micros estimated_wait(wire::priority urgency) const;

private:
    static constexpr std::size_t classes = 3;

    struct account_queue {
        double finish_tag = 0; ///< virtual finish time of the account's last job
        std::deque<std::pair<double, waiting_job>> jobs; ///< start tag and job
    };
    struct class_queue {
        std::map<std::string, account_queue> accounts;
        double virtual_time = 0;
        std::size_t waiting = 0;
        micros service_time{0};
        std::uint32_t skipped_turns = 0;
    };

    static std::size_t index_of(wire::priority urgency) noexcept
    {
        return static_cast<std::size_t>(urgency);
    }
    [[nodiscard]] bool may_start(std::size_t cls) const;
    [[nodiscard]] std::optional<std::size_t> pick_class();
    waiting_job take_from(class_queue& queue);
    [[nodiscard]] micros service_time(std::size_t cls) const;

    queue_options options_;
    std::array<class_queue, classes> queues_;
    std::unordered_map<attempt_id, std::size_t> class_of_;
    std::uint32_t running_ = 0;
    std::uint32_t running_bulk_ = 0;
};

} // namespace hickorypost::admission
