/// Request lifecycle, part three: backend servers that stop responding during an attempt.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

void exchange::cancel_silence_timers()
{
    services_.timers.cancel(std::exchange(silence_timer_, 0));
    services_.timers.cancel(std::exchange(probe_timer_, 0));
    services_.liveness.cancel(std::exchange(probe_id_, 0));
}

void exchange::restart_silence_timer()
{
    cancel_silence_timers();
    const bool stream = route_.kind == request_kind::streaming;
    const std::uint32_t attempts_begun =
        sent_attempts_ + (attempt_counted_ ? 0 : 1); // this attempt among them
    if (!is_retryable() || attempts_begun >= route_.max_attempts) {
        return;
    }
    const auto& settings = services_.settings;
    const millis target = stream && stage_ == stage::relaying
                              ? route_.target_gap.value_or(route_.target_latency)
                              : route_.target_latency;
    const double factor = stream ? settings.silence_factor : settings.plain_silence_factor;
    const auto silence_limit =
        millis{static_cast<std::int64_t>(static_cast<double>(target.count()) * factor)};
    // Half of the time until the deadline is reserved for another attempt.
    const millis wait = std::min(silence_limit, time_left() / 2);
    silence_timer_ = services_.timers.add(services_.now() + wait, [this] {
        silence_timer_ = 0;
        fail_over("no response from the backend server in time");
    });
    schedule_probe(target, wait);
}

void exchange::schedule_probe(millis target, millis silence_limit)
{
    const auto& settings = services_.settings;
    const bool on_engine = service_ != nullptr && service_->engine.has_value();
    const auto probe_delay = static_cast<double>(target.count()) * settings.probe_after_ratio;
    // Streams of an engine are expected to pause while it prefills prompts.
    const millis wait =
        std::max(settings.min_probe_delay, millis{static_cast<std::int64_t>(probe_delay)}) +
        services_.balancer.prefill_left(target_.backend);
    // A probe would count against the backend server's limit.
    const bool limited = services_.limits.limit_of(target_.backend).has_value();
    if (!settings.probe_silent_backends || !on_engine || limited || wait >= silence_limit) {
        return;
    }
    probe_timer_ = services_.timers.add(services_.now() + wait, [this] {
        probe_timer_ = 0;
        probe_backend();
    });
}

void exchange::probe_backend()
{
    if (services_.backoffs.is_backing_off(target_.backend)) {
        return; // it has asked for no requests, and a probe is one
    }
    probe_id_ = services_.liveness.start(target_, [this](bool alive) {
        probe_id_ = 0;
        if (!alive) {
            fail_over("liveness probe of the backend server failed");
        }
    });
}

void exchange::fail_over(std::string_view why)
{
    if (finished_ || !current_attempt_) {
        return;
    }
    count_sent_attempt();
    may_have_run_ = true;
    if (!has_room_elsewhere(record_.backend) || !try_take_retry()) {
        return; // the current attempt continues
    }
    end_attempt(attempt_result::unreachable);
    tried_backends_.push_back(record_.backend);
    services_.note(record_, stage_ == stage::relaying ? "resumed" : "retried", why);
    if (stage_ != stage::relaying) {
        stage_ = stage::awaiting_head;
        failure_head_.reset();
    }
    try_attempt();
}

} // namespace hickorypost::gateway
