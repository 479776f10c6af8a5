#include "hickorypost/gateway/backend_backoff.h"

#include "hickorypost/gateway/exchange_types.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

} // namespace

backend_backoff::backend_backoff(backoff_settings settings, clock_fn now, random_fn random,
                                 requested_fn requested)
    : settings_{settings}, now_{std::move(now)}, random_{std::move(random)}, requested_{std::move(
                                                                                 requested)}
{
}

void backend_backoff::saw(const std::string& backend, const backend_answer& answer,
                          std::string_view request)
{
    const bool rejected =
        answer.status == status_unavailable || answer.status == status_too_many_requests;
    if (!rejected) {
        // An answer during the backoff may be to a request that was accepted before.
        if (!is_backing_off(backend)) {
            forget(backend);
        }
        return;
    }
    const auto& statement = answer.backoff;
    if (statement.kind == backoff_statement::kind_type::none) {
        return;
    }
    const bool readable = statement.kind == backoff_statement::kind_type::named;
    constexpr double millis_per_second = 1000;
    const double max_ms = static_cast<double>(settings_.max_wait.count());
    const double asked_ms = std::min(statement.seconds * millis_per_second, max_ms);
    const millis wait =
        readable ? millis{static_cast<std::int64_t>(asked_ms)} : settings_.default_wait;
    const instant until = now_() + wait;
    if (wait == millis{0} || until <= entries_[backend].until) {
        return;
    }
    const double jitter_ms =
        unit_random(random_) *
        std::min(static_cast<double>(settings_.max_jitter.count()),
                 static_cast<double>(wait.count()) * settings_.jitter_fraction);
    entries_[backend] = {until, until + millis{static_cast<std::int64_t>(jitter_ms)}};
    requested_({backend, std::string{request}, wait, readable});
}

void backend_backoff::sent(std::string_view backend)
{
    if (const auto found = entries_.find(backend); found != entries_.end()) {
        entry& it = found->second;
        it.next_due = std::max(it.next_due, now_() + settings_.recovery_interval);
    }
}

void backend_backoff::forget(std::string_view backend)
{
    if (const auto found = entries_.find(backend); found != entries_.end()) {
        entries_.erase(found);
    }
}

void backend_backoff::expire()
{
    const instant now = now_();
    std::erase_if(entries_, [&](const auto& it) {
        return now >= it.second.until + settings_.max_jitter + settings_.recovery_time;
    });
}

bool backend_backoff::is_backing_off(std::string_view backend) const
{
    const auto found = entries_.find(backend);
    return found != entries_.end() && now_() < found->second.until;
}

bool backend_backoff::is_available(std::string_view backend) const
{
    return available_in(backend) <= millis{0};
}

millis backend_backoff::available_in(std::string_view backend) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return millis{0};
    }
    return std::chrono::ceil<millis>(std::max(micros{0}, found->second.next_due - now_()));
}

std::optional<millis>
backend_backoff::first_available_in(std::span<const std::string> backends) const
{
    std::optional<millis> out;
    for (const auto& backend : backends) {
        const millis left = available_in(backend);
        out = std::min(out.value_or(left), left);
    }
    return out;
}

std::size_t backend_backoff::count() const
{
    const instant now = now_();
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [now](const auto& it) { return now < it.second.until; }));
}

} // namespace hickorypost::gateway
