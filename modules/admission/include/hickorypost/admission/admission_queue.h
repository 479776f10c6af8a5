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

/// A request waiting for a slot of a backend server.
struct waiting_job {
    attempt_id attempt = 0;
    std::string account;
    std::uint32_t weight = 1;
    wire::priority urgency = wire::priority::normal;
    instant deadline;
};

struct queue_options {
    std::uint32_t slots = 1;
    /// Slots that bulk work leaves free, so that an interactive request finds one at once.
    double interactive_reserve = 0.125;
    /// After this many turns of more urgent work a less urgent job gets one, so none starves.
    std::uint32_t turns_before_lower = 8;
    std::size_t max_waiting = 4096;
    /// Service time assumed before the first one was measured.
    micros first_service_time{200'000};
};

enum class offer_verdict : std::uint8_t { queued, overloaded, past_deadline };

struct offer_answer {
    offer_verdict verdict = offer_verdict::queued;
    millis retry_after{0};
};

/// The agent's queue before one backend server: bounded by the estimated wait against each job's
/// deadline, fair between accounts by weight, urgent classes first. Sans I/O.
class admission_queue {
public:
    explicit admission_queue(queue_options options);

    /// Queues the job, or says at once that it cannot be served in time.
    offer_answer offer(const waiting_job& job, instant now);
    /// The next job to run, if a slot is free for its class; the caller must call `finished`.
    std::optional<waiting_job> next();
    void finished(wire::priority urgency, micros ran);
    /// The job that `next` gave did not run after all; teaches nothing about service times.
    void released(wire::priority urgency);
    /// Takes a waiting job out; false if it is not waiting.
    bool cancel(attempt_id attempt);
    /// Takes out the jobs whose deadline has passed.
    std::vector<waiting_job> expire(instant now);

    void set_slots(std::uint32_t slots) { options_.slots = slots; }
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return where_.size(); }
    [[nodiscard]] micros estimated_wait(wire::priority urgency) const;

private:
    static constexpr std::size_t classes = 3;

    struct account_queue {
        double finish_tag = 0; ///< virtual time at which its last job would be done
        std::deque<std::pair<double, waiting_job>> jobs; ///< with each job's start tag
    };
    struct class_queue {
        std::map<std::string, account_queue> accounts;
        double virtual_time = 0;
        std::size_t waiting = 0;
        micros service_time{0};
        std::uint32_t passed_over = 0;
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
    std::unordered_map<attempt_id, std::size_t> where_;
    std::uint32_t running_ = 0;
    std::uint32_t running_bulk_ = 0;
};

} // namespace hickorypost::admission
