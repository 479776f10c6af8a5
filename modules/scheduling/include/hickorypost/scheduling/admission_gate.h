#pragma once

#include "hickorypost/scheduling/send_pacer.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hickorypost::scheduling {

enum class admission : std::uint8_t {
    send,
    wait,
    reject_hopeless,   ///< no first event is expected before the deadline
    reject_over_share, ///< the queue is full and the account uses more than its share
};

/// A request that asks for admission.
struct waiting_request {
    std::uint64_t id = 0; ///< chosen by the caller of the gate
    int priority = 0;     ///< 0 is the most urgent
    instant arrived;
    instant target;          ///< latest first event that is in time
    instant deadline;        ///< of the client
    double work_ms = 0;      ///< prefill of the request on a reference engine
    bool over_share = false; ///< its account uses more than its share
    /// Time that the client has lost to an earlier rejection.
    micros waited_before{0};
};

/// What is expected if the request is sent now to the best engine for it.
struct room {
    double wait_ms = 0;        ///< until the engine begins its prefill
    double first_event_ms = 0; ///< until its first event
    double engines = 1;        ///< engines of the service
    double hosts = 1;          ///< hosts that send to them
};

struct gate_settings {
    /// Expected wait on an engine above which requests wait in the queue: half of the smallest
    /// target of the service, because a larger backlog makes the requests with that target late
    /// wherever they are placed.
    micros max_backlog{millis{500}};
};

/// Decides for each new request of one service whether it is sent, waits in a queue, or is
/// rejected. Performs no I/O.
///
/// Queue order: requests that have waited for half of the time until their deadline, so that none
/// starves; requests of accounts within their share; requests that can still meet their target;
/// priority; earliest target. A large request keeps its position: a smaller one that would fit does
/// not overtake it.
class admission_gate {
public:
    explicit admission_gate(gate_settings settings, random_fn random);

    void set_max_backlog(micros bound) { settings_.max_backlog = bound; }
    /// Whether a request is sent at once, because there is room and none waits. `first_event_ms` of
    /// the room is not used.
    bool try_send(double work_ms, const room& at, instant now);
    /// `admission::wait` puts the request into the queue.
    admission decide(const waiting_request& request, const room& at, instant now);
    /// The first request in queue order. The caller removes it and calls `decide` again with its
    /// current room.
    [[nodiscard]] std::optional<std::uint64_t> next(instant now) const;
    void remove(std::uint64_t id, instant now);
    /// Removes the requests that are not expected to have a first event before their deadline.
    std::vector<waiting_request> take_hopeless(const room& at, instant now);
    /// Time until the queue ahead of a request that is not in it is expected to be empty, with
    /// jitter.
    [[nodiscard]] millis retry_after(const waiting_request& request, const room& at,
                                     instant now) const;
    [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }

private:
    struct entry {
        waiting_request request;
        double own_ms = 0; ///< expected prefill on its engine
    };
    /// Work ahead of a request, in milliseconds of a reference engine, and whether there is any
    /// request ahead.
    struct work_ahead {
        double ms = 0;
        bool any = false;
    };

    [[nodiscard]] double max_backlog_ms() const;
    [[nodiscard]] send_pacer::pool pool_of(const room& at) const;
    /// Whether a request with none ahead of it may be sent.
    bool has_room(const room& at, instant now);
    void record_sent(double work_ms, const room& at, instant now);
    /// Whether `a` is ahead of `b` in queue order.
    [[nodiscard]] bool precedes(const entry& a, const entry& b, instant now) const;
    [[nodiscard]] bool meets_target(const entry& it, instant now) const;
    [[nodiscard]] work_ahead ahead_of(const entry& it, instant now) const;
    /// Work that leaves the queue in a millisecond.
    [[nodiscard]] double rate(const room& at) const;
    [[nodiscard]] bool is_hopeless(const entry& it, const room& at, double ahead_ms,
                                   instant now) const;
    /// Advances the measurement of the rate.
    void advance(instant now);

    gate_settings settings_;
    random_fn random_;
    std::vector<entry> queue_; ///< not sorted, as the order changes with time
    double last_wait_ms_ = 0;  ///< expected wait on an engine, as of the last decision
    /// Time with a non-empty queue and work sent during it, both with exponential decay.
    double busy_ms_ = 0;
    double sent_ms_ = 0;
    instant advanced_at_;
    send_pacer pacer_{{}};
};

} // namespace hickorypost::scheduling
