#include "hickorypost/scheduling/admission_coordinator.h"

#include <algorithm>
#include <utility>

namespace hickorypost::scheduling {

namespace {

/// Minimum interval of evaluations after changes of load, which come with each first event.
constexpr millis min_interval{5};
/// Interval of evaluations without a change of load, which find the requests that can no longer be
/// answered in time.
constexpr millis poll_interval{20};
/// Requests in a row that are given their turn without being sent. The order may change with each
/// decision, as the best engines of two requests may have different waits.
constexpr int max_failed_turns = 2;

} // namespace

admission_coordinator::admission_coordinator(clock_fn now, random_fn random, timer_fn add_timer)
    : now_{std::move(now)}, random_{std::move(random)}, add_timer_{std::move(add_timer)}
{
}

admission_coordinator::service_queue& admission_coordinator::queue_of(const std::string& service,
                                                                      micros max_backlog)
{
    auto found = queues_.find(service);
    if (found == queues_.end()) {
        found = queues_.emplace(service, service_queue{admission_gate{{}, random_}}).first;
    }
    found->second.gate.set_max_backlog(max_backlog);
    return found->second;
}

bool admission_coordinator::try_send(const std::string& service, micros max_backlog, const room& at,
                                     double work_ms)
{
    return queue_of(service, max_backlog).gate.try_send(work_ms, at, now_());
}

admission_coordinator::verdict admission_coordinator::decide(const std::string& service,
                                                             micros max_backlog,
                                                             const waiting_request& request,
                                                             const room& at,
                                                             admission_waiter& waiter)
{
    service_queue& it = queue_of(service, max_backlog);
    it.last_room = at;
    const instant now = now_();
    verdict out{it.gate.decide(request, at, now)};
    if (out.what == admission::wait) {
        it.waiters[request.id] = &waiter;
        ++waiting_;
        schedule(now + poll_interval);
    } else if (out.what != admission::send) {
        out.retry_after = it.gate.retry_after(request, at, now);
    }
    return out;
}

void admission_coordinator::leave(const std::string& service, std::uint64_t id)
{
    const auto found = queues_.find(service);
    if (found != queues_.end() && found->second.waiters.erase(id) > 0) {
        found->second.gate.remove(id, now_());
        --waiting_;
        load_changed();
    }
}

void admission_coordinator::load_changed()
{
    if (waiting_ > 0) {
        schedule(std::max(now_(), evaluated_at_ + min_interval));
    }
}

void admission_coordinator::schedule(instant due)
{
    if (is_scheduled_ && due_ <= due) {
        return;
    }
    is_scheduled_ = true;
    due_ = due;
    add_timer_(due, [this, number = ++timer_number_] {
        if (number == timer_number_ && std::exchange(is_scheduled_, false)) {
            evaluate();
        }
    });
}

void admission_coordinator::evaluate()
{
    evaluated_at_ = now_();
    for (auto& [service, it] : queues_) {
        release(it);
        shed(it);
    }
    if (waiting_ > 0) {
        schedule(evaluated_at_ + poll_interval);
    }
}

void admission_coordinator::release(service_queue& it)
{
    std::uint64_t last = 0;
    for (int failed = 0; failed < max_failed_turns;) {
        const auto id = it.gate.next(now_());
        if (!id || *id == last) {
            return;
        }
        last = *id;
        const auto waiter = it.waiters.extract(*id);
        it.gate.remove(*id, now_());
        --waiting_;
        waiter.mapped()->on_turn();
        failed += it.waiters.contains(*id) ? 1 : 0;
    }
}

void admission_coordinator::shed(service_queue& it)
{
    for (const auto& request : it.gate.take_hopeless(it.last_room, now_())) {
        const auto waiter = it.waiters.extract(request.id);
        if (!waiter) {
            continue; // left the queue during the notification of another request
        }
        --waiting_;
        waiter.mapped()->on_hopeless(it.gate.retry_after(request, it.last_room, now_()));
    }
}

std::map<std::string, std::size_t> admission_coordinator::waiting() const
{
    std::map<std::string, std::size_t> out;
    for (const auto& [service, it] : queues_) {
        out.emplace(service, it.gate.waiting());
    }
    return out;
}

} // namespace hickorypost::scheduling
