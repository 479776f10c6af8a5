/// A request's way, third part: backend servers that fall silent while it waits for them.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

void exchange::stop_watching()
{
    services_.timers.cancel(std::exchange(silence_timer_, 0));
    services_.timers.cancel(std::exchange(doubt_timer_, 0));
    services_.liveness.cancel(std::exchange(question_, 0));
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
    // Half of what is left is kept for another try, or a silent backend server costs the request.
    const millis wait = std::min(patience, time_left() / 2);
    silence_timer_ = services_.timers.add(services_.now() + wait, [this] {
        silence_timer_ = 0;
        leave_silent("backend server silent");
    });
    watch_doubt(target, wait);
}

void exchange::watch_doubt(millis target, millis patience)
{
    const auto& settings = services_.settings;
    const bool on_engine = service_ != nullptr && service_->engine.has_value();
    const auto part = static_cast<double>(target.count()) * settings.doubt_part;
    // While it reads, its streams stand still by right.
    const millis wait = std::max(settings.least_doubt, millis{static_cast<std::int64_t>(part)}) +
                        services_.balancer.reading_left(target_.backend);
    if (!settings.doubts_silence || !on_engine || wait >= patience) {
        return;
    }
    doubt_timer_ = services_.timers.add(services_.now() + wait, [this] {
        doubt_timer_ = 0;
        ask_for_life();
    });
}

void exchange::ask_for_life()
{
    question_ = services_.liveness.ask(target_, [this](bool alive) {
        question_ = 0;
        if (!alive) {
            leave_silent("backend server gives no sign of life");
        }
    });
}

void exchange::leave_silent(std::string_view why)
{
    if (over_ || !current_) {
        return;
    }
    count_send();
    may_have_run_ = true;
    if (!repeat_allowed()) {
        return; // it goes on waiting for this one
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
