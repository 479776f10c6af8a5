#include "hickorypost/scheduling/admission_gate.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace hickorypost::scheduling {

namespace {

/// Half-life of the measured rate. A surge lasts about three seconds, and the rate must follow the
/// loss of engines during it.
constexpr double rate_half_life_ms = 1000;
/// Time with a non-empty queue until the rate counts as measured. Before that the rate is assumed
/// to be that of all engines, because a request must not be rejected by mistake.
constexpr double min_busy_ms = 500;
/// Lower bound of the rate, as a fraction of the host's share of all engines. Without it a pause of
/// a second in which nothing is sent would make all requests behind the first look hopeless.
constexpr double min_rate_ratio = 0.5;
/// Clients wait for at most a third of the time that they have left before they retry.
constexpr int retry_divisor = 3;
/// Fraction of `Retry-After` that is added at random, so that clients do not return all at once.
constexpr double jitter_ratio = 0.25;
/// A shorter `Retry-After` would bring the client back before the queue has been evaluated again.
constexpr double min_retry_ms = 20;

double to_ms(micros time)
{
    constexpr double micros_per_milli = 1000;
    return static_cast<double>(time.count()) / micros_per_milli;
}

bool is_starving(const waiting_request& it, instant now)
{
    const instant arrived = it.arrived - it.waited_before;
    return (now - arrived) * 2 >= it.deadline - arrived;
}

} // namespace

admission_gate::admission_gate(gate_settings settings, random_fn random)
    : settings_{settings}, random_{std::move(random)}
{
}

send_pacer::pool admission_gate::pool_of(const room& at) const
{
    return {at.engines, at.hosts, max_backlog_ms(), at.wait_ms > max_backlog_ms()};
}

bool admission_gate::has_room(const room& at, instant now)
{
    const auto pool = pool_of(at);
    pacer_.observe(pool, !queue_.empty(), now);
    return !pool.is_full && pacer_.allows(pool, !queue_.empty(), now);
}

bool admission_gate::try_send(double work_ms, const room& at, instant now)
{
    if (!queue_.empty() || !has_room(at, now)) {
        return false;
    }
    record_sent(work_ms, at, now);
    return true;
}

double admission_gate::max_backlog_ms() const
{
    return to_ms(settings_.max_backlog);
}

bool admission_gate::meets_target(const entry& it, instant now) const
{
    // A request is not sent before the wait on an engine is below the bound.
    return std::min(last_wait_ms_, max_backlog_ms()) + it.own_ms <= to_ms(it.request.target - now);
}

bool admission_gate::precedes(const entry& a, const entry& b, instant now) const
{
    const auto key = [&](const entry& it) {
        const auto& request = it.request;
        return std::tuple{!is_starving(request, now),
                          request.over_share,
                          !meets_target(it, now),
                          request.priority,
                          request.target - request.waited_before,
                          request.id};
    };
    return key(a) < key(b);
}

admission_gate::work_ahead admission_gate::ahead_of(const entry& it, instant now) const
{
    work_ahead out;
    for (const auto& other : queue_) {
        if (precedes(other, it, now)) {
            out.ms += other.request.work_ms;
            out.any = true;
        }
    }
    return out;
}

void admission_gate::advance(instant now)
{
    const double passed = to_ms(now - std::exchange(advanced_at_, now));
    if (busy_ms_ <= 0 && queue_.empty()) {
        return;
    }
    const double keep = std::exp2(-passed / rate_half_life_ms);
    busy_ms_ = busy_ms_ * keep + (queue_.empty() ? 0 : passed);
    sent_ms_ *= keep;
    if (busy_ms_ < 1) {
        busy_ms_ = sent_ms_ = 0;
    }
}

double admission_gate::rate(const room& at) const
{
    const double assumed = std::max(0.0, min_busy_ms - busy_ms_);
    const double measured = (sent_ms_ + assumed * at.engines) / (busy_ms_ + assumed);
    return std::max(measured, min_rate_ratio * at.engines / at.hosts);
}

bool admission_gate::is_hopeless(const entry& it, const room& at, double ahead_ms,
                                 instant now) const
{
    return at.wait_ms + ahead_ms / rate(at) + it.own_ms > to_ms(it.request.deadline - now);
}

void admission_gate::record_sent(double work_ms, const room& at, instant now)
{
    pacer_.sent(work_ms, pool_of(at), now);
    if (busy_ms_ > 0) {
        advance(now);
        sent_ms_ += work_ms;
    }
}

admission admission_gate::decide(const waiting_request& request, const room& at, instant now)
{
    advance(now);
    last_wait_ms_ = at.wait_ms;
    const entry it{request, std::max(0.0, at.first_event_ms - at.wait_ms)};
    const work_ahead ahead = ahead_of(it, now);
    if (has_room(at, now) && !ahead.any) {
        record_sent(request.work_ms, at, now);
        return admission::send;
    }
    if (is_hopeless(it, at, ahead.ms, now)) {
        return admission::reject_hopeless;
    }
    if (request.over_share) {
        const double queued =
            std::accumulate(queue_.begin(), queue_.end(), 0.0, [](double sum, const entry& other) {
                return sum + other.request.work_ms;
            });
        if (queued > rate(at) * to_ms(request.target - request.arrived)) {
            return admission::reject_over_share;
        }
    }
    queue_.push_back(it);
    return admission::wait;
}

std::optional<std::uint64_t> admission_gate::next(instant now) const
{
    const auto first =
        std::min_element(queue_.begin(), queue_.end(),
                         [&](const entry& a, const entry& b) { return precedes(a, b, now); });
    return first == queue_.end() ? std::nullopt : std::optional{first->request.id};
}

void admission_gate::remove(std::uint64_t id, instant now)
{
    advance(now);
    std::erase_if(queue_, [&](const entry& it) { return it.request.id == id; });
}

std::vector<waiting_request> admission_gate::take_hopeless(const room& at, instant now)
{
    advance(now);
    std::sort(queue_.begin(), queue_.end(),
              [&](const entry& a, const entry& b) { return precedes(a, b, now); });
    std::vector<waiting_request> out;
    double ahead_ms = 0;
    std::erase_if(queue_, [&](const entry& it) {
        if (is_hopeless(it, at, ahead_ms, now)) {
            out.push_back(it.request);
            return true;
        }
        ahead_ms += it.request.work_ms;
        return false;
    });
    return out;
}

millis admission_gate::retry_after(const waiting_request& request, const room& at,
                                   instant now) const
{
    const double own_ms = std::max(0.0, at.first_event_ms - at.wait_ms);
    const double queue_ms = ahead_of({request, own_ms}, now).ms / rate(at);
    const double expected =
        std::max(min_retry_ms, std::max(0.0, at.wait_ms - max_backlog_ms()) + queue_ms);
    const double with_jitter = expected * (1 + jitter_ratio * unit_random(random_));
    const double longest = std::max(0.0, to_ms(request.deadline - now) / retry_divisor);
    return millis{static_cast<std::int64_t>(std::min(with_jitter, longest))};
}

} // namespace hickorypost::scheduling
