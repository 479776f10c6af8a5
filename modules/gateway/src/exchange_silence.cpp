/// Request lifecycle, part three: backend servers that stop responding during an attempt.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

void exchange::stop_watching()
{
    services_.timers.cancel(std::exchange(silence_timer_, 0));
    services_.timers.cancel(std::exchange(probe_timer_, 0));
    services_.liveness.cancel(std::exchange(probe_, 0));
}

void exchange::watch_silence()
{
    stop_watching();
    const bool stream = route_.kind == request_kind::streaming;
    const std::uint32_t begun = sends_ + (send_counted_ ? 0 : 1); // this attempt among them
    if (!may_repeat() || begun >= route_.max_attempts) {
        return;
    }
    const auto& settings = services_.settings;
    const millis target = stream && stage_ == stage::relaying
                              ? route_.target_gap.value_or(route_.target_latency)
                              : route_.target_latency;
    const double factor = stream ? settings.silence_factor : settings.plain_silence_factor;
    const auto patience =
        millis{static_cast<std::int64_t>(static_cast<double>(target.count()) * factor)};
    // Half of the time left is reserved for another attempt.
    const millis wait = std::min(patience, time_left() / 2);
    silence_timer_ = services_.timers.add(services_.now() + wait, [this] {
        silence_timer_ = 0;
        fail_over("backend server silent");
    });
    schedule_probe(target, wait);
}

void exchange::schedule_probe(millis target, millis patience)
{
    const auto& settings = services_.settings;
    const bool on_engine = service_ != nullptr && service_->engine.has_value();
    const auto part = static_cast<double>(target.count()) * settings.probe_after_ratio;
    // Its streams are expected to pause during prefill.
    const millis wait =
        std::max(settings.min_probe_delay, millis{static_cast<std::int64_t>(part)}) +
        services_.balancer.prefill_left(target_.backend);
    // A probe would count as a request under its limit.
    const bool limited = services_.limits.limit_of(target_.backend).has_value();
    if (!settings.probe_silent_backends || !on_engine || limited || wait >= patience) {
        return;
    }
    probe_timer_ = services_.timers.add(services_.now() + wait, [this] {
        probe_timer_ = 0;
        probe_backend();
    });
}

void exchange::probe_backend()
{
    probe_ = services_.liveness.start(target_, [this](bool alive) {
        probe_ = 0;
        if (!alive) {
            fail_over("backend server failed its liveness probe");
        }
    });
}

void exchange::fail_over(std::string_view why)
{
    if (over_ || !current_) {
        return;
    }
    count_send();
    may_have_run_ = true;
    if (!room_for_another(record_.backend) || !repeat_allowed()) {
        return; // keeps waiting for this attempt
    }
    end_attempt(attempt_result::unreachable);
    tried_.push_back(record_.backend);
    services_.note(record_, stage_ == stage::relaying ? "resumed" : "retried", why);
    if (stage_ != stage::relaying) {
        stage_ = stage::waiting;
        failure_head_.reset();
    }
    try_attempt();
}

} // namespace hickorypost::gateway
