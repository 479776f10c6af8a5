#pragma once

#include "hickorypost/scheduling/admission_gate.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace hickorypost::scheduling {

/// A request that may wait for admission.
class admission_waiter {
public:
    virtual ~admission_waiter() = default;
    /// The request is the first in the queue, and has been removed from it. Sends it if there is
    /// room; otherwise calls `decide` again, by which it returns to its position.
    virtual void on_turn() = 0;
    /// The request has been removed from the queue, as it cannot be answered before its deadline.
    virtual void on_hopeless(millis retry_after) = 0;
};

/// Holds the admission gate of each service and gives waiting requests their turn. Performs no I/O
/// itself.
class admission_coordinator {
public:
    /// Calls a function once at a time.
    using timer_fn = std::function<void(instant due, std::function<void()> callback)>;

    struct verdict {
        admission what = admission::send;
        millis retry_after{0}; ///< of a rejection
    };

    admission_coordinator(clock_fn now, random_fn random, timer_fn add_timer);

    /// Whether an account uses more than its share. Asked only while capacity is scarce.
    std::function<bool(const std::string& account)> is_over_share = [](const std::string&) {
        return false;
    };

    /// Whether a request is sent at once, because there is room and none waits. `first_event_ms` of
    /// the room is not used.
    bool try_send(const std::string& service, micros max_backlog, const room& at, double work_ms);
    /// Decides by the gate of `service`. For `admission::wait` the waiter must stay valid until it
    /// gets its turn or its rejection, or until `leave`.
    verdict decide(const std::string& service, micros max_backlog, const waiting_request& request,
                   const room& at, admission_waiter& waiter);
    /// Removes a request from the queue, if it is there.
    void leave(const std::string& service, std::uint64_t id);
    /// The load on a backend server has changed: there may be room for waiting requests.
    void load_changed();
    [[nodiscard]] std::uint64_t new_id() { return ++last_id_; }
    /// Number of waiting requests by service; services without requests so far are
    /// absent.
    [[nodiscard]] std::map<std::string, std::size_t> waiting() const;

private:
    struct service_queue {
        admission_gate gate;
        std::unordered_map<std::uint64_t, admission_waiter*> waiters{};
        room last_room{};
    };

    service_queue& queue_of(const std::string& service, micros max_backlog);
    void schedule(instant due);
    void evaluate();
    /// Sends what there is room for, in queue order.
    void release(service_queue& it);
    /// Rejects the requests that cannot be answered in time.
    void shed(service_queue& it);

    clock_fn now_;
    random_fn random_;
    timer_fn add_timer_;
    /// By service. Stays valid when a waiter adds a service.
    std::map<std::string, service_queue> queues_;
    std::size_t waiting_ = 0;
    std::uint64_t last_id_ = 0;
    instant evaluated_at_;
    instant due_;                    ///< of the next evaluation
    std::uint64_t timer_number_ = 0; ///< of the timer in force; earlier ones have no effect
    bool is_scheduled_ = false;
};

} // namespace hickorypost::scheduling
