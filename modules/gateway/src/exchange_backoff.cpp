/// Request lifecycle, part six: backend servers that have asked this host for no requests for a
/// time.

#include "hickorypost/gateway/exchange.h"

#include <algorithm>

namespace hickorypost::gateway {

std::vector<const backend_entry*> exchange::selectable_backends()
{
    const instant now = services_.now();
    const auto& backoffs = services_.backoffs;
    const auto unavailable = [&](const backend_entry* it) {
        return !backoffs.is_available(it->record.id);
    };
    const auto usable = usable_backends();
    auto out = usable;
    services_.rollouts.choose_version(record_.service, request_.session, out, now);
    record_.candidates = static_cast<std::uint32_t>(out.size());
    record_.backing_off.clear();
    backing_off_.clear();
    for (const auto* const it : out) {
        if (unavailable(it)) {
            record_.backing_off.emplace_back(it->record.id, backoffs.available_in(it->record.id));
            if (!was_tried(*it)) {
                backing_off_.push_back(it->record.id);
            }
        }
    }
    const std::string version = out.empty() ? std::string{} : out.front()->record.version;
    std::erase_if(out, unavailable);
    if (out.empty() && request_.session.empty() &&
        services_.rollouts.is_on_trial(record_.service, version)) {
        // Without a session, a request need not stay on the version on trial.
        out = usable;
        std::erase_if(out, unavailable);
        services_.rollouts.choose_version(record_.service, request_.session, out, now);
    }
    return out;
}

bool exchange::wait_for_backoff()
{
    const auto& settings = services_.settings;
    const instant now = services_.now();
    if (backoff_wait_end_ == instant{}) {
        backoff_wait_end_ = now + settings.backoff_wait;
    }
    const auto left = services_.backoffs.first_available_in(backing_off_);
    const instant due = now + left.value_or(millis{0});
    if (due > backoff_wait_end_ || due + settings.min_attempt_time > deadline_) {
        return false;
    }
    silence_timer_ = services_.timers.add(due, [this] {
        silence_timer_ = 0;
        try_attempt();
    });
    return true;
}

std::optional<millis> exchange::backoff_left() const
{
    std::vector<std::string> backends;
    for (const auto* const it : services_.directory.usable(record_.service, services_.now())) {
        backends.push_back(it->record.id);
    }
    const auto out = services_.backoffs.first_available_in(backends);
    return out && *out > millis{0} ? out : std::nullopt;
}

} // namespace hickorypost::gateway
